"""The leader's role in a view: renews leases and changes the members."""

from __future__ import annotations

from collections.abc import Callable

from boragefold.coordination import election as elections
from boragefold.coordination import instance_list as instance_lists
from boragefold.coordination import leadership as leaderships
from boragefold.coordination import member_tracker as member_trackers
from boragefold.coordination import peer_status as peer_statuses
from boragefold.coordination import quorum
from boragefold.coordination import rights
from boragefold.coordination import view_changes
from boragefold.coordination import view_state
from boragefold.protocol import ids
from boragefold.protocol import view_messages as messages
from boragefold.telemetry import counters as telemetry

# Interval of requests to silent members, which may have missed the election.
HEARTBEAT_REQUEST_SECONDS = 0.2


class LeaderRole:
    """Leads the view as long as a quorum's promises last."""

    def __init__(
        self,
        *,
        state: view_state.ViewState,
        peer_status: peer_statuses.PeerStatus,
        instance_list: instance_lists.InstanceList,
        leadership: leaderships.Leadership,
        member_tracker: member_trackers.MemberTracker,
        changes: view_changes.ViewChanges,
        counters: telemetry.Counters,
        new_epoch: Callable[[], int],
    ) -> None:
        self._state = state
        self._peer_status = peer_status
        self._instance_list = instance_list
        self._leadership = leadership
        self._member_tracker = member_tracker
        self._changes = changes
        self._counters = counters
        self._new_epoch = new_epoch
        self._requested_seconds = float("-inf")

    @property
    def leading(self) -> bool:
        """Return whether this instance leads, as far as it knows.

        :return: whether it does
        """
        return self._leadership.leading

    def begin(self, result: elections.ElectionResult) -> None:
        """Start to lead after an election.

        :param result: the result of the election
        """
        view = self._state.view
        if view is None:
            return
        self._leadership.begin(result.ballot, result.ends, result.dead)
        self._member_tracker.begin(view.members)
        if result.dead:
            successor = self._successor_without(result.dead, view)
            self._changes.propose(successor, recovered=False)
        elif result.successor is not None:
            self._changes.propose(result.successor, recovered=True)
        else:
            self._leadership.renew_own()
            self._requested_seconds = float("-inf")
            self._request_heartbeats(view)

    def lead_bootstrapped(
        self, view: rights.View, ends: dict[ids.InstanceId, float]
    ) -> None:
        """Start to lead a view that this instance bootstrapped.

        :param view: the view
        :param ends: when the promises of its members end
        """
        ballot = messages.Ballot(1, self._state.self_id.incarnation)
        self._state.promise(ballot, quorum.PROMISE_SECONDS)
        self._state.sole_leader_until_seconds = (
            self._state.now_seconds() + instance_lists.FRESH_SECONDS
        )
        self._leadership.begin(ballot, ends, frozenset())
        for member in view.members:
            if member != self._state.self_id:
                self.send_view(member)
        self.begin(elections.ElectionResult(ballot, ends, frozenset(), None))

    def step_down(self) -> None:
        """Stop leading; granted leases last until they expire."""
        self._leadership.end()

    def tick(self) -> None:
        """Renew leases, contact silent members and change the view if due."""
        view = self._state.view
        if view is None or not self._leadership.is_valid():
            return
        self._leadership.renew_own()
        if self._changes.in_progress:
            self._changes.tick()
            return
        self._request_heartbeats(view)
        self._change_if_due()

    def on_heartbeat(
        self, sender: ids.InstanceId, beat: messages.Beat
    ) -> None:
        """Answer a member's heartbeat with a lease.

        :param sender: the member
        :param beat: its heartbeat, for the current view
        """
        view = self._state.view
        if view is None or sender not in view.members:
            return
        self._member_tracker.record_heard(sender)
        self._member_tracker.apply_relay_report(view, sender, beat.quiet)
        if beat.round == self._leadership.ballot.round:
            if beat.echo_seconds > 0:
                self._leadership.record_promise(sender, beat.echo_seconds)
        if self._leadership.is_valid():
            self._leadership.renew_own()
            self._leadership.renew(sender, beat.sent_seconds)

    def on_join(self, sender: ids.InstanceId) -> None:
        """Record that an instance asks to join the view.

        It has to be on this instance's list: whoever reads a later list and
        misses members of this view then finds the new one there and asks it.

        :param sender: the instance
        """
        view = self._state.view
        if view is None or not self._leadership.is_valid():
            return
        if sender in view.members:
            self.send_view(sender)
        elif not self._instance_list.contains(sender.address):
            self._counters.add("view_joins_refused", "not_listed")
        else:
            self._member_tracker.join(sender)
            if any(one.address == sender.address for one in view.members):
                self._peer_status.query(sender.address)

    def on_leave(self, sender: ids.InstanceId) -> None:
        """Record that a member, possibly this instance, asks to leave.

        :param sender: the member
        """
        self._member_tracker.leave(sender)
        self._change_if_due()

    def send_view(self, to: ids.InstanceId) -> None:
        """Send the view to an instance that may have missed it.

        :param to: the receiver
        """
        if self._state.view is not None:
            self._changes.send_view(to, self._state.view)

    def _request_heartbeats(self, view: rights.View) -> None:
        silent = self._member_tracker.silent(view)
        now_seconds = self._state.now_seconds()
        if now_seconds - self._requested_seconds < HEARTBEAT_REQUEST_SECONDS:
            return
        self._requested_seconds = now_seconds
        for member in silent:
            self._leadership.renew(member, 0.0)

    def _change_if_due(self) -> None:
        view = self._state.view
        if view is None or self._changes.in_progress:
            return
        if not self._leadership.is_valid():
            return
        members = self._member_tracker.next_members(view)
        founded = view.number == quorum.BOOTSTRAP_NUMBER
        if not members:
            self._end_view(view)
        elif members != view.members or founded:
            self._changes.propose(
                view._replace(number=view.number + 1, members=members),
                recovered=False,
            )

    def _successor_without(
        self, dead: frozenset[ids.InstanceId], view: rights.View
    ) -> rights.View:
        # The dead members may have decided on a successor: a new epoch
        # distinguishes the two views.
        return rights.View(
            data_centre=view.data_centre,
            epoch=self._new_epoch(),
            number=quorum.BOOTSTRAP_NUMBER + 1,
            members=tuple(one for one in view.members if one not in dead),
        )

    def _end_view(self, view: rights.View) -> None:
        # The last member leaves; the next instance bootstraps a new view.
        self._state.lease_until_seconds = 0.0
        self._state.record_view_id(
            messages.ViewId(view.epoch, view.number + 1)
        )
        self.step_down()


__all__ = [
    "HEARTBEAT_REQUEST_SECONDS",
    "LeaderRole",
]
