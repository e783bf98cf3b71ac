"""Measured service rate of a queue that is never empty.

Load pattern: the share of a common capacity that one queue gets depends on
the demand of the others, and changes with it. An estimate from the whole
capacity would accept requests that can't be served in time.
"""

from __future__ import annotations

# Engines that were filled together become free together, in waves; the window
# must be longer than such a wave.
WINDOW_SECONDS = 5.0
# A rate from fewer samples may refuse requests that can be served in time.
MIN_SAMPLES = 4


class DrainRate:
    """Tokens removed per second, measured from the first request on.

    The time before the first request, such as the load time of an adapter, is
    left out, as it says nothing about the rate.
    """

    def __init__(self) -> None:
        self._began_at_seconds: float | None = None
        self._tokens = 0.0
        self._samples = 0

    def add(self, tokens: float, *, now_seconds: float) -> None:
        """Count the tokens of a request removed from the queue.

        :param tokens: the number of tokens
        :param now_seconds: reading of the process clock
        """
        self._samples += 1
        if self._began_at_seconds is None:
            self._began_at_seconds = now_seconds
            return
        self._tokens += tokens
        elapsed_seconds = now_seconds - self._began_at_seconds
        if elapsed_seconds > WINDOW_SECONDS:
            self._tokens /= 2
            self._began_at_seconds += elapsed_seconds / 2

    def tokens_per_second(self, *, now_seconds: float) -> float | None:
        """Return the measured rate.

        :param now_seconds: reading of the process clock
        :return: tokens per second, None while there are too few samples
        """
        if self._began_at_seconds is None or self._samples < MIN_SAMPLES:
            return None
        elapsed_seconds = now_seconds - self._began_at_seconds
        return self._tokens / elapsed_seconds if elapsed_seconds > 0 else None


__all__ = [
    "DrainRate",
]
