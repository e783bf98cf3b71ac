"""Heartbeats of a large fleet, forwarded by a few hubs."""

from __future__ import annotations

import random

import pytest

from boragefold.coordination.fleet import hubs
from boragefold.protocol import peer_messages as messages
from boragefold.state import published_items
from tests.fakes import gateways

LARGE = 60
SETTLED_SECONDS = 8.0


def candidate(number, centre="dc-a", capacity=10.0):
    return hubs.Candidate(f"10.1.0.{number}:70", centre, capacity)


def large(**options):
    fleet = gateways.Gateways(LARGE, **options)
    fleet.run(SETTLED_SECONDS)
    return fleet


def everyone_hears_everyone(fleet):
    count = len(fleet.instances)
    heard = {
        len(instance.members.reachable())
        for instance in fleet.instances.values()
    }
    return heard == {count - 1}


def hubs_of(fleet, centre):
    ours = [
        hubs.Candidate(address, centre, 0.0)
        for address, instance in fleet.instances.items()
        if instance.node.self_id.data_centre == centre
    ]
    return [hub.address for hub in hubs.rank(ours)[: hubs.MAX_HUBS]]


def test_the_widest_links_are_hubs() -> None:
    # A hub on a narrow link would delay the responses to its callers.
    wide = [candidate(number, capacity=200.0) for number in range(2)]
    narrow = [candidate(number) for number in range(2, 9)]
    chosen = hubs.choose_hubs([*narrow, *wide, candidate(20, "dc-b")])
    assert set(chosen["dc-a"]) == set(wide)
    assert [hub.data_centre for hub in chosen["dc-b"]] == ["dc-b"]


def test_three_are_hubs_where_links_are_alike() -> None:
    chosen = hubs.choose_hubs([candidate(number) for number in range(9)])
    assert len(chosen["dc-a"]) == hubs.MAX_HUBS


def test_a_narrow_link_is_used_if_only_one_is_wide() -> None:
    wide = candidate(0, capacity=200.0)
    chosen = hubs.choose_hubs([wide, *map(candidate, range(1, 5))])
    assert chosen["dc-a"][0] == wide
    assert len(chosen["dc-a"]) == hubs.MIN_HUBS


def test_the_next_hub_is_added_while_one_is_overdue() -> None:
    ranked = hubs.rank([candidate(number) for number in range(9)])
    sound = hubs.uplinks("10.1.0.50:70", ranked)
    late = hubs.uplinks("10.1.0.50:70", ranked, overdue=sound)
    assert len(sound) == hubs.UPLINKS
    assert late[: hubs.UPLINKS] == sound
    assert len(late) == 2 * hubs.UPLINKS


def test_hubs_share_the_instances_of_their_data_centre() -> None:
    ranked = hubs.rank([candidate(number) for number in range(30)])
    spoken_to = [
        hubs.uplinks(f"10.1.0.{number}:70", ranked)[0]
        for number in range(30, 90)
    ]
    assert max(map(spoken_to.count, spoken_to)) < 35


def test_a_large_fleet_sends_few_heartbeats() -> None:
    fleet = large()
    before = fleet.network.sent
    fleet.run(10.0)
    # If each sent to each, this would be 3,540 for each half second.
    assert (fleet.network.sent - before) / 10 < 900
    assert everyone_hears_everyone(fleet)


def test_each_engine_of_a_large_fleet_has_one_owner() -> None:
    fleet = large()
    assert all(len(owners) == 1 for owners in fleet.claimants().values())


def test_all_hubs_of_a_data_centre_are_lost_at_once() -> None:
    # The loss of all hubs must not make engines change owners.
    fleet = large()
    owners = fleet.claimants()
    lost = hubs_of(fleet, "dc-a")
    flaps = []
    for instance in fleet.instances.values():
        instance.members.subscribe(
            on_beat=lambda sender, beat: None,
            on_silent=lambda peer, silent: flaps.append(peer.address),
        )
    for address in lost:
        fleet.kill(address)
    fleet.run(6.0)
    assert everyone_hears_everyone(fleet)
    assert set(flaps) <= set(lost)
    kept = {
        engine: held
        for engine, held in owners.items()
        if held[0] in fleet.instances
    }
    after = fleet.claimants()
    assert {engine: after[engine] for engine in kept} == kept
    for address in lost:
        fleet.start(address)
    fleet.run(8.0)
    assert everyone_hears_everyone(fleet)


def test_a_hub_that_was_restarted_is_a_hub_for_all() -> None:
    # The instance that replaced a killed hub stayed a hub beside the restarted
    # one for as long as the timeout of the previous process counted against
    # the new one, and no instance sent the replacement any sums.
    fleet = gateways.Gateways(24)
    fleet.run(SETTLED_SECONDS)
    hubs_of_all = {
        hub for centre in gateways.CENTRES for hub in hubs_of(fleet, centre)
    }
    for hub in sorted(hubs_of_all):
        fleet.kill(hub)
        fleet.run(2.5)
        fleet.start(hub)
        fleet.run(3.0)
        assert hubs_of_all == {
            address
            for address, instance in fleet.instances.items()
            if instance.heartbeats.is_hub
        }


def test_a_killed_owner_of_a_large_fleet_is_replaced() -> None:
    fleet = large()
    (owner,) = fleet.claimants()["e0"]
    fleet.kill(owner)
    fleet.run(4.0)
    assert all(len(owners) == 1 for owners in fleet.claimants().values())


def test_an_owner_that_leaves_is_replaced_at_once() -> None:
    # The change must be sent on without waiting for the next heartbeats.
    fleet = large()
    (owner,) = fleet.claimants()["e0"]
    fleet.instances[owner].leaving = True
    fleet.run(0.6)
    (successor,) = fleet.claimants()["e0"]
    assert successor != owner


@pytest.mark.parametrize("seed", range(3))
def test_a_large_fleet_finds_itself_after_cuts_and_kills(seed) -> None:
    # After a partition with failures on both sides, all must rejoin.
    fleet = large(seed=seed, loss=0.01)
    rng = fleet.network.random
    inside = [
        address
        for address, instance in fleet.instances.items()
        if instance.node.self_id.data_centre == "dc-b"
    ]
    outside = [each for each in fleet.addresses if each not in inside]
    fleet.cut(inside, outside)
    fleet.run(2.0)
    lost = rng.sample(fleet.addresses, LARGE // 2)
    for address in lost:
        fleet.kill(address)
    fleet.run(4.0)
    for address in lost:
        fleet.start(address)
    fleet.run(1.0)
    fleet.heal()
    fleet.run(10.0)
    assert everyone_hears_everyone(fleet)
    assert all(len(owners) == 1 for owners in fleet.claimants().values())


def test_a_change_that_one_instance_read_is_everywhere_at_once() -> None:
    # A withdrawn key must be known without waiting for the next heartbeats.
    fleet = large()
    for instance in fleet.instances.values():
        instance.behind = True
    reader = fleet.instances[fleet.addresses[40]]
    item = published_items.Item("op/config", 9, b"new")
    reader.items.take([item], revision=9)
    fleet.run(0.5)
    revisions = {each.items.revision for each in fleet.instances.values()}
    assert revisions == {9}


def test_a_partition_causes_few_connection_attempts() -> None:
    # Each instance tried to contact up to a dozen behind the partition every
    # second, on connections that don't open.
    fleet = large()
    inside = [
        address
        for address, instance in fleet.instances.items()
        if instance.node.self_id.data_centre == "dc-b"
    ]
    outside = [each for each in fleet.addresses if each not in inside]
    fleet.cut(inside, outside)
    fleet.run(4.0)
    across = []
    post = fleet.network.post

    def counted(sender, to, body):
        if (sender.address in inside) != (to.address in inside):
            across.append(to.address)
        post(sender, to, body)

    fleet.network.post = counted
    fleet.run(4.0)
    # The limit that all instances share, and some attempts by hubs.
    assert len(across) / 4.0 < 8 * LARGE
    fleet.network.post = post
    fleet.heal()
    fleet.run(5.0)
    assert everyone_hears_everyone(fleet)


def test_an_instance_that_is_cut_off_alone_serves_what_it_can() -> None:
    # After its partition heals, an isolated instance must rejoin the fleet.
    fleet = large()
    alone = fleet.addresses[-1]
    fleet.cut([alone], [each for each in fleet.addresses if each != alone])
    fleet.run(5.0)
    assert not fleet.instances[alone].members.reachable()
    fleet.heal()
    fleet.run(5.0)
    assert everyone_hears_everyone(fleet)


def test_several_hubs_changes_of_engines_add_up_to_their_state() -> None:
    # Each hub's changes refer to its own last report; applied to another's,
    # or twice, they left adapters out for good.
    fleet = gateways.Gateways(24)
    held = {
        engine.name: [f"a{number}" for number in range(5)]
        for engine in fleet.engines
    }
    fleet.status = lambda name: messages.EngineStatus(
        name,
        ("base",),
        tuple(("base", each) for each in held[name]),
        *(0.0, 0.0, 0, 0.0),
    )
    fleet.run(8.0)
    rng = random.Random(1)
    for step in range(40):
        adapters = held[rng.choice(sorted(held))]
        adapters.pop(rng.randrange(len(adapters)))
        adapters.append(f"n{step}")
        fleet.run(rng.uniform(0.05, 0.6))
    fleet.run(3.0)
    views = [
        (engine.name, sorted(adapter for _, adapter in engine.adapters))
        for instance in fleet.instances.values()
        for beat in instance.members.heartbeats()
        for engine in beat.engines
    ]
    assert len(views) > len(held)
    assert [
        (name, adapters)
        for name, adapters in views
        if adapters != sorted(held[name])
    ] == []
