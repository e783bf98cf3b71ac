"""Forwarding of a request to a model engine once its owner grants it."""

from __future__ import annotations

from typing import Any

from boragefold.entry import answer_deadline
from boragefold.entry import dialect as dialects
from boragefold.entry import engine_asker
from boragefold.entry import engine_owner
from boragefold.entry import forwarding
from boragefold.entry import refusals
from boragefold.entry import serving
from boragefold.policy import engine_asks
from boragefold.policy import engine_schedule
from boragefold.protocol import ids
from boragefold.state import deployment
from boragefold.transport import http_server

# Owners asked in turn, each at the cost of a round trip, before the request
# is queued where the wait is shortest.
EAGER_ASKS = 3
# Limit for all owners asked, when owners change or queues are too long.
MAX_ASKS = 5
# Retry interval while no engine is available.
LOOK_AGAIN_SECONDS = 0.1
# Share of the response time that may pass without an available engine.
LOOKING_SHARE = 0.5
# An engine that is about to finish a load is asked again, which saves a load
# of the same adapter on another engine.
MAX_NOT_HELD = 3
# A request may still run on an engine this long after the caller's deadline.
ENDS_SLACK_SECONDS = 1.0


class EngineForwarding(forwarding.Forwarding, engine_asker.Asker):
    """Asks an engine's owner, and sends the request when it is granted."""

    def __init__(
        self,
        *,
        admitted: serving.Admitted,
        exchange: http_server.Exchange,
        shared: serving.Shared,
        asker: engine_asker.EngineAsker,
        owner: engine_owner.EngineOwner,
        needs: deployment.AdapterKey,
        self_id: ids.InstanceId,
    ) -> None:
        super().__init__(admitted=admitted, exchange=exchange, shared=shared)
        self._asker = asker
        self._owner = owner
        self._needs = needs
        self._self_id = self_id
        self._asked: list[str] = []
        self._waits: dict[str, float] = {}
        self._not_held = 0
        self._engine = ""
        self._owner_waits = engine_asks.Waits()
        self._retry_after_seconds = forwarding.RETRY_AFTER_SECONDS
        self._refused_for = "no_engine"

    def begin(self) -> None:
        """Ask for the best available engine, or refuse the request."""
        self._let_go()
        if self.over:
            return
        if not self.still_allowed():
            self.refuse(refusals.NO_KEY, "key_withdrawn")
            return
        engine = self._next_eager()
        if engine is not None:
            self._ask(engine, eager=self._can_be_on_time())
        elif self._waits:
            shortest = min(self._waits, key=self._waits.__getitem__)
            del self._waits[shortest]
            self._ask(shortest, eager=False)
        elif self._asked or not self._may_look_again():
            self.refuse(
                refusals.NOT_RUN, self._refused_for, self._retry_after_seconds
            )
        else:
            self.shared.timers.once(
                delay_seconds=LOOK_AGAIN_SECONDS, callback=self.begin
            )

    def has_untried(self) -> bool:
        """Check whether the request may be sent to a further engine.

        :return: whether the route allows it
        """
        route = self.admitted.route
        return len(set(self._sent_to)) < route.max_attempts

    def granted(
        self, engine: str, version: int, waits: engine_asks.Waits
    ) -> None:
        """Send the request, unless the engine is being removed by now.

        :param engine: where
        :param version: of the adapter, 0 for any
        :param waits: how long it waited in the owner's queue, by cause
        """
        if self.over:
            return
        self._owner_waits = waits
        record = self.shared.fleet.endpoint(engine)
        if record is None or record.leaving:
            self.begin()
        elif not self.still_allowed():
            self.refuse(refusals.NO_KEY, "key_withdrawn")
        else:
            self._waits.clear()
            self.send(record, version)

    def turned_away(
        self,
        engine: str,
        reason: str,
        retry_after_seconds: float,
        wait_seconds: float,
    ) -> None:
        """Try the next engine after a refusal by an owner.

        :param engine: which engine was refused
        :param reason: why
        :param retry_after_seconds: when a retry may succeed
        :param wait_seconds: estimated time in the queue, for a request that
            was refused since it asked not to be queued
        """
        if self.over:
            return
        self.shared.log.write_ordinary(
            "engine_refused",
            request_id=self.admitted.request.request_id,
            engine=engine,
            reason=reason,
            retry_after_seconds=round(retry_after_seconds, 3),
            wait_seconds=round(wait_seconds, 3),
        )
        if reason == engine_schedule.BUSY:
            self._waits[engine] = wait_seconds
            self.begin()
            return
        self._refused_for = reason
        if retry_after_seconds:
            self._retry_after_seconds = retry_after_seconds
        self.begin()

    def wait_fields(self) -> dict[str, Any]:
        """Break down the time before the last attempt, for the log.

        :return: seconds and counts, by name
        """
        waits = self._owner_waits
        return {
            "prompt_tokens": self.admitted.request.prompt_tokens,
            "asks": len(self._asked),
            "place_wait_seconds": round(waits.place_seconds, 4),
            "load_wait_seconds": round(waits.load_seconds, 4),
            "turn_wait_seconds": round(waits.turn_seconds, 4),
        }

    def attempt_answering(self) -> None:
        """Tell the engine's owner that the response has started."""
        self._asker.started(self.admitted.request.request_id, self._engine)

    def attempt_rejected(
        self, endpoint: str, facts: dialects.AnswerFacts
    ) -> None:
        """Retry or refuse after an engine rejected the request.

        :param endpoint: the engine
        :param facts: its response
        """
        self.shared.log.write(
            "engine_rejected",
            request_id=self.admitted.request.request_id,
            engine=endpoint,
            status=facts.status,
            not_held=facts.not_held,
        )
        self._let_go(not_held=facts.not_held or facts.status == 503)
        if facts.not_held:
            self._not_held += 1
            if self._not_held < MAX_NOT_HELD:
                self._asked.remove(endpoint)
        if self.may_repeat(endpoint, may_have_run=False):
            self.begin()
        else:
            reason = "adapter_missing" if facts.not_held else "engine_full"
            self.refuse(refusals.NOT_RUN, reason)

    def _next_eager(self) -> str | None:
        eager_left = len(self._waits) < EAGER_ASKS
        if not eager_left or len(self._asked) >= MAX_ASKS:
            return None
        ranked = self._asker.ranked(
            self.admitted.service.name, self._needs, self._owner.statuses()
        )
        return next(
            (
                engine.name
                for engine in ranked
                if engine.name not in self._asked
                and self.may_go_to(engine.name)
            ),
            None,
        )

    def _ask(self, engine: str, *, eager: bool) -> None:
        self._engine = engine
        self._asked.append(engine)
        self._asker.ask(self, self._make_ask(eager), engine)

    def _on_time_by_seconds(self) -> float:
        admitted = self.admitted
        return admitted.arrived_at_seconds + admitted.route.target_seconds

    def _can_be_on_time(self) -> bool:
        return self.shared.timers.now_seconds() < self._on_time_by_seconds()

    def _make_ask(self, eager: bool) -> engine_asks.Ask:
        admitted = self.admitted
        workspace = admitted.workspace
        priority = admitted.route.priority
        if workspace is not None and workspace.priority is not None:
            priority = workspace.priority
        return engine_asks.Ask(
            request_id=admitted.request.request_id,
            sender=self._self_id,
            needs=self._needs,
            prompt_tokens=admitted.request.prompt_tokens,
            output_tokens=admitted.request.output_tokens,
            priority=priority,
            on_time_by_seconds=self._on_time_by_seconds(),
            give_up_at_seconds=self._give_up_at_seconds(),
            ends_by_seconds=self.ends_at_seconds + ENDS_SLACK_SECONDS,
            eager=eager,
            event_gap_seconds=admitted.route.event_gap_seconds,
        )

    def _give_up_at_seconds(self) -> float:
        # The caller has left by then: a later start is useless.
        admitted = self.admitted
        patience_seconds = self.shared.dialect.first_event_seconds(
            admitted.route
        )
        first_event_at_seconds = (
            admitted.arrived_at_seconds
            + patience_seconds
            - answer_deadline.MARGIN_SECONDS
        )
        return min(self.ends_at_seconds, first_event_at_seconds)

    def _may_look_again(self) -> bool:
        now_seconds = self.shared.timers.now_seconds()
        waited_seconds = now_seconds - self.admitted.arrived_at_seconds
        whole_seconds = (
            self._give_up_at_seconds() - self.admitted.arrived_at_seconds
        )
        return waited_seconds < LOOKING_SHARE * whole_seconds

    def _let_go(self, *, not_held: bool = False) -> None:
        if not self._engine:
            return
        engine, self._engine = self._engine, ""
        self._asker.ended(
            self.admitted.request.request_id, engine, not_held=not_held
        )

    def _ended(self) -> None:
        self._let_go()


__all__ = [
    "EngineForwarding",
]
