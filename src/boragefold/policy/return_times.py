"""Chooses when refused requests are to return.

Load pattern: many requests are refused at the same moment. If all return
together, most are refused again. Here they return at the rate at which queued
requests are sent.
"""

from __future__ import annotations

MIN_SECONDS = 0.3
# Estimates of longer waits are unreliable.
MAX_SECONDS = 5.0


class ReturnTimes:
    """Spaces the returns of one instance's refused requests by service."""

    def __init__(self) -> None:
        self._last_at_seconds: dict[str, float] = {}

    def draw_seconds(
        self,
        service: str,
        *,
        until_room_seconds: float,
        gap_seconds: float,
        now_seconds: float,
    ) -> float:
        """Choose when a request that is refused now is to return.

        :param service: name of its service
        :param until_room_seconds: when there is likely to be room for it
        :param gap_seconds: time from one queued request that is sent to the
            next
        :param now_seconds: reading of the process clock
        :return: seconds from now
        """
        at_seconds = max(
            now_seconds + max(MIN_SECONDS, until_room_seconds),
            self._last_at_seconds.get(service, now_seconds) + gap_seconds,
        )
        at_seconds = min(at_seconds, now_seconds + MAX_SECONDS)
        self._last_at_seconds[service] = at_seconds
        return at_seconds - now_seconds


__all__ = [
    "ReturnTimes",
]
