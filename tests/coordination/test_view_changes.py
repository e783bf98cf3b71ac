from __future__ import annotations

from boragefold.coordination import instance_list
from boragefold.coordination import leadership as leaderships
from boragefold.coordination import member_tracker
from boragefold.coordination import peer_status
from boragefold.coordination import quorum
from boragefold.coordination import rights
from boragefold.coordination import view_changes
from boragefold.coordination import view_state
from boragefold.protocol import ids
from boragefold.protocol import view_messages as messages
from boragefold.telemetry import counters as telemetry
from tests.fakes import network as networks

MEMBERS = tuple(ids.InstanceId("a", f"a-{n}", str(n)) for n in range(9))


class Leader:
    """The first of some members, elected as the leader of their view."""

    def __init__(self, count: int) -> None:
        self.network = networks.Network(seed=1)
        self.network.clock.move_to(100.0)
        self.node = networks.Node(network=self.network, self_id=MEMBERS[0])
        counters = telemetry.Counters()
        own_list = instance_list.InstanceList(self_id=MEMBERS[0])
        self.state = view_state.ViewState(
            self_id=MEMBERS[0],
            timer_service=self.node.timers,
            instance_list=own_list,
        )
        self.peer_status = peer_status.PeerStatus(
            peer_link=self.node.link, state=self.state, instance_list=own_list
        )
        self.leadership = leaderships.Leadership(
            peer_link=self.node.link, state=self.state, counters=counters
        )
        self.changes = view_changes.ViewChanges(
            peer_link=self.node.link,
            state=self.state,
            peer_status=self.peer_status,
            leadership=self.leadership,
            member_tracker=member_tracker.MemberTracker(
                state=self.state,
                peer_status=self.peer_status,
                leadership=self.leadership,
                counters=counters,
                on_suspect=lambda member: None,
            ),
            counters=counters,
        )
        self.view = rights.View("a", 1, 2, MEMBERS[:count])
        self.state.install(self.view, messages.Ballot(1, "0"))
        self.lead(2)

    def lead(self, round_number: int) -> None:
        ballot = messages.Ballot(round_number, "0")
        ends = dict.fromkeys(MEMBERS, self.network.clock.now_seconds() + 3.0)
        self.state.promise(ballot, quorum.PROMISE_SECONDS)
        self.leadership.begin(ballot, ends, frozenset())

    def acknowledge(
        self, member: int, relayed: tuple[tuple[int, float], ...] = ()
    ) -> None:
        ack = messages.ChangeAck(quorum.view_id(self.view), 2, 100.0, relayed)
        self.changes.on_ack(MEMBERS[member], ack)

    def has_changed(self) -> bool:
        return self.state.view_id().number == 3


def test_a_change_that_was_broken_off_is_not_taken_up_later() -> None:
    # A leader loses its leadership during a change and another one changes
    # the view. When the first is elected again, it must not resume its old
    # change: the result would be older than the view, and every later change
    # would fail.
    leader = Leader(3)
    leader.changes.propose(leader.view._replace(number=3), recovered=False)
    leader.leadership.end()
    later = leader.view._replace(number=4)
    leader.state.install(later, messages.Ballot(3, "1"))
    leader.lead(5)
    assert not leader.changes.in_progress
    leader.changes.tick()
    assert leader.state.accepted is None


def test_a_silent_member_is_waited_for_until_its_lease_ends() -> None:
    # A member gets a lease and dies. A majority agrees to continue without
    # it, but it may use its rights until its lease has expired.
    leader = Leader(3)
    leader.leadership.renew(MEMBERS[2], 99.9)
    leader.changes.propose(
        leader.view._replace(number=3, members=MEMBERS[:2]), recovered=False
    )
    leader.acknowledge(1)
    assert not leader.has_changed()
    leader.network.clock.move_to(102.01)
    leader.changes.tick()
    assert leader.has_changed()


def test_a_silent_member_is_waited_for_until_a_relayed_lease_ends() -> None:
    # A member gets its leases from a relay and dies. The leader granted it
    # none, but the relay did, and reports the remaining time.
    leader = Leader(9)
    relay = quorum.relay_of(leader.view, MEMBERS[8])
    assert relay == MEMBERS[1]
    leader.leadership.renew(MEMBERS[1], 99.9)
    leader.changes.propose(
        leader.view._replace(number=3, members=MEMBERS[:8]), recovered=False
    )
    for member in range(2, 8):
        leader.acknowledge(member)
    leader.acknowledge(1, relayed=((8, 1.5),))
    assert not leader.has_changed()
    leader.network.clock.move_to(101.51)
    leader.changes.tick()
    assert leader.has_changed()


def test_a_replaced_relay_leaves_leases_behind() -> None:
    # A relay is killed and its address has a new process already, so it is
    # certainly dead and need not be waited for. A member that it granted a
    # lease last is partitioned, but alive.
    leader = Leader(9)
    leader.leadership.renew(MEMBERS[1], 99.9)
    standing = messages.Standing(
        100.5, messages.NO_VIEW, messages.NO_VIEW, False, None
    )
    restarted = MEMBERS[1]._replace(incarnation="new")
    leader.peer_status.record_answer(restarted, standing)
    leader.changes.propose(
        leader.view._replace(number=3, members=MEMBERS[:1] + MEMBERS[2:8]),
        recovered=False,
    )
    for member in range(2, 8):
        leader.acknowledge(member)
    assert not leader.has_changed()
    leader.network.clock.move_to(102.01)
    leader.changes.tick()
    assert leader.has_changed()
