from __future__ import annotations

from boragefold.coordination.fleet import member as member_module
from boragefold.coordination.fleet import readers
from boragefold.protocol import ids
from boragefold.protocol import peer_messages as messages

INSTANCES = [
    ids.InstanceId("dc-a", f"10.1.0.{number}:70", "x") for number in range(9)
]


def member(instance, *, lost=False):
    beat = messages.Beat(9.0, False, {}, (), (), lost)
    return member_module.Member(
        instance=instance, alive_at_seconds=0.0, beat=beat
    )


def reading(lost=()):
    """List the instances that read, if the store refuses ``lost``."""
    return {
        instance
        for instance in INSTANCES
        if readers.is_reader(
            instance,
            [
                member(other, lost=other in lost)
                for other in INSTANCES
                if other != instance
            ],
        )
    }


def test_few_of_a_data_centre_read() -> None:
    assert len(reading()) == readers.ISOLATED_READERS


def test_a_reader_refused_by_the_store_is_replaced() -> None:
    before = reading()
    lost = min(before)
    after = reading([lost]) - {lost}
    assert len(after) == readers.ISOLATED_READERS
    assert len(after - before) == 1


def test_a_lone_instance_of_a_data_centre_reads() -> None:
    elsewhere = [
        member(each._replace(data_centre="dc-b")) for each in INSTANCES[1:]
    ]
    assert readers.is_reader(INSTANCES[0], elsewhere)


def test_one_of_a_data_centre_reads_where_others_are_heard() -> None:
    # Two instances of each data centre read the store, although data centres
    # forward what they read to each other.
    near, far = INSTANCES[:5], INSTANCES[5:]
    elsewhere = [each._replace(data_centre="dc-b") for each in far]
    everyone = [*near, *elsewhere]
    readers_of = [
        instance
        for instance in everyone
        if readers.is_reader(
            instance, [member(one) for one in everyone if one != instance]
        )
    ]
    assert sorted(each.data_centre for each in readers_of) == ["dc-a", "dc-b"]


def test_two_read_if_all_other_data_centres_lost_the_store() -> None:
    elsewhere = [
        member(each._replace(data_centre="dc-b"), lost=True)
        for each in INSTANCES[5:]
    ]
    near = INSTANCES[:5]
    reading_here = {
        instance
        for instance in near
        if readers.is_reader(
            instance,
            [*(member(one) for one in near if one != instance), *elsewhere],
        )
    }
    assert len(reading_here) == readers.ISOLATED_READERS


class Members:
    """Members whose changes are counted."""

    def __init__(self):
        self.members = [member(each) for each in INSTANCES[1:]]
        self.version = self.urgent_version = 0
        self.asked = 0

    def reachable(self):
        self.asked += 1
        return self.members


def test_a_role_is_decided_anew_when_a_peer_has_changed() -> None:
    # A reader was replaced 0.3 s after its loss of the store was known.
    members = Members()
    role = readers.ReaderRole(self_id=INSTANCES[0], members=members)
    before = role.must_read()
    members.members = [member(each, lost=True) for each in INSTANCES[1:]]
    members.urgent_version += 1
    assert (before, role.must_read()) == (INSTANCES[0] in reading(), True)
    members.members = [member(each) for each in INSTANCES[1:]]
    members.version += 1
    assert role.must_read() == before


def test_a_lost_store_is_told_at_once() -> None:
    # It waited for the next heartbeat, at each hub on the way.
    sound, lost = (
        member(INSTANCES[0], lost=each).beat for each in (False, True)
    )
    assert member_module.urgent_state(sound) != member_module.urgent_state(
        lost
    )
