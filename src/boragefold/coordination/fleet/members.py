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

import xxhash

from boragefold.coordination.fleet import awaited
from boragefold.coordination.fleet import hub_reports
from boragefold.coordination.fleet import hubs
from boragefold.coordination.fleet import member as member_module
from boragefold.coordination.fleet import told_parts
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
        self._hub_reports = hub_reports.HubReports()
        self.awaited = awaited.Awaited(timers=timers)
        self._on_beat: list[
            Callable[[ids.InstanceId, messages.Beat], None]
        ] = []
        self._on_gone: list[Callable[[ids.InstanceId], None]] = []
        self._on_silent: list[Callable[[ids.InstanceId, bool], None]] = []
        self._silent: set[str] = set()
        self._direct_at_seconds = self._started_at_seconds
        self._reachable: dict[str, member_module.Member] = {}
        # Until then nobody who is heard can have fallen silent.
        self._valid_until_seconds = -math.inf
        # Counts the changes that others must hear of at once.
        self.news_version = 0
        # Counts the changes of who is heard, owns an engine or leaves.
        self.version = 0

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

        :param on_beat: called with each heartbeat that comes from the
            instance itself
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
        if self._timers.now_seconds() >= self._valid_until_seconds:
            self._look_who_is_heard()
        return list(self._reachable.values())

    def age_seconds(self, member: member_module.Member) -> float:
        """Tell how long ago an instance started.

        :param member: which
        :return: seconds, as far as it is known
        """
        return self._timers.now_seconds() - member.started_at_seconds

    def heard_seconds_ago(self, member: member_module.Member) -> float:
        """Tell how long ago an instance was last known to live.

        :param member: which
        :return: seconds; infinite for one that was never heard
        """
        return self._timers.now_seconds() - member.heard_at_seconds

    def unheard_seconds(self, member: member_module.Member) -> float:
        """Tell how long ago an instance was heard, or heard of, last.

        :param member: which
        :return: seconds
        """
        last_seconds = max(member.heard_at_seconds, member.found_at_seconds)
        return self._timers.now_seconds() - last_seconds

    def to_vouch_for(self) -> list[member_module.Member]:
        """List the instances that others may be told of.

        Two hubs that told each other what they have from each other would
        take a lost instance for alive for ever.

        :return: those heard by us, or by hubs that hear them themselves
        """
        self._hub_reports.date(self._members)
        oldest = self._timers.now_seconds() - self.silent_seconds()
        return [
            member
            for member in self.reachable()
            if member.first_hand_at_seconds >= oldest
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
        self.reachable()
        return [
            member
            for address, member in self._members.items()
            if address not in self._reachable
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

    def followers(self) -> list[member_module.Member]:
        """List the instances that take us for a hub.

        :return: those that spoke to us as to their hub lately
        """
        oldest = self._timers.now_seconds() - self.silent_seconds()
        return [
            member
            for member in self._members.values()
            if member.follows_at_seconds >= oldest and member.beat is not None
        ]

    def hub_candidates(
        self, data_centre: str | None = None
    ) -> list[hubs.Candidate]:
        """List the other instances that heartbeats could travel through.

        :param data_centre: only those of this one
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
            and data_centre in (None, member.instance.data_centre)
            and not self.awaited.failed_lately(member.instance.address)
            and not (member.beat is not None and member.beat.leaving)
        ]

    def late(self) -> frozenset[str]:
        """List the instances that owe us a heartbeat.

        :return: their addresses
        """
        return self.awaited.late(
            beyond_seconds=LATE_BEATS * self.beat_seconds()
        )

    def ages_seconds(self) -> list[float]:
        """Tell how long ago each peer was heard that was ever heard.

        :return: seconds; 0 for those that are heard
        """
        self.reachable()
        now_seconds = self._timers.now_seconds()
        silent_seconds = math.nextafter(self.silent_seconds(), math.inf)
        return [
            0.0
            if address in self._reachable
            else max(silent_seconds, now_seconds - member.heard_at_seconds)
            for address, member in self._members.items()
            if member.beat is not None
        ]

    def instances(self) -> list[ids.InstanceId]:
        """List every instance that is known.

        :return: as last heard
        """
        return [member.instance for member in self._members.values()]

    def identity(self, address: str) -> ids.InstanceId:
        """Tell who listens at an address.

        :param address: the address
        :return: as last heard
        """
        member = self._members.get(address)
        unknown = ids.InstanceId("", address, "")
        return unknown if member is None else member.instance

    def digest(self) -> int:
        """Make a number that two instances share if they hear the same.

        :return: a hash of the addresses, our own among them
        """
        self.reachable()
        text = "\0".join(sorted({*self._reachable, self._self_id.address}))
        return xxhash.xxh3_64_intdigest(text.encode())

    def unheard(self) -> tuple[str, ...]:
        """List the peers that we speak to and whose heartbeats stopped.

        :return: their addresses
        """
        return tuple(
            sorted(
                address
                for address in self._silent
                if self.awaited.is_awaited(address)
            )
        )

    def lacks(self) -> tuple[str, ...]:
        """List the hubs whose reports we missed.

        :return: their addresses
        """
        return self._hub_reports.lacking(
            since_seconds=self._timers.now_seconds() - self.silent_seconds()
        )

    def note_silence(self) -> None:
        """Tell subscribers who fell silent and who is heard again."""
        self.reachable()
        for address, member in list(self._members.items()):
            silent = address not in self._reachable and member.beat is not None
            if silent != (address in self._silent):
                self._silent ^= {address}
                for callback in self._on_silent:
                    callback(member.instance, silent)

    def forget_lost(self) -> None:
        """Give up the addresses that nothing was heard from for long."""
        now_seconds = self._timers.now_seconds()
        lost = [
            address
            for address, member in self._members.items()
            if self.unheard_seconds(member) > FORGET_SECONDS
        ]
        for address in lost:
            del self._members[address]
            self._silent.discard(address)
        stale_seconds = self.silent_seconds() + ORPHAN_SECONDS
        self._hub_reports.forget(before_seconds=now_seconds - stale_seconds)

    def hear(
        self,
        sender: ids.InstanceId,
        beat: messages.Beat | None = None,
        *,
        follows: bool = False,
    ) -> None:
        """Note that an instance spoke to us.

        :param sender: which
        :param beat: its heartbeat, if it sent one
        :param follows: whether it takes us for its hub
        """
        member = self.know(sender)
        now_seconds = self._timers.now_seconds()
        if member is None or told_parts.is_late_word(
            member, sender, beat, now_seconds=now_seconds
        ):
            return
        self._renew(member, sender)
        self._direct_at_seconds = now_seconds
        if member.direct_at_seconds < now_seconds - self.silent_seconds():
            self.news_version += 1
        member.direct_at_seconds = now_seconds
        member.heard_at_seconds = now_seconds
        if follows:
            member.follows_at_seconds = now_seconds
        self.awaited.heard(sender.address)
        if beat is None:
            return
        before = member.beat
        if told_parts.take_beat(member, beat, now_seconds=now_seconds):
            self._note_change(before, member)
        if sender.address not in self._reachable:
            self._valid_until_seconds = -math.inf
        for callback in self._on_beat:
            callback(member.instance, beat)

    def hear_report(
        self, sender: ids.InstanceId, report: messages.Report
    ) -> None:
        """Take over what a hub tells of the instances that it hears.

        :param sender: the hub
        :param report: its report
        """
        now_seconds = self._timers.now_seconds()
        entries, hears_others = self._hub_reports.take(
            sender, report, now_seconds=now_seconds
        )
        for instance, told in entries:
            self._hear_of(instance, told, now_seconds)
        if hears_others:
            self._valid_until_seconds = -math.inf

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
            self.version += 1
        elif not member.instance.data_centre and instance.data_centre:
            member.instance = instance
            self.version += 1
        return member

    def _hear_of(
        self,
        instance: ids.InstanceId,
        told: messages.Told,
        now_seconds: float,
    ) -> None:
        member = self.know(instance)
        if member is None or not told_parts.is_current(
            member, instance, told, now_seconds=now_seconds
        ):
            return
        self._renew(member, instance)
        before = member.beat
        if told_parts.take_told(member, told, now_seconds=now_seconds):
            self._note_change(before, member)

    def _note_change(
        self, before: messages.Beat | None, member: member_module.Member
    ) -> None:
        self.news_version += 1
        # Most news is of what was published, which moves no engine and no hub.
        if (
            before is None
            or member.beat is None
            or member_module.claims_of(before)
            != member_module.claims_of(member.beat)
        ):
            self.version += 1

    def _renew(
        self, member: member_module.Member, instance: ids.InstanceId
    ) -> None:
        before = member.instance
        if before.incarnation == instance.incarnation:
            return
        member.renew(instance)
        self.awaited.renewed(instance.address)
        self._valid_until_seconds = -math.inf
        if before.incarnation:
            for callback in self._on_gone:
                callback(before)

    def _look_who_is_heard(self) -> None:
        self._hub_reports.date(self._members)
        now_seconds = self._timers.now_seconds()
        silent_seconds = self.silent_seconds()
        oldest = now_seconds - silent_seconds
        quiet_seconds = now_seconds - self._direct_at_seconds
        oldest_told = oldest - min(quiet_seconds, ORPHAN_SECONDS)
        heard = {
            address: member
            for address, member in self._members.items()
            if member.beat is not None
            and member.vouched_at_seconds
            >= (
                oldest
                if member.direct_at_seconds == member.vouched_at_seconds
                else oldest_told
            )
        }
        if heard.keys() != self._reachable.keys():
            self.version += 1
            self.news_version += 1
        self._reachable = heard
        first = min(
            (member.vouched_at_seconds for member in heard.values()),
            default=now_seconds,
        )
        self._valid_until_seconds = first + silent_seconds


__all__ = [
    "Members",
]
