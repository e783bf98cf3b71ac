"""A model engine of the bench: one continuous batch and a few slots."""

from __future__ import annotations

import collections
from collections.abc import Callable
import heapq
import itertools
from typing import NamedTuple

from boragefold.bench import deployments
from boragefold.bench import traffic
from boragefold.timing import timers

PREFIXES_CACHED = 64


class Events(NamedTuple):
    """Whom an engine tells what happens to requests and loads."""

    first_token: Callable[[str, str], None]
    finished: Callable[[str, str], None]
    missing: Callable[[str, str], None]


class Engine:
    """Runs a batch whose requests share the engine's speed.

    ``_progress_seconds`` is the time a request would have needed alone; all
    requests of the batch advance on it together, so the next to finish is
    the head of a heap, whatever the speed did meanwhile.
    """

    def __init__(
        self,
        *,
        size: deployments.EngineSize,
        service: timers.TimerService,
        events: Events,
        loads_itself: Callable[[Engine, str], None] | None = None,
    ) -> None:
        self.size = size
        self._service = service
        self._events = events
        self.loads_itself = loads_itself
        self._order = itertools.count()
        self._progress_seconds = 0.0
        self._moved_at_seconds = 0.0
        self._speed = 1.0
        self._timer: timers.Subscription | None = None
        self.slowness = 1.0
        self.incarnation = 1
        self.busy_seconds = 0.0
        self.generated_tokens = 0
        self.evictions = 0
        self.evictions_in_use = 0
        self.wrong_adapter = 0
        self._clear()

    def _clear(self) -> None:
        self._due: list[tuple[float, int, str, bool]] = []
        self._serials: dict[str, int] = {}
        self.running: dict[str, traffic.Arrival] = {}
        self.waiting: dict[str, traffic.Arrival] = {}
        # Those of the waiting that lack nothing but room, in order.
        self._startable: dict[str, None] = {}
        # How many wait for an adapter, whether it is here or not.
        self.wanted: collections.Counter[str] = collections.Counter()
        self.in_use: collections.Counter[str] = collections.Counter()
        # Ordered by last use, for the baselines' eviction.
        self.ready: dict[str, None] = {}
        self.loading: set[str] = set()
        self._prefixes: dict[str, None] = {}

    def accept(self, arrival: traffic.Arrival) -> None:
        """Take a request into the engine's own queue.

        :param arrival: the request
        """
        work = arrival.work
        adapter = work.adapter_version.adapter
        if not self._has(adapter) and self.loads_itself is None:
            self._events.missing(work.request_id, self.size.name)
            return
        self.waiting[work.request_id] = arrival
        self.wanted[adapter] += 1
        if self._has(adapter):
            self._startable[work.request_id] = None
        elif self.loads_itself is not None:
            self.loads_itself(self, adapter)
        self._fill()

    def cancel(self, request_id: str) -> None:
        """Drop a request, running or not.

        :param request_id: which one
        """
        if request_id in self.waiting:
            self._stop_waiting(request_id)
            return
        if request_id in self.running:
            self._move()
            self._release(request_id)
            self._fill()

    def begin_load(self, adapter: str) -> bool:
        """Set a slot aside for an adapter that is on its way.

        :param adapter: which one
        :return: whether a slot was free
        """
        if adapter in self.loading or adapter in self.ready:
            return False
        if self.free_slots() <= 0:
            return False
        self.loading.add(adapter)
        return True

    def end_load(self, adapter: str, succeeded: bool) -> None:
        """Make an adapter ready, or free its slot again.

        :param adapter: which one
        :param succeeded: whether the store gave it
        """
        self.loading.discard(adapter)
        if succeeded:
            self.ready[adapter] = None
            self._startable.update(
                (request_id, None)
                for request_id, arrival in self.waiting.items()
                if arrival.work.adapter_version.adapter == adapter
            )
            self._fill()

    def evict(self, adapter: str) -> bool:
        """Free the slot of an adapter that no request uses.

        :param adapter: which one
        :return: whether it was evicted
        """
        if adapter not in self.ready:
            return False
        if self.in_use[adapter] or self.wanted[adapter]:
            self.evictions_in_use += 1
            return False
        del self.ready[adapter]
        self.evictions += 1
        return True

    def free_slots(self) -> int:
        """Count the slots that hold nothing.

        :return: a count
        """
        return self.size.slots - len(self.ready) - len(self.loading)

    def restart(self) -> list[str]:
        """Come back empty.

        :return: the requests that were lost
        """
        self._move()
        lost = [*self.running, *self.waiting]
        self._clear()
        self.incarnation += 1
        self._reschedule()
        return lost

    def set_slowness(self, slowness: float) -> None:
        """Slow the engine down, or let it go back to its speed.

        :param slowness: 1 is full speed, 4 a quarter
        """
        self._move()
        self.slowness = slowness
        self._reschedule()

    def _has(self, adapter: str) -> bool:
        return not adapter or adapter in self.ready

    def _fill(self) -> None:
        self._move()
        while self._startable and len(self.running) < self.size.batch_size:
            self._start(self._stop_waiting(next(iter(self._startable))))
        self._reschedule()

    def _stop_waiting(self, request_id: str) -> traffic.Arrival:
        arrival = self.waiting.pop(request_id)
        self._startable.pop(request_id, None)
        self.wanted[arrival.work.adapter_version.adapter] -= 1
        return arrival

    def _start(self, arrival: traffic.Arrival) -> None:
        work = arrival.work
        adapter = work.adapter_version.adapter
        self.running[work.request_id] = arrival
        self.in_use[adapter] += 1
        if adapter:
            self.ready[adapter] = self.ready.pop(adapter)
        first = self._progress_seconds + self._prefill_seconds(arrival)
        last = first + (
            arrival.answer_tokens / deployments.SINGLE_TOKENS_PER_SECOND
        )
        serial = next(self._order)
        self._serials[work.request_id] = serial
        heapq.heappush(self._due, (first, serial, work.request_id, False))
        heapq.heappush(self._due, (last, serial, work.request_id, True))

    def _prefill_seconds(self, arrival: traffic.Arrival) -> float:
        work = arrival.work
        seconds = work.prompt_tokens / deployments.PREFILL_TOKENS_PER_SECOND
        if not work.prefix:
            return seconds
        cached = work.prefix in self._prefixes
        self._prefixes.pop(work.prefix, None)
        self._prefixes[work.prefix] = None
        if len(self._prefixes) > PREFIXES_CACHED:
            del self._prefixes[next(iter(self._prefixes))]
        return seconds * (1 - deployments.PREFIX_SAVING * cached)

    def _release(self, request_id: str) -> None:
        adapter = self.running.pop(request_id).work.adapter_version.adapter
        del self._serials[request_id]
        self.in_use[adapter] -= 1
        if not self.in_use[adapter]:
            del self.in_use[adapter]

    def _move(self) -> None:
        now = self._service.now_seconds()
        elapsed = now - self._moved_at_seconds
        self._moved_at_seconds = now
        if self.running:
            self.busy_seconds += elapsed
            self._progress_seconds += elapsed * self._speed

    def _reschedule(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        while self._due and self._is_stale(self._due[0]):
            heapq.heappop(self._due)
        self._speed = (
            deployments.batch_speed(len(self.running), len(self.in_use))
            / self.slowness
        )
        if self._due:
            ahead = max(0.0, self._due[0][0] - self._progress_seconds)
            self._timer = self._service.once(
                delay_seconds=ahead / self._speed, callback=self._reach
            )

    def _reach(self) -> None:
        self._move()
        _, _, request_id, is_last = heapq.heappop(self._due)
        if is_last:
            arrival = self.running[request_id]
            self.generated_tokens += arrival.answer_tokens
            self.wrong_adapter += not self._has(
                arrival.work.adapter_version.adapter
            )
            self._release(request_id)
            self._events.finished(request_id, self.size.name)
        else:
            self._events.first_token(request_id, self.size.name)
        self._fill()

    def _is_stale(self, entry: tuple[float, int, str, bool]) -> bool:
        _, serial, request_id, _ = entry
        return self._serials.get(request_id) != serial


__all__ = [
    "Engine",
    "Events",
]
