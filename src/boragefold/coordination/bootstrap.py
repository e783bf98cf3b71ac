"""Bootstraps the first view of an epoch."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses

from boragefold.coordination import link
from boragefold.coordination import peer_status as peer_statuses
from boragefold.coordination import quorum
from boragefold.coordination import rights
from boragefold.coordination import view_state
from boragefold.protocol import ids
from boragefold.protocol import view_messages as messages
from boragefold.telemetry import counters as telemetry

# The promises of all members have to overlap in time.
BOOTSTRAP_PROMISE_SECONDS = 1.0
RESEND_SECONDS = 0.25


@dataclasses.dataclass(kw_only=True)
class Proposal:
    """A proposed first view, and when each member's promise ends."""

    view: rights.View
    sent_seconds: float
    ends: dict[ids.InstanceId, float]


class Bootstrap:
    """Bootstraps a view of all listed instances if none of them has a view.

    All have to agree: two instances whose lists differ could each find a
    majority, but of two instances that are each on their own list, at least
    one sees the other.
    """

    def __init__(
        self,
        *,
        peer_link: link.PeerLink,
        state: view_state.ViewState,
        peer_status: peer_statuses.PeerStatus,
        counters: telemetry.Counters,
        new_epoch: Callable[[], int],
        on_bootstrapped: Callable[
            [rights.View, dict[ids.InstanceId, float]], None
        ],
    ) -> None:
        self._link = peer_link
        self._state = state
        self._peer_status = peer_status
        self._counters = counters
        self._new_epoch = new_epoch
        self._on_bootstrapped = on_bootstrapped
        self._proposal: Proposal | None = None

    def tick(self) -> None:
        """Propose a first view if this instance has the lowest id."""
        members = self._candidates()
        if members is None:
            self._proposal = None
            return
        now_seconds = self._state.now_seconds()
        if self._proposal is None or self._proposal.view.members != members:
            self._proposal = self._create_proposal(members)
        elif now_seconds - self._proposal.sent_seconds < RESEND_SECONDS:
            return
        self._send(self._proposal)
        self._install_if_agreed()

    def on_foundation(
        self, sender: ids.InstanceId, foundation: messages.Foundation
    ) -> None:
        """Agree to a first view if this instance has no current view.

        :param sender: the proposer
        :param foundation: the proposal
        """
        state = self._state
        epoch = foundation.view.epoch
        if (
            not state.is_outdated()
            or epoch <= state.highest_id.epoch
            or not state.may_promise(sender.incarnation)
        ):
            self._counters.add("view_foundations", "refused")
            return
        ballot = messages.Ballot(1, sender.incarnation)
        state.promise(ballot, BOOTSTRAP_PROMISE_SECONDS)
        self._link.send(
            to=sender,
            body=messages.FoundationAck(epoch, foundation.sent_seconds),
        )

    def on_ack(
        self, sender: ids.InstanceId, ack: messages.FoundationAck
    ) -> None:
        """Count the agreement of a member.

        :param sender: the member that agrees
        :param ack: its agreement
        """
        proposal = self._proposal
        if proposal is None or proposal.view.epoch != ack.epoch:
            return
        proposal.ends[sender] = ack.echo_seconds + quorum.shortened_seconds(
            BOOTSTRAP_PROMISE_SECONDS
        )
        self._install_if_agreed()

    def _candidates(self) -> tuple[ids.InstanceId, ...] | None:
        state = self._state
        now_seconds = state.now_seconds()
        # By then all leases of an earlier process at this address, and of this
        # process before a pause, have expired.
        no_lease_seconds = now_seconds - state.no_lease_since_seconds
        if not state.is_outdated():
            return None
        if no_lease_seconds < quorum.PROMISE_SECONDS:
            return None
        if not state.may_promise(state.self_id.incarnation):
            return None
        answers = self._peer_status.answers()
        if answers is None:
            return None
        if any(one.standing.view_id != messages.NO_VIEW for one in answers):
            return None
        members = sorted([state.self_id, *(one.sender for one in answers)])
        return tuple(members) if members[0] == state.self_id else None

    def _create_proposal(
        self, members: tuple[ids.InstanceId, ...]
    ) -> Proposal:
        answers = self._peer_status.answers() or ()
        heard_epoch = max(
            (one.standing.highest_id.epoch for one in answers), default=0
        )
        epoch = max(self._new_epoch(), heard_epoch + 1)
        return Proposal(
            view=rights.View(
                self._state.self_id.data_centre,
                epoch,
                quorum.BOOTSTRAP_NUMBER,
                members,
            ),
            sent_seconds=0.0,
            ends={},
        )

    def _send(self, proposal: Proposal) -> None:
        state = self._state
        now_seconds = state.now_seconds()
        ballot = messages.Ballot(1, state.self_id.incarnation)
        state.promise(ballot, BOOTSTRAP_PROMISE_SECONDS)
        proposal.sent_seconds = now_seconds
        proposal.ends[state.self_id] = now_seconds + BOOTSTRAP_PROMISE_SECONDS
        foundation = messages.Foundation(
            messages.ViewRecord(*proposal.view), now_seconds
        )
        for member in proposal.view.members:
            if member != state.self_id:
                self._link.send(to=member, body=foundation)

    def _install_if_agreed(self) -> None:
        proposal = self._proposal
        if proposal is None:
            return
        now_seconds = self._state.now_seconds()
        ends = [proposal.ends.get(one, 0.0) for one in proposal.view.members]
        if min(ends) <= now_seconds or not self._state.is_outdated():
            return
        self._proposal = None
        self._counters.add("view_foundations", "founded")
        ballot = messages.Ballot(1, self._state.self_id.incarnation)
        self._state.install(proposal.view, ballot)
        self._on_bootstrapped(proposal.view, proposal.ends)


__all__ = [
    "BOOTSTRAP_PROMISE_SECONDS",
    "Bootstrap",
    "Proposal",
    "RESEND_SECONDS",
]
