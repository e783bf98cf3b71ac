"""Counters by name and reason, gauges, and latency histograms."""

from __future__ import annotations

import collections
from collections.abc import Iterator
from typing import NamedTuple

from hdrh import histogram

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 3_600_000_000
SIGNIFICANT_DIGITS = 2


class CounterKey(NamedTuple):
    """The name of a counter and the reason for which it was incremented."""

    name: str
    reason: str


class Counters:
    """All counters, gauges and histograms of a process."""

    def __init__(self) -> None:
        self._counts: dict[CounterKey, float] = collections.defaultdict(float)
        self._gauges: dict[str, float] = {}
        self._histograms: dict[str, histogram.HdrHistogram] = {}

    def add(self, name: str, reason: str = "", amount: float = 1) -> None:
        """Increment a counter.

        :param name: of the counter, such as ``requests_refused``
        :param reason: one of a small fixed set
        :param amount: the increment
        """
        self._counts[CounterKey(name, reason)] += amount

    def set_gauge(self, name: str, value: float) -> None:
        """Set a gauge.

        :param name: of the gauge, such as ``evacuated_data_centres``
        :param value: its current value
        """
        self._gauges[name] = value

    def gauges(self) -> Iterator[tuple[str, float]]:
        """Iterate over the gauges in the order of their names.

        :return: pairs of a name and a value
        """
        return iter(sorted(self._gauges.items()))

    def value(self, name: str, reason: str = "") -> float:
        """Return the value of a counter for one reason.

        :param name: of the counter
        :param reason: as in :meth:`add`
        :return: the current count
        """
        return self._counts.get(CounterKey(name, reason), 0.0)

    def total(self, name: str) -> float:
        """Sum a counter over its reasons.

        :param name: of the counter
        :return: the sum
        """
        return sum(
            count for key, count in self._counts.items() if key.name == name
        )

    def observe_seconds(self, name: str, duration_seconds: float) -> None:
        """Record a duration in a histogram.

        :param name: of the histogram, such as ``first_token_seconds``
        :param duration_seconds: the duration
        """
        self._histogram(name).record_value(
            max(LOWEST_MICROSECONDS, int(duration_seconds * 1e6))
        )

    def percentile_seconds(self, name: str, percentile: float) -> float:
        """Return a percentile of the recorded durations.

        :param name: of the histogram
        :param percentile: from 0 to 100
        :return: seconds
        """
        value = self._histogram(name).get_value_at_percentile(percentile)
        return float(value) / 1e6

    def __iter__(self) -> Iterator[tuple[CounterKey, float]]:
        return iter(sorted(self._counts.items()))

    def histograms(self) -> Iterator[tuple[str, histogram.HdrHistogram]]:
        """Iterate over the histograms in the order of their names.

        :return: pairs of a name and a histogram in microseconds
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
