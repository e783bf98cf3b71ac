"""Arrival rate of each adapter's requests, with exponential decay.

Load pattern: popularity is skewed and shifts; an adapter becomes hot within
seconds. Without a rate, the rise would only show as a long queue, and an
eviction might remove the adapter that is needed next.
"""

from __future__ import annotations

import dataclasses
import math

from boragefold.policy import work as works

TIME_CONSTANT_SECONDS = 20.0
# Adapters with fewer expected recent arrivals are removed.
MIN_ARRIVALS = 0.05
SWEEP_SECONDS = 10.0
# Weight of the latest interval in the moving average of the intervals.
GAP_SMOOTHING = 0.3


@dataclasses.dataclass(kw_only=True)
class Arrivals:
    """The recent arrivals of one adapter."""

    workspace: str
    decayed_requests: float
    at_seconds: float
    gap_seconds: float | None = None


class ArrivalRates:
    """Decaying arrival counts of the adapters used recently."""

    def __init__(self) -> None:
        self._arrivals: dict[works.AdapterVersion, Arrivals] = {}
        self._sweep_at_seconds = float("-inf")

    def __len__(self) -> int:
        return len(self._arrivals)

    def add(
        self,
        adapter: works.AdapterVersion,
        *,
        workspace: str,
        requests: float,
        now_seconds: float,
    ) -> None:
        """Count arrivals.

        :param adapter: the adapter that the requests need
        :param workspace: the workspace that sent them
        :param requests: the number of requests
        :param now_seconds: reading of the process clock
        """
        self._sweep(now_seconds)
        known = self._arrivals.get(adapter)
        if known is None:
            self._arrivals[adapter] = Arrivals(
                workspace=workspace,
                decayed_requests=requests,
                at_seconds=now_seconds,
            )
            return
        gap_seconds = (now_seconds - known.at_seconds) / max(requests, 1.0)
        if known.gap_seconds is None:
            known.gap_seconds = gap_seconds
        known.gap_seconds += GAP_SMOOTHING * (gap_seconds - known.gap_seconds)
        known.decayed_requests = _decayed(known, now_seconds) + requests
        known.at_seconds = now_seconds
        known.workspace = workspace

    def per_second(
        self, adapter: works.AdapterVersion, *, now_seconds: float
    ) -> float:
        """Estimate the arrival rate.

        :param adapter: the adapter version
        :param now_seconds: reading of the process clock
        :return: requests per second
        """
        known = self._arrivals.get(adapter)
        if known is None:
            return 0.0
        return _decayed(known, now_seconds) / TIME_CONSTANT_SECONDS

    def workspace(self, adapter: works.AdapterVersion) -> str:
        """Return the workspace that used an adapter last.

        :param adapter: the adapter version
        :return: the workspace; empty when unknown
        """
        known = self._arrivals.get(adapter)
        return known.workspace if known is not None else ""

    def last_use(self, adapter: works.AdapterVersion) -> tuple[float, float]:
        """Return the last use of an adapter and its mean interval.

        :param adapter: the adapter version
        :return: time of the last use and interval between uses in seconds;
            minus infinity and zero when unknown
        """
        known = self._arrivals.get(adapter)
        if known is None:
            return float("-inf"), 0.0
        return known.at_seconds, known.gap_seconds or 0.0

    def hottest(
        self, *, now_seconds: float
    ) -> list[tuple[float, works.AdapterVersion]]:
        """List the recently used adapters, the most used first.

        :param now_seconds: reading of the process clock
        :return: requests per second, and the adapter
        """
        return sorted(
            (
                (_decayed(known, now_seconds) / TIME_CONSTANT_SECONDS, adapter)
                for adapter, known in self._arrivals.items()
            ),
            reverse=True,
        )

    def _sweep(self, now_seconds: float) -> None:
        if now_seconds < self._sweep_at_seconds:
            return
        self._sweep_at_seconds = now_seconds + SWEEP_SECONDS
        self._arrivals = {
            adapter: known
            for adapter, known in self._arrivals.items()
            if _decayed(known, now_seconds) >= MIN_ARRIVALS
        }


def _decayed(known: Arrivals, now_seconds: float) -> float:
    elapsed_seconds = now_seconds - known.at_seconds
    return known.decayed_requests * math.exp(
        -elapsed_seconds / TIME_CONSTANT_SECONDS
    )


__all__ = [
    "ArrivalRates",
    "TIME_CONSTANT_SECONDS",
]
