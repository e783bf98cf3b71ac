from __future__ import annotations

from boragefold.coordination import inquiry
from boragefold.coordination import leadership as leaderships
from boragefold.coordination import listing
from boragefold.coordination import quorum
from boragefold.coordination import rights
from boragefold.coordination import roster
from boragefold.coordination import view_changes
from boragefold.coordination import view_state
from boragefold.protocol import ids
from boragefold.protocol import view_messages as messages
from boragefold.telemetry import counters as telemetry
from tests.fakes import network as networks

MEMBERS = tuple(ids.InstanceId("a", f"a-{n}", str(n)) for n in range(9))


class Steward:
    """The first of some members, elected as the leader of their view."""

    def __init__(self, count: int) -> None:
        self.network = networks.Network(seed=1)
        self.network.clock.move_to(100.0)
        self.node = networks.Node(network=self.network, self_id=MEMBERS[0])
        counters = telemetry.Counters()
        own_listing = listing.Listing(self_id=MEMBERS[0])
        self.state = view_state.ViewState(
            self_id=MEMBERS[0],
            timer_service=self.node.timers,
            listing=own_listing,
        )
        self.inquiry = inquiry.Inquiry(
            peer_link=self.node.link, state=self.state, listing=own_listing
        )
        self.leadership = leaderships.Leadership(
            peer_link=self.node.link, state=self.state, counters=counters
        )
        self.changes = view_changes.ViewChanges(
            peer_link=self.node.link,
            state=self.state,
            inquiry=self.inquiry,
            leadership=self.leadership,
            roster=roster.Roster(
                state=self.state,
                inquiry=self.inquiry,
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
    steward = Steward(3)
    steward.changes.propose(steward.view._replace(number=3), recovered=False)
    steward.leadership.end()
    later = steward.view._replace(number=4)
    steward.state.install(later, messages.Ballot(3, "1"))
    steward.lead(5)
    assert not steward.changes.running
    steward.changes.tick()
    assert steward.state.accepted is None


def test_a_silent_member_is_waited_for_until_its_lease_ends() -> None:
    # A member gets a lease and dies. A majority agrees to continue without
    # it, but it may use its rights until its lease has expired.
    steward = Steward(3)
    steward.leadership.renew(MEMBERS[2], 99.9)
    steward.changes.propose(
        steward.view._replace(number=3, members=MEMBERS[:2]), recovered=False
    )
    steward.acknowledge(1)
    assert not steward.has_changed()
    steward.network.clock.move_to(102.01)
    steward.changes.tick()
    assert steward.has_changed()


def test_a_silent_member_is_waited_for_until_a_relayed_lease_ends() -> None:
    # A member gets its leases from a relay and dies. The leader granted it
    # none, but the relay did, and reports the remaining time.
    steward = Steward(9)
    relay = quorum.relay_of(steward.view, MEMBERS[8])
    assert relay == MEMBERS[1]
    steward.leadership.renew(MEMBERS[1], 99.9)
    steward.changes.propose(
        steward.view._replace(number=3, members=MEMBERS[:8]), recovered=False
    )
    for member in range(2, 8):
        steward.acknowledge(member)
    steward.acknowledge(1, relayed=((8, 1.5),))
    assert not steward.has_changed()
    steward.network.clock.move_to(101.51)
    steward.changes.tick()
    assert steward.has_changed()


def test_a_replaced_relay_leaves_leases_behind() -> None:
    # A relay is killed and its address has a new process already, so it is
    # certainly dead and need not be waited for. A member that it granted a
    # lease last is partitioned, but alive.
    steward = Steward(9)
    steward.leadership.renew(MEMBERS[1], 99.9)
    standing = messages.Standing(
        100.5, messages.NO_VIEW, messages.NO_VIEW, False, None
    )
    reborn = MEMBERS[1]._replace(incarnation="new")
    steward.inquiry.note_answer(reborn, standing)
    steward.changes.propose(
        steward.view._replace(number=3, members=MEMBERS[:1] + MEMBERS[2:8]),
        recovered=False,
    )
    for member in range(2, 8):
        steward.acknowledge(member)
    assert not steward.has_changed()
    steward.network.clock.move_to(102.01)
    steward.changes.tick()
    assert steward.has_changed()
