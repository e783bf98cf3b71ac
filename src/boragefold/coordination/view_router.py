"""Dispatches the messages about views to their handlers."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

from boragefold.coordination import bootstrap as bootstraps
from boragefold.coordination import directory as directories
from boragefold.coordination import election as elections
from boragefold.coordination import leader_role as leader_roles
from boragefold.coordination import leadership as leaderships
from boragefold.coordination import lease_relay as lease_relays
from boragefold.coordination import link
from boragefold.coordination import membership as memberships
from boragefold.coordination import peer_status as peer_statuses
from boragefold.coordination import view_changes
from boragefold.coordination import view_state
from boragefold.protocol import ids
from boragefold.protocol import view_messages as messages
from boragefold.telemetry import counters as telemetry

Body = TypeVar("Body")
OfView = TypeVar(
    "OfView",
    messages.Beat,
    messages.Renewal,
    messages.Relayed,
    messages.Prepare,
    messages.Promise,
    messages.Refusal,
    messages.Change,
    messages.ChangeAck,
)


class ViewRouter:
    """Subscribes to the messages, and checks their sender and their view."""

    def __init__(
        self,
        *,
        peer_link: link.PeerLink,
        state: view_state.ViewState,
        peer_status: peer_statuses.PeerStatus,
        leadership: leaderships.Leadership,
        election: elections.Election,
        bootstrap: bootstraps.Bootstrap,
        leader_role: leader_roles.LeaderRole,
        changes: view_changes.ViewChanges,
        membership: memberships.Membership,
        lease_relay: lease_relays.LeaseRelay,
        directory: directories.Directory,
        counters: telemetry.Counters,
        is_leaving: Callable[[], bool],
        on_handled: Callable[[], None],
    ) -> None:
        self._link = peer_link
        self._state = state
        self._peer_status = peer_status
        self._leadership = leadership
        self._election = election
        self._bootstrap = bootstrap
        self._leader_role = leader_role
        self._changes = changes
        self._membership = membership
        self._lease_relay = lease_relay
        self._directory = directory
        self._counters = counters
        self._is_leaving = is_leaving
        self._on_handled = on_handled
        self._subscribe_all()

    def _subscribe_all(self) -> None:
        self._subscribe(messages.Greeting, self._on_greeting)
        self._subscribe(messages.Standing, self._on_standing)
        self._subscribe(
            messages.Join, lambda peer, _: self._leader_role.on_join(peer)
        )
        self._subscribe(messages.Leave, lambda peer, _: self._on_leave(peer))
        self._subscribe(messages.Install, self._membership.on_install)
        self._subscribe(messages.Foundation, self._bootstrap.on_foundation)
        self._subscribe(messages.FoundationAck, self._bootstrap.on_ack)
        self._subscribe_same_view(messages.Beat, self._on_beat)
        self._subscribe_same_view(
            messages.Renewal, self._membership.on_renewal
        )
        self._subscribe_same_view(
            messages.Relayed, self._membership.on_relayed
        )
        self._subscribe_same_view(
            messages.Prepare, self._membership.on_prepare
        )
        self._subscribe_same_view(messages.Promise, self._election.on_promise)
        self._subscribe_same_view(messages.Refusal, self._on_refusal)
        self._subscribe_same_view(messages.Change, self._membership.on_change)
        self._subscribe_same_view(messages.ChangeAck, self._changes.on_ack)
        self._link.subscribe(messages.Digest, self._directory.on_digest)
        self._link.subscribe(messages.News, self._directory.on_news)

    def _subscribe(
        self,
        kind: type[Body],
        handler: Callable[[ids.InstanceId, Body], None],
    ) -> None:
        def receive(sender: ids.InstanceId, body: Body) -> None:
            if sender.data_centre != self._state.self_id.data_centre:
                self._counters.add("view_messages_dropped", "data_centre")
                return
            self._peer_status.record_sender(sender)
            handler(sender, body)
            self._on_handled()

        self._link.subscribe(kind, receive)

    def _subscribe_same_view(
        self,
        kind: type[OfView],
        handler: Callable[[ids.InstanceId, OfView], None],
    ) -> None:
        def receive(sender: ids.InstanceId, body: OfView) -> None:
            self._state.record_view_id(body.view_id)
            if (
                body.view_id == self._state.view_id()
                and not self._state.is_outdated()
            ):
                handler(sender, body)
                return
            # One side has missed an installation; the answer reveals it.
            self._counters.add("view_messages_dropped", "other_view")
            self._send_standing(sender, 0.0)

        self._subscribe(kind, receive)

    def _on_greeting(
        self, sender: ids.InstanceId, greeting: messages.Greeting
    ) -> None:
        self._send_standing(sender, greeting.sent_seconds)

    def _send_standing(self, to: ids.InstanceId, echo_seconds: float) -> None:
        state = self._state
        outdated = state.is_outdated()
        self._link.send(
            to=to,
            body=messages.Standing(
                echo_seconds=echo_seconds,
                view_id=messages.NO_VIEW if outdated else state.view_id(),
                highest_id=state.highest_id,
                covered=state.has_lease(),
                steward=None if outdated else state.leader,
            ),
        )

    def _on_standing(
        self, sender: ids.InstanceId, standing: messages.Standing
    ) -> None:
        if standing.echo_seconds > 0:
            self._peer_status.record_answer(sender, standing)
        if not self._is_leaving() or not self._state.is_outdated():
            self._membership.on_standing(sender, standing)

    def _on_leave(self, sender: ids.InstanceId) -> None:
        view = self._state.view
        if view is not None and sender not in view.members:
            self._send_standing(sender, 0.0)
        elif self._leader_role.leading:
            self._leader_role.on_leave(sender)

    def _on_beat(self, sender: ids.InstanceId, beat: messages.Beat) -> None:
        if self._leader_role.leading:
            self._leader_role.on_heartbeat(sender, beat)
        else:
            self._lease_relay.on_heartbeat(sender, beat)

    def _on_refusal(
        self, sender: ids.InstanceId, refusal: messages.Refusal
    ) -> None:
        self._election.record_round(refusal.ballot.round)
        if not self._leader_role.leading:
            return
        if refusal.ballot <= self._leadership.ballot:
            return
        # This voter would never accept a lower ballot, so a new election with
        # a higher one is needed.
        self._counters.add("view_steward_ended", "higher_ballot")
        self._leader_role.step_down()
        self._election.start()


__all__ = [
    "ViewRouter",
]
