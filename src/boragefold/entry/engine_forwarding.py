"""Forwarding of a request to a model engine once its owner grants it."""

from __future__ import annotations

from collections.abc import Iterator
import itertools
from typing import Any

from boragefold.entry import answer_deadline
from boragefold.entry import dialect as dialects
from boragefold.entry import engine_owner
from boragefold.entry import forwarding
from boragefold.entry import owner_client
from boragefold.entry import refusals
from boragefold.entry import request_context
from boragefold.policy import engine_decisions
from boragefold.policy import engine_ranking
from boragefold.policy import engine_schedule
from boragefold.policy import repeat_decision
from boragefold.protocol import ids
from boragefold.state import deployment
from boragefold.transport import http_server

# Owners asked in turn, each at the cost of a round trip, before the request
# is queued where the wait is shortest.
MAX_FAIL_FAST_TRIES = 3
# Limit for all owners asked, when owners change or queues are too long.
MAX_TRIES = 5
# Owners of engines beyond the adapter's order that are asked before a request
# is refused because the queues of that order are too long.
MAX_OUTSIDE_TRIES = 2
# Retry interval while no engine is available.
RETRY_SECONDS = 0.1
# Share of the response time that may pass without an available engine.
MAX_RETRY_SHARE = 0.5
# An engine that is about to finish a load is asked again, which saves a load
# of the same adapter on another engine.
MAX_NOT_LOADED = 3
# A request may still run on an engine this long after the caller's deadline.
END_MARGIN_SECONDS = 1.0


class EngineForwarding(forwarding.Forwarding, owner_client.GrantReceiver):
    """Asks an engine's owner, and sends the request when it is granted."""

    def __init__(
        self,
        *,
        admitted: request_context.AdmittedRequest,
        exchange: http_server.Exchange,
        context: request_context.RequestContext,
        client: owner_client.OwnerClient,
        owner: engine_owner.EngineOwner,
        adapter: deployment.AdapterKey,
        self_id: ids.InstanceId,
    ) -> None:
        super().__init__(admitted=admitted, exchange=exchange, context=context)
        self._owner_client = client
        self._owner = owner
        self._adapter = adapter
        self._self_id = self_id
        self._tried: list[str] = []
        # Data centres that are evacuated according to an engine's owner.
        self._evacuated_data_centres: set[str] = set()
        self._queue_seconds: dict[str, float] = {}
        self._not_loaded_count = 0
        self._outside_count = 0
        self._engine = ""
        self._queue_times = engine_decisions.QueueTimes()
        self._retry_after_seconds = refusals.RETRY_AFTER_SECONDS
        self._refusal_reason = "no_engine"

    def begin(self) -> None:
        """Ask for the best available engine, or refuse the request."""
        self._release_engine()
        if self.finished:
            return
        if not self.is_key_valid():
            self.refuse(refusals.NO_KEY, "key_withdrawn")
            return
        if self.refuse_if_version_gone():
            return
        self._remove_evacuated()
        engine = self._next_engine()
        if engine is not None:
            self._request_engine(engine, eager=self._can_be_on_time())
        elif self._queue_seconds:
            shortest = min(
                self._queue_seconds, key=self._queue_seconds.__getitem__
            )
            del self._queue_seconds[shortest]
            self._request_engine(shortest, eager=False)
        elif (outside := self._next_outside_engine()) is not None:
            self._outside_count += 1
            self._request_engine(outside, eager=False)
        else:
            self._retry_or_refuse()

    def _retry_or_refuse(self) -> None:
        if self._tried:
            self.refuse(
                refusals.NOT_RUN,
                self._refusal_reason,
                self._retry_after_seconds,
            )
        elif not self._may_retry():
            self.refuse_without_endpoint(
                self._refusal_reason, self._retry_after_seconds
            )
        else:
            self._evacuated_data_centres.clear()
            self.context.timers.once(
                delay_seconds=RETRY_SECONDS, callback=self.begin
            )

    def can_try_another(self, *, may_wait: bool) -> bool:
        """Check whether the request may be sent to a further engine.

        :param may_wait: ignored, since owners queue requests
        :return: whether there is one that the route allows
        """
        return bool(self._queue_seconds) or self._next_engine() is not None

    def on_granted(
        self, engine: str, version: int, waits: engine_decisions.QueueTimes
    ) -> None:
        """Send the request, unless the engine is removed or evacuated by now.

        :param engine: where
        :param version: of the adapter, 0 for any
        :param waits: how long it waited in the owner's queue, by cause
        """
        if self.finished:
            return
        self._queue_times = waits
        record = self.context.fleet.endpoint(engine)
        if record is None or record.leaving or self._is_evacuated(record):
            self.begin()
        elif not self.is_key_valid():
            self.refuse(refusals.NO_KEY, "key_withdrawn")
        else:
            self._queue_seconds.clear()
            self.send(record, version)

    def on_refused(
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
        if self.finished:
            return
        self.context.log.write_ordinary(
            "engine_refused",
            request_id=self.admitted.request.request_id,
            engine=engine,
            reason=reason,
            retry_after_seconds=round(retry_after_seconds, 3),
            wait_seconds=round(wait_seconds, 3),
        )
        if reason == engine_schedule.WOULD_BE_LATE:
            self._queue_seconds[engine] = wait_seconds
            self.begin()
            return
        if reason == engine_decisions.EVACUATED:
            record = self.context.fleet.endpoint(engine)
            if record is not None:
                self._evacuated_data_centres.add(record.data_centre)
        self._refusal_reason = reason
        if retry_after_seconds:
            self._retry_after_seconds = retry_after_seconds
        self.begin()

    def queue_time_fields(self) -> dict[str, Any]:
        """Break down the time before the last attempt, for the log.

        :return: seconds and counts, by name
        """
        waits = self._queue_times
        return {
            "prompt_tokens": self.admitted.request.prompt_tokens,
            "asks": len(self._tried),
            "place_wait_seconds": round(waits.slot_seconds, 4),
            "load_wait_seconds": round(waits.load_seconds, 4),
            "turn_wait_seconds": round(waits.capacity_seconds, 4),
        }

    def on_answer_started(self) -> None:
        """Tell the engine's owner that the response has started."""
        self._owner_client.report_start(
            self.admitted.request.request_id, self._engine
        )

    def on_attempt_rejected(
        self, endpoint: str, facts: dialects.AnswerFacts
    ) -> None:
        """Retry or refuse after an engine rejected the request.

        :param endpoint: the engine
        :param facts: its response
        """
        self.context.log.write(
            "engine_rejected",
            request_id=self.admitted.request.request_id,
            engine=endpoint,
            status=facts.status,
            not_held=facts.not_held,
        )
        self._release_engine(not_held=facts.not_held or facts.status == 503)
        if facts.not_held:
            self._not_loaded_count += 1
            if self._not_loaded_count < MAX_NOT_LOADED:
                self._tried.remove(endpoint)
        if self.may_repeat(
            endpoint, repeat_decision.Setback.REJECTED, may_have_run=False
        ):
            self.begin()
        else:
            reason = "adapter_missing" if facts.not_held else "engine_full"
            self.refuse(refusals.NOT_RUN, reason)

    def _next_engine(self) -> str | None:
        may_fail_fast = len(self._queue_seconds) < MAX_FAIL_FAST_TRIES
        if not may_fail_fast or len(self._tried) >= MAX_TRIES:
            return None
        return next((engine.name for engine in self._untried_engines()), None)

    def _next_outside_engine(self) -> str | None:
        # Engines beyond the adapter's order need a further copy of it, so
        # they are asked only for a request that would be refused otherwise.
        if (
            self._refusal_reason != engine_schedule.QUEUE_TOO_LONG
            or self._outside_count >= MAX_OUTSIDE_TRIES
        ):
            return None
        chosen = engine_ranking.choose_outside(
            self._adapter,
            self._untried_engines(),
            request_id=self.admitted.request.request_id,
        )
        return None if chosen is None else chosen.name

    def _untried_engines(self) -> Iterator[engine_ranking.EngineView]:
        ranked = self._owner_client.rank(
            self.admitted.service.name, self._adapter, self._owner.statuses()
        )
        return (
            engine
            for engine in ranked
            if engine.name not in self._tried
            and not self._is_excluded(engine.name)
            and self.may_send_to(engine.name)
            and not self._is_resting(engine.name)
        )

    def _is_excluded(self, engine: str) -> bool:
        record = self.context.fleet.endpoint(engine)
        return record is not None and (
            record.data_centre in self._evacuated_data_centres
            or self._is_evacuated(record)
        )

    def _remove_evacuated(self) -> None:
        # Evacuated engines don't count as tries: others may have room.
        self._tried = list(
            itertools.filterfalse(self._is_excluded, self._tried)
        )
        for engine in list(filter(self._is_excluded, self._queue_seconds)):
            del self._queue_seconds[engine]

    def _is_resting(self, engine: str) -> bool:
        return self.context.choice.limits.is_resting(
            self.admitted.service.name,
            engine,
            now_seconds=self.context.timers.now_seconds(),
        )

    def _request_engine(self, engine: str, *, eager: bool) -> None:
        self._engine = engine
        self._tried.append(engine)
        self._owner_client.request(self, self._make_request(eager), engine)

    def _start_deadline_at_seconds(self) -> float:
        admitted = self.admitted
        return admitted.arrived_at_seconds + admitted.route.target_seconds

    def _can_be_on_time(self) -> bool:
        return (
            self.context.timers.now_seconds()
            < self._start_deadline_at_seconds()
        )

    def _make_request(self, eager: bool) -> engine_decisions.EngineRequest:
        admitted = self.admitted
        workspace = admitted.workspace
        priority = admitted.route.priority
        if workspace is not None and workspace.priority is not None:
            priority = workspace.priority
        return engine_decisions.EngineRequest(
            request_id=admitted.request.request_id,
            sender=self._self_id,
            adapter=self._adapter,
            prompt_tokens=admitted.request.prompt_tokens,
            output_tokens=admitted.request.output_tokens,
            priority=priority,
            start_deadline_at_seconds=self._start_deadline_at_seconds(),
            queue_deadline_at_seconds=self._queue_deadline_at_seconds(),
            end_deadline_at_seconds=self.deadline_at_seconds
            + END_MARGIN_SECONDS,
            eager=eager,
            event_gap_seconds=admitted.route.event_gap_seconds,
        )

    def _queue_deadline_at_seconds(self) -> float:
        # The caller has left by then: a later start is useless.
        admitted = self.admitted
        max_wait_seconds = self.context.dialect.first_event_seconds(
            admitted.route
        )
        first_event_at_seconds = (
            admitted.arrived_at_seconds
            + max_wait_seconds
            - answer_deadline.MARGIN_SECONDS
        )
        return min(self.deadline_at_seconds, first_event_at_seconds)

    def _may_retry(self) -> bool:
        now_seconds = self.context.timers.now_seconds()
        waited_seconds = now_seconds - self.admitted.arrived_at_seconds
        total_seconds = (
            self._queue_deadline_at_seconds()
            - self.admitted.arrived_at_seconds
        )
        return waited_seconds < MAX_RETRY_SHARE * total_seconds

    def _release_engine(self, *, not_held: bool = False) -> None:
        if not self._engine:
            return
        engine, self._engine = self._engine, ""
        self._owner_client.report_end(
            self.admitted.request.request_id, engine, not_held=not_held
        )

    def _withdraw(self) -> None:
        self._tried.remove(self._engine)
        self._release_engine()

    def _on_finished(self) -> None:
        self._release_engine()


__all__ = [
    "EngineForwarding",
]
