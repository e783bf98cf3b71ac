"""One engine under its schedule in virtual time, judged by its callers."""

from __future__ import annotations

import heapq
import itertools
from typing import NamedTuple

from boragefold.policy import engine_decisions
from boragefold.policy import engine_schedule
from boragefold.policy import engine_slots
from boragefold.protocol import ids
from boragefold.state import deployment

MODEL = "base"
SENDER = ids.InstanceId("dc-a", "10.0.0.1:7000", "one")
ENGINE = deployment.Engine(
    slots=64,
    kv_tokens=129_000,
    adapter_places=5,
    weights_mb=74_500.0,
    loads_per_second=4.0,
    models=(deployment.Model(MODEL, 2.1, 72_700.0),),
)
# Prompt tokens a second, and a step of the batch for each answered token.
PREFILL_TOKENS_PER_SECOND = 22_000.0
TOKEN_SECONDS = 0.008


def key(adapter: str) -> deployment.AdapterKey:
    return deployment.AdapterKey(MODEL, adapter)


def make_request(
    request_id: str,
    adapter: str,
    *,
    at: float = 0.0,
    prompt: int = 2_000,
    output: int = 24,
    priority: int = 1,
    target: float = 1.0,
    patience: float = 4.0,
) -> engine_decisions.EngineRequest:
    return engine_decisions.EngineRequest(
        request_id=request_id,
        sender=SENDER,
        adapter=key(adapter),
        prompt_tokens=prompt,
        output_tokens=output,
        priority=priority,
        start_deadline_at_seconds=at + target,
        queue_deadline_at_seconds=at + patience,
        end_deadline_at_seconds=at + patience + 1.0,
    )


class Outcome(NamedTuple):
    started_seconds: float | None
    refused: str
    refused_seconds: float


class Bench:
    """Feeds requests to a schedule and plays the engine's part."""

    def __init__(
        self, *, newest: dict[deployment.AdapterKey, int] | None = None
    ):
        self.newest = newest or {}
        self.slots = engine_slots.EngineSlots(
            engine=ENGINE, newest_versions=self.newest
        )
        self.slots.apply_report({MODEL: {}}, {}, now_seconds=0.0)
        self.slots.may_order = True
        self.schedule = engine_schedule.EngineSchedule(
            engine=ENGINE, slots=self.slots
        )
        self.outcomes: dict[str, Outcome] = {}
        self.orders: list[engine_decisions.Order] = []
        self.most_held = 0
        self._events: list[
            tuple[float, int, str, engine_decisions.EngineRequest]
        ] = []
        self._order = itertools.count()
        self._prefill_free = 0.0

    def submit(
        self, at: float, wanted: engine_decisions.EngineRequest
    ) -> None:
        self._push(at, "ask", wanted)

    def run(self, until: float) -> dict[str, Outcome]:
        now = 0.0
        while True:
            due = self.schedule.next_due_seconds(now_seconds=now)
            nexts = [due] if due is not None else []
            nexts += [self._events[0][0]] if self._events else []
            if not nexts or min(nexts) > until:
                return self.outcomes
            now = max(now, min(nexts))
            while self._events and self._events[0][0] <= now:
                _, _, kind, one = heapq.heappop(self._events)
                self._happen(kind, one, now)
            self._advance(now)

    def loads(self, adapter: str | None = None) -> int:
        return sum(
            isinstance(order, engine_decisions.Load)
            and adapter in (None, order.key.adapter)
            for order in self.orders
        )

    def _push(
        self, at: float, kind: str, one: engine_decisions.EngineRequest
    ) -> None:
        heapq.heappush(self._events, (at, next(self._order), kind, one))

    def _happen(
        self, kind: str, one: engine_decisions.EngineRequest, now: float
    ) -> None:
        if kind == "ask":
            refusal = self.schedule.submit(one, now_seconds=now)
            if refusal is not None:
                self._refuse(refusal, now)
        elif kind == "started":
            self.schedule.record_start(one.request_id, now_seconds=now)
            self.outcomes[one.request_id] = Outcome(now, "", 0.0)
        else:
            self.schedule.remove(one.request_id, now_seconds=now)

    def _advance(self, now: float) -> None:
        for _ in range(20):
            actions = self.schedule.advance(now_seconds=now)
            for action in actions:
                self._act(action, now)
            self.most_held = max(self.most_held, len(self.slots.held()))
            if not actions:
                return

    def _act(self, action: engine_decisions.Action, now: float) -> None:
        if isinstance(action, engine_decisions.Grant):
            self._serve(action.request, now)
        elif isinstance(action, engine_decisions.Refusal):
            self._refuse(action, now)
        else:
            self.orders.append(action)
            done = isinstance(action, engine_decisions.Unload)
            self.slots.record_order(action, done=done, now_seconds=now)

    def _serve(self, one: engine_decisions.EngineRequest, now: float) -> None:
        begin = max(now, self._prefill_free)
        start = begin + one.prompt_tokens / PREFILL_TOKENS_PER_SECOND
        self._prefill_free = start
        self._push(start, "started", one)
        self._push(start + one.output_tokens * TOKEN_SECONDS, "ended", one)

    def _refuse(self, refusal: engine_decisions.Refusal, now: float) -> None:
        self.outcomes[refusal.request.request_id] = Outcome(
            None, refusal.reason, now
        )


__all__ = [
    "Bench",
    "ENGINE",
    "MODEL",
    "Outcome",
    "key",
    "make_request",
]
