"""``boragefold bench``: the decisions under load, next to plain systems."""

from __future__ import annotations

from collections.abc import Sequence
import pathlib

import click
import msgspec

from boragefold.bench import bounds
from boragefold.bench import decision_cost
from boragefold.bench import deployments
from boragefold.bench import report
from boragefold.bench import runs
from boragefold.bench import scenarios


@click.command()
@click.option(
    "--scenario",
    "names",
    multiple=True,
    type=click.Choice(list(scenarios.SCENARIOS)),
    help="Play only this scenario; may be given several times.",
)
@click.option(
    "--deployment",
    "places",
    multiple=True,
    type=click.Choice(list(deployments.DEPLOYMENTS)),
    help="Play only at this deployment's size; may be given several times.",
)
@click.option(
    "--out",
    type=click.Path(file_okay=False, path_type=pathlib.Path),
    help="Write results.json, and plots if matplotlib is installed, here.",
)
@click.option(
    "--check",
    is_flag=True,
    help="Compare the committed scenarios with their bounds.",
)
@click.option(
    "--propose-bounds",
    type=click.Path(dir_okay=False, path_type=pathlib.Path),
    help="Write bounds that the present code keeps, to be reviewed.",
)
def bench(
    names: Sequence[str],
    places: Sequence[str],
    out: pathlib.Path | None,
    check: bool,
    propose_bounds: pathlib.Path | None,
) -> None:
    """Play load patterns in virtual time, against two plain baselines.

    The figures and the verdict are the same in every run; only the cost of a
    decision is measured by the clock, and it is part of no verdict.
    """
    committed = bounds.read() if check else {}
    played: list[runs.Run] = []
    for run in runs.play_all(
        names=names or list(scenarios.SCENARIOS),
        places=places or list(deployments.DEPLOYMENTS),
        only=committed if check else None,
    ):
        played.append(run)
        click.echo("\n".join(report.lines(run, first=len(played) == 1)))
    cost = None if check else _measure_cost()
    if out is not None:
        _write(out, played, cost)
    comparisons = bounds.compare(played)
    if propose_bounds is not None:
        proposed = msgspec.json.encode(bounds.propose(comparisons))
        propose_bounds.write_bytes(msgspec.json.format(proposed) + b"\n")
    if check:
        _judge(comparisons, committed)


def _measure_cost() -> decision_cost.Cost:
    cost = decision_cost.measure()
    click.echo(
        f"decisions at {cost.replicas} replicas and {cost.adapters} adapters: "
        f"{cost.request_microseconds:.0f} us and {cost.request_calls:.0f} "
        "calls a request, periodic work "
        f"{cost.periodic_microseconds_per_second:.0f} us a second"
    )
    return cost


def _write(
    out: pathlib.Path,
    played: Sequence[runs.Run],
    cost: decision_cost.Cost | None,
) -> None:
    out.mkdir(parents=True, exist_ok=True)
    report.write_json(out / "results.json", played, cost)
    if not report.write_plots(out, played):
        click.echo("no plots: install the extra boragefold[plot]")


def _judge(
    comparisons: Sequence[bounds.Comparison], committed: bounds.Bounds
) -> None:
    found = list(bounds.violations(comparisons, committed))
    for sentence in found:
        click.echo(sentence)
    if found:
        raise click.ClickException(f"{len(found)} bounds are broken")
    click.echo(f"{len(comparisons)} comparisons within their bounds")


__all__ = [
    "bench",
]
