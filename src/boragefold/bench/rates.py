"""Compares ways to hold a rate: refusals inside it, and the worst window.

Run it with ``python -m boragefold.bench.rates``.
"""

from __future__ import annotations

from collections.abc import Callable
import functools
import itertools
from typing import Literal
from typing import NamedTuple

import click

from boragefold.bench import rate_baselines
from boragefold.bench import rate_callers
from boragefold.bench import rate_fleet
from boragefold.bench import rate_scenarios
from boragefold.coordination.rates import limits
from boragefold.coordination.rates import service
from boragefold.policy import token_balance
from boragefold.telemetry import counters as counting

Way = Literal["leased", "share", "full"]

WORKSPACE = "quadro/drafts"
LIMIT = limits.Limit(3000.0, 9000.0)
DATA_CENTRES = ("north", "south", "west")
# Buckets of fresh holders fill up first.
WARM_UP_SECONDS = 10.0
MEASURED_SECONDS = 60.0
FAULT_PERIOD_SECONDS = 10.0
DETECTION_SECONDS = 1.5
PAUSE_SECONDS = 4.0
CUT_SECONDS = 20.0


class Result(NamedTuple):
    """What a way to hold the rate did in a scenario.

    ``delivered_part`` compares the tokens used with those of the ideal
    bucket. The excess is that of the worst window over burst and rate, counted
    when tokens are charged and when requests end; negative is within.
    """

    scenario: str
    way: Way
    requests: int
    refused_inside_part: float
    delivered_part: float
    charged_excess_tokens: float
    ended_excess_tokens: float


class _Slot:
    """A place of the fleet, and the process that runs in it now."""

    def __init__(self, *, data_centre: str, weight: float) -> None:
        self.data_centre = data_centre
        self.weight = weight
        self.instance: rate_fleet.Instance | None = None
        self.caller: rate_callers.Caller | None = None
        self.leave: Callable[[], None] = lambda: None


class Run:
    """One scenario with one way to hold the rate."""

    def __init__(
        self, *, scenario: rate_scenarios.Scenario, way: Way, seed: int
    ) -> None:
        """Start the instances.

        :param scenario: what happens
        :param way: how the rate is held
        :param seed: of every random choice
        """
        self._scenario = scenario
        self._way = way
        self.fleet = rate_fleet.VirtualFleet(
            seed=seed, data_centres=DATA_CENTRES
        )
        self._slots = [
            _Slot(data_centre=name, weight=weight)
            for name, weight in zip(
                itertools.cycle(DATA_CENTRES), scenario.weights, strict=False
            )
        ]
        self.served: list[rate_callers.Served] = []
        for slot in self._slots:
            self._start(slot)
        for name in DATA_CENTRES:
            self.fleet.change_view(name)

    def result(self) -> Result:
        """Run to the end.

        :return: what was measured
        """
        self._plan_faults()
        self._plan_calls()
        self.fleet.run_until(WARM_UP_SECONDS + MEASURED_SECONDS + 10.0)
        inside = rate_callers.inside_rate(
            [each.demand for each in self.served], LIMIT
        )
        admitted = [
            each.charged_at_seconds is not None for each in self.served
        ]
        refused = sum(
            was_inside and not was_admitted
            for was_inside, was_admitted in zip(inside, admitted, strict=True)
        )
        ideal_tokens = sum(
            each.demand.used_tokens
            for each in itertools.compress(self.served, inside)
        )
        charged = [
            (each.charged_at_seconds, each.demand.used_tokens)
            for each in self.served
            if each.charged_at_seconds is not None
        ]
        ended = [
            (each.settled_at_seconds, each.demand.used_tokens)
            for each in self.served
            if each.settled_at_seconds is not None
        ]
        return Result(
            scenario=self._scenario.name,
            way=self._way,
            requests=len(self.served),
            refused_inside_part=refused / max(1, sum(inside)),
            delivered_part=sum(tokens for _at, tokens in charged)
            / ideal_tokens,
            charged_excess_tokens=rate_callers.excess_tokens(charged, LIMIT),
            ended_excess_tokens=rate_callers.excess_tokens(ended, LIMIT),
        )

    def _start(self, slot: _Slot) -> None:
        instance = self.fleet.start(slot.data_centre)
        slot.instance = instance
        slot.caller = rate_callers.Caller(
            tokens=self._token_balance(slot, instance),
            workspace=WORKSPACE,
            timers=instance.timers,
            alive=lambda: not instance.dead,
        )

    def _token_balance(
        self, slot: _Slot, instance: rate_fleet.Instance
    ) -> token_balance.TokenBalance:
        if self._way != "leased":
            part = LIMIT.part(1 / rate_scenarios.INSTANCES)
            full = self._way == "full"
            return rate_baselines.LocalBucket(
                timers=instance.timers,
                limit=LIMIT._replace(
                    rate_tokens_per_second=part.rate_tokens_per_second
                )
                if full
                else part,
                level_tokens=LIMIT.burst_tokens if full else part.burst_tokens,
            )
        rates = service.Rates(
            peers=instance.link,
            rights=instance.rights,
            timers=instance.timers,
            counters=counting.Counters(),
        )
        rates.update_data_centres(
            revision=1, weights=dict.fromkeys(DATA_CENTRES, 1.0)
        )
        rates.update_workspaces({WORKSPACE: LIMIT})
        slot.leave = rates.leave
        return rates.token_balance

    def _plan_calls(self) -> None:
        source = self.fleet.random
        mean_used_tokens = 186.7
        rate = LIMIT.rate_tokens_per_second * self._scenario.load
        at_seconds = WARM_UP_SECONDS
        while at_seconds < WARM_UP_SECONDS + MEASURED_SECONDS:
            at_seconds += source.expovariate(rate / mean_used_tokens)
            demand = rate_callers.draw(source, at_seconds)
            self._at(at_seconds, functools.partial(self._call, demand))

    def _call(self, demand: rate_callers.Demand) -> None:
        able = [
            slot
            for slot in self._slots
            if slot.instance is not None
            and not slot.instance.dead
            and not slot.instance.paused
            and slot.weight
        ]
        weights = [slot.weight for slot in able]
        slot = self.fleet.random.choices(able, weights)[0]
        assert slot.caller is not None
        self.served.append(slot.caller.call(demand))

    def _plan_faults(self) -> None:
        if self._scenario.fault == "cut":
            self._at(WARM_UP_SECONDS + 10.0, lambda: self._cut("south"))
            self._at(
                WARM_UP_SECONDS + 10.0 + CUT_SECONDS, lambda: self._cut(None)
            )
            return
        if self._scenario.fault == "none":
            return
        count = int(MEASURED_SECONDS / FAULT_PERIOD_SECONDS)
        for number in range(count):
            slot = self._slots[number % rate_scenarios.INSTANCES]
            self._at(
                WARM_UP_SECONDS + (number + 0.5) * FAULT_PERIOD_SECONDS,
                functools.partial(self._disturb, slot),
            )

    def _at(self, at_seconds: float, callback: Callable[[], None]) -> None:
        now_seconds = self.fleet.clock.now_seconds()
        self.fleet.timers.once(
            delay_seconds=at_seconds - now_seconds, callback=callback
        )

    def _cut(self, data_centre: str | None) -> None:
        self.fleet.cut_off = data_centre

    def _disturb(self, slot: _Slot) -> None:
        assert slot.instance is not None
        now_seconds = self.fleet.clock.now_seconds()
        if self._scenario.fault == "kill":
            self.fleet.kill(slot.instance)
            self._at(
                now_seconds + DETECTION_SECONDS, lambda: self._restart(slot)
            )
        elif self._scenario.fault == "leave":
            leaving = slot.instance
            self._start(slot)
            leaving.rights.left = True
            self.fleet.change_view(slot.data_centre)
        else:
            slot.instance.paused = True
            self._at(
                now_seconds + DETECTION_SECONDS,
                lambda: self.fleet.change_view(slot.data_centre),
            )
            self._at(now_seconds + PAUSE_SECONDS, lambda: self._wake(slot))

    def _restart(self, slot: _Slot) -> None:
        self._start(slot)
        self.fleet.change_view(slot.data_centre)

    def _wake(self, slot: _Slot) -> None:
        assert slot.instance is not None
        slot.instance.resume()
        self.fleet.change_view(slot.data_centre)


def compare(*, seed: int = 1) -> list[Result]:
    """Run every scenario with every way.

    :param seed: of every random choice
    :return: the results, by scenario
    """
    ways: tuple[Way, ...] = ("leased", "share", "full")
    return [
        Run(scenario=scenario, way=way, seed=seed).result()
        for scenario in rate_scenarios.SCENARIOS
        for way in ways
    ]


@click.command()
@click.option("--seed", default=1, help="seed of every random choice")
def main(seed: int) -> None:
    """Print the comparison as a table."""
    click.echo("| scenario | way | refused inside | delivered | excess |")
    click.echo("| --- | --- | --- | --- | --- |")
    for result in compare(seed=seed):
        click.echo(
            f"| {result.scenario} | {result.way}"
            f" | {result.refused_inside_part:.2%}"
            f" | {result.delivered_part:.1%}"
            f" | {result.charged_excess_tokens:+.0f}"
            f" ({result.ended_excess_tokens:+.0f}) |"
        )


if __name__ == "__main__":
    main()

__all__ = [
    "Result",
    "Run",
    "compare",
    "main",
]
