"""Simulated fleets with faults, checked by the engines' logs of orders."""

from __future__ import annotations

import math

import pytest

from tests.fakes import fleet_plans
from tests.fakes import fleet_walk

Fault = fleet_walk.Fault

SEEDS = 2
# Each of these schedules takes as long as four others.
SEEDS_OF_LONG_CUTS = 1
THREE_CENTRES = {"dc-a": 3, "dc-b": 2, "dc-c": 1}
# Time to detect a partition or a killed instance, and for the lease of the
# previous owner to expire.
FAILOVER_SECONDS = 6.0
IDLE_FROM_SECONDS = 7.0
# Limit of the time without orders while votes of lost instances are awaited.
MAX_VOTE_WAIT_SECONDS = 20.0


def addresses(centre, centres):
    return tuple(fleet_walk.addresses_of(centre, centres))


def others(centres, *group):
    return tuple(
        address
        for centre in centres
        for address in addresses(centre, centres)
        if address not in group
    )


def cut_off(centres, *group, seconds=10.0):
    return Fault(1.0, "cut", group, seconds, others(centres, *group))


def gaps_seconds(centres, faults, *, seconds, seed=1):
    walk = fleet_walk.FleetWalk(seed=seed, centres=centres, faults=faults)
    assert not walk.run(seconds)
    return {name: walk.longest_gap_seconds(name) for name in walk.models}


@pytest.mark.parametrize("kind", fleet_plans.KINDS)
def test_no_fleet_has_two_givers_at_one_engine(kind) -> None:
    # Two instances that can't reach each other must never both order at one
    # engine.
    seeds = SEEDS_OF_LONG_CUTS if kind.startswith("long") else SEEDS
    broken = {}
    for seed in range(seeds):
        schedule = fleet_plans.draw(seed=seed, kind=kind)
        walk = fleet_walk.FleetWalk(
            seed=seed, centres=schedule.centres, faults=schedule.faults
        )
        if found := walk.run(schedule.seconds):
            broken[seed] = found
    assert not broken


def test_the_engines_of_a_data_centre_that_is_cut_off_get_orders() -> None:
    # An owner must get its lease without votes from other data centres.
    near = addresses("dc-a", THREE_CENTRES)
    faults = [cut_off(THREE_CENTRES, *near)]
    gaps = gaps_seconds(THREE_CENTRES, faults, seconds=10.0)
    assert max(gaps.values()) < FAILOVER_SECONDS


@pytest.mark.parametrize("number", [0, 1])
@pytest.mark.parametrize("fault", ["cut", "kill"])
def test_a_data_centre_of_two_that_lost_one_goes_on(number, fault) -> None:
    # One of two instances is no majority, so instances of other data centres
    # must vote for the remaining one.
    lost = addresses("dc-b", THREE_CENTRES)[number]
    faults = [
        Fault(1.0, "kill", (lost,), math.inf)
        if fault == "kill"
        else cut_off(THREE_CENTRES, lost)
    ]
    gaps = gaps_seconds(THREE_CENTRES, faults, seconds=9.0)
    assert max(gaps.values()) < FAILOVER_SECONDS


def test_the_last_of_a_data_centre_gives_orders_after_a_while() -> None:
    # Killed instances never vote again and nobody can know that, so the wait
    # for their votes must be bounded.
    centres = {"dc-a": 4, "dc-b": 1}
    first, *lost = addresses("dc-a", centres)
    faults = [Fault(1.0, "kill", tuple(lost), math.inf)]
    gaps = gaps_seconds(centres, faults, seconds=24.0)
    assert max(gaps.values()) < MAX_VOTE_WAIT_SECONDS


def test_a_planned_stop_costs_no_wait_for_votes() -> None:
    # An instance that left as planned must not be waited for like one that
    # fell silent.
    centres = {"dc-a": 3, "dc-b": 1}
    (last,) = addresses("dc-b", centres)
    faults = [Fault(1.0, "leave", (last,), 2.5)]
    gaps = gaps_seconds(centres, faults, seconds=12.0)
    assert max(gaps.values()) < FAILOVER_SECONDS


def test_orders_go_on_soon_after_a_cut_has_healed() -> None:
    # The wait for silent voters must end when they are heard again.
    centres = {"dc-a": 2, "dc-b": 1, "dc-c": 1}
    lost = (*addresses("dc-b", centres), *addresses("dc-c", centres))
    lost = (addresses("dc-a", centres)[1], *lost)
    faults = [cut_off(centres, each, seconds=5.0) for each in lost]
    gaps = gaps_seconds(centres, faults, seconds=14.0)
    assert max(gaps.values()) < 5.0 + FAILOVER_SECONDS


class IdleFleet(fleet_walk.FleetWalk):
    """A fleet that gets no requests for adapters during most of a cut."""

    idle_until_seconds = 25.0

    def _ask_owners(self) -> None:
        if IDLE_FROM_SECONDS < self.now() < self.idle_until_seconds:
            self.later(0.1, self._ask_owners)
            return
        super()._ask_owners()


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("number", [0, 2])
def test_one_that_is_alone_after_a_lull_lets_others_order_first(
    number, seed
) -> None:
    # After a period without requests, an isolated instance must not serve the
    # first ones at the same time as the holder of the lease.
    centres = {"dc-a": 3, "dc-b": 1}
    lone = addresses("dc-a", centres)[number]
    faults = [cut_off(centres, lone, seconds=22.0)]
    walk = IdleFleet(seed=seed, centres=centres, faults=faults)
    assert not walk.run(22.5)


@pytest.mark.parametrize("seed", range(3))
def test_several_that_are_alone_after_a_lull_dont_order_at_once(seed) -> None:
    # Isolated instances order in turns; a period without requests must not
    # use up all their waits, or they all order when requests come again.
    centres = {"dc-a": 3}
    faults = [
        cut_off(centres, each, seconds=60.0)
        for each in addresses("dc-a", centres)
    ]
    walk = IdleFleet(seed=seed, centres=centres, faults=faults)
    walk.idle_until_seconds = 37.0
    assert not walk.run(44.0)
