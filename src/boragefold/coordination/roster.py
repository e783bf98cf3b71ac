"""Who has been heard, who wants in and who has to go."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable

from boragefold.coordination import inquiry as inquiries
from boragefold.coordination import leadership as leaderships
from boragefold.coordination import quorum
from boragefold.coordination import rights
from boragefold.coordination import view_state
from boragefold.protocol import ids
from boragefold.telemetry import counters as telemetry

# A suspect gets new connections before it is removed.
SUSPECT_SECONDS = 1.2

# After an election no old lease has to be waited for.
GRACE_SECONDS = 0.6


class Roster:
    """What the steward knows of its members and of those who ask to join."""

    def __init__(
        self,
        *,
        state: view_state.ViewState,
        inquiry: inquiries.Inquiry,
        leadership: leaderships.Leadership,
        counters: telemetry.Counters,
        on_suspect: Callable[[ids.InstanceId], None],
    ) -> None:
        self._state = state
        self._inquiry = inquiry
        self._leadership = leadership
        self._counters = counters
        self._on_suspect = on_suspect
        self._heard: dict[ids.InstanceId, float] = {}
        self._suspected: set[ids.InstanceId] = set()
        self._joining: dict[str, ids.InstanceId] = {}
        self._leaving: set[ids.InstanceId] = set()

    def begin(self, members: Iterable[ids.InstanceId]) -> None:
        """Expect every member to answer soon, after an election.

        :param members: the members
        """
        self._suspected = set(members)
        heard_seconds = self._state.now_seconds() - (
            quorum.LEASE_SECONDS - GRACE_SECONDS
        )
        self._heard = {member: heard_seconds for member in self._suspected}

    def installed(self, view: rights.View) -> None:
        """Count every member as heard, in a new view.

        :param view: the view
        """
        now_seconds = self._state.now_seconds()
        self._heard = {member: now_seconds for member in view.members}
        self._joining = {
            address: joiner
            for address, joiner in self._joining.items()
            if joiner not in view.members
        }
        self._leaving.intersection_update(view.members)

    def hear(self, member: ids.InstanceId) -> None:
        """Note that a member lives.

        :param member: the member
        """
        self._heard[member] = self._state.now_seconds()
        self._suspected.discard(member)

    def hear_by_relay(
        self, view: rights.View, relay: ids.InstanceId, quiet: Iterable[int]
    ) -> None:
        """Note what a relay says of the members that beat to it.

        :param view: our view
        :param relay: the relay
        :param quiet: the places of those it hasn't heard for long
        """
        silent = set(quiet)
        doubtful_seconds = self._state.now_seconds() - SUSPECT_SECONDS
        for place, member in enumerate(view.members):
            if quorum.relay_of(view, member) != relay:
                continue
            if place not in silent:
                self.hear(member)
            elif self._heard.get(member, 0.0) > doubtful_seconds:
                self._heard[member] = doubtful_seconds

    def silent(self, view: rights.View) -> list[ids.InstanceId]:
        """List the members that were not heard for long; report new ones.

        :param view: our view
        :return: the members, to be asked for a heartbeat
        """
        now_seconds = self._state.now_seconds()
        found = [
            member
            for member in view.members
            if member != self._state.self_id
            and now_seconds - self._heard.get(member, 0.0) >= SUSPECT_SECONDS
        ]
        for member in found:
            if member not in self._suspected:
                self._suspected.add(member)
                self._counters.add("view_suspects", "silent")
                self._on_suspect(member)
        return found

    def join(self, joiner: ids.InstanceId) -> None:
        """Note that an instance wants in.

        The last to ask from an address is the one that runs there.

        :param joiner: the instance
        """
        self._joining[joiner.address] = joiner

    def leave(self, member: ids.InstanceId) -> None:
        """Note that a member wants out.

        :param member: the member
        """
        if self._joining.get(member.address) == member:
            del self._joining[member.address]
        self._leaving.add(member)

    def members_after(self, view: rights.View) -> tuple[ids.InstanceId, ...]:
        """Tell who should be in the next view.

        :param view: the view before
        :return: those who stay, in their order, and those who join
        """
        staying = [one for one in view.members if not self._must_go(one)]
        taken = {member.address for member in staying}
        joining = sorted(
            joiner
            for joiner in self._joining.values()
            if joiner not in view.members
            and joiner not in self._leaving
            and joiner.address not in taken
        )
        return (*staying, *joining)

    def _must_go(self, member: ids.InstanceId) -> bool:
        if member in self._leaving or member in self._leadership.dead:
            return True
        if member == self._state.self_id:
            return False
        if self._inquiry.is_replaced(member):
            return True
        silent_seconds = self._state.now_seconds() - self._heard.get(
            member, 0.0
        )
        return (
            silent_seconds >= quorum.LEASE_SECONDS
            and self._leadership.has_ended(member)
        )


__all__ = [
    "GRACE_SECONDS",
    "SUSPECT_SECONDS",
    "Roster",
]
