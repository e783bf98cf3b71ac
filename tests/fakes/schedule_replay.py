"""Replays a seeded random load on one engine's schedule, step by step."""

from __future__ import annotations

import hashlib
import heapq
import itertools
import random

from boragefold.policy import engine_decisions
from boragefold.policy import engine_schedule
from boragefold.policy import engine_slots
from boragefold.protocol import ids
from boragefold.state import deployment

MODELS = ("base", "other")
ADAPTERS = 300
STEPS = 1_500
SENDERS = tuple(
    ids.InstanceId("dc-a", f"10.0.0.{number}:7000", "one")
    for number in range(5)
)


class Replay:
    """One engine, its callers, its reports and its faults, by one seed."""

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        rng = self._rng
        self._now = 10.0
        self._numbers = itertools.count()
        self._events: list[
            tuple[float, int, str, engine_decisions.EngineRequest]
        ] = []
        self._newest: dict[deployment.AdapterKey, int] = {}
        self._loads_elsewhere = 0
        self._pace_seconds = rng.choice((0.004, 0.01, 0.03))
        self._prefill_free_seconds = 0.0
        engine = deployment.Engine(
            slots=rng.choice((4, 16, 64)),
            kv_tokens=rng.choice((20_000, 129_000)),
            adapter_places=rng.choice((4, 5, 6)),
            weights_mb=74_500.0,
            loads_per_second=4.0,
            models=tuple(
                deployment.Model(name, 0.4, 72_700.0) for name in MODELS
            ),
        )
        self.slots = engine_slots.EngineSlots(
            engine=engine,
            newest_versions=self._newest,
            loads_elsewhere=lambda: self._loads_elsewhere,
            count_engines=lambda: 4,
            issuer=seed,
        )
        self.schedule = engine_schedule.EngineSchedule(
            engine=engine, slots=self.slots
        )
        self.slots.may_order = True
        if rng.random() < 0.8:
            self.slots.apply_report({"base": {}}, {}, now_seconds=self._now)
        self.longest_queue = 0
        self.actions: list[engine_decisions.Action] = []
        self._digest = hashlib.sha256()

    def run(self) -> str:
        """Run all steps.

        :return: a digest of all decisions and estimates, in their order
        """
        for _ in range(STEPS):
            self._now += self._rng.expovariate(1 / self._pace_seconds)
            self._deliver()
            self._disturb()
            if self._rng.random() < 0.7:
                self._ask()
            self._advance()
            self.longest_queue = max(self.longest_queue, self.schedule.queued)
        return self._digest.hexdigest()[:16]

    def _known_summary(self):
        # Without the fields that came after the digests were recorded.
        summary = self.schedule.summary()
        del summary["limit"]
        return summary

    def _record(self, *values: object) -> None:
        self._digest.update(repr(values).encode())

    def _request(self) -> engine_decisions.EngineRequest:
        rng = self._rng
        popular = rng.random() < 0.5
        number = rng.randrange(6 if popular else ADAPTERS)
        adapter = "" if rng.random() < 0.1 else f"a{number}"
        model = MODELS[rng.random() < 0.02]
        start_seconds = rng.choice((0.3, 1.0, 5.0, 20.0))
        queue_seconds = start_seconds * rng.choice((1.0, 2.0, 5.0))
        return engine_decisions.EngineRequest(
            request_id=f"r{next(self._numbers)}",
            sender=rng.choice(SENDERS),
            adapter=deployment.AdapterKey(model, adapter),
            prompt_tokens=int(rng.lognormvariate(6.0, 1.2)) + 1,
            output_tokens=rng.randrange(1, 200),
            priority=rng.randrange(3),
            start_deadline_at_seconds=self._now + start_seconds,
            queue_deadline_at_seconds=self._now + queue_seconds,
            end_deadline_at_seconds=self._now + queue_seconds + 2.0,
            eager=rng.random() < 0.3,
            event_gap_seconds=rng.choice((0.0, 0.3, 1.0)),
        )

    def _ask(self) -> None:
        for _ in range(self._rng.choice((1, 1, 1, 8))):
            request = self._request()
            refusal = self.schedule.submit(request, now_seconds=self._now)
            self._record("asked", refusal)
            if self._rng.random() < 0.05:
                self._push(0.3, "again", request)
            if self._rng.random() < 0.05:
                self._push(0.2, "ended", request)

    def _advance(self) -> None:
        for _ in range(4):
            self._record(self.schedule.needs_order())
            actions = self.schedule.advance(now_seconds=self._now)
            self._record(self._now, actions)
            self.actions.extend(actions)
            for action in actions:
                self._carry_out(action)
            if not actions:
                break
        self._record(
            self.schedule.backlog_seconds(),
            self.schedule.slot_wait_seconds(),
            self.schedule.next_due_seconds(now_seconds=self._now),
            self.schedule.running,
            self._known_summary(),
            self.slots.loading(now_seconds=self._now),
        )

    def _carry_out(self, action: engine_decisions.Action) -> None:
        rng = self._rng
        if isinstance(action, engine_decisions.Grant):
            request = action.request
            begins = max(self._now, self._prefill_free_seconds)
            starts = begins + 0.01 + request.prompt_tokens / 25_000
            self._prefill_free_seconds = starts
            delay_seconds = starts - self._now
            if rng.random() < 0.97:
                self._push(delay_seconds, "started", request)
            if rng.random() < 0.97:
                ends = delay_seconds + 0.01 * request.output_tokens
                self._push(ends, "ended", request)
        elif isinstance(
            action, engine_decisions.Load | engine_decisions.Unload
        ):
            if rng.random() < 0.05:
                self.slots.record_failed_order(now_seconds=self._now)
                return
            done = rng.random() < 0.8
            self.slots.record_order(action, done=done, now_seconds=self._now)
            if not done:
                self._push(0.1, "report", self._request())

    def _push(
        self,
        delay_seconds: float,
        kind: str,
        request: engine_decisions.EngineRequest,
    ) -> None:
        event = (
            self._now + delay_seconds,
            next(self._numbers),
            kind,
            request,
        )
        heapq.heappush(self._events, event)

    def _deliver(self) -> None:
        while self._events and self._events[0][0] <= self._now:
            *_rest, kind, request = heapq.heappop(self._events)
            if kind == "again":
                granted = self.schedule.find_grant(request.request_id)
                self._record("again", granted)
                if granted is None:
                    self._record(
                        self.schedule.submit(request, now_seconds=self._now)
                    )
            elif kind == "started":
                self.schedule.record_start(
                    request.request_id, now_seconds=self._now
                )
            elif kind == "ended":
                self.schedule.remove(request.request_id, now_seconds=self._now)
            else:
                self._report()

    def _report(self) -> None:
        held: dict[str, dict[str, int]] = {"base": {}}
        for key in self.slots.held():
            if key.model == "base" and self._rng.random() < 0.9:
                held["base"][key.adapter] = self.slots.version(key)
        self.slots.apply_report(held, {}, now_seconds=self._now)

    def _disturb(self) -> None:
        rng = self._rng
        held = self.slots.held()
        if rng.random() < 0.03:
            self._report()
        if rng.random() < 0.005:
            self.slots.apply_report({}, {}, now_seconds=self._now, busy=True)
        if rng.random() < 0.02 and held:
            self._newest[rng.choice(held)] = rng.randrange(1, 4)
        if rng.random() < 0.02 and held:
            self.slots.record_missing(rng.choice(held), now_seconds=self._now)
        if rng.random() < 0.02 and held:
            self.slots.apply_old_report({"base": {}}, count=0)
        if rng.random() < 0.02:
            self._loads_elsewhere = rng.randrange(12)
        if rng.random() < 0.02:
            self.schedule.order_delay_seconds = rng.choice((0.0, 0.2))
        if rng.random() < 0.03:
            self.slots.may_order = rng.random() < 0.8
            self.slots.orders_in_seconds = rng.choice((0.0, 0.0, 0.7))
        if rng.random() < 0.005:
            lost = rng.choice(SENDERS)
            self._record(
                self.schedule.remove_where(
                    lambda request: request.sender == lost,
                    now_seconds=self._now,
                )
            )


__all__ = [
    "Replay",
]
