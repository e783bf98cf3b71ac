"""Discovery, engine ownership, and the forwarding of published changes."""

from __future__ import annotations

import pytest

from boragefold.coordination.fleet import owner_changes
from boragefold.coordination.fleet import relay
from boragefold.state import published_items
from tests.fakes import gateways

SETTLED_SECONDS = 6.0


def settled(**options):
    fleet = gateways.Gateways(**options)
    fleet.run(SETTLED_SECONDS)
    return fleet


def everyone_knows_everyone(fleet):
    count = len(fleet.instances)
    return all(
        len(instance.members.reachable()) == count - 1
        for instance in fleet.instances.values()
    )


def one_owner_each(fleet):
    return all(len(owners) == 1 for owners in fleet.claimants().values())


def test_all_find_each_other_through_three_seeds() -> None:
    fleet = gateways.Gateways()
    fleet.run(3.0)
    assert everyone_knows_everyone(fleet)


def test_a_stale_seed_and_two_that_are_down_are_enough_with_one() -> None:
    fleet = gateways.Gateways(
        seeds=["10.7.7.7:70", "10.7.7.8:70", "10.1.0.4:70"]
    )
    fleet.run(4.0)
    assert everyone_knows_everyone(fleet)


def test_a_restarted_instance_is_found_though_its_seeds_are_down() -> None:
    # The other instances must remember the address of a killed instance.
    fleet = settled()
    lost = fleet.addresses[6]
    fleet.kill(lost)
    fleet.run(2.0)
    fleet.start(lost, seeds=["10.7.7.7:70"])
    fleet.run(4.0)
    assert everyone_knows_everyone(fleet)


def test_lost_messages_make_no_instance_silent() -> None:
    fleet = settled(loss=0.03)
    flaps = []
    for instance in fleet.instances.values():
        instance.members.subscribe(
            on_beat=lambda sender, beat: None,
            on_silent=lambda peer, silent: flaps.append(peer),
        )
    fleet.run(20.0)
    assert not flaps


def test_each_engine_has_one_owner_of_its_data_centre() -> None:
    fleet = settled()
    assert one_owner_each(fleet)
    for engine in gateways.ENGINES:
        (owner,) = fleet.claimants()[engine.name]
        instance = fleet.instances[owner]
        assert instance.node.self_id.data_centre == engine.data_centre


def test_engines_have_owners_soon_after_all_were_killed() -> None:
    # No instance may claim every engine while it is still discovering others.
    fleet = gateways.Gateways()
    fleet.run(1.0)
    assert not any(fleet.claimants().values())
    fleet.run(1.0)
    assert one_owner_each(fleet)


def test_a_killed_owner_is_replaced_within_two_seconds() -> None:
    fleet = settled()
    (owner,) = fleet.claimants()["e0"]
    fleet.kill(owner)
    fleet.run(2.0)
    assert one_owner_each(fleet)


def test_a_restarted_owner_doesnt_reclaim_its_engines() -> None:
    # An engine serves nothing for a while whenever its owner changes, so a
    # restart must not cause a second change.
    fleet = settled()
    (owner,) = fleet.claimants()["e0"]
    fleet.kill(owner)
    fleet.run(3.0)
    (successor,) = fleet.claimants()["e0"]
    fleet.start(owner)
    fleet.run(10.0)
    assert fleet.claimants()["e0"] == [successor]


def test_an_instance_that_leaves_hands_its_engines_over_at_once() -> None:
    fleet = settled()
    (owner,) = fleet.claimants()["e0"]
    fleet.instances[owner].leaving = True
    fleet.run(0.8)
    (successor,) = fleet.claimants()["e0"]
    assert successor != owner


def test_the_last_of_a_data_centre_tells_the_others_that_it_leaves() -> None:
    # Without a hub in its data centre, the instance sent its heartbeats to
    # nobody, and the others saw it become silent instead of leaving.
    fleet = settled(count=3)
    leaver = fleet.instances["10.1.0.1:70"]
    leaver.leaving = True
    fleet.run(0.2)
    for address in ("10.1.0.0:70", "10.1.0.2:70"):
        told = fleet.instances[address].members.reachable()
        leaving = [each.instance.address for each in told if each.beat.leaving]
        assert leaving == ["10.1.0.1:70"]
    fleet.run(4.0)
    assert everyone_knows_everyone(fleet)


@pytest.mark.parametrize("seed", range(5))
def test_the_last_of_a_data_centre_hears_the_others_while_it_leaves(
    seed,
) -> None:
    # The hubs of other data centres sent it no reports, so it considered all
    # other instances lost.
    fleet = gateways.Gateways(3, seed=seed)
    fleet.run(8.0)
    leaver = fleet.instances["10.1.0.1:70"]
    leaver.leaving = True
    for _ in range(20):
        fleet.run(0.2)
        assert len(leaver.members.reachable()) == 2
        assert everyone_knows_everyone(fleet)


def test_an_engine_that_its_owner_cant_reach_goes_to_another() -> None:
    # An engine partitioned from its owner alone must get another owner, which
    # keeps the engine after the partition heals.
    fleet = settled()
    (owner,) = fleet.claimants()["e0"]
    fleet.instances[owner].avoided.add("e0")
    fleet.run(1.0)
    (successor,) = fleet.claimants()["e0"]
    assert successor != owner
    fleet.instances[owner].avoided.clear()
    fleet.run(5.0)
    assert fleet.claimants()["e0"] == [successor]


def test_an_ownership_change_lists_former_owner_and_peers() -> None:
    # The log of an ownership change must hold both for the analysis of an
    # incident.
    fleet = settled()
    engine = gateways.ENGINES[0]
    (lost,) = fleet.claimants()[engine.name]
    fleet.kill(lost)
    fleet.run(2.0)
    (owner,) = fleet.claimants()[engine.name]
    change = fleet.instances[owner].ownership.change(engine)
    near = sum(
        instance.node.self_id.data_centre == engine.data_centre
        for instance in fleet.instances.values()
    )
    assert change.owner == owner
    assert change.former_owner == lost
    assert 1.0 <= change.former_heard_seconds <= 2.5
    assert change.instances_heard == near
    assert change.instances_known == near + 1
    assert change.reason == ""


@pytest.mark.parametrize(
    "reason",
    [owner_changes.LEAVING, owner_changes.UNREACHABLE],
)
def test_an_ownership_change_has_a_reason(reason) -> None:
    # Without a reason, an instance that can't reach an engine looks like one
    # that is itself partitioned.
    fleet = settled()
    engine = gateways.ENGINES[0]
    (former,) = fleet.claimants()[engine.name]
    instance = fleet.instances[former]
    if reason == owner_changes.LEAVING:
        instance.leaving = True
    else:
        instance.avoided = {engine.name}
    fleet.run(1.0)
    (owner,) = fleet.claimants()[engine.name]
    change = instance.ownership.change(engine)
    assert (change.reason, change.owner) == (reason, owner)
    assert owner != former


def test_a_cut_data_centre_keeps_its_own_engines() -> None:
    fleet = settled()
    inside = [
        address
        for address, instance in fleet.instances.items()
        if instance.node.self_id.data_centre == "dc-a"
    ]
    outside = [each for each in fleet.addresses if each not in inside]
    before = fleet.claimants()
    fleet.cut(inside, outside)
    fleet.run(5.0)
    for engine in gateways.ENGINES:
        if engine.data_centre == "dc-a":
            owners = fleet.instances[inside[0]].ownership
            assert owners.owner(engine.name).address in inside
            assert before[engine.name][0] in fleet.claimants()[engine.name]
    fleet.heal()
    fleet.run(5.0)
    assert one_owner_each(fleet)


@pytest.mark.parametrize("seed", range(6))
def test_one_owner_each_after_kills_and_cuts(seed) -> None:
    fleet = settled(seed=seed, loss=0.02)
    rng = fleet.network.random
    for _ in range(6):
        lost = rng.sample(fleet.addresses, 3)
        for address in lost:
            if address in fleet.instances:
                fleet.kill(address)
        half = rng.sample(fleet.addresses, 4)
        fleet.cut(half, [each for each in fleet.addresses if each not in half])
        fleet.run(rng.uniform(0.5, 3.0))
        fleet.heal()
        for address in lost:
            if address not in fleet.instances:
                fleet.start(address)
        fleet.run(rng.uniform(0.5, 3.0))
    fleet.run(12.0)
    assert one_owner_each(fleet)


def test_peers_tell_what_the_store_doesnt() -> None:
    # An instance that the store refuses must still learn of a withdrawn key.
    fleet = settled()
    refused, *others = fleet.instances.values()
    refused.behind = True
    for each in others:
        each.items.take(
            [published_items.Item("op/config", 9, b"new")], revision=9
        )
    fleet.run(1.0)
    assert [item.value for item in refused.items.below("op/")] == [b"new"]
    assert refused.items.revision == 9


def test_prefixes_that_are_read_apart_are_told_apart() -> None:
    # A peer that is behind on one prefix must not hide a newer change of
    # another prefix.
    fleet = settled()
    outdated, half, other, *_ = fleet.instances.values()
    outdated.behind = True
    leaving = published_items.Item("servers/e1", 8, b"leaving")
    changed = published_items.Item("op/config", 9, b"new")
    half.items.take([changed], revision=9)
    fleet.run(1.0)
    other.items.take([changed, leaving], revision=9)
    fleet.run(1.0)
    assert [item.value for item in outdated.items.below("")] == [
        b"new",
        b"leaving",
    ]


def test_a_change_that_is_known_already_isnt_asked_for_again() -> None:
    # Changes that are already known must not be requested with every
    # heartbeat.
    items = published_items.PublishedItems(prefixes=["op/"])
    items.take([published_items.Item("op/x", 5, b"x")], revision=5)
    items.receive([], told={"op/": 7})
    assert not items.lacks({"op/": 7})
    assert items.lacks({"op/": 8})


def test_more_than_one_message_holds_is_requested_in_parts() -> None:
    # A link drops a larger message, and its receiver lacked all of it.
    fleet = settled()
    refused, reader, *_ = fleet.instances.values()
    size = relay.MAX_ANSWER_BYTES // 3
    many = [
        published_items.Item(f"servers/e{number}", number, bytes(size))
        for number in range(1, 11)
    ]
    received = []
    refused.items.subscribe(lambda news: received.append(len(news)))
    refused.behind = True
    reader.items.take(many, revision=10)
    # Less than four times the pause between requests of one heartbeat each.
    fleet.run(0.7)
    assert received == [3, 3, 3, 1]
    assert refused.items.told == reader.items.told


def test_nothing_published_ever_goes_back() -> None:
    items = published_items.PublishedItems()
    items.take([published_items.Item("k", 5, b"new")], revision=5)
    items.take([published_items.Item("k", 3, b"old")], revision=3)
    assert [item.value for item in items.below("k")] == [b"new"]
    items.take([published_items.Item("k", 6, None)], revision=6)
    items.take([published_items.Item("k", 5, b"new")], revision=5)
    assert not list(items.below("k"))
    assert items.revision == 6


def test_items_missing_from_a_listing_are_removed() -> None:
    items = published_items.PublishedItems()
    items.take(
        [
            published_items.Item("s/one", 2, b"1"),
            published_items.Item("s/two", 3, b"2"),
            published_items.Item("s/late", 9, b"9"),
            published_items.Item("op/x", 1, b"x"),
        ],
        revision=9,
    )
    news = items.replace(
        [published_items.Item("s/one", 2, b"1")], prefix="s/", revision=7
    )
    assert [item.key for item in news] == ["s/two"]
    kept = {item.key for item in items.below("")}
    assert kept == {"s/one", "s/late", "op/x"}


@pytest.mark.parametrize("was_in_touch", [True, False])
def test_a_peers_news_is_recent_only_for_whoever_was_in_touch(
    was_in_touch,
) -> None:
    # After a cut, an evacuation would begin with a hand-over though its limit
    # is over. The store may be down by the time the peer tells.
    fleet = settled()
    late, reader, *others = fleet.instances.values()
    late.behind = True
    if not was_in_touch:
        address = late.node.self_id.address
        fleet.network.is_cut = lambda one, other: (
            address in (one.address, other.address)
        )
        fleet.run(4.0)
    for each in (reader, *others):
        each.items.take(
            [published_items.Item("op/evacuate/dc-a", 9, b"{}")], revision=9
        )
    published_at = fleet.network.clock.now_seconds()
    fleet.network.is_cut = lambda one, other: False
    while not late.items.revision:
        fleet.run(0.1)
    (found,) = late.items.below("op/")
    if was_in_touch:
        age_seconds = published_at - found.changed_at_seconds
        assert -0.1 <= age_seconds <= relay.CURRENT_SECONDS
    else:
        assert found.changed_at_seconds is None
