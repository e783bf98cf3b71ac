"""The requests that wait at one engine, with sums for each adapter.

Load pattern: queues of a thousand requests for hundreds of adapters. If each
decision counted and sorted the whole queue, the cost of a burst would grow
with the square of its length.
"""

from __future__ import annotations

import bisect
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import heapq
import itertools

from boragefold.policy import engine_decisions
from boragefold.policy import engine_speed
from boragefold.policy import removable_heap
from boragefold.policy import request_states
from boragefold.policy import slot_forecast
from boragefold.state import deployment

AdapterKey = deployment.AdapterKey
AdapterQueue = request_states.AdapterQueue
QueuedRequest = request_states.QueuedRequest
Rank = request_states.Rank


class EngineQueue:
    """Queued requests in the order of their rank, and by adapter."""

    def __init__(self) -> None:
        self._arrivals = itertools.count()
        self._by_id: dict[str, QueuedRequest] = {}
        self._ranked: list[QueuedRequest] = []
        self._adapters: dict[AdapterKey, AdapterQueue] = {}
        self._counts: dict[AdapterKey, int] = {}
        self._deadlines: removable_heap.RemovableHeap[str] = (
            removable_heap.RemovableHeap()
        )

    def __len__(self) -> int:
        return len(self._by_id)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._by_id

    @property
    def counts(self) -> Mapping[AdapterKey, int]:
        """Count the requests by adapter.

        :return: the counts, kept up to date
        """
        return self._counts

    def requests(self) -> Iterator[engine_decisions.EngineRequest]:
        """List the requests.

        :return: the requests in the order of their arrival
        """
        return (waiting.request for waiting in self._by_id.values())

    def prepare(
        self, request: engine_decisions.EngineRequest, *, now_seconds: float
    ) -> QueuedRequest:
        """Give a request its position without adding it.

        :param request: the request; its id isn't in the queue
        :param now_seconds: reading of the process clock
        :return: the request, to pass to :meth:`add` before another one
        """
        key = request.adapter
        adapter = self._adapters.get(key) or AdapterQueue(key=key)
        return QueuedRequest(
            request=request,
            rank=Rank(
                request.priority,
                request.start_deadline_at_seconds,
                next(self._arrivals),
            ),
            queued_at_seconds=now_seconds,
            adapter=adapter,
        )

    def add(self, waiting: QueuedRequest) -> None:
        """Add a request.

        :param waiting: the request
        """
        request = waiting.request
        adapter = waiting.adapter
        self._adapters[adapter.key] = adapter
        adapter.add(waiting)
        self._counts[adapter.key] = len(adapter.waiting)
        self._by_id[request.request_id] = waiting
        bisect.insort(self._ranked, waiting, key=_rank)
        self._deadlines.push(
            request.request_id, request.queue_deadline_at_seconds
        )

    def pop(self, request_id: str) -> QueuedRequest | None:
        """Remove a request.

        :param request_id: id of the request
        :return: the request; None if it isn't queued
        """
        waiting = self._by_id.pop(request_id, None)
        if waiting is None:
            return None
        self._deadlines.remove(request_id)
        del self._ranked[
            bisect.bisect_left(self._ranked, waiting.rank, key=_rank)
        ]
        adapter = waiting.adapter
        adapter.remove(waiting)
        if adapter.waiting:
            self._counts[adapter.key] = len(adapter.waiting)
        else:
            del self._adapters[adapter.key], self._counts[adapter.key]
        return waiting

    def first_deadline_at_seconds(self) -> float | None:
        """Return when the first request has waited too long.

        :return: reading of the process clock; None if no request is queued
        """
        first = self._deadlines.first()
        return None if first is None else first[0]

    def expired(
        self, *, now_seconds: float
    ) -> list[engine_decisions.EngineRequest]:
        """List the requests that have waited too long.

        :param now_seconds: reading of the process clock
        :return: the requests in the order of their arrival
        """
        first_seconds = self.first_deadline_at_seconds()
        if first_seconds is None or first_seconds > now_seconds:
            return []
        return [
            request
            for request in self.requests()
            if request.queue_deadline_at_seconds <= now_seconds
        ]

    def adapters_of(
        self, keys: Iterable[AdapterKey]
    ) -> Iterator[AdapterQueue]:
        """List the queues of some adapters.

        :param keys: the adapters, each once
        :return: the queue of each that is waited for
        """
        return (self._adapters[key] for key in keys if key in self._adapters)

    def first_adapters_without(
        self, held: frozenset[AdapterKey], limit: int
    ) -> list[AdapterQueue]:
        """Find the adapters without a slot that are waited for longest.

        :param held: the adapters that have a slot
        :param limit: how many at most
        :return: their queues
        """
        if limit <= 0:
            return []
        return heapq.nsmallest(
            limit,
            (
                adapter
                for key, adapter in self._adapters.items()
                if key not in held
            ),
            key=AdapterQueue.first_arrival_number,
        )

    def count_without(self, held: frozenset[AdapterKey]) -> int:
        """Count the adapters that are waited for and have no slot.

        :param held: the adapters that have a slot
        :return: a count
        """
        return len(self._adapters) - sum(key in self._adapters for key in held)

    def apply_forecast(
        self, forecast: slot_forecast.SlotForecast, *, now_seconds: float
    ) -> None:
        """Record for each adapter when it is expected to be loaded.

        :param forecast: of the engine's slots
        :param now_seconds: reading of the process clock
        """
        later_seconds = now_seconds + forecast.otherwise_seconds
        for adapter in self._adapters.values():
            adapter.held = adapter.ready = False
            adapter.ready_at_seconds = later_seconds
        for key, until_ready_seconds in forecast.until_ready_seconds.items():
            adapter_queue = self._adapters.get(key)
            if adapter_queue is not None:
                adapter_queue.held = key in forecast.held
                adapter_queue.ready = key in forecast.ready
                adapter_queue.ready_at_seconds = (
                    now_seconds + until_ready_seconds
                )

    def record_progress(self, *, now_seconds: float) -> None:
        """Record which requests have their adapter ordered or loaded now.

        :param now_seconds: reading of the process clock
        """
        for adapter in self._adapters.values():
            if adapter.held and adapter.unrecorded:
                adapter.record_progress(now_seconds=now_seconds)

    def by_urgency(
        self, speed: engine_speed.EngineSpeed
    ) -> list[QueuedRequest]:
        """Order the requests: those that can start on time, then the others.

        :param speed: of the engine's prefill
        :return: all requests, with :attr:`QueuedRequest.late` set by the last
            forecast
        """
        on_time: list[QueuedRequest] = []
        late: list[QueuedRequest] = []
        fixed_seconds = speed.prefill_seconds(0)
        tokens_per_second = speed.tokens_per_second
        for waiting in self._ranked:
            request = waiting.request
            starts_at_seconds = waiting.adapter.ready_at_seconds + (
                fixed_seconds + request.prompt_tokens / tokens_per_second
            )
            waiting.late = (
                starts_at_seconds > request.start_deadline_at_seconds
            )
            (late if waiting.late else on_time).append(waiting)
        return on_time + late


def _rank(waiting: QueuedRequest) -> Rank:
    return waiting.rank


__all__ = [
    "EngineQueue",
]
