"""What the rates cost in messages, bytes and processor time.

Run it with ``python -m boragefold.bench.capacity_rates``.
"""

from __future__ import annotations

import itertools
import time
from typing import NamedTuple

import click

from boragefold.bench import rate_baselines
from boragefold.bench import rate_callers
from boragefold.bench import rate_fleet
from boragefold.coordination.rates import limits
from boragefold.coordination.rates import service
from boragefold.policy import token_balance
from boragefold.telemetry import counters as counting

REQUESTS_PER_SECOND = 29_000 / 890
LOAD = 0.7
MEAN_USED_TOKENS = 186.7
BURST_SECONDS = 3.0
# A smaller part in each data centre would make every request a loan.
LEAST_BURST_TOKENS = 4000.0
WARM_UP_SECONDS = 6.0
MEASURED_SECONDS = 20.0
INSTANCE_COUNTS = (3, 7, 15, 31)
WORKSPACE_COUNTS = (5, 100)


class Traffic(NamedTuple):
    """What the rates cost one instance, on average."""

    instances: int
    data_centres: int
    workspaces: int
    requests_per_second: float
    messages_per_second: float
    bytes_per_second: float
    core_part: float
    admitted_part: float


class _Load:
    """Random requests of random workspaces at every instance."""

    def __init__(
        self, *, fleet: rate_fleet.VirtualFleet, workspaces: int
    ) -> None:
        self._fleet = fleet
        self._names = [f"team/{number}" for number in range(workspaces)]
        # Popularity is skewed: a few workspaces are large.
        self.weights = [1.0 / (1 + rank) for rank in range(workspaces)]
        self.served: list[rate_callers.Served] = []

    def rates(self, instances: int) -> dict[str, limits.Limit]:
        """Give each workspace a rate that its callers use to a good part."""
        used = REQUESTS_PER_SECOND * instances * MEAN_USED_TOKENS / LOAD
        whole = sum(self.weights)
        return {
            name: limits.Limit(
                used * weight / whole,
                max(LEAST_BURST_TOKENS, used * weight / whole * BURST_SECONDS),
            )
            for name, weight in zip(self._names, self.weights, strict=True)
        }

    def add(
        self, instance: rate_fleet.Instance, tokens: token_balance.TokenBalance
    ) -> None:
        """Send requests to an instance, for as long as it runs."""
        callers = [
            rate_callers.Caller(
                tokens=tokens,
                workspace=name,
                timers=instance.timers,
                alive=lambda: True,
            )
            for name in self._names
        ]
        source = self._fleet.random

        def call() -> None:
            now_seconds = instance.timers.now_seconds()
            caller = source.choices(callers, self.weights)[0]
            self.served.append(
                caller.call(rate_callers.draw(source, now_seconds))
            )
            instance.timers.once(
                delay_seconds=source.expovariate(REQUESTS_PER_SECOND),
                callback=call,
            )

        instance.timers.once(delay_seconds=WARM_UP_SECONDS, callback=call)


def traffic(
    *, instances: int, workspaces: int, data_centres: int = 3, seed: int = 1
) -> Traffic:
    """Measure a fleet under a mixed load of 70% of every rate.

    :param instances: of the whole fleet
    :param workspaces: that are in use
    :param data_centres: over which the instances are spread
    :param seed: of every random choice
    :return: the cost to one instance, without what the bench's callers cost
    """
    leased = _Run(
        instances=instances,
        workspaces=workspaces,
        data_centres=data_centres,
        seed=seed,
        leased=True,
    )
    local = _Run(
        instances=instances,
        workspaces=workspaces,
        data_centres=data_centres,
        seed=seed,
        leased=False,
    )
    share = instances * MEASURED_SECONDS
    served = leased.load.served
    admitted = sum(each.charged_at_seconds is not None for each in served)
    return Traffic(
        instances=instances,
        data_centres=data_centres,
        workspaces=workspaces,
        requests_per_second=len(served) / share,
        messages_per_second=leased.messages / share,
        bytes_per_second=leased.message_bytes / share,
        core_part=(leased.busy_seconds - local.busy_seconds) / share,
        admitted_part=admitted / len(served),
    )


class _Run:
    """One fleet, run to the end."""

    def __init__(
        self,
        *,
        instances: int,
        workspaces: int,
        data_centres: int,
        seed: int,
        leased: bool,
    ) -> None:
        names = tuple(f"dc{number}" for number in range(data_centres))
        fleet = rate_fleet.VirtualFleet(seed=seed, data_centres=names)
        self.load = _Load(fleet=fleet, workspaces=workspaces)
        rates = self.load.rates(instances)
        for name in itertools.islice(itertools.cycle(names), instances):
            instance = fleet.start(name)
            tokens = (
                _granted_tokens(fleet, instance, rates)
                if leased
                else _unlimited_balance(instance)
            )
            self.load.add(instance, tokens)
        for name in names:
            fleet.change_view(name)
        fleet.run_until(WARM_UP_SECONDS)
        messages, message_bytes = fleet.messages, fleet.message_bytes
        started_seconds = time.process_time()
        fleet.run_until(WARM_UP_SECONDS + MEASURED_SECONDS)
        self.busy_seconds = time.process_time() - started_seconds
        self.messages = fleet.messages - messages
        self.message_bytes = fleet.message_bytes - message_bytes


def _granted_tokens(
    fleet: rate_fleet.VirtualFleet,
    instance: rate_fleet.Instance,
    rates: dict[str, limits.Limit],
) -> token_balance.TokenBalance:
    own = service.Rates(
        peers=instance.link,
        rights=instance.rights,
        timers=instance.timers,
        counters=counting.Counters(),
    )
    own.update_data_centres(
        revision=1, weights=dict.fromkeys(fleet.data_centres, 1.0)
    )
    own.update_workspaces(rates)
    return own.token_balance


def _unlimited_balance(
    instance: rate_fleet.Instance,
) -> token_balance.TokenBalance:
    return rate_baselines.LocalBucket(
        timers=instance.timers,
        limit=limits.Limit(1e9, 1e9),
        level_tokens=1e9,
    )


def measure() -> list[Traffic]:
    """Measure every size.

    :return: one result per number of instances and workspaces
    """
    return [
        traffic(instances=instances, workspaces=workspaces)
        for workspaces in WORKSPACE_COUNTS
        for instances in INSTANCE_COUNTS
    ]


@click.command()
def main() -> None:
    """Print the costs as a table."""
    click.echo(
        "| workspaces | instances | messages/s | bytes/s | core | admitted |"
    )
    click.echo("| --- | --- | --- | --- | --- | --- |")
    for each in measure():
        click.echo(
            f"| {each.workspaces} | {each.instances}"
            f" | {each.messages_per_second:.1f}"
            f" | {each.bytes_per_second:.0f} | {each.core_part:.2%}"
            f" | {each.admitted_part:.2%} |"
        )


if __name__ == "__main__":
    main()

__all__ = [
    "Traffic",
    "measure",
    "traffic",
]
