"""Tracks silent, joining and leaving members for the leader of a view."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable

from boragefold.coordination import leadership as leaderships
from boragefold.coordination import peer_status as peer_statuses
from boragefold.coordination import quorum
from boragefold.coordination import rights
from boragefold.coordination import view_state
from boragefold.protocol import ids
from boragefold.telemetry import counters as telemetry

# A silent member gets new connections before it is removed.
SUSPECT_SECONDS = 1.2

# After an election a silent member is removed this soon, as no old lease has
# to be waited for.
GRACE_SECONDS = 0.6


class MemberTracker:
    """The leader's records of members and of instances that ask to join."""

    def __init__(
        self,
        *,
        state: view_state.ViewState,
        peer_status: peer_statuses.PeerStatus,
        leadership: leaderships.Leadership,
        counters: telemetry.Counters,
        on_suspect: Callable[[ids.InstanceId], None],
    ) -> None:
        self._state = state
        self._peer_status = peer_status
        self._leadership = leadership
        self._counters = counters
        self._on_suspect = on_suspect
        self._heard_seconds: dict[ids.InstanceId, float] = {}
        self._suspected: set[ids.InstanceId] = set()
        self._joining: dict[str, ids.InstanceId] = {}
        self._leaving: set[ids.InstanceId] = set()

    def begin(self, members: Iterable[ids.InstanceId]) -> None:
        """Expect a message from every member soon, after an election.

        :param members: the members
        """
        self._suspected = set(members)
        heard_seconds = self._state.now_seconds() - (
            quorum.LEASE_SECONDS - GRACE_SECONDS
        )
        self._heard_seconds = {
            member: heard_seconds for member in self._suspected
        }

    def on_installed(self, view: rights.View) -> None:
        """Count every member of a new view as just heard.

        :param view: the view
        """
        now_seconds = self._state.now_seconds()
        self._heard_seconds = {member: now_seconds for member in view.members}
        self._joining = {
            address: joiner
            for address, joiner in self._joining.items()
            if joiner not in view.members
        }
        self._leaving.intersection_update(view.members)

    def record_heard(self, member: ids.InstanceId) -> None:
        """Record that a member has sent a message.

        :param member: the member
        """
        self._heard_seconds[member] = self._state.now_seconds()
        self._suspected.discard(member)

    def apply_relay_report(
        self, view: rights.View, relay: ids.InstanceId, quiet: Iterable[int]
    ) -> None:
        """Apply a relay's report on the members that send it heartbeats.

        :param view: the current view
        :param relay: the relay
        :param quiet: positions of those that it hasn't heard for long
        """
        silent = set(quiet)
        suspect_before_seconds = self._state.now_seconds() - SUSPECT_SECONDS
        for position, member in enumerate(view.members):
            if quorum.relay_of(view, member) != relay:
                continue
            if position not in silent:
                self.record_heard(member)
            elif self._heard_seconds.get(member, 0.0) > suspect_before_seconds:
                self._heard_seconds[member] = suspect_before_seconds

    def silent(self, view: rights.View) -> list[ids.InstanceId]:
        """List the members that are silent for long, and report new ones.

        :param view: the current view
        :return: the members, to be asked for a heartbeat
        """
        now_seconds = self._state.now_seconds()
        found = [
            member
            for member in view.members
            if member != self._state.self_id
            and now_seconds - self._heard_seconds.get(member, 0.0)
            >= SUSPECT_SECONDS
        ]
        for member in found:
            if member not in self._suspected:
                self._suspected.add(member)
                self._counters.add("view_suspects", "silent")
                self._on_suspect(member)
        return found

    def join(self, joiner: ids.InstanceId) -> None:
        """Record that an instance asks to join.

        The last one to ask from an address is the one that runs there.

        :param joiner: the instance
        """
        self._joining[joiner.address] = joiner

    def leave(self, member: ids.InstanceId) -> None:
        """Record that a member asks to leave.

        :param member: the member
        """
        if self._joining.get(member.address) == member:
            del self._joining[member.address]
        self._leaving.add(member)

    def next_members(self, view: rights.View) -> tuple[ids.InstanceId, ...]:
        """Return the members of the next view.

        :param view: the current view
        :return: the remaining members in their order, then the joining ones
        """
        staying = [
            one for one in view.members if not self._must_be_removed(one)
        ]
        taken = {member.address for member in staying}
        joining = sorted(
            joiner
            for joiner in self._joining.values()
            if joiner not in view.members
            and joiner not in self._leaving
            and joiner.address not in taken
        )
        return (*staying, *joining)

    def _must_be_removed(self, member: ids.InstanceId) -> bool:
        if member in self._leaving or member in self._leadership.dead:
            return True
        if member == self._state.self_id:
            return False
        if self._peer_status.is_replaced(member):
            return True
        silent_seconds = self._state.now_seconds() - self._heard_seconds.get(
            member, 0.0
        )
        return (
            silent_seconds >= quorum.LEASE_SECONDS
            and self._leadership.lease_has_expired(member)
        )


__all__ = [
    "GRACE_SECONDS",
    "MemberTracker",
    "SUSPECT_SECONDS",
]
