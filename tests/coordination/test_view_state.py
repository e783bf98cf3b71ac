from __future__ import annotations

from boragefold.coordination import instance_list as instance_lists
from boragefold.coordination import rights
from boragefold.coordination import view_state
from boragefold.protocol import ids
from boragefold.protocol import view_messages as messages
from boragefold.timing import clock as clocks
from boragefold.timing import timers

A, B, C = (ids.InstanceId("a", f"a-{name}", name) for name in "xyz")


def view(epoch: int, number: int) -> rights.View:
    return rights.View("a", epoch, number, (A, B, C))


def new_state() -> tuple[view_state.ViewState, clocks.VirtualClock]:
    clock = clocks.VirtualClock(start_seconds=100.0)
    state = view_state.ViewState(
        self_id=A,
        timer_service=timers.TimerService(clock=clock),
        instance_list=instance_lists.InstanceList(self_id=A),
    )
    state.install(view(1, 2), messages.Ballot(3, "x"))
    return state, clock


def test_a_lower_ballot_is_not_followed() -> None:
    # A leader was elected after an older one, which resumes and proposes.
    # Following it would let two successors each find a quorum.
    state, _ = new_state()
    assert state.follow(messages.Ballot(5, "y"))
    assert not state.follow(messages.Ballot(4, "z"))
    assert state.promised == messages.Ballot(5, "y")


def test_an_installed_view_keeps_its_ballot_as_floor() -> None:
    # A member learns of a view from another member. The ballot of an old
    # candidate, lower than the one that decided the view, must have no effect.
    state, _ = new_state()
    state.install(view(1, 3), messages.Ballot(7, "y"))
    assert not state.follow(messages.Ballot(6, "z"))


def test_a_promise_ends_on_the_clock() -> None:
    # A candidate asks while another leader has the promise.
    state, clock = new_state()
    state.follow(messages.Ballot(5, "y"))
    assert not state.may_promise("z")
    assert state.may_promise("y")
    clock.move_to(103.1)
    assert state.may_promise("z")


def test_a_stopped_member_takes_no_late_lease() -> None:
    # A member has stopped for a change of the view when an older renewal
    # arrives. Only a later leader, which knows of no change, may renew.
    state, _ = new_state()
    state.follow(messages.Ballot(5, "y"))
    state.accept(messages.Ballot(5, "y"), view(1, 3))
    state.extend_lease(101.0)
    assert not state.has_lease()
    state.follow(messages.Ballot(6, "z"))
    state.extend_lease(101.0)
    assert state.has_lease()


def test_an_outdated_member_is_covered_by_nothing() -> None:
    # A later view exists, so the current one has ended, whatever renewal
    # arrives.
    state, _ = new_state()
    state.record_view_id(messages.ViewId(1, 3))
    state.extend_lease(101.0)
    assert not state.has_lease()


def test_a_new_epoch_begins_with_its_own_ballots() -> None:
    # All other instances restarted. The first ballot of the new epoch is lower
    # than the last one followed, but must be followed.
    state, _ = new_state()
    state.follow(messages.Ballot(50, "y"))
    state.install(view(2, 1), messages.Ballot(1, "z"))
    assert state.follow(messages.Ballot(1, "z"))
