"""The slots of a stand-in endpoint, which may fall over when it is full."""

from __future__ import annotations

import collections
from collections.abc import Callable
from typing import NamedTuple

from boragefold.timing import timers as timing

REJECTIONS_SECONDS = 1.0


class SlotLimits(NamedTuple):
    """How much an endpoint bears.

    ``slots`` requests run at once and ``max_waiting`` wait. If it rejects
    more than ``brittle`` in a second, it is gone for ``fall_seconds``; 0
    stands for any number.
    """

    slots: int = 0
    max_waiting: int = 0
    brittle: int = 0
    fall_seconds: float = 0.0


class RunSlots:
    """Runs and queues requests within limits."""

    def __init__(self, *, timers: timing.TimerService) -> None:
        self._timers = timers
        self.limits = SlotLimits()
        self.falls = 0
        self.running = 0
        self._waiting: collections.deque[Callable[[], None]] = (
            collections.deque()
        )
        self._rejected: collections.deque[float] = collections.deque()
        self._fallen_until_seconds = 0.0

    @property
    def waiting(self) -> int:
        """Count the requests that wait for a slot.

        :return: a count
        """
        return len(self._waiting)

    @property
    def fallen(self) -> bool:
        """Tell whether the endpoint is gone.

        :return: whether it fell over a moment ago
        """
        return self._timers.now_seconds() < self._fallen_until_seconds

    def submit(self, run: Callable[[], None]) -> bool:
        """Run a request now or later, unless there is no room.

        :param run: begins the request; ``end`` has to be called at its end
        :return: whether there is room
        """
        limits = self.limits
        if not limits.slots or self.running < limits.slots:
            self.running += 1
            run()
        elif len(self._waiting) < limits.max_waiting:
            self._waiting.append(run)
        else:
            self._reject()
            return False
        return True

    def end(self) -> None:
        """Give the slot of a request that has ended to the next."""
        self.running = max(0, self.running - 1)
        if self._waiting and not self.fallen:
            self.running += 1
            self._waiting.popleft()()

    def _reject(self) -> None:
        now_seconds = self._timers.now_seconds()
        rejected = self._rejected
        rejected.append(now_seconds)
        while rejected[0] < now_seconds - REJECTIONS_SECONDS:
            rejected.popleft()
        if self.limits.brittle and len(rejected) > self.limits.brittle:
            self.falls += 1
            self.running = 0
            self._waiting.clear()
            rejected.clear()
            self._fallen_until_seconds = now_seconds + self.limits.fall_seconds


__all__ = [
    "RunSlots",
    "SlotLimits",
]
