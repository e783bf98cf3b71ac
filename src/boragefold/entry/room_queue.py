"""Requests that wait until an endpoint of their service has room."""

from __future__ import annotations

import abc
import collections

from boragefold.policy import return_times
from boragefold.telemetry import counters as telemetry
from boragefold.timing import timers as timing

# Room also comes without an end here: reports and rests grow old.
CHECK_SECONDS = 0.02
# Weight of a newer wait in the estimate of the next.
SMOOTHING = 0.2


class RoomWaiter(abc.ABC):
    """A request that waits for room."""

    @property
    @abc.abstractmethod
    def finished(self) -> bool:
        """Tell whether the request needs no more room.

        :return: whether it got its final answer, or its caller left
        """

    @property
    def rank(self) -> tuple[float, ...]:
        """Return the rank of the request.

        :return: lower for requests that are sent earlier; equal ones are sent
            in the order of their arrival
        """
        return ()

    @abc.abstractmethod
    def try_room(self) -> bool:
        """Send the request if there is room, or refuse it.

        :return: whether it doesn't wait any more
        """


class RoomQueue:
    """Sends waiting requests by rank, then in the order of arrival."""

    def __init__(
        self, *, timers: timing.TimerService, counters: telemetry.Counters
    ) -> None:
        """Begin without waiting requests.

        :param timers: the process clock
        :param counters: counts the requests that wait
        """
        self._timers = timers
        self._counters = counters
        self._waiting: dict[str, collections.deque[RoomWaiter]] = {}
        self._left_at_seconds: dict[str, float] = {}
        self._gap_seconds: dict[str, float] = {}
        self._next_check: timing.Subscription | None = None
        self.returns = return_times.ReturnTimes()

    def is_empty(self, service: str) -> bool:
        """Tell whether no request waits for a service.

        :param service: its name
        :return: whether a new request may go at once
        """
        return service not in self._waiting

    def estimate_seconds(self, service: str) -> float:
        """Estimate how long a new request would wait.

        :param service: name of its service
        :return: seconds, by the pace at which requests left the queue
        """
        waiting = self._waiting.get(service, ())
        return (1 + len(waiting)) * self._gap_seconds.get(service, 0.0)

    def pace_seconds(self, service: str) -> float:
        """Return the time between requests that leave a service's queue.

        :param service: its name
        :return: seconds from one to the next, 0 if none is known
        """
        gap_seconds = self._gap_seconds.get(service, 0.0)
        if service not in self._waiting:
            return gap_seconds
        now_seconds = self._timers.now_seconds()
        return max(gap_seconds, now_seconds - self._left_at_seconds[service])

    def turn_seconds(self, service: str, rank: tuple[float, ...]) -> float:
        """Estimate the time until a request is first in its queue.

        :param service: name of its service
        :param rank: of the request
        :return: seconds, 0 if it is first
        """
        waiting = self._waiting.get(service, ())
        ahead = sum(each.rank <= rank for each in waiting if not each.finished)
        return ahead * self.pace_seconds(service) if ahead else 0.0

    def is_first(self, service: str, rank: tuple[float, ...]) -> bool:
        """Return whether no waiting request goes before one.

        :param service: name of its service
        :param rank: of the request
        :return: whether it is its turn
        """
        return not any(
            each.rank <= rank
            for each in self._waiting.get(service, ())
            if not each.finished
        )

    def add(self, service: str, waiter: RoomWaiter) -> None:
        """Let a request wait.

        :param service: name of its service
        :param waiter: the request
        """
        self._counters.add("requests_waited_for_room", "")
        if service not in self._waiting:
            self._waiting[service] = collections.deque()
            self._left_at_seconds[service] = self._timers.now_seconds()
        self._waiting[service].append(waiter)
        if self._next_check is None:
            self._schedule()

    def _check(self) -> None:
        self._next_check = None
        for service in list(self._waiting):
            self._release(service)
        if self._waiting:
            self._schedule()

    def _release(self, service: str) -> None:
        waiting = collections.deque(
            sorted(self._waiting[service], key=lambda each: each.rank)
        )
        self._waiting[service] = waiting
        while waiting:
            if waiting[0].finished:
                waiting.popleft()
            elif waiting[0].try_room():
                waiting.popleft()
                self._record_left(service)
            else:
                return
        del self._waiting[service]

    def _record_left(self, service: str) -> None:
        now_seconds = self._timers.now_seconds()
        gap_seconds = now_seconds - self._left_at_seconds[service]
        self._left_at_seconds[service] = now_seconds
        before = self._gap_seconds.get(service, gap_seconds)
        self._gap_seconds[service] = before + SMOOTHING * (
            gap_seconds - before
        )

    def _schedule(self) -> None:
        self._next_check = self._timers.once(
            delay_seconds=CHECK_SECONDS, callback=self._check
        )


__all__ = [
    "RoomQueue",
    "RoomWaiter",
]
