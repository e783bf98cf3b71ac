"""Which other instances there are, and which of them answer.

Nothing lists the instances. Each is told of a few addresses at its start,
which may be out of date or down, and learns the rest from whoever answers.
Known addresses are never given up quickly: a process that was restarted
listens at the address of its predecessor, so those that remember it find it
even when every address that it was told of is down.
"""

from __future__ import annotations

from collections.abc import Callable
import math

from boragefold.coordination.fleet import hubs
from boragefold.coordination.fleet import member as member_module
from boragefold.protocol import ids
from boragefold.protocol import peer_messages as messages
from boragefold.timing import timers as timing

# The interval grows with the fleet, to bound what hubs send.
BEAT_SECONDS = 0.25
BEATS_PER_SECOND = 48.0
MAX_BEAT_SECONDS = 0.5
# One lost datagram or a short pause isn't a failure.
SILENT_BEATS = 4
# A late hub is replaced before its instances are taken for silent.
LATE_BEATS = 1.5
# An instance that didn't answer is no hub for this long.
AVOID_HUB_SECONDS = 8.0
# An instance that lost all its hubs takes the others for alive this long,
# while it looks for another hub.
ORPHAN_SECONDS = 2.0
# An address that nothing was heard from for so long is given up.
FORGET_SECONDS = 120.0


class Members:
    """The other instances by address."""

    def __init__(
        self, *, timers: timing.TimerService, self_id: ids.InstanceId
    ) -> None:
        """Begin with nobody known.

        :param timers: the process clock
        :param self_id: who we are
        """
        self._timers = timers
        self._self_id = self_id
        self._started_at_seconds = timers.now_seconds()
        self._members: dict[str, member_module.Member] = {}
        self._on_beat: list[
            Callable[[ids.InstanceId, messages.Beat], None]
        ] = []
        self._on_gone: list[Callable[[ids.InstanceId], None]] = []
        self._on_silent: list[Callable[[ids.InstanceId, bool], None]] = []
        self._silent: set[str] = set()
        self._direct_at_seconds = self._started_at_seconds
        # Counts the changes that others must hear of at once.
        self.news_version = 0

    def subscribe(
        self,
        *,
        on_beat: Callable[[ids.InstanceId, messages.Beat], None],
        on_gone: Callable[[ids.InstanceId], None] = lambda gone: None,
        on_silent: Callable[[ids.InstanceId, bool], None] = (
            lambda peer, silent: None
        ),
    ) -> None:
        """Be told of what others say and of their ends.

        :param on_beat: called with each heartbeat
        :param on_gone: called when an incarnation was replaced by another
        :param on_silent: called when a peer falls silent or is heard again
        """
        self._on_beat.append(on_beat)
        self._on_gone.append(on_gone)
        self._on_silent.append(on_silent)

    @property
    def uptime_seconds(self) -> float:
        """Tell how long this process takes part.

        :return: seconds
        """
        return self._timers.now_seconds() - self._started_at_seconds

    def beat_seconds(self) -> float:
        """Tell how long there is between two heartbeats.

        :return: seconds
        """
        wanted = len(self._members) / BEATS_PER_SECOND
        return min(MAX_BEAT_SECONDS, max(BEAT_SECONDS, wanted))

    def silent_seconds(self) -> float:
        """Tell after how long without a heartbeat a peer counts as silent.

        :return: seconds
        """
        return SILENT_BEATS * self.beat_seconds()

    def reachable(self) -> list[member_module.Member]:
        """List the instances that are heard.

        :return: those with a heartbeat that is not too old
        """
        now_seconds = self._timers.now_seconds()
        oldest = now_seconds - self.silent_seconds()
        quiet_seconds = now_seconds - self._direct_at_seconds
        oldest_told = oldest - min(quiet_seconds, ORPHAN_SECONDS)
        return [
            member
            for member in self._members.values()
            if member.beat is not None
            and member.heard_at_seconds
            >= (
                oldest
                if member.direct_at_seconds == member.heard_at_seconds
                else oldest_told
            )
        ]

    def beats(self) -> list[messages.Beat]:
        """List what the instances that are heard tell of themselves.

        :return: their last heartbeats
        """
        return [
            member.beat
            for member in self.reachable()
            if member.beat is not None
        ]

    def unreachable(self) -> list[member_module.Member]:
        """List the instances that are known and not heard.

        :return: those whose end isn't long past
        """
        heard = {member.instance.address for member in self.reachable()}
        return [
            member
            for address, member in self._members.items()
            if address not in heard
        ]

    def direct(self) -> list[member_module.Member]:
        """List the instances that speak to us themselves.

        :return: those heard lately
        """
        oldest = self._timers.now_seconds() - self.silent_seconds()
        return [
            member
            for member in self._members.values()
            if member.direct_at_seconds >= oldest and member.beat is not None
        ]

    def hub_candidates(self) -> list[hubs.Candidate]:
        """List the other instances that heartbeats could travel through.

        :return: those that live, or were found a moment ago
        """
        now_seconds = self._timers.now_seconds()
        new_since = now_seconds - self.silent_seconds()
        new = (
            member
            for member in self._members.values()
            if member.beat is None and member.found_at_seconds >= new_since
        )
        return [
            member_module.candidate_of(member)
            for member in (*self.reachable(), *new)
            if member.instance.data_centre
            and now_seconds - member.failed_at_seconds > AVOID_HUB_SECONDS
            and not (member.beat is not None and member.beat.leaving)
        ]

    def late(self) -> set[str]:
        """List the instances that owe us a heartbeat.

        :return: their addresses
        """
        oldest = self._timers.now_seconds() - LATE_BEATS * self.beat_seconds()
        return {
            address
            for address, member in self._members.items()
            if member.awaited_since_seconds is not None
            and member.awaited_since_seconds < oldest
        }

    def await_from(self, addresses: set[str]) -> None:
        """Note whom we speak to, and who hasn't answered for too long.

        :param addresses: those that should speak to us too
        """
        now_seconds = self._timers.now_seconds()
        oldest = now_seconds - self.silent_seconds()
        for address, member in self._members.items():
            if address not in addresses:
                member.awaited_since_seconds = None
            elif member.awaited_since_seconds is None:
                member.awaited_since_seconds = now_seconds
            elif member.awaited_since_seconds < oldest:
                member.failed_at_seconds = now_seconds

    def ages_seconds(self) -> list[float]:
        """Tell how long ago each peer was heard that was ever heard.

        :return: seconds
        """
        now_seconds = self._timers.now_seconds()
        return [
            now_seconds - member.heard_at_seconds
            for member in self._members.values()
            if member.beat is not None
        ]

    def instances(self) -> list[ids.InstanceId]:
        """List every instance that is known.

        :return: as last heard
        """
        return [member.instance for member in self._members.values()]

    def unheard(self) -> tuple[str, ...]:
        """List the peers that we speak to and whose heartbeats stopped.

        :return: their addresses
        """
        return tuple(
            sorted(
                address
                for address in self._silent
                if self._members[address].awaited_since_seconds is not None
            )
        )

    def note_silence(self) -> None:
        """Tell subscribers who fell silent and who is heard again."""
        heard = {member.instance.address for member in self.reachable()}
        for address, member in list(self._members.items()):
            silent = address not in heard and member.beat is not None
            if silent != (address in self._silent):
                self._silent ^= {address}
                for callback in self._on_silent:
                    callback(member.instance, silent)

    def forget_lost(self) -> None:
        """Give up the addresses that nothing was heard from for long."""
        oldest = self._timers.now_seconds() - FORGET_SECONDS
        lost = [
            address
            for address, member in self._members.items()
            if max(member.heard_at_seconds, member.found_at_seconds) < oldest
        ]
        for address in lost:
            del self._members[address]
            self._silent.discard(address)

    def hear(
        self, sender: ids.InstanceId, beat: messages.Beat | None = None
    ) -> None:
        """Note that an instance spoke to us.

        :param sender: which
        :param beat: its heartbeat, if it sent one
        """
        member = self.know(sender)
        if member is None:
            return
        now_seconds = self._timers.now_seconds()
        self._renew(member, sender)
        self._direct_at_seconds = now_seconds
        if member.direct_at_seconds < now_seconds - self.silent_seconds():
            self.news_version += 1
        member.heard_at_seconds = now_seconds
        member.direct_at_seconds = now_seconds
        member.failed_at_seconds = -math.inf
        if member.awaited_since_seconds is not None:
            member.awaited_since_seconds = now_seconds
        if beat is not None:
            self._take(member, beat)

    def hear_of(self, told: messages.Told) -> None:
        """Take over what a hub tells of another instance.

        :param told: its heartbeat, and how old that is
        """
        member = self.know(told.instance)
        if member is None:
            return
        heard_at_seconds = self._timers.now_seconds() - told.age_seconds
        if member.instance.incarnation != told.instance.incarnation:
            if heard_at_seconds <= member.heard_at_seconds:
                # Of a former incarnation, told by a hub that is behind.
                return
            self._renew(member, told.instance)
        if heard_at_seconds <= member.heard_at_seconds:
            return
        member.heard_at_seconds = heard_at_seconds
        self._take(member, told.beat)

    def know(self, instance: ids.InstanceId) -> member_module.Member | None:
        """Take note of an address where an instance may listen.

        :param instance: as far as it is known
        :return: what is known of it; None for ourselves
        """
        if instance.address == self._self_id.address:
            return None
        member = self._members.get(instance.address)
        if member is None:
            member = member_module.Member(
                instance=instance, found_at_seconds=self._timers.now_seconds()
            )
            self._members[instance.address] = member
        elif not member.instance.data_centre and instance.data_centre:
            member.instance = instance
        return member

    def _renew(
        self, member: member_module.Member, instance: ids.InstanceId
    ) -> None:
        before = member.instance
        if before.incarnation == instance.incarnation:
            return
        member.instance = instance
        member.beat = None
        if before.incarnation:
            for callback in self._on_gone:
                callback(before)

    def _take(self, member: member_module.Member, beat: messages.Beat) -> None:
        before = member.beat
        if before is not None and before.uptime_seconds > beat.uptime_seconds:
            # A newer one has come already, by a shorter way.
            return
        member.beat = beat
        if before is None or member_module.news_of(
            before
        ) != member_module.news_of(beat):
            self.news_version += 1
        for callback in self._on_beat:
            callback(member.instance, beat)


__all__ = [
    "Members",
]
