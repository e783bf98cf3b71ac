"""One run: a scenario, a deployment's size and a system."""

from __future__ import annotations

from collections.abc import Container
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import functools
import itertools
from typing import NamedTuple

from boragefold.bench import baselines
from boragefold.bench import deployments
from boragefold.bench import fleet as fleets
from boragefold.bench import ledger
from boragefold.bench import measures
from boragefold.bench import scenarios
from boragefold.bench import served
from boragefold.bench import system as systems
from boragefold.bench import traffic

ROUND_ROBIN = "round robin"
LEAST_LOADED = "least loaded"
BASELINES = (ROUND_ROBIN, LEAST_LOADED)
BORAGEFOLD = "boragefold"
SYSTEMS = (BORAGEFOLD, *BASELINES)


class Run(NamedTuple):
    """A run and its figures."""

    scenario: str
    deployment: str
    system: str
    measures: measures.Measures


def play_all(
    *,
    names: Iterable[str],
    places: Iterable[str],
    only: Mapping[str, Container[str]] | None = None,
) -> Iterator[Run]:
    """Play scenarios at deployments' sizes, each with all systems.

    :param names: of scenarios
    :param places: names of deployments
    :param only: if given, the scenarios of each deployment to keep to
    :return: runs, as they end
    """
    for name, place, system in itertools.product(names, places, SYSTEMS):
        if only is None or name in only.get(place, ()):
            yield play(
                scenario=scenarios.SCENARIOS[name],
                deployment=deployments.DEPLOYMENTS[place],
                system=system,
            )


def play(
    *,
    scenario: scenarios.Scenario,
    deployment: deployments.Deployment,
    system: str,
) -> Run:
    """Play one scenario.

    :param scenario: which one
    :param deployment: at whose size
    :param system: one of SYSTEMS
    :return: its figures
    """
    fleet = fleets.Fleet(
        deployment=deployment,
        seed=scenario.seed,
        loads_at_engine=system in BASELINES,
    )
    for engine in fleet.engines.values():
        if engine.size.model == deployments.MODEL:
            fleet.loading.preload(
                engine, traffic.most_popular(deployment.slots)
            )
    rates = deployment.rates_tokens_per_second(scenario.sold_part)
    arrivals = traffic.Traffic(
        deployment=deployment,
        pattern=scenario.pattern,
        end_seconds=scenarios.END_SECONDS,
        seed=scenario.seed,
    ).arrivals()
    for at_seconds, fault in scenario.faults:
        fleet.service.once(
            delay_seconds=at_seconds,
            callback=functools.partial(fault, fleet),
        )
    fleet.run(
        system=_build(system, fleet, rates, scenario.seed),
        arrivals=list(arrivals),
        end_seconds=scenarios.END_SECONDS,
        oracle=ledger.RateOracle(
            rates_tokens_per_second=rates,
            burst_seconds=deployments.BURST_SECONDS,
        ),
    )
    return Run(
        scenario=scenario.name,
        deployment=deployment.name,
        system=system,
        measures=measures.measure(
            fleet=fleet,
            rates_tokens_per_second=rates,
            warm_up_seconds=scenarios.WARM_UP_SECONDS,
            end_seconds=scenarios.END_SECONDS,
        ),
    )


def _build(
    name: str, fleet: fleets.Fleet, rates: dict[str, float], seed: int
) -> systems.System:
    if name == BORAGEFOLD:
        return served.Boragefold(
            fleet=fleet, rates_tokens_per_second=rates, seed=seed
        )
    if name == ROUND_ROBIN:
        return baselines.RoundRobin(fleet=fleet)
    return baselines.LeastLoaded(
        fleet=fleet,
        rates_tokens_per_second=rates,
        burst_seconds=deployments.BURST_SECONDS,
    )


__all__ = [
    "BASELINES",
    "BORAGEFOLD",
    "LEAST_LOADED",
    "ROUND_ROBIN",
    "Run",
    "SYSTEMS",
    "play",
    "play_all",
]
