"""When something that failed may be tried again.

Load pattern: an adapter's weights are damaged, or the store fails for a
while. Without backoff, each failure is followed by another attempt at once,
and the load rate is spent on attempts that can't succeed.
"""

from __future__ import annotations

import random
from typing import Generic
from typing import NamedTuple
from typing import TypeVar

Key = TypeVar("Key")

# Short, so that a single failure costs little.
INITIAL_SECONDS = 0.5
# Often enough to notice that a damaged adapter was repaired.
MAX_SECONDS = 60.0
# Spreads the retries of attempts that failed together.
JITTER = 0.5
MAX_DOUBLINGS = 8


class Failures(NamedTuple):
    """Consecutive failures, and when the next attempt may be made."""

    consecutive: int
    not_before_seconds: float


class Backoff(Generic[Key]):
    """Doubles the pause after each consecutive failure."""

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._failures: dict[Key, Failures] = {}

    def __len__(self) -> int:
        return len(self._failures)

    def allows(self, key: Key, *, now_seconds: float) -> bool:
        """Return whether an attempt may be made now.

        :param key: what is attempted
        :param now_seconds: reading of the process clock
        :return: whether the pause is over
        """
        failures = self._failures.get(key)
        return failures is None or failures.not_before_seconds <= now_seconds

    def failed(self, key: Key, *, now_seconds: float) -> None:
        """Record a failure.

        :param key: what was attempted
        :param now_seconds: reading of the process clock
        """
        before = self._failures.get(key, Failures(0, 0.0)).consecutive
        pause_seconds = min(
            INITIAL_SECONDS * 2 ** min(before, MAX_DOUBLINGS), MAX_SECONDS
        )
        pause_seconds *= 1 + JITTER * (2 * self._rng.random() - 1)
        self._failures[key] = Failures(before + 1, now_seconds + pause_seconds)

    def succeeded(self, key: Key) -> None:
        """Reset the failures after a success.

        :param key: what was attempted
        """
        self._failures.pop(key, None)

    def remove_stale(self, *, now_seconds: float) -> None:
        """Drop keys that were not retried for long, to bound the memory.

        :param now_seconds: reading of the process clock
        """
        self._failures = {
            key: failures
            for key, failures in self._failures.items()
            if now_seconds - failures.not_before_seconds < MAX_SECONDS
        }


__all__ = [
    "Backoff",
]
