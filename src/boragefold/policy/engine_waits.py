"""Estimates of how long requests wait at one engine.

Load pattern: more requests than an engine can start on time. A request that
would wait in vain has to be refused while its caller can still try another
engine; one that is refused though it would have started on time is lost as
well. This module reads no clock and no socket.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
from typing import NamedTuple

from boragefold.policy import cold_limit
from boragefold.policy import engine_decisions
from boragefold.policy import engine_queue
from boragefold.policy import engine_slots
from boragefold.policy import engine_speed
from boragefold.policy import request_states
from boragefold.policy import running_requests

EngineRequest = engine_decisions.EngineRequest
PromptTotals = request_states.PromptTotals
QueuedRequest = request_states.QueuedRequest
AdapterQueue = request_states.AdapterQueue

# Part of the time until a request gives up that it may spend in the queue; the
# rest is for the response.
MAX_WAIT_SHARE = 0.8
# Requests that will start late run when none can start on time any more. They
# may wait behind a backlog of this part of the time until they give up: such a
# backlog remains after a burst and is worked off after it. Behind a longer one
# they would wait in vain, since the overload lasts.
MAX_LATE_WAIT_SHARE = 0.3


class SlotWait(NamedTuple):
    """Estimates how long adapters wait for a slot of one engine."""

    available: int
    mean_run_seconds: float
    capacity: int

    def seconds(self, ahead: int) -> float:
        """Estimate the wait of one adapter.

        :param ahead: how many adapters wait for a slot before it
        :return: seconds until a slot is free
        """
        behind = 1 + ahead - self.available
        if behind <= 0:
            return 0.0
        return self.mean_run_seconds * behind / self.capacity


class EngineWaits:
    """The waits at one engine, from its queue, its runs and its slots."""

    def __init__(
        self,
        *,
        slots: engine_slots.EngineSlots,
        cold: cold_limit.ColdLimit,
        queue: engine_queue.EngineQueue,
        speed: engine_speed.EngineSpeed,
        runs: running_requests.RunningRequests,
    ) -> None:
        """Estimate nothing yet.

        :param slots: the engine's adapters
        :param cold: its rate while it is cold
        :param queue: the queued requests
        :param speed: how fast it reads prompts
        :param runs: the running requests
        """
        self._slots = slots
        self._cold = cold
        self._queue = queue
        self._speed = speed
        self._runs = runs

    def backlog_seconds(self) -> float:
        """Estimate how long the prefill of the prompts ahead takes.

        :return: seconds; without the load of an adapter
        """
        # Without the requests that wait for an adapter slot, which are
        # prefilled when they have one: counted here, they would send requests
        # of loaded adapters to other engines, where each takes a further slot.
        soon = self._adapters_with_slots()
        return self.prefill_seconds(
            self._runs.pending_prompts(),
            *(adapter.totals() for adapter in soon),
        )

    def slot_wait_seconds(self) -> float:
        """Estimate how long an adapter that isn't loaded waits for a slot.

        :return: seconds; 0 if a slot is empty or its adapter idle
        """
        return self.slot_wait().seconds(self.adapters_without_slot())

    def slot_wait(self) -> SlotWait:
        """Return the estimate of how long adapters wait for a slot.

        :return: the estimate as of now
        """
        return SlotWait(
            available=self._slots.available(self._queue.counts),
            mean_run_seconds=self._speed.mean_run_seconds,
            capacity=max(1, self._slots.capacity),
        )

    def wait_seconds(
        self, waiting: QueuedRequest, now_seconds: float
    ) -> float:
        """Estimate how long a request would be queued.

        :param waiting: the request, as it would be queued
        :param now_seconds: reading of the process clock
        :return: seconds
        """
        soon = self._adapters_with_slots()
        if not any(adapter is waiting.adapter for adapter in soon):
            soon.append(waiting.adapter)
        prompts_ahead = tuple(self._prompts_ahead(waiting, soon, now_seconds))
        wait_seconds = max(
            self.prefill_seconds(self._runs.pending_prompts(), *prompts_ahead),
            self._cold.wait_seconds(
                sum(prompts.number for prompts in prompts_ahead),
                now_seconds=now_seconds,
            ),
        )
        adapter = waiting.request.adapter
        slot_seconds = self._slots.until_ready_seconds(
            adapter, now_seconds=now_seconds
        )
        if not self._slots.holds(adapter):
            slot_seconds += self.slot_wait_seconds()
        # The engine prefills other prompts while it loads the adapter.
        return max(wait_seconds, slot_seconds)

    def is_late(self, request: EngineRequest, now_seconds: float) -> bool:
        """Tell whether a request can't start on time any more.

        :param request: the request
        :param now_seconds: reading of the process clock
        :return: whether it is late, the load of its adapter included: if it
            got the next slot, one that could start on time would miss it
        """
        starts_at_seconds = (
            now_seconds
            + self._slots.until_ready_seconds(
                request.adapter, now_seconds=now_seconds
            )
            + self._speed.prefill_seconds(request.prompt_tokens)
        )
        return starts_at_seconds > request.start_deadline_at_seconds

    def excess_seconds(
        self, request: EngineRequest, wait_seconds: float, now_seconds: float
    ) -> float:
        """Compute by how much the wait of a request is too long.

        :param request: the request
        :param wait_seconds: its estimated wait
        :param now_seconds: reading of the process clock
        :return: seconds; above 0 if it has to be refused
        """
        remaining_seconds = request.queue_deadline_at_seconds - now_seconds
        excess_seconds = wait_seconds - MAX_WAIT_SHARE * remaining_seconds
        reading_seconds = self._speed.prefill_seconds(request.prompt_tokens)
        starts_at_seconds = now_seconds + wait_seconds + reading_seconds
        if starts_at_seconds <= request.start_deadline_at_seconds:
            return excess_seconds
        backlog_seconds = self.backlog_seconds()
        if not self._slots.holds(request.adapter):
            backlog_seconds = max(backlog_seconds, self.slot_wait_seconds())
        late_seconds = (
            backlog_seconds - MAX_LATE_WAIT_SHARE * remaining_seconds
        )
        return max(excess_seconds, late_seconds)

    def would_be_late(
        self, request: EngineRequest, wait_seconds: float, now_seconds: float
    ) -> bool:
        """Tell whether an eager request would start too late.

        :param request: the request
        :param wait_seconds: its estimated wait
        :param now_seconds: reading of the process clock
        :return: whether another engine has to be tried
        """
        if not self._runs.limit.allows(len(self._queue)):
            return True
        # Other instances know the state of this engine as of half a second
        # ago; since then, the idle slot may be taken or a queue have formed.
        held = self._slots.holds(request.adapter)
        if not held and not self._slots.can_load_one_more(
            self.adapters_without_slot(),
            self._queue.counts,
            now_seconds=now_seconds,
        ):
            return True
        reading_seconds = self._speed.prefill_seconds(request.prompt_tokens)
        starts_at_seconds = now_seconds + wait_seconds + reading_seconds
        return starts_at_seconds > request.start_deadline_at_seconds

    def adapters_without_slot(self) -> int:
        """Count the adapters that queued requests need and that have no slot.

        :return: a count
        """
        return self._queue.count_without(self._slots.held_keys())

    def prefill_seconds(self, *parts: PromptTotals) -> float:
        """Estimate how long the prefill of prompts takes.

        :param parts: their totals
        :return: seconds
        """
        return self._speed.prefill_seconds(
            sum(part.tokens for part in parts),
            prompts=sum(part.number for part in parts),
        )

    def _prompts_ahead(
        self,
        waiting: QueuedRequest,
        adapters: Iterable[AdapterQueue],
        now_seconds: float,
    ) -> Iterator[PromptTotals]:
        # Of the requests that are more urgent than this one.
        late = self.is_late(waiting.request, now_seconds)
        for adapter in adapters:
            ready_at_seconds = now_seconds + self._slots.until_ready_seconds(
                adapter.key, now_seconds=now_seconds
            )
            yield adapter.totals_ahead(
                waiting.rank, late, ready_at_seconds, self._speed
            )

    def _adapters_with_slots(self) -> list[AdapterQueue]:
        # The adapters that have a slot, and those that get an idle one now.
        held = self._slots.held_keys()
        available = self._slots.available(self._queue.counts)
        return [
            *self._queue.adapters_of(held),
            *self._queue.first_adapters_without(held, available),
        ]


__all__ = [
    "EngineWaits",
    "MAX_LATE_WAIT_SHARE",
    "MAX_WAIT_SHARE",
    "SlotWait",
]
