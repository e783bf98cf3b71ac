"""The bench's results as a table, as JSON and as plots."""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Sequence
import importlib
import pathlib
from typing import Any

import msgspec

from boragefold.bench import decision_cost
from boragefold.bench import runs

COLUMNS = (
    ("requests", "asked", "5d"),
    ("served", "served", "6d"),
    ("stalls", "stalls", "6d"),
    ("stall_seconds", "stall s", "7.0f"),
    ("first_token_p50_seconds", "p50 s", "6.2f"),
    ("first_token_p99_seconds", "p99 s", "6.2f"),
    ("batch_efficiency", "batch", "5.2f"),
    ("worst_served", "worst", "6.3f"),
    ("refused_inside", "wrong ref", "9d"),
    ("late", "late", "5d"),
    ("failed", "failed", "6d"),
    ("loads", "loads", "5d"),
    ("evictions", "evict", "5d"),
)
# One plot each; the unit is in the name.
PLOTTED = (
    "stall_seconds",
    "first_token_p99_seconds",
    "batch_efficiency",
    "worst_served",
    "refused_inside",
    "late",
)
PLACE_WIDTH = 38
SYSTEM_WIDTH = 13


def lines(run: runs.Run, *, first: bool) -> Iterator[str]:
    """Write a run's figures for the terminal.

    :param run: the run
    :param first: whether the titles come before it
    :return: lines
    """
    if first:
        titles = " ".join(
            f"{title:>{_width(title, form)}}" for _, title, form in COLUMNS
        )
        yield f"{'scenario':{PLACE_WIDTH}}{'system':{SYSTEM_WIDTH}} {titles}"
    place = f"{run.scenario}, {run.deployment}"
    cells = " ".join(
        f"{getattr(run.measures, name):{form}}".rjust(_width(title, form))
        for name, title, form in COLUMNS
    )
    yield f"{place:{PLACE_WIDTH}}{run.system:{SYSTEM_WIDTH}} {cells}"


def write_json(
    path: pathlib.Path,
    played: Sequence[runs.Run],
    cost: decision_cost.Cost | None,
) -> None:
    """Write every figure to a file.

    :param path: the file
    :param played: runs
    :param cost: of the pure decisions, if it was measured
    """
    document = {
        "runs": [
            {**run._asdict(), "measures": run.measures._asdict()}
            for run in played
        ],
        "decision_cost": cost._asdict() if cost is not None else None,
    }
    path.write_bytes(msgspec.json.format(msgspec.json.encode(document)))


def write_plots(
    directory: pathlib.Path, played: Sequence[runs.Run]
) -> list[pathlib.Path]:
    """Draw one bar chart per measure, if matplotlib is installed.

    :param directory: where the files go
    :param played: runs
    :return: the files; none without matplotlib
    """
    try:
        matplotlib: Any = importlib.import_module("matplotlib")
        matplotlib.use("Agg")
        pyplot: Any = importlib.import_module("matplotlib.pyplot")
    except ImportError:
        return []
    return [_plot(pyplot, directory, measure, played) for measure in PLOTTED]


def _plot(
    pyplot: Any,
    directory: pathlib.Path,
    measure: str,
    played: Sequence[runs.Run],
) -> pathlib.Path:
    places = list(
        dict.fromkeys(f"{run.scenario}, {run.deployment}" for run in played)
    )
    systems = list(dict.fromkeys(run.system for run in played))
    figure, axes = pyplot.subplots(figsize=(9, 0.35 * len(places) + 2))
    height = 0.8 / len(systems)
    for number, system in enumerate(systems):
        values = {
            f"{run.scenario}, {run.deployment}": getattr(run.measures, measure)
            for run in played
            if run.system == system
        }
        axes.barh(
            [place + number * height for place in range(len(places))],
            [values.get(place, 0) for place in places],
            height=height,
            label=system,
        )
    axes.set_yticks(range(len(places)), places)
    axes.invert_yaxis()
    axes.set_xlabel(measure)
    axes.legend()
    path = directory / f"{measure}.png"
    figure.savefig(path, bbox_inches="tight")
    pyplot.close(figure)
    return path


def _width(title: str, form: str) -> int:
    digits = form.split(".")[0].rstrip("df")
    return max(len(title), int(digits))


__all__ = [
    "lines",
    "write_json",
    "write_plots",
]
