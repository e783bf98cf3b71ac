"""Decides what one engine runs next, and which adapters it loads for that.

Load pattern: thousands of adapters for a handful of adapter slots, and
requests for all of them at every instance. If each instance decided alone, two
of them would evict each other's adapters, rare adapters with long requests
would shut out the popular ones, and the engine's own queue, which is first in
first out, would fill up. Therefore one instance schedules an engine: a request
is queued until its adapter is loaded and the engine has few prompts left to
prefill, so that urgent requests can still overtake and a slow engine can be
avoided. This module reads no clock and no socket.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import itertools

from boragefold.policy import cold_limit
from boragefold.policy import engine_decisions
from boragefold.policy import engine_queue
from boragefold.policy import engine_refusals
from boragefold.policy import engine_slots
from boragefold.policy import engine_speed
from boragefold.policy import engine_waits
from boragefold.policy import request_states
from boragefold.policy import running_requests
from boragefold.state import deployment

AdapterKey = deployment.AdapterKey
EngineRequest = engine_decisions.EngineRequest
Action = engine_decisions.Action
QueuedRequest = request_states.QueuedRequest

QUEUE_TOO_LONG = engine_refusals.QUEUE_TOO_LONG
WOULD_BE_LATE = engine_refusals.WOULD_BE_LATE


class EngineSchedule:
    """The queue, the running requests and the adapters of one engine."""

    def __init__(
        self,
        *,
        engine: deployment.Engine,
        slots: engine_slots.EngineSlots,
    ) -> None:
        self.engine = engine
        self.slots = slots
        self.cold = cold_limit.ColdLimit()
        # How long a request is queued before a load is ordered for it.
        self.order_delay_seconds = 0.0
        self._queue = engine_queue.EngineQueue()
        self._speed = engine_speed.EngineSpeed()
        self._runs = running_requests.RunningRequests(
            engine=engine, speed=self._speed
        )
        self._waits = engine_waits.EngineWaits(
            slots=slots,
            cold=self.cold,
            queue=self._queue,
            speed=self._speed,
            runs=self._runs,
        )

    @property
    def running(self) -> int:
        """Count the requests that were granted and have not ended.

        :return: a count
        """
        return len(self._runs)

    @property
    def queued(self) -> int:
        """Count the queued requests.

        :return: a count
        """
        return len(self._queue)

    def summary(self) -> dict[str, object]:
        """Collect the figures behind the decisions, for the log.

        :return: counts, tokens and seconds, by name
        """
        return {
            "queued": len(self._queue),
            "running": len(self._runs),
            "limit": self._runs.limit.describe(),
            "unstarted_tokens": self._runs.pending_prompts().tokens,
            "fixed_seconds": round(self._speed.fixed_seconds, 3),
            "tokens_per_second": round(self._speed.tokens_per_second),
            "backlog_seconds": round(self._waits.backlog_seconds(), 3),
            "place_wait_seconds": round(self._waits.slot_wait_seconds(), 3),
            "orders_in_seconds": round(self.slots.orders_in_seconds, 3),
            "places": self.slots.summary(),
        }

    def backlog_seconds(self) -> float:
        """Estimate how long the prefill of the prompts ahead takes.

        :return: seconds; without the load of an adapter
        """
        return self._waits.backlog_seconds()

    def slot_wait_seconds(self) -> float:
        """Estimate how long an adapter that isn't loaded waits for a slot.

        :return: seconds; 0 if a slot is empty or its adapter idle
        """
        return self._waits.slot_wait_seconds()

    def cold_wait_seconds(self, *, now_seconds: float) -> float:
        """Estimate how long a cold engine's rate delays one more request.

        :param now_seconds: reading of the process clock
        :return: seconds; 0 if the engine is warm or has no such rate
        """
        return self.cold.wait_seconds(self.queued, now_seconds=now_seconds)

    def submit(
        self, request: EngineRequest, *, now_seconds: float
    ) -> engine_decisions.Refusal | None:
        """Queue a request unless it would start too late.

        :param request: the request
        :param now_seconds: reading of the process clock
        :return: the refusal; None if the request is queued
        """
        if request.request_id in self._queue:
            # Senders retry in case a message was lost; the request keeps its
            # position in the queue.
            return None
        waiting = self._queue.prepare(request, now_seconds=now_seconds)
        wait_seconds = self._waits.wait_seconds(waiting, now_seconds)
        if request.eager and self._waits.would_be_late(
            request, wait_seconds, now_seconds
        ):
            return engine_refusals.would_be_late(request, wait_seconds)
        excess_seconds = self._waits.excess_seconds(
            request, wait_seconds, now_seconds
        )
        if excess_seconds > 0:
            return engine_refusals.starts_too_late(
                request, excess_seconds, self.slots
            )
        self._queue.add(waiting)
        return None

    def find_grant(self, request_id: str) -> engine_decisions.Grant | None:
        """Look up the grant of a running request, to send it again.

        :param request_id: id of the request
        :return: the grant; None if the request is queued or unknown
        """
        request = self._runs.find(request_id)
        if request is None:
            return None
        version = self.slots.version(request.adapter)
        return engine_decisions.Grant(request=request, version=version)

    def remove(self, request_id: str, *, now_seconds: float) -> None:
        """Remove a request that has ended or was cancelled.

        :param request_id: id of the request
        :param now_seconds: reading of the process clock
        """
        self._queue.pop(request_id)
        request = self._runs.end(request_id, now_seconds=now_seconds)
        if request is not None:
            self.slots.record_end(request.adapter, now_seconds=now_seconds)

    def remove_where(
        self, matches: Callable[[EngineRequest], bool], *, now_seconds: float
    ) -> int:
        """Remove the requests of an instance that has stopped.

        :param matches: tells whether a request came from it
        :param now_seconds: reading of the process clock
        :return: how many were removed
        """
        requests = [*self._queue.requests(), *self._runs.requests()]
        lost = list(filter(matches, requests))
        for request in lost:
            self.remove(request.request_id, now_seconds=now_seconds)
        return len(lost)

    def restart_limit(self) -> None:
        """Limit the requests in flight: the engine has just come back."""
        self._runs.restart_limit()

    def refuse_queued(
        self,
        matches: Callable[[AdapterKey], bool],
        *,
        reason: str,
        now_seconds: float,
    ) -> list[engine_decisions.Refusal]:
        """Refuse the queued requests of some adapters; running ones go on.

        :param matches: tells whether requests of an adapter are refused
        :param reason: of the refusals
        :param now_seconds: reading of the process clock
        :return: the refusals
        """
        queued = self._queue.requests()
        refused = [each for each in queued if matches(each.adapter)]
        for request in refused:
            self.remove(request.request_id, now_seconds=now_seconds)
        return [
            engine_decisions.Refusal(request, reason, 0.0)
            for request in refused
        ]

    def record_start(self, request_id: str, *, now_seconds: float) -> None:
        """Record the first event of a response.

        :param request_id: id of the request
        :param now_seconds: reading of the process clock
        """
        request = self._runs.record_start(request_id, now_seconds=now_seconds)
        if request is not None:
            self.slots.confirm_loaded(request.adapter)

    def advance(self, *, now_seconds: float) -> list[Action]:
        """Make the decisions that are due; call it after each event as well.

        :param now_seconds: reading of the process clock
        :return: grants, refusals and at most one order
        """
        self._expire_unreported(now_seconds)
        actions: list[Action] = [*self._expire(now_seconds)]
        by_urgency = self._by_urgency(now_seconds)
        actions.extend(self._shed(by_urgency, now_seconds))
        self._queue.record_progress(now_seconds=now_seconds)
        for request in self._ready_requests(by_urgency):
            # Requests behind one that doesn't fit wait too: if shorter ones
            # could pass it, a long prompt would starve.
            if not self._runs.has_room(request) or not self.cold.may_send(
                request.request_id, now_seconds=now_seconds
            ):
                break
            actions.append(self._grant(request, now_seconds))
        order = self._next_order(by_urgency, now_seconds)
        return actions if order is None else [*actions, order]

    def needs_order(self) -> bool:
        """Check whether the engine lacks an adapter, whoever may order it.

        :return: whether a queued request needs an adapter that isn't loaded,
            or a newer version of a loaded one was published
        """
        lacking = self._waits.adapters_without_slot() > 0
        return lacking or self.slots.outdated() is not None

    def next_due_seconds(self, *, now_seconds: float) -> float | None:
        """Compute when :meth:`advance` has to be called at the latest.

        :param now_seconds: reading of the process clock
        :return: reading of the process clock, or None
        """
        expires_at_seconds = self._queue.first_deadline_at_seconds()
        if expires_at_seconds is None:
            return None
        dues = self.slots.due_times(now_seconds=now_seconds)
        cold_dues = self.cold.due_times(now_seconds=now_seconds)
        return min(itertools.chain((expires_at_seconds,), dues, cold_dues))

    def _next_order(
        self, by_urgency: Sequence[QueuedRequest], now_seconds: float
    ) -> engine_decisions.Order | None:
        if not self.slots.can_order(now_seconds=now_seconds):
            return None
        latest_seconds = now_seconds - self.order_delay_seconds
        # One request of each adapter, the most urgent one.
        awaiting_slot: dict[AdapterKey, EngineRequest] = {}
        for waiting in by_urgency:
            adapter = waiting.adapter
            if (
                not adapter.held
                and adapter.key not in awaiting_slot
                and waiting.queued_at_seconds <= latest_seconds
                and waiting.request.request_id in self._queue
            ):
                awaiting_slot[adapter.key] = waiting.request
        return self.slots.next_order(
            awaiting_slot.values(),
            self._queue.counts,
            now_seconds=now_seconds,
            update_loaded=not self.order_delay_seconds,
        )

    def _by_urgency(self, now_seconds: float) -> list[QueuedRequest]:
        if not self._queue:
            return []
        forecast = self.slots.forecast(now_seconds=now_seconds)
        self._queue.apply_forecast(forecast, now_seconds=now_seconds)
        return self._queue.by_urgency(self._speed)

    def _ready_requests(
        self, by_urgency: Iterable[QueuedRequest]
    ) -> Iterator[EngineRequest]:
        return (
            waiting.request
            for waiting in by_urgency
            if waiting.adapter.ready
            and waiting.request.request_id in self._queue
        )

    def _shed(
        self, by_urgency: Iterable[QueuedRequest], now_seconds: float
    ) -> Iterator[engine_decisions.Refusal]:
        # More urgent requests may have come since. A request that can't start
        # any more before it gives up is refused now, while its caller has time
        # to try another engine.
        reading_seconds = self._waits.prefill_seconds(
            self._runs.pending_prompts()
        )
        slot_wait = self._waits.slot_wait()
        slot_wait_seconds = slot_wait.seconds(0)
        awaiting_slot: set[AdapterKey] = set()
        kept = 0
        is_cold = self.cold.is_cold(now_seconds=now_seconds)
        for waiting in by_urgency:
            request = waiting.request
            remaining_seconds = request.queue_deadline_at_seconds - now_seconds
            cold_seconds = (
                self.cold.wait_seconds(kept, now_seconds=now_seconds)
                if is_cold
                else 0.0
            )
            if waiting.adapter.held:
                wait_seconds = reading_seconds
                reading_seconds += self._speed.prefill_seconds(
                    request.prompt_tokens
                )
            else:
                wait_seconds = slot_wait_seconds
                if waiting.adapter.key not in awaiting_slot:
                    awaiting_slot.add(waiting.adapter.key)
                    slot_wait_seconds = slot_wait.seconds(len(awaiting_slot))
                if waiting.late:
                    remaining_seconds *= engine_waits.MAX_LATE_WAIT_SHARE
            if cold_seconds and self._waits.is_late(
                request, now_seconds + cold_seconds
            ):
                # An engine that isn't cold may still serve it on time.
                remaining_seconds *= engine_waits.MAX_LATE_WAIT_SHARE
            wait_seconds = max(wait_seconds, cold_seconds)
            if wait_seconds > remaining_seconds:
                self.remove(request.request_id, now_seconds=now_seconds)
                slot_wait = self._waits.slot_wait()
                slot_wait_seconds = slot_wait.seconds(len(awaiting_slot))
                yield engine_refusals.queue_too_long(
                    request, wait_seconds - remaining_seconds
                )
            else:
                kept += 1

    def _grant(
        self, request: EngineRequest, now_seconds: float
    ) -> engine_decisions.Grant:
        waiting = self._queue.pop(request.request_id)
        queue_times = (
            engine_decisions.QueueTimes()
            if waiting is None
            else waiting.queue_times(now_seconds)
        )
        self._runs.add(request, now_seconds=now_seconds)
        self.cold.record(now_seconds=now_seconds)
        self.slots.record_start(request.adapter, now_seconds=now_seconds)
        version = self.slots.version(request.adapter)
        return engine_decisions.Grant(
            request=request, version=version, queue_times=queue_times
        )

    def _expire(
        self, now_seconds: float
    ) -> Iterator[engine_decisions.Refusal]:
        for request in self._queue.expired(now_seconds=now_seconds):
            self.remove(request.request_id, now_seconds=now_seconds)
            yield engine_refusals.waited_too_long(request)

    def _expire_unreported(self, now_seconds: float) -> None:
        # The report of a start or an end may be lost with its message or its
        # sender. Such a request must not occupy the engine for ever.
        self._runs.assume_started(now_seconds=now_seconds)
        for request_id in self._runs.overdue(now_seconds=now_seconds):
            self.remove(request_id, now_seconds=now_seconds)


__all__ = [
    "EngineSchedule",
    "QUEUE_TOO_LONG",
    "WOULD_BE_LATE",
]
