"""Measures what heartbeats cost an instance, in fleets of growing size.

In virtual time, with engines shared out as the instances do it themselves.
Prints messages and bytes a second of the mean and of the busiest instance; a
message is counted at its sender and at its receiver, as it is packed.
"""

from __future__ import annotations

import collections
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import click

from boragefold.protocol import envelope
from boragefold.protocol import peer_messages as messages
from tests.fakes import gateways

SETTLED_SECONDS = 6.0
MEASURED_SECONDS = 4.0


def measure(count: int) -> tuple[float, float, float, float]:
    """Let a fleet settle, and count what it sends.

    :param count: how many instances
    :return: messages a second of the mean and the busiest instance, then
        bytes a second of both
    """
    fleet = gateways.Gateways(count)
    fleet.run(SETTLED_SECONDS)
    codec = envelope.Codec(kinds=messages.KINDS)
    counts: collections.Counter[str] = collections.Counter()
    sizes: collections.Counter[str] = collections.Counter()
    post = fleet.network.post

    def counted(sender, to, body):
        size = len(codec.encode(sender=sender, body=body))
        for address in (sender.address, to.address):
            counts[address] += 1
            sizes[address] += size
        post(sender, to, body)

    fleet.network.post = counted
    fleet.run(MEASURED_SECONDS)
    return (
        counts.total() / count / MEASURED_SECONDS,
        max(counts.values()) / MEASURED_SECONDS,
        sizes.total() / count / MEASURED_SECONDS,
        max(sizes.values()) / MEASURED_SECONDS,
    )


@click.command()
@click.argument("counts", nargs=-1, type=int)
def main(counts: tuple[int, ...]) -> None:
    """Print a line for each size."""
    click.echo("| Instances | Messages/s | busiest | B/s | busiest |")
    click.echo("| ---: | ---: | ---: | ---: | ---: |")
    for count in counts or (7, 30, 86):
        figures = " | ".join(f"{each:,.0f}" for each in measure(count))
        click.echo(f"| {count} | {figures} |")


if __name__ == "__main__":
    main()
