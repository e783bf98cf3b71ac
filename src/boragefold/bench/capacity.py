"""What each role costs at the size to design for, from measured slopes.

Run ``python -m boragefold.bench.capacity``; it measures everything anew and
replaces the table in ``docs/CAPACITY.md``.
"""

from __future__ import annotations

from collections.abc import Iterator
import pathlib
from typing import NamedTuple

import click

from boragefold.bench import capacity_configuration
from boragefold.bench import capacity_configuration_instance
from boragefold.bench import capacity_parts
from boragefold.bench import capacity_rates
from boragefold.bench import capacity_views

# The size to design for.
NODES = 890
REPLICAS = 12_000
DATA_CENTRES = 29
ADAPTERS = 18_000
REQUESTS_PER_SECOND = 29_000
# An assumption about payouts, orders and filings.
ONCE_SHARE = 0.01
ACTIVE_WORKSPACES = 100
BUDGET_CORE = 0.037
BUDGET_BYTES = 6_000
BUDGET_MEGABYTES = 64.0

MEMBERS = round(NODES / DATA_CENTRES)
LOAD_ASKS_PER_SECOND = 20.0
BEGIN = "<!-- begin table: python -m boragefold.bench.capacity -->"
END = "<!-- end table -->"


class Line(NamedTuple):
    """The control cost of one role at one node."""

    role: str
    mechanism: str
    state_megabytes: float
    bytes_per_second: float
    core_share: float


def lines() -> Iterator[Line]:
    """Measure every role.

    :return: a line for each
    """
    views = capacity_views.measure_views(members=MEMBERS, data_centres=3)
    yield Line(
        "membership, busiest member",
        "view leases from a steward, gossip of stewards",
        0.3,
        views.busiest_bytes_per_second,
        views.cpu_seconds_per_second,
    )
    (traffic,) = capacity_configuration.measure_traffic(counts=(MEMBERS,))
    memory = capacity_configuration_instance.measure_memory(adapters=ADAPTERS)
    kept_bytes = (
        memory.tree_bytes + memory.catalogue_bytes + memory.fingerprint_bytes
    )
    yield Line(
        "configuration, reader of a data centre",
        "two readers watch, push and compare",
        kept_bytes / 1e6,
        traffic.budgeted_bytes_per_second_busiest,
        capacity_configuration_instance.measure_processing(sizes=(100,))[
            0
        ].core_share,
    )
    yield Line(
        "audit", "history in memory", memory.history_bytes / 1e6, 0.0, 0.0
    )
    rates = capacity_rates.traffic(
        instances=MEMBERS, workspaces=ACTIVE_WORKSPACES, data_centres=3
    )
    yield Line(
        "rate holder and admission",
        "one holder a workspace and data centre, grants and loans",
        0.5,
        rates.bytes_per_second,
        rates.core_part,
    )
    yield from _parts()


def _parts() -> Iterator[Line]:
    ticket = capacity_parts.measure_ticket()
    calls = ONCE_SHARE * REQUESTS_PER_SECOND / NODES
    yield Line(
        "non-idempotent record",
        "tickets with two registers",
        15.0,
        2 * calls * ticket.item_bytes,
        2 * calls * ticket.cpu_seconds,
    )
    report = capacity_parts.measure_load_report()
    yield Line(
        "load reports",
        f"{LOAD_ASKS_PER_SECOND:g} questions a second at most",
        0.5,
        LOAD_ASKS_PER_SECOND * report.item_bytes,
        LOAD_ASKS_PER_SECOND * report.cpu_seconds,
    )
    listed = capacity_parts.measure_list(instances=NODES + REPLICAS)
    yield Line(
        "platform's list",
        "read each second by every instance",
        2.0,
        listed.item_bytes,
        listed.cpu_seconds,
    )


def table(measured: list[Line]) -> str:
    """Write the table.

    :param measured: the lines
    :return: Markdown
    """
    head = (
        "| Role | Carried by | State MB | B/s | Core | Over budget |\n"
        "| --- | --- | ---: | ---: | ---: | --- |\n"
    )
    total = Line(
        "sum",
        "",
        sum(line.state_megabytes for line in measured),
        sum(line.bytes_per_second for line in measured),
        sum(line.core_share for line in measured),
    )
    return head + "\n".join(map(_row, [*measured, total]))


def _row(line: Line) -> str:
    over = [
        f"{name} x{value / budget:.1f}"
        for name, value, budget in (
            ("B/s", line.bytes_per_second, BUDGET_BYTES),
            ("core", line.core_share, BUDGET_CORE),
            ("MB", line.state_megabytes, BUDGET_MEGABYTES),
        )
        if value > budget
    ]
    return (
        f"| {line.role} | {line.mechanism} | {line.state_megabytes:.1f} "
        f"| {line.bytes_per_second:,.0f} | {line.core_share:.2%} "
        f"| {', '.join(over) or 'no'} |"
    )


@click.command()
@click.option(
    "--page",
    default="docs/CAPACITY.md",
    type=click.Path(path_type=pathlib.Path),
    show_default=True,
)
def main(page: pathlib.Path) -> None:
    """Measure, and replace the table on the page."""
    text = page.read_text()
    before, _, rest = text.partition(BEGIN)
    _, _, after = rest.partition(END)
    written = table(list(lines()))
    page.write_text(f"{before}{BEGIN}\n\n{written}\n\n{END}{after}")
    click.echo(written)


if __name__ == "__main__":
    main()

__all__ = [
    "Line",
    "lines",
    "table",
]
