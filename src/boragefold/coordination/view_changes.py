"""Decides on the successor of a view and installs it, for the leader."""

from __future__ import annotations

import dataclasses

from boragefold.coordination import leadership as leaderships
from boragefold.coordination import link
from boragefold.coordination import member_tracker as member_trackers
from boragefold.coordination import peer_status as peer_statuses
from boragefold.coordination import quorum
from boragefold.coordination import rights
from boragefold.coordination import view_state
from boragefold.protocol import ids
from boragefold.protocol import view_messages as messages
from boragefold.telemetry import counters as telemetry

RESEND_SECONDS = 0.2


@dataclasses.dataclass(kw_only=True)
class Pending:
    """A successor that is being decided."""

    view_id: messages.ViewId
    ballot: messages.Ballot
    successor: rights.View
    recovered: bool
    sent_seconds: float
    accepted: set[ids.InstanceId]
    echoes: dict[ids.InstanceId, float]


class ViewChanges:
    """Ends the rights of a view everywhere before the next view begins."""

    def __init__(
        self,
        *,
        peer_link: link.PeerLink,
        state: view_state.ViewState,
        peer_status: peer_statuses.PeerStatus,
        leadership: leaderships.Leadership,
        member_tracker: member_trackers.MemberTracker,
        counters: telemetry.Counters,
    ) -> None:
        self._link = peer_link
        self._state = state
        self._peer_status = peer_status
        self._leadership = leadership
        self._member_tracker = member_tracker
        self._counters = counters
        self._pending: Pending | None = None

    @property
    def in_progress(self) -> bool:
        """Return whether a successor is being decided.

        :return: whether one is
        """
        return self._current_pending() is not None

    def propose(self, successor: rights.View, *, recovered: bool) -> None:
        """Propose a successor, and stop using the rights of this instance.

        :param successor: the next view
        :param recovered: whether a voter had accepted it before the
            election, so that it only has to be completed
        """
        self._state.accept(self._leadership.ballot, successor)
        self._leadership.granting = False
        self._pending = Pending(
            view_id=self._state.view_id(),
            ballot=self._leadership.ballot,
            successor=successor,
            recovered=recovered,
            sent_seconds=float("-inf"),
            accepted={self._state.self_id},
            echoes={},
        )
        self._counters.add(
            "view_changes", "recovered" if recovered else "proposed"
        )
        self.tick()

    def tick(self) -> None:
        """Resend the proposal if it is due, and complete it if possible."""
        self._resend()
        self._install_if_decided()

    def on_ack(self, sender: ids.InstanceId, ack: messages.ChangeAck) -> None:
        """Count a member that has accepted and stopped using its rights.

        :param sender: the member
        :param ack: its acknowledgement, for the current view
        """
        pending = self._current_pending()
        view = self._state.view
        if (
            not self._leadership.is_valid()
            or pending is None
            or view is None
            or ack.round != self._leadership.ballot.round
        ):
            return
        self._member_tracker.record_heard(sender)
        if sender not in pending.accepted:
            for position, left_seconds in ack.relayed:
                member = view.members[position]
                self._leadership.record_relayed(member, left_seconds)
        pending.accepted.add(sender)
        pending.echoes[sender] = ack.sent_seconds
        self._install_if_decided()

    def send_view(
        self,
        to: ids.InstanceId,
        view: rights.View,
        *,
        released: bool = False,
    ) -> None:
        """Send a decided view to an instance that may not have it.

        :param to: the receiver
        :param view: the view
        :param released: whether it ends the promises given to this instance
        """
        self._link.send(
            to=to,
            body=messages.Install(
                view=messages.ViewRecord(*view),
                ballot=self._state.promised,
                sent_seconds=self._state.now_seconds(),
                leading=self._leadership.leading,
                released=released,
            ),
        )

    def _current_pending(self) -> Pending | None:
        # After a lost leadership and another election the view may differ.
        pending = self._pending
        if (
            pending is None
            or not self._leadership.leading
            or pending.ballot != self._leadership.ballot
            or pending.view_id != self._state.view_id()
        ):
            self._pending = None
        return self._pending

    def _resend(self) -> None:
        pending = self._current_pending()
        view = self._state.view
        now_seconds = self._state.now_seconds()
        if pending is None or view is None:
            return
        if now_seconds - pending.sent_seconds < RESEND_SECONDS:
            return
        pending.sent_seconds = now_seconds
        change = messages.Change(
            view_id=self._state.view_id(),
            round=self._leadership.ballot.round,
            successor=messages.ViewRecord(*pending.successor),
        )
        for member in view.members:
            if member not in pending.accepted:
                self._link.send(to=member, body=change)

    def _install_if_decided(self) -> None:
        pending = self._current_pending()
        view = self._state.view
        if pending is None or view is None:
            return
        dead = self._leadership.dead
        if not quorum.is_decided(view, pending.accepted, dead):
            return
        if not all(self._has_stopped(one, view) for one in view.members):
            return
        self._install(view, pending)

    def _has_stopped(self, member: ids.InstanceId, view: rights.View) -> bool:
        accepted = self._pending.accepted if self._pending else set()
        if member in accepted or self._peer_status.is_replaced(member):
            return True
        return self._leadership.lease_has_expired(
            member
        ) and self._leadership.relayed_lease_has_expired(
            member, relay_stopped=quorum.relay_of(view, member) in accepted
        )

    def _install(self, view: rights.View, pending: Pending) -> None:
        state = self._state
        successor = pending.successor
        stays = state.self_id in successor.members
        self._pending = None
        self._leadership.clear_granted()
        self._counters.add("view_changes", "installed")
        if stays:
            state.install(successor, self._leadership.ballot)
        if stays and not pending.recovered:
            self._leadership.granting = True
            self._leadership.renew_own()
        else:
            self._leadership.end()
        self._member_tracker.on_installed(successor)
        for member in dict.fromkeys((*view.members, *successor.members)):
            if member != state.self_id:
                self._install_at(member, successor, pending)
        if not self._leadership.leading:
            state.record_view_id(quorum.view_id(successor))
            state.release(self._leadership.ballot)

    def _install_at(
        self, member: ids.InstanceId, view: rights.View, pending: Pending
    ) -> None:
        leading = self._leadership.leading
        self.send_view(member, view, released=not leading)
        echo_seconds = pending.echoes.get(member, 0.0)
        if leading and echo_seconds > 0 and member in view.members:
            self._leadership.renew(member, echo_seconds)


__all__ = [
    "Pending",
    "RESEND_SECONDS",
    "ViewChanges",
]
