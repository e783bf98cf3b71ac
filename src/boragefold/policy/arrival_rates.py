"""How often each adapter is asked for, of late.

Load pattern: popularity is skewed and shifts; an adapter gets hot within
seconds. Without a rate, an adapter's queue must have grown before it is
noticed, and the one evicted may be the one needed next.
"""

from __future__ import annotations

import dataclasses
import math

from boragefold.policy import work as works

MEMORY_SECONDS = 20.0
# Below this expected number of recent arrivals an adapter is forgotten.
FORGOTTEN_ARRIVALS = 0.05
SWEEP_SECONDS = 10.0
# The weight of the latest gap between two uses.
GAP_SMOOTHING = 0.3


@dataclasses.dataclass(kw_only=True)
class Arrivals:
    """The recent arrivals of one adapter."""

    workspace: str
    decayed: float
    at_seconds: float
    gap_seconds: float | None = None


class ArrivalRates:
    """Decaying counts of arrivals, only of adapters used of late."""

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

        :param adapter: what they need
        :param workspace: whose they are
        :param requests: how many
        :param now_seconds: reading of the process clock
        """
        self._sweep(now_seconds)
        known = self._arrivals.get(adapter)
        if known is None:
            self._arrivals[adapter] = Arrivals(
                workspace=workspace, decayed=requests, at_seconds=now_seconds
            )
            return
        gap_seconds = (now_seconds - known.at_seconds) / max(requests, 1.0)
        if known.gap_seconds is None:
            known.gap_seconds = gap_seconds
        known.gap_seconds += GAP_SMOOTHING * (gap_seconds - known.gap_seconds)
        known.decayed = _decayed(known, now_seconds) + requests
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
        return _decayed(known, now_seconds) / MEMORY_SECONDS

    def workspace(self, adapter: works.AdapterVersion) -> str:
        """Tell who used an adapter last.

        :param adapter: the adapter version
        :return: the workspace; empty when unknown
        """
        known = self._arrivals.get(adapter)
        return known.workspace if known is not None else ""

    def next_use_seconds(
        self, adapter: works.AdapterVersion
    ) -> tuple[float, float]:
        """Tell when an adapter was last used, and its usual gap.

        :param adapter: the adapter version
        :return: the moment and the gap; minus infinity and zero if unknown
        """
        known = self._arrivals.get(adapter)
        if known is None:
            return float("-inf"), 0.0
        return known.at_seconds, known.gap_seconds or 0.0

    def hottest(
        self, *, now_seconds: float
    ) -> list[tuple[float, works.AdapterVersion]]:
        """List what was used of late, the most used first.

        :param now_seconds: reading of the process clock
        :return: requests per second, and the adapter
        """
        return sorted(
            (
                (_decayed(known, now_seconds) / MEMORY_SECONDS, adapter)
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
            if _decayed(known, now_seconds) >= FORGOTTEN_ARRIVALS
        }


def _decayed(known: Arrivals, now_seconds: float) -> float:
    elapsed_seconds = now_seconds - known.at_seconds
    return known.decayed * math.exp(-elapsed_seconds / MEMORY_SECONDS)


__all__ = [
    "ArrivalRates",
    "MEMORY_SECONDS",
]
