"""Counters, gauges and histograms in the Prometheus text format."""

from __future__ import annotations

from collections.abc import Iterator

import prometheus_client
from prometheus_client import core
from prometheus_client import registry

from boragefold.telemetry import counters as telemetry

PREFIX = "boragefold_"
QUANTILES = (0.5, 0.9, 0.99, 0.999)


class CounterCollector(registry.Collector):
    """Converts the counters to Prometheus metric families on collection."""

    def __init__(self, *, counters: telemetry.Counters) -> None:
        self._counters = counters

    def collect(self) -> Iterator[core.Metric]:
        """Convert all counters, gauges and histograms.

        :return: metric families
        """
        families: dict[str, core.CounterMetricFamily] = {}
        for key, value in self._counters:
            family = families.get(key.name)
            if family is None:
                family = core.CounterMetricFamily(
                    PREFIX + key.name, key.name, labels=["reason"]
                )
                families[key.name] = family
            family.add_metric([key.reason], value)
        yield from families.values()
        for name, value in self._counters.gauges():
            yield core.GaugeMetricFamily(PREFIX + name, name, value=value)
        yield from self._summaries()

    def _summaries(self) -> Iterator[core.Metric]:
        for name, recorded in self._counters.histograms():
            family = core.GaugeMetricFamily(
                PREFIX + name, name, labels=["quantile"]
            )
            for quantile in QUANTILES:
                micros = recorded.get_value_at_percentile(100 * quantile)
                family.add_metric([str(quantile)], micros / 1e6)
            yield family


def write(counters: telemetry.Counters) -> bytes:
    """Encode the counters in the Prometheus text format.

    :param counters: the counters of this process
    :return: encoded text
    """
    return prometheus_client.generate_latest(
        CounterCollector(counters=counters)
    )


__all__ = [
    "CounterCollector",
    "write",
]
