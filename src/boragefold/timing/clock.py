"""Clocks that measure durations."""

from __future__ import annotations

import abc
import time


class Clock(abc.ABC):
    """A monotonic clock that is unrelated to wall-clock time."""

    @abc.abstractmethod
    def now_seconds(self) -> float:
        """Read the clock.

        :return: seconds since an arbitrary start
        """


class BootClock(Clock):
    """The clock of a real process.

    A lease must not outlive a suspension. CLOCK_MONOTONIC stops while the
    machine is suspended, so a lease measured with it would still look valid
    afterwards; CLOCK_BOOTTIME goes on counting.
    """

    def now_seconds(self) -> float:
        """Read the clock.

        :return: seconds since the machine was booted, including suspension
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class VirtualClock(Clock):
    """A clock that is set explicitly, for tests and the benchmark."""

    def __init__(self, *, start_seconds: float = 0.0) -> None:
        self._now_seconds = start_seconds

    def now_seconds(self) -> float:
        """Read the clock.

        :return: seconds, as last set
        """
        return self._now_seconds

    def move_to(self, now_seconds: float) -> None:
        """Advance the clock.

        :param now_seconds: the new reading; an earlier one is ignored
        """
        self._now_seconds = max(self._now_seconds, now_seconds)


__all__ = [
    "BootClock",
    "Clock",
    "VirtualClock",
]
