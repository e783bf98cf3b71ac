"""Counters by name and reason, and latency histograms."""

from __future__ import annotations

import collections
from collections.abc import Iterator
from typing import NamedTuple

from hdrh import histogram

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 3_600_000_000
SIGNIFICANT_DIGITS = 2


class CounterKey(NamedTuple):
    """What a counter counts, and the reason it was counted for."""

    name: str
    reason: str


class Counters:
    """Every counter and histogram of one process."""

    def __init__(self) -> None:
        self._counts: dict[CounterKey, float] = collections.defaultdict(float)
        self._histograms: dict[str, histogram.HdrHistogram] = {}

    def add(self, name: str, reason: str = "", amount: float = 1) -> None:
        """Count something that happened.

        :param name: what is counted, such as ``requests_refused``
        :param reason: why it happened, one of a small fixed set
        :param amount: by how much
        """
        self._counts[CounterKey(name, reason)] += amount

    def value(self, name: str, reason: str = "") -> float:
        """Read one counter.

        :param name: what is counted
        :param reason: why it happened
        :return: the count so far
        """
        return self._counts.get(CounterKey(name, reason), 0.0)

    def total(self, name: str) -> float:
        """Sum a counter over its reasons.

        :param name: what is counted
        :return: the sum
        """
        return sum(
            count for key, count in self._counts.items() if key.name == name
        )

    def observe_seconds(self, name: str, duration_seconds: float) -> None:
        """Record one duration.

        :param name: what was timed, such as ``first_token_seconds``
        :param duration_seconds: how long it took
        """
        self._histogram(name).record_value(
            max(LOWEST_MICROSECONDS, int(duration_seconds * 1e6))
        )

    def percentile_seconds(self, name: str, percentile: float) -> float:
        """Read a percentile of the recorded durations.

        :param name: what was timed
        :param percentile: from 0 to 100
        :return: seconds
        """
        value = self._histogram(name).get_value_at_percentile(percentile)
        return float(value) / 1e6

    def __iter__(self) -> Iterator[tuple[CounterKey, float]]:
        return iter(sorted(self._counts.items()))

    def histograms(self) -> Iterator[tuple[str, histogram.HdrHistogram]]:
        """Go through the histograms.

        :return: names and histograms of microseconds
        """
        return iter(sorted(self._histograms.items()))

    def _histogram(self, name: str) -> histogram.HdrHistogram:
        if name not in self._histograms:
            self._histograms[name] = histogram.HdrHistogram(
                LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS
            )
        return self._histograms[name]


__all__ = [
    "CounterKey",
    "Counters",
]
