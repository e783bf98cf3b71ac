"""The member's role in a view: heartbeats, lease, promises and joining."""

from __future__ import annotations

from collections.abc import Callable

from boragefold.coordination import election as elections
from boragefold.coordination import leader_role as leader_roles
from boragefold.coordination import lease_relay as lease_relays
from boragefold.coordination import link
from boragefold.coordination import member_tracker as member_trackers
from boragefold.coordination import peer_status as peer_statuses
from boragefold.coordination import quorum
from boragefold.coordination import rights
from boragefold.coordination import view_state
from boragefold.protocol import ids
from boragefold.protocol import view_messages as messages
from boragefold.telemetry import counters as telemetry

# With this period a lease survives one lost heartbeat.
HEARTBEAT_SECONDS = 0.5
SLOW_HEARTBEAT_SECONDS = 1.0
UNANSWERED_SECONDS = 0.25

JOIN_SECONDS = 0.25


class Membership:
    """Follows the leader of the view, or looks for a view to join."""

    def __init__(
        self,
        *,
        peer_link: link.PeerLink,
        state: view_state.ViewState,
        peer_status: peer_statuses.PeerStatus,
        election: elections.Election,
        leader_role: leader_roles.LeaderRole,
        lease_relay: lease_relays.LeaseRelay,
        counters: telemetry.Counters,
        on_suspect: Callable[[ids.InstanceId], None],
    ) -> None:
        self._link = peer_link
        self._state = state
        self._peer_status = peer_status
        self._election = election
        self._leader_role = leader_role
        self._lease_relay = lease_relay
        self._counters = counters
        self._on_suspect = on_suspect
        self._echo_seconds = 0.0
        self._heartbeat_sent_seconds = float("-inf")
        self._heartbeat_answered_seconds = float("-inf")
        self._join_sent_seconds = float("-inf")
        self._suspected = False

    def tick(self) -> None:
        """Send the heartbeat, if it is due."""
        state = self._state
        leader = state.leader
        if state.is_outdated() or leader is None or leader == state.self_id:
            return
        now_seconds = state.now_seconds()
        since_seconds = now_seconds - self._heartbeat_sent_seconds
        answered = (
            self._heartbeat_answered_seconds >= self._heartbeat_sent_seconds
        )
        if since_seconds >= (
            self._heartbeat_period_seconds()
            if answered
            else UNANSWERED_SECONDS
        ):
            self._send_heartbeat(self._heartbeat_target(leader, answered))
        silent_seconds = now_seconds - self._heartbeat_answered_seconds
        if silent_seconds >= member_trackers.SUSPECT_SECONDS:
            self._report_suspect(leader)

    def on_renewal(
        self, sender: ids.InstanceId, renewal: messages.Renewal
    ) -> None:
        """Follow the leader, and apply the lease that it grants.

        :param sender: the leader
        :param renewal: its answer to a heartbeat, for the current view
        """
        state = self._state
        ballot = messages.Ballot(renewal.round, sender.incarnation)
        if not self._follow(sender, ballot, renewal.sent_seconds):
            self._refuse(sender)
            return
        if renewal.echo_seconds <= 0:
            self._send_heartbeat(sender)
            return
        if renewal.echo_seconds >= self._heartbeat_sent_seconds:
            self._heartbeat_answered_seconds = state.now_seconds()
        if renewal.lease_seconds > 0:
            lease_seconds = quorum.shortened_seconds(renewal.lease_seconds)
            state.extend_lease(renewal.echo_seconds + lease_seconds)

    def on_relayed(
        self, sender: ids.InstanceId, relayed: messages.Relayed
    ) -> None:
        """Apply a lease that a relay grants on behalf of the leader.

        :param sender: the relay
        :param relayed: its answer to a heartbeat, for the current view
        """
        state = self._state
        if relayed.ballot != state.promised:
            return
        if relayed.echo_seconds >= self._heartbeat_sent_seconds:
            self._heartbeat_answered_seconds = state.now_seconds()
        lease_seconds = quorum.shortened_seconds(relayed.lease_seconds)
        state.extend_lease(relayed.echo_seconds + lease_seconds)

    def on_prepare(
        self, sender: ids.InstanceId, prepare: messages.Prepare
    ) -> None:
        """Give a candidate the promise of this instance, or refuse it.

        :param sender: the candidate
        :param prepare: its request, for the current view
        """
        state = self._state
        ballot = messages.Ballot(prepare.round, sender.incarnation)
        if (
            ballot < state.promised
            or not state.may_promise(sender.incarnation)
            or state.is_outdated()
        ):
            self._counters.add("view_promises_refused", "promised")
            self._refuse(sender)
            return
        if ballot != state.promised:
            self._leader_role.step_down()
        state.promise(ballot, quorum.PREPARE_SECONDS)
        accepted = state.accepted
        self._link.send(
            to=sender,
            body=messages.Promise(
                view_id=state.view_id(),
                round=prepare.round,
                echo_seconds=prepare.sent_seconds,
                accepted_ballot=state.accepted_ballot,
                accepted=accepted and messages.ViewRecord(*accepted),
            ),
        )

    def on_change(
        self, sender: ids.InstanceId, change: messages.Change
    ) -> None:
        """Accept a successor of the view, and stop using the view's rights.

        :param sender: the leader
        :param change: its proposal, for the current view
        """
        state = self._state
        ballot = messages.Ballot(change.round, sender.incarnation)
        successor = rights.View(*change.successor)
        if quorum.view_id(successor) <= state.view_id():
            self._counters.add("view_messages_dropped", "backwards")
            return
        if not state.follow(ballot):
            self._refuse(sender)
            return
        state.leader = sender
        state.accept(ballot, successor)
        now_seconds = state.now_seconds()
        self._heartbeat_sent_seconds = self._heartbeat_answered_seconds = (
            now_seconds
        )
        ack = messages.ChangeAck(
            state.view_id(),
            change.round,
            now_seconds,
            self._lease_relay.remaining_leases(),
        )
        self._link.send(to=sender, body=ack)

    def on_install(
        self, sender: ids.InstanceId, install: messages.Install
    ) -> None:
        """Install a decided view.

        :param sender: an instance that has it
        :param install: the view
        """
        state = self._state
        view = rights.View(*install.view)
        if state.self_id not in view.members:
            # This instance keeps its old view, which has ended, and asks to
            # join.
            state.record_view_id(quorum.view_id(view))
            return
        if quorum.view_id(view) < state.view_id():
            return
        state.install(view, install.ballot)
        if install.released:
            state.release(install.ballot)
        elif install.leading and quorum.view_id(view) == state.view_id():
            if self._follow(sender, install.ballot, install.sent_seconds):
                self._send_heartbeat(sender)

    def on_standing(
        self, sender: ids.InstanceId, standing: messages.Standing
    ) -> None:
        """Update a sender with an older view, or ask to join a later view.

        :param sender: an instance of this data centre
        :param standing: its view and the latest view that it knows of
        """
        state = self._state
        state.record_view_id(standing.highest_id)
        if not state.is_outdated():
            view = state.view
            if (
                view is not None
                and sender in view.members
                and standing.view_id < state.view_id()
            ):
                self._leader_role.send_view(sender)
            return
        if (
            standing.view_id == messages.NO_VIEW
            or standing.view_id < state.highest_id
        ):
            return
        now_seconds = state.now_seconds()
        if now_seconds - self._join_sent_seconds >= JOIN_SECONDS:
            self._join_sent_seconds = now_seconds
            to = standing.steward or sender
            if to != state.self_id:
                self._link.send(to=to, body=messages.Join())

    def _follow(
        self,
        sender: ids.InstanceId,
        ballot: messages.Ballot,
        sent_seconds: float,
    ) -> bool:
        state = self._state
        is_new = ballot != state.promised or state.leader != sender
        if sender.incarnation != ballot.owner or not state.follow(ballot):
            return False
        if sender != state.self_id:
            self._leader_role.step_down()
        if is_new:
            self._echo_seconds = 0.0
            self._heartbeat_answered_seconds = state.now_seconds()
        state.leader = sender
        self._suspected = False
        self._echo_seconds = max(self._echo_seconds, sent_seconds)
        return True

    def _refuse(self, sender: ids.InstanceId) -> None:
        state = self._state
        refusal = messages.Refusal(state.view_id(), state.promised)
        self._link.send(to=sender, body=refusal)

    def _send_heartbeat(self, leader: ids.InstanceId) -> None:
        state = self._state
        self._heartbeat_sent_seconds = state.now_seconds()
        self._link.send(
            to=leader,
            body=messages.Beat(
                view_id=state.view_id(),
                round=state.promised.round,
                echo_seconds=self._echo_seconds,
                sent_seconds=self._heartbeat_sent_seconds,
                quiet=self._lease_relay.silent_positions(),
            ),
        )

    def _heartbeat_target(
        self, leader: ids.InstanceId, answered: bool
    ) -> ids.InstanceId:
        # An unanswered heartbeat goes to the leader, as the relay may be dead.
        view = self._state.view
        relay = view and quorum.relay_of(view, self._state.self_id)
        return relay if relay and answered else leader

    def _heartbeat_period_seconds(self) -> float:
        view = self._state.view
        if view is None or self._state.self_id in quorum.voters_of(view):
            return HEARTBEAT_SECONDS
        return SLOW_HEARTBEAT_SECONDS

    def _report_suspect(self, leader: ids.InstanceId) -> None:
        if not self._suspected:
            self._suspected = True
            self._counters.add("view_suspects", "steward_silent")
            self._on_suspect(leader)


__all__ = [
    "HEARTBEAT_SECONDS",
    "JOIN_SECONDS",
    "Membership",
    "SLOW_HEARTBEAT_SECONDS",
    "UNANSWERED_SECONDS",
]
