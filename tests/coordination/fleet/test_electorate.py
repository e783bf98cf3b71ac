"""Tests the voters for engines' leases, with a fleet in virtual time."""

from __future__ import annotations

import pytest

from boragefold.coordination.fleet import voter_sets
from tests.fakes import gateways

SETTLED_SECONDS = 6.0
NOTICED_SECONDS = 3.0


def settled(count=9):
    fleet = gateways.Gateways(count)
    fleet.run(SETTLED_SECONDS)
    return fleet


def voters_of(fleet, address):
    instance = fleet.instances[address]
    return voter_sets.Voters(
        self_id=instance.node.self_id, members=instance.members
    )


def of_centre(fleet, centre):
    return [
        address
        for address, instance in fleet.instances.items()
        if instance.node.self_id.data_centre == centre
    ]


def decide(fleet, address, among, centre="dc-a"):
    voted = {fleet.instances[each].node.self_id for each in among}
    return voters_of(fleet, address).for_data_centre(centre).is_majority(voted)


def test_all_instances_name_the_same_voters() -> None:
    fleet = settled()
    named = {
        voters_of(fleet, address).for_data_centre(centre)
        for address in fleet.instances
        for centre in gateways.CENTRES
    }
    assert len(named) == len(gateways.CENTRES)


def test_a_data_centre_that_is_cut_off_decides_alone() -> None:
    # Otherwise its engines get no orders during a network partition.
    fleet = settled()
    near = of_centre(fleet, "dc-a")
    others = [each for each in fleet.addresses if each not in near]
    fleet.cut(near, others)
    fleet.run(NOTICED_SECONDS)
    assert decide(fleet, near[0], near)
    assert not decide(fleet, others[0], others)


def test_an_instance_that_is_cut_off_decides_nothing() -> None:
    # Otherwise it takes the others for gone and claims their engines.
    for count in (6, 7, 9, 12):
        fleet = settled(count)
        lone, *others = fleet.addresses
        fleet.cut([lone], others)
        fleet.run(NOTICED_SECONDS)
        assert not decide(fleet, lone, [lone])
        assert decide(fleet, others[2], others)


def test_the_last_of_a_data_centre_decides_with_votes_from_elsewhere() -> None:
    # Otherwise engines get no orders when most of a data centre was killed.
    fleet = settled()
    last, *killed = of_centre(fleet, "dc-a")
    for address in killed:
        fleet.kill(address)
    fleet.run(NOTICED_SECONDS)
    assert decide(fleet, last, fleet.instances)


def test_the_time_without_a_reachable_majority_is_measured() -> None:
    # Otherwise an owner still sends orders without the lease after its voters
    # are reachable again.
    fleet = settled(3)
    last, *cut_off = fleet.addresses
    voters = voters_of(fleet, last)
    assert voters.majority_lost_seconds(voters.for_data_centre("dc-b")) == 0
    fleet.cut([last], cut_off)
    fleet.run(NOTICED_SECONDS)
    unheard_seconds = voters.majority_lost_seconds(
        voters.for_data_centre("dc-b")
    )
    assert unheard_seconds == pytest.approx(NOTICED_SECONDS, abs=0.6)
    fleet.heal()
    fleet.run(NOTICED_SECONDS)
    assert voters.majority_lost_seconds(voters.for_data_centre("dc-b")) == 0


def test_silent_voters_count_no_longer_after_a_while() -> None:
    # Otherwise an owner whose voters are lost for good never gets a lease, and
    # delays its orders for ever.
    fleet = settled(3)
    last, *killed = fleet.addresses
    for address in killed:
        fleet.kill(address)
    fleet.run(voter_sets.UNREACHABLE_VOTER_SECONDS - NOTICED_SECONDS)
    assert not decide(fleet, last, [last], "dc-b")
    fleet.run(2 * NOTICED_SECONDS)
    assert decide(fleet, last, [last], "dc-b")


def test_many_that_join_dont_outvote_those_that_were_there() -> None:
    # Otherwise nobody has a majority until the new instances may vote.
    fleet = settled(6)
    near = of_centre(fleet, "dc-a")
    for number in range(30):
        address = f"10.2.0.{number}:70"
        fleet.addresses.append(address)
        fleet.start(address)
    fleet.run(1.0)
    assert decide(fleet, near[0], near)


def test_a_new_instance_that_reaches_nobody_decides_nothing() -> None:
    # An instance that starts behind a network partition must not take itself
    # for the only one.
    fleet = settled(3)
    fleet.addresses.append("10.2.0.1:70")
    fleet.cut(fleet.addresses[:3])
    lone = fleet.start("10.2.0.1:70").node.self_id.address
    fleet.run(NOTICED_SECONDS)
    assert not decide(fleet, lone, [lone])


def test_a_seed_that_was_never_heard_blocks_no_other_data_centre() -> None:
    # A seed that never answered must not be the only voter for a data centre
    # without instances.
    seeds = ["10.1.0.0:70", "10.1.0.1:70", "10.8.0.1:70"]
    fleet = gateways.Gateways(6, seeds=seeds)
    fleet.run(SETTLED_SECONDS)
    assert decide(fleet, fleet.addresses[0], fleet.addresses, "dc-z")
