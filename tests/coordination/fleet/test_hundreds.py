"""Cost per instance and detection times in a fleet of hundreds."""

from __future__ import annotations

import collections

from boragefold.protocol import envelope
from boragefold.protocol import peer_messages as messages
from boragefold.state import published_items
from tests.fakes import gateways

SMALL = 30
LARGE = 195
SETTLED_SECONDS = 6.0
# Required limits for what the control plane sends and receives.
BYTES_PER_SECOND = 6_000
BUSIEST_BYTES_PER_SECOND = 60_000
MESSAGES_PER_SECOND = 30
# Most growth of the mean from the small fleet to the large one.
GROWTH = 1.1
ENGINES = [
    gateways.engine(f"e{number}", gateways.CENTRES[number % 3])
    for number in range(59)
]


class Traffic:
    """Counts the messages that instances exchange, and their encoded bytes."""

    def __init__(self, fleet, seconds):
        codec = envelope.Codec(kinds=messages.KINDS)
        self.messages = collections.Counter()
        self.bytes = collections.Counter()
        post = fleet.network.post

        def counted(sender, to, body):
            size = len(codec.encode(sender=sender, body=body))
            for address in (sender.address, to.address):
                self.messages[address] += 1
                self.bytes[address] += size
            post(sender, to, body)

        fleet.network.post = counted
        fleet.run(seconds)
        fleet.network.post = post
        self.instances = len(fleet.instances)
        self.seconds = seconds

    def mean(self, counter):
        return counter.total() / self.instances / self.seconds

    def busiest(self, counter):
        return max(counter.values()) / self.seconds


def settled(count):
    fleet = gateways.Gateways(count, engines=ENGINES)
    fleet.run(SETTLED_SECONDS)
    return fleet


def one_owner_each(fleet):
    return all(len(owners) == 1 for owners in fleet.claimants().values())


def test_an_instance_costs_the_same_in_a_large_fleet() -> None:
    # If each is sent the state of all others twice a second, hundreds of
    # instances spend their time on each other's heartbeats.
    few, many = Traffic(settled(SMALL), 2.0), Traffic(settled(LARGE), 2.0)
    assert many.mean(many.bytes) <= BYTES_PER_SECOND
    assert many.busiest(many.bytes) <= BUSIEST_BYTES_PER_SECOND
    assert many.mean(many.messages) <= MESSAGES_PER_SECOND
    assert many.mean(many.bytes) <= GROWTH * few.mean(few.bytes)


def test_only_hubs_forward_heartbeats() -> None:
    # Two instances that had exchanged messages treated each other as followers
    # for good: each sent the other all its state and every change.
    fleet = settled(LARGE)
    hubs = {
        address
        for address, instance in fleet.instances.items()
        if instance.heartbeats.is_hub
    }
    told = []
    post = fleet.network.post

    def watched(sender, to, body):
        if isinstance(body, messages.Heartbeat):
            told.append({sender.address, to.address})
        post(sender, to, body)

    fleet.network.post = watched
    fleet.run(2.0)
    assert told
    assert all(pair & hubs for pair in told)


def test_only_hubs_rank_other_data_centres() -> None:
    # Each ranked the whole fleet every second, only to find that it is no hub.
    fleet = settled(LARGE)
    looked_at = collections.defaultdict(set)

    def watch(address, members):
        list_candidates = members.hub_candidates

        def watched(*data_centre):
            found = list_candidates(*data_centre)
            looked_at[address].update(each.data_centre for each in found)
            return found

        members.hub_candidates = watched

    for address, instance in fleet.instances.items():
        if not instance.heartbeats.is_hub:
            watch(address, instance.members)
    fleet.run(2.0)
    assert len(looked_at) > LARGE / 2
    assert all(
        centres == {fleet.instances[address].node.self_id.data_centre}
        for address, centres in looked_at.items()
    )


def test_a_publication_changes_no_owner_and_no_hub() -> None:
    # Each publication made every instance recompute all owners ten times a
    # second, for seconds.
    fleet = settled(SMALL)
    for instance in fleet.instances.values():
        instance.behind = True
    instances = fleet.instances.values()
    before = [instance.members.version for instance in instances]
    item = published_items.Item("op/config", 9, b"new")
    fleet.instances[fleet.addresses[7]].items.take([item], revision=9)
    fleet.run(1.0)
    assert {instance.items.revision for instance in instances} == {9}
    assert [instance.members.version for instance in instances] == before


def test_hundreds_notice_losses_and_news_at_once() -> None:
    fleet = settled(LARGE)
    assert one_owner_each(fleet)

    # Owners of engines are killed.
    for name in ("e0", "e1", "e2"):
        (owner,) = fleet.claimants()[name]
        if owner in fleet.instances:
            fleet.kill(owner)
    fleet.run(2.6)
    assert one_owner_each(fleet)

    # An owner leaves.
    (owner,) = fleet.claimants()["e3"]
    fleet.instances[owner].leaving = True
    fleet.run(0.6)
    (successor,) = fleet.claimants()["e3"]
    assert successor != owner

    # One instance reads a withdrawn key from the store.
    for instance in fleet.instances.values():
        instance.behind = True
    reader = fleet.instances[fleet.addresses[100]]
    item = published_items.Item("op/config", 9, b"new")
    reader.items.take([item], revision=9)
    fleet.run(0.5)
    revisions = {each.items.revision for each in fleet.instances.values()}
    assert revisions == {9}


def test_hundreds_that_were_killed_together_find_each_other() -> None:
    # After a power failure, full lists sent by all to all would fill the
    # links.
    fleet = settled(LARGE)
    for address in list(fleet.instances):
        fleet.kill(address)
    for address in fleet.addresses:
        fleet.start(address)
    traffic = Traffic(fleet, 4.0)
    assert one_owner_each(fleet)
    assert all(
        len(instance.members.reachable()) == LARGE - 1
        for instance in fleet.instances.values()
    )
    assert traffic.mean(traffic.bytes) <= 4 * BYTES_PER_SECOND
    assert traffic.mean(traffic.messages) <= 4 * MESSAGES_PER_SECOND
