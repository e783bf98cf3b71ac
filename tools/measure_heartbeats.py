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
from boragefold.state import deployment
from tests.fakes import gateways

SETTLED_SECONDS = 6.0
MEASURED_SECONDS = 4.0
# One engine for so many instances, as the users' large deployment has them.
INSTANCES_AN_ENGINE = 3.3
WORKSPACES = 19
ADAPTERS = 24_000
PLACES = 5
COPIES = 30
# Requests of one instance, and loads of one engine.
REQUESTS_PER_SECOND = 2.0
LOADS_PER_SECOND = 0.5


class Load:
    """Engines whose schedules change, and workspaces that send."""

    def __init__(self, fleet: gateways.Gateways) -> None:
        """Put a fleet under load.

        :param fleet: the fleet
        """
        self._fleet = fleet
        self._rng = fleet.network.random
        self._adapters = {
            engine.name: [self._adapter() for _ in range(PLACES)]
            for engine in fleet.engines
        }
        self._copies = {
            engine.name: [self._rng.getrandbits(16) for _ in range(COPIES)]
            for engine in fleet.engines
        }
        fleet.status = self._status
        for instance in fleet.instances.values():
            instance.node.timers.every(
                period_seconds=1 / REQUESTS_PER_SECOND,
                first_delay_seconds=self._rng.random(),
                callback=lambda rate=instance.rate: self._admit(rate),
            )
        fleet.instances[fleet.addresses[0]].node.timers.every(
            period_seconds=1 / LOADS_PER_SECOND / len(fleet.engines),
            callback=self._load_one,
        )

    def _adapter(self) -> tuple[str, str]:
        return "daka510000", f"a{self._rng.randrange(ADAPTERS)}"

    def _load_one(self) -> None:
        name = self._rng.choice([*self._adapters])
        self._adapters[name] = [*self._adapters[name][1:], self._adapter()]
        self._copies[name] = [
            *self._copies[name][1:],
            self._rng.getrandbits(16),
        ]

    def _status(self, name: str) -> messages.EngineStatus:
        return messages.EngineStatus(
            name,
            ("daka510000",),
            tuple(self._adapters[name]),
            self._rng.randrange(40) / 100,
            self._rng.randrange(20) / 100,
            self._rng.randrange(3),
            0.0,
            copies=tuple(self._copies[name]),
        )

    def _admit(self, rate) -> None:
        workspace = deployment.Workspace(
            name=f"hule{self._rng.randrange(WORKSPACES)}",
            keys=frozenset(),
            priority=1,
            rate_per_second=1e9,
            burst=1e9,
            in_tokens=True,
            plain_tokens=1.0,
        )
        rate.admit(
            workspace,
            float(self._rng.randrange(100, 4_000)),
            now_seconds=self._fleet.network.clock.now_seconds(),
        )


def measure(count: int, *, idle: bool) -> tuple[float, float, float, float]:
    """Let a fleet settle, and count what it sends.

    :param count: how many instances
    :param idle: whether nothing is asked of them
    :return: messages a second of the mean and the busiest instance, then
        bytes a second of both
    """
    engines = [
        gateways.engine(f"i-{number:010x}", gateways.CENTRES[number % 3])
        for number in range(max(1, round(count / INSTANCES_AN_ENGINE)))
    ]
    fleet = gateways.Gateways(count, engines=engines)
    fleet.run(SETTLED_SECONDS)
    if not idle:
        Load(fleet)
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
@click.option("--idle", is_flag=True, help="Ask nothing of the instances.")
def main(counts: tuple[int, ...], idle: bool) -> None:
    """Print a line for each size."""
    click.echo("| Instances | Messages/s | busiest | B/s | busiest |")
    click.echo("| ---: | ---: | ---: | ---: | ---: |")
    for count in counts or (7, 30, 86):
        figures = " | ".join(
            f"{each:,.0f}" for each in measure(count, idle=idle)
        )
        click.echo(f"| {count} | {figures} |")


if __name__ == "__main__":
    main()
