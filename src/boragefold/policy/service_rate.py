"""How fast a queue is served, measured while it is limited by room.

Load pattern: the demand changes within seconds, and so does what one
instance gets of the endpoints it shares. A rate measured while the queue is
empty says how much is asked for, not how much can be served: taken for the
latter, it makes an idle instance refuse the first requests of a burst.
"""

from __future__ import annotations

import math

# Smooths single requests, yet follows an endpoint that leaves.
MEMORY_SECONDS = 4.0
# With less than this nothing is refused.
LEAST_BUSY_SECONDS = 0.5


class ServiceRate:
    """The tokens a second that were taken from a queue that had to wait."""

    def __init__(self) -> None:
        self._tokens = 0.0
        self._busy_seconds = 0.0
        self._at_seconds: float | None = None
        self._limited = False

    def limited(self, limited: bool, *, now_seconds: float) -> None:
        """Note whether something waits for room from now on.

        :param limited: whether it does
        :param now_seconds: reading of the process clock
        """
        self._move(now_seconds)
        self._limited = limited

    def taken(self, tokens: float, *, now_seconds: float) -> None:
        """Note that a request was taken from the queue.

        :param tokens: what the queue charged for it
        :param now_seconds: reading of the process clock
        """
        self._move(now_seconds)
        if self._limited:
            self._tokens += tokens

    def tokens_per_second(self) -> float:
        """Tell the rate.

        :return: infinite while too little was observed
        """
        if self._busy_seconds < LEAST_BUSY_SECONDS:
            return math.inf
        return self._tokens / self._busy_seconds

    def _move(self, now_seconds: float) -> None:
        if self._at_seconds is None:
            self._at_seconds = now_seconds
        elapsed = now_seconds - self._at_seconds
        if elapsed <= 0:
            return
        self._at_seconds = now_seconds
        kept = math.exp(-elapsed / MEMORY_SECONDS)
        self._tokens *= kept
        self._busy_seconds *= kept
        if self._limited:
            self._busy_seconds += elapsed


__all__ = [
    "ServiceRate",
]
