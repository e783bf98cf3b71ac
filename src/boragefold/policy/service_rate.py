"""Measured service rate of a queue, while its requests wait for capacity.

Load pattern: the demand changes within seconds, and so does the share of the
endpoints that one instance gets. A rate measured while the queue is empty is
the demand, not the capacity: taken as the capacity, it makes an idle instance
refuse the first requests of a burst.
"""

from __future__ import annotations

import math

# Smooths out single requests, but follows an endpoint that is removed.
TIME_CONSTANT_SECONDS = 4.0
# With a shorter measurement the rate is infinite, so nothing is refused.
MIN_BUSY_SECONDS = 0.5


class ServiceRate:
    """Tokens per second removed from a queue while its requests wait."""

    def __init__(self) -> None:
        self._tokens = 0.0
        self._busy_seconds = 0.0
        self._at_seconds: float | None = None
        self._waiting = False

    def set_waiting(self, waiting: bool, *, now_seconds: float) -> None:
        """Record whether requests wait for capacity from now on.

        :param waiting: whether any request waits
        :param now_seconds: reading of the process clock
        """
        self._advance(now_seconds)
        self._waiting = waiting

    def record(self, tokens: float, *, now_seconds: float) -> None:
        """Record that a request was removed from the queue.

        :param tokens: what the queue charged for it
        :param now_seconds: reading of the process clock
        """
        self._advance(now_seconds)
        if self._waiting:
            self._tokens += tokens

    def tokens_per_second(self) -> float:
        """Return the measured rate.

        :return: tokens per second; infinite while the measurement is too short
        """
        if self._busy_seconds < MIN_BUSY_SECONDS:
            return math.inf
        return self._tokens / self._busy_seconds

    def _advance(self, now_seconds: float) -> None:
        if self._at_seconds is None:
            self._at_seconds = now_seconds
        elapsed = now_seconds - self._at_seconds
        if elapsed <= 0:
            return
        self._at_seconds = now_seconds
        decay = math.exp(-elapsed / TIME_CONSTANT_SECONDS)
        self._tokens *= decay
        self._busy_seconds *= decay
        if self._waiting:
            self._busy_seconds += elapsed


__all__ = [
    "ServiceRate",
]
