"""Regression bounds: ratios to the baselines and counts, never seconds."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import importlib.resources
from typing import NamedTuple

import msgspec

from boragefold.bench import measures
from boragefold.bench import runs

FILE = "bounds.json"
# Small changes of a measure don't touch its bound.
AIR = 1.25
# Below this a ratio of stalls says nothing.
LEAST_STALL_SECONDS = 5.0


@dataclasses.dataclass(frozen=True)
class Bound:
    """What one run may reach; the ratios are to the better baseline."""

    stall_ratio: float
    efficiency_ratio: float
    refused_inside: int
    late: int
    failed: int
    worst_served: float


Bounds = dict[str, dict[str, Bound]]


class Comparison(NamedTuple):
    """A run of ours next to the baselines' runs of the same scenario."""

    ours: runs.Run
    baselines: tuple[runs.Run, ...]

    def stall_ratio(self) -> float:
        """Divide our stalls by the better baseline's.

        :return: seconds over seconds
        """
        better = min(run.measures.stall_seconds for run in self.baselines)
        return self.ours.measures.stall_seconds / max(
            better, LEAST_STALL_SECONDS
        )

    def efficiency_ratio(self) -> float:
        """Divide our batch efficiency by the better baseline's.

        :return: a ratio; more is better
        """
        better = max(run.measures.batch_efficiency for run in self.baselines)
        return self.ours.measures.batch_efficiency / max(better, 1e-9)


def compare(played: Iterable[runs.Run]) -> list[Comparison]:
    """Put runs of one scenario and deployment side by side.

    :param played: runs in any order
    :return: one comparison for each run of ours
    """
    by_place: dict[tuple[str, str], dict[str, runs.Run]] = {}
    for run in played:
        place = by_place.setdefault((run.deployment, run.scenario), {})
        place[run.system] = run
    return [
        Comparison(
            ours=place[runs.BORAGEFOLD],
            baselines=tuple(place[name] for name in runs.BASELINES),
        )
        for place in by_place.values()
    ]


def read() -> Bounds:
    """Read the committed bounds.

    :return: by deployment and scenario
    """
    file = importlib.resources.files("boragefold.bench") / FILE
    return msgspec.json.decode(file.read_bytes(), type=Bounds)


def propose(comparisons: Iterable[Comparison]) -> Bounds:
    """Derive bounds from what was just measured.

    :param comparisons: of the present code
    :return: bounds that it keeps with a little air
    """
    proposed: Bounds = {}
    for comparison in comparisons:
        run = comparison.ours
        proposed.setdefault(run.deployment, {})[run.scenario] = Bound(
            stall_ratio=round(comparison.stall_ratio() * AIR + 0.01, 3),
            efficiency_ratio=round(comparison.efficiency_ratio() / AIR, 3),
            refused_inside=_with_air(run.measures.refused_inside),
            late=_with_air(run.measures.late),
            failed=_with_air(run.measures.failed),
            worst_served=round(run.measures.worst_served - 0.02, 3),
        )
    return proposed


def violations(
    comparisons: Iterable[Comparison], bounds: Bounds
) -> Iterator[str]:
    """Find what is worse than its bound, or must never be.

    :param comparisons: of the present code
    :param bounds: the committed ones
    :return: one sentence each
    """
    for comparison in comparisons:
        run = comparison.ours
        place = f"{run.deployment}, {run.scenario}"
        yield from _broken_invariants(place, run.measures)
        bound = bounds.get(run.deployment, {}).get(run.scenario)
        if bound is None:
            yield f"{place}: no bound is committed"
            continue
        yield from _beyond(place, comparison, bound)


def _broken_invariants(
    place: str, figures: measures.Measures
) -> Iterator[str]:
    for name in ("wrong_adapter", "evictions_in_use"):
        count = getattr(figures, name)
        if count:
            yield f"{place}: {name} is {count}; it must be 0"


def _beyond(place: str, comparison: Comparison, bound: Bound) -> Iterator[str]:
    figures = comparison.ours.measures
    upper = {
        "stall_ratio": comparison.stall_ratio(),
        "refused_inside": figures.refused_inside,
        "late": figures.late,
        "failed": figures.failed,
    }
    lower = {
        "efficiency_ratio": comparison.efficiency_ratio(),
        "worst_served": figures.worst_served,
    }
    for name, value in upper.items():
        if value > getattr(bound, name):
            yield _sentence(place, name, value, "above", bound)
    for name, value in lower.items():
        if value < getattr(bound, name):
            yield _sentence(place, name, value, "below", bound)


def _sentence(
    place: str, name: str, value: float, side: str, bound: Bound
) -> str:
    limit = getattr(bound, name)
    return f"{place}: {name} is {value:.3f}, {side} its bound of {limit}"


def _with_air(count: int) -> int:
    return 0 if not count else int(count * AIR) + 1


__all__ = [
    "Bound",
    "Bounds",
    "Comparison",
    "compare",
    "propose",
    "read",
    "violations",
]
