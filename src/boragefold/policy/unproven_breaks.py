"""Breaks of connections that this instance can't tell from a crash.

An instance that can't find out why the connections to an endpoint broke
learns from the others that the endpoint's process ended then.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from boragefold.protocol import crash_messages as messages

# Instances find out about one end so far apart at most.
SAME_END_SECONDS = 3.0
# News may wait for the end of a short cut.
LIFETIME_SECONDS = 60.0
MAX_BREAKS = 64


class Break(NamedTuple):
    """Requests that were cut off at one endpoint, and when."""

    at_seconds: float
    suspects: tuple[messages.Suspect, ...]


class UnprovenBreaks:
    """The last of these breaks, by the crash that they may be."""

    def __init__(self) -> None:
        """Start without any."""
        self._breaks: dict[int, Break] = {}

    def add(
        self,
        crash: int,
        suspects: Iterable[messages.Suspect],
        *,
        now_seconds: float,
    ) -> None:
        """Record requests that were cut off, and forget much earlier ones.

        :param crash: hash that would identify the crash
        :param suspects: the requests
        :param now_seconds: reading of the process clock
        """
        before = self.take(crash, at_seconds=now_seconds)
        if len(self._breaks) >= MAX_BREAKS:
            del self._breaks[next(iter(self._breaks))]
        self._breaks[crash] = Break(now_seconds, (*before, *suspects))

    def take(
        self, crash: int, *, at_seconds: float
    ) -> tuple[messages.Suspect, ...]:
        """Return the requests that were cut off by a crash, and forget them.

        :param crash: hash that identifies it
        :param at_seconds: when it happened
        :return: none if the breaks were at another time
        """
        found = self._breaks.pop(crash, None)
        if (
            found is None
            or abs(found.at_seconds - at_seconds) > SAME_END_SECONDS
        ):
            return ()
        return found.suspects

    def expire(self, *, now_seconds: float) -> None:
        """Forget breaks that no instance will explain any more.

        :param now_seconds: reading of the process clock
        """
        self._breaks = {
            crash: each
            for crash, each in self._breaks.items()
            if now_seconds - each.at_seconds <= LIFETIME_SECONDS
        }


__all__ = [
    "UnprovenBreaks",
]
