"""Estimate of the recent token use."""

from __future__ import annotations

import math

MEMORY_SECONDS = 1.0


class RecentUse:
    """Exponentially decaying sum of tokens."""

    def __init__(self) -> None:
        self._tokens = 0.0
        self._at_seconds = 0.0

    def add(self, tokens: float, now_seconds: float) -> None:
        """Add used tokens.

        :param tokens: used tokens
        :param now_seconds: current time
        """
        self._tokens = self.tokens(now_seconds) + tokens
        self._at_seconds = now_seconds

    def tokens(self, now_seconds: float) -> float:
        """Estimate the tokens used per second.

        :param now_seconds: current time
        :return: tokens
        """
        elapsed_seconds = now_seconds - self._at_seconds
        return self._tokens * math.exp(-elapsed_seconds / MEMORY_SECONDS)


__all__ = [
    "MEMORY_SECONDS",
    "RecentUse",
]
