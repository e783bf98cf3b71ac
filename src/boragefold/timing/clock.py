"""Clocks that measure durations."""

from __future__ import annotations

import abc
import time


class Clock(abc.ABC):
    """A clock that never goes back and has no relation to the calendar."""

    @abc.abstractmethod
    def now_seconds(self) -> float:
        """Read the clock.

        :return: seconds since an arbitrary start
        """


class BootClock(Clock):
    """The clock of a real process.

    A lease must not outlive a pause. CLOCK_MONOTONIC stands still while the
    machine is suspended, so a lease measured with it would still look valid
    afterwards; CLOCK_BOOTTIME goes on counting.
    """

    def now_seconds(self) -> float:
        """Read the clock.

        :return: seconds since the machine was booted, suspension included
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class VirtualClock(Clock):
    """A clock that moves only when it is told to, for tests and the bench."""

    def __init__(self, *, start_seconds: float = 0.0) -> None:
        self._now_seconds = start_seconds

    def now_seconds(self) -> float:
        """Read the clock.

        :return: seconds, as last set
        """
        return self._now_seconds

    def move_to(self, now_seconds: float) -> None:
        """Move the clock forward.

        :param now_seconds: the new reading; earlier ones are ignored
        """
        self._now_seconds = max(self._now_seconds, now_seconds)


__all__ = [
    "BootClock",
    "Clock",
    "VirtualClock",
]
