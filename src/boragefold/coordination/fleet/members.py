"""The known instances of the fleet, and which of them are alive.

There is no central list of instances. Each starts with a few seed addresses,
which may be out of date or down, and learns the rest from whichever instance
answers. Known addresses are kept for a long time: a restarted process listens
at the address of its predecessor, so instances that remember the address find
it even when every seed of the restarted process is down.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Collection
import math

import xxhash

from boragefold.coordination.fleet import heartbeat_deadlines
from boragefold.coordination.fleet import hub_reports
from boragefold.coordination.fleet import hubs
from boragefold.coordination.fleet import member as member_module
from boragefold.coordination.fleet import state_merge
from boragefold.protocol import ids
from boragefold.protocol import peer_messages as messages
from boragefold.timing import timers as timing

# The heartbeat interval grows with the fleet, to bound what hubs send.
MIN_HEARTBEAT_SECONDS = 0.25
HEARTBEATS_PER_SECOND = 48.0
MAX_HEARTBEAT_SECONDS = 0.5
# A single lost datagram or a short pause must not count as a failure.
SILENT_HEARTBEATS = 4
# An overdue hub is replaced before the instances behind it count as silent.
OVERDUE_HEARTBEATS = 1.5
# An instance that lost all its hubs keeps treating the others as alive this
# long, while it looks for another hub.
ORPHAN_SECONDS = 2.0
# An address without any message for this long is forgotten.
EXPIRY_SECONDS = 120.0


class Members:
    """The other instances, by address."""

    def __init__(
        self, *, timers: timing.TimerService, self_id: ids.InstanceId
    ) -> None:
        """Start with no known instances.

        :param timers: the process clock
        :param self_id: the identity of this instance
        """
        self._timers = timers
        self._self_id = self_id
        self._started_at_seconds = timers.now_seconds()
        self._members: dict[str, member_module.Member] = {}
        self._hub_reports = hub_reports.HubReports()
        self.deadlines = heartbeat_deadlines.HeartbeatDeadlines(timers=timers)
        self._on_beat: list[
            Callable[[ids.InstanceId, messages.Beat], None]
        ] = []
        self._on_replaced: list[Callable[[ids.InstanceId], None]] = []
        self._on_silent: list[Callable[[ids.InstanceId, bool], None]] = []
        self._silent: set[str] = set()
        self._direct_at_seconds = self._started_at_seconds
        self._reachable: dict[str, member_module.Member] = {}
        # No reachable instance can become silent before this time.
        self._reachable_until_seconds = -math.inf
        # Counts the changes that are sent on at once.
        self.urgent_version = 0
        # Counts the changes to who is reachable, owns an engine or is leaving.
        self.version = 0

    def subscribe(
        self,
        *,
        on_beat: Callable[[ids.InstanceId, messages.Beat], None],
        on_replaced: Callable[[ids.InstanceId], None] = lambda gone: None,
        on_silent: Callable[[ids.InstanceId, bool], None] = (
            lambda peer, silent: None
        ),
    ) -> None:
        """Register callbacks for heartbeats, restarts and silence.

        :param on_beat: called with each heartbeat that the instance sent to
            this one itself
        :param on_replaced: called when an incarnation was replaced by another
        :param on_silent: called when a peer becomes silent, or reachable again
        """
        self._on_beat.append(on_beat)
        self._on_replaced.append(on_replaced)
        self._on_silent.append(on_silent)

    @property
    def uptime_seconds(self) -> float:
        """Tell for how long this process has been a member of the fleet.

        :return: seconds
        """
        return self._timers.now_seconds() - self._started_at_seconds

    def heartbeat_interval_seconds(self) -> float:
        """Calculate the heartbeat interval.

        :return: seconds
        """
        wanted = len(self._members) / HEARTBEATS_PER_SECOND
        return min(MAX_HEARTBEAT_SECONDS, max(MIN_HEARTBEAT_SECONDS, wanted))

    def silence_timeout_seconds(self) -> float:
        """Tell after how long without a heartbeat a peer counts as silent.

        :return: seconds
        """
        return SILENT_HEARTBEATS * self.heartbeat_interval_seconds()

    def reachable(self) -> list[member_module.Member]:
        """List the instances that are alive.

        :return: those with a heartbeat or report within the silence timeout
        """
        if self._timers.now_seconds() >= self._reachable_until_seconds:
            self._update_reachable()
        return list(self._reachable.values())

    def reachable_addresses(self) -> Collection[str]:
        """List the addresses of the instances that are alive.

        :return: the same set as :meth:`reachable`
        """
        self.reachable()
        return self._reachable.keys()

    def age_seconds(self, member: member_module.Member) -> float:
        """Tell how long ago an instance started.

        :param member: the instance
        :return: seconds; negative infinity as long as it is unknown
        """
        return self._timers.now_seconds() - member.started_at_seconds

    def alive_seconds_ago(self, member: member_module.Member) -> float:
        """Tell how long ago an instance was last known to be alive.

        :param member: the instance
        :return: seconds; infinite if it was never known to be alive
        """
        return self._timers.now_seconds() - member.alive_at_seconds

    def lost_seconds(self, member: member_module.Member) -> float:
        """Tell how long ago an instance was last alive or first discovered.

        :param member: the instance
        :return: seconds
        """
        last_seconds = max(
            member.alive_at_seconds, member.discovered_at_seconds
        )
        return self._timers.now_seconds() - last_seconds

    def reportable(self) -> list[member_module.Member]:
        """List the instances that this one may report as alive.

        Two hubs that repeated each other's reports would keep a lost instance
        alive for ever.

        :return: those that send messages to this instance, or to a hub that
            reports them
        """
        self._hub_reports.update_times(self._members)
        oldest = self._timers.now_seconds() - self.silence_timeout_seconds()
        return [
            member
            for member in self.reachable()
            if member.direct_report_at_seconds >= oldest
        ]

    def heartbeats(self) -> list[messages.Beat]:
        """List the states that the reachable instances report of themselves.

        :return: their last heartbeats
        """
        return [
            member.beat
            for member in self.reachable()
            if member.beat is not None
        ]

    def unreachable(self) -> list[member_module.Member]:
        """List the instances that are known but not reachable.

        :return: those that aren't forgotten yet
        """
        self.reachable()
        return [
            member
            for address, member in self._members.items()
            if address not in self._reachable
        ]

    def direct_peers(self) -> list[member_module.Member]:
        """List the instances that send messages to this one directly.

        :return: those that did so within the silence timeout
        """
        oldest = self._timers.now_seconds() - self.silence_timeout_seconds()
        return [
            member
            for member in self._members.values()
            if member.received_at_seconds >= oldest and member.beat is not None
        ]

    def followers(self) -> list[member_module.Member]:
        """List the instances that use this one as a hub.

        :return: those that did so within the silence timeout
        """
        oldest = self._timers.now_seconds() - self.silence_timeout_seconds()
        return [
            member
            for member in self._members.values()
            if member.followed_at_seconds >= oldest and member.beat is not None
        ]

    def hub_candidates(
        self, data_centre: str | None = None
    ) -> list[hubs.Candidate]:
        """List the other instances that may serve as hubs.

        :param data_centre: only instances of this data centre
        :return: those that are reachable or were discovered a moment ago
        """
        now_seconds = self._timers.now_seconds()
        new_since = now_seconds - self.silence_timeout_seconds()
        new = (
            member
            for member in self._members.values()
            if member.beat is None
            and member.discovered_at_seconds >= new_since
        )
        return [
            member_module.hub_candidate(member)
            for member in (*self.reachable(), *new)
            if member.instance.data_centre
            and data_centre in (None, member.instance.data_centre)
            and not self.deadlines.timed_out_recently(member.instance.address)
            and not (member.beat is not None and member.beat.leaving)
        ]

    def overdue(self) -> frozenset[str]:
        """List the instances whose heartbeat is overdue.

        :return: their addresses
        """
        return self.deadlines.overdue(
            beyond_seconds=OVERDUE_HEARTBEATS
            * self.heartbeat_interval_seconds()
        )

    def silences_seconds(self) -> list[float]:
        """Tell how long each peer has been silent.

        :return: seconds for every peer that was ever alive; 0 for reachable
            ones
        """
        self.reachable()
        now_seconds = self._timers.now_seconds()
        silent_seconds = math.nextafter(
            self.silence_timeout_seconds(), math.inf
        )
        return [
            0.0
            if address in self._reachable
            else max(silent_seconds, now_seconds - member.alive_at_seconds)
            for address, member in self._members.items()
            if member.beat is not None
        ]

    def instances(self) -> list[ids.InstanceId]:
        """List every known instance.

        :return: their identities as last received
        """
        return [member.instance for member in self._members.values()]

    def identity(self, address: str) -> ids.InstanceId:
        """Look up the instance at an address.

        :param address: the address
        :return: its identity as last received
        """
        member = self._members.get(address)
        unknown = ids.InstanceId("", address, "")
        return unknown if member is None else member.instance

    def reachable_hash(self) -> int:
        """Hash the set of reachable instances, to compare it between peers.

        :return: a hash of their addresses and that of this instance
        """
        self.reachable()
        text = "\0".join(sorted({*self._reachable, self._self_id.address}))
        return xxhash.xxh3_64_intdigest(text.encode())

    def silent_targets(self) -> tuple[str, ...]:
        """List the silent peers that this instance sends heartbeats to.

        :return: their addresses
        """
        return tuple(
            sorted(
                address
                for address in self._silent
                if self.deadlines.is_expected(address)
            )
        )

    def hubs_with_gaps(self) -> tuple[str, ...]:
        """List the hubs of which a report was missed.

        :return: their addresses
        """
        return self._hub_reports.hubs_with_gaps(
            since_seconds=self._timers.now_seconds()
            - self.silence_timeout_seconds()
        )

    def notify_silence(self) -> None:
        """Tell subscribers who became silent and who is reachable again."""
        self.reachable()
        for address, member in list(self._members.items()):
            silent = address not in self._reachable and member.beat is not None
            if silent != (address in self._silent):
                self._silent ^= {address}
                for callback in self._on_silent:
                    callback(member.instance, silent)

    def expire(self) -> None:
        """Forget addresses without any message for ``EXPIRY_SECONDS``."""
        now_seconds = self._timers.now_seconds()
        lost = [
            address
            for address, member in self._members.items()
            if self.lost_seconds(member) > EXPIRY_SECONDS
        ]
        for address in lost:
            del self._members[address]
            self._silent.discard(address)
        stale_seconds = self.silence_timeout_seconds() + ORPHAN_SECONDS
        self._hub_reports.expire(before_seconds=now_seconds - stale_seconds)

    def receive(
        self,
        sender: ids.InstanceId,
        beat: messages.Beat | None = None,
        *,
        follows: bool = False,
    ) -> None:
        """Record a message that an instance sent to this one.

        :param sender: the instance
        :param beat: its heartbeat, if it sent one
        :param follows: whether the sender uses this instance as its hub
        """
        member = self.add(sender)
        now_seconds = self._timers.now_seconds()
        if member is None or state_merge.is_from_replaced(
            member, sender, beat, now_seconds=now_seconds
        ):
            return
        self._replace_incarnation(member, sender)
        self._direct_at_seconds = now_seconds
        if (
            member.received_at_seconds
            < now_seconds - self.silence_timeout_seconds()
        ):
            self.urgent_version += 1
        member.received_at_seconds = now_seconds
        member.alive_at_seconds = now_seconds
        if follows:
            member.followed_at_seconds = now_seconds
        self.deadlines.record_received(sender.address)
        if beat is None:
            return
        before = member.beat
        if state_merge.apply_heartbeat(member, beat, now_seconds=now_seconds):
            self._count_change(before, member)
        if sender.address not in self._reachable:
            self._reachable_until_seconds = -math.inf
        for callback in self._on_beat:
            callback(member.instance, beat)

    def apply_report(
        self, sender: ids.InstanceId, report: messages.Report
    ) -> None:
        """Apply a hub's report of the live instances.

        :param sender: the hub
        :param report: its report
        """
        now_seconds = self._timers.now_seconds()
        entries, hears_others = self._hub_reports.apply(
            sender, report, now_seconds=now_seconds
        )
        for instance, told in entries:
            self._apply_entry(instance, told, now_seconds)
        if hears_others:
            self._reachable_until_seconds = -math.inf

    def add(self, instance: ids.InstanceId) -> member_module.Member | None:
        """Add an address where an instance may listen.

        :param instance: its identity, as far as it is known
        :return: its record; None for this instance itself
        """
        if instance.address == self._self_id.address:
            return None
        member = self._members.get(instance.address)
        if member is None:
            member = member_module.Member(
                instance=instance,
                discovered_at_seconds=self._timers.now_seconds(),
            )
            self._members[instance.address] = member
            self.version += 1
        elif not member.instance.data_centre and instance.data_centre:
            member.instance = instance
            self.version += 1
        return member

    def _apply_entry(
        self,
        instance: ids.InstanceId,
        told: messages.Told,
        now_seconds: float,
    ) -> None:
        member = self.add(instance)
        if member is None or not state_merge.is_current(
            member, instance, told, now_seconds=now_seconds
        ):
            return
        self._replace_incarnation(member, instance)
        before = member.beat
        if state_merge.apply_report_entry(
            member, told, now_seconds=now_seconds
        ):
            self._count_change(before, member)

    def _count_change(
        self, before: messages.Beat | None, member: member_module.Member
    ) -> None:
        self.urgent_version += 1
        # Most changes are of published revisions, which affect neither engine
        # ownership nor the choice of hubs.
        if (
            before is None
            or member.beat is None
            or member_module.ownership_state(before)
            != member_module.ownership_state(member.beat)
        ):
            self.version += 1

    def _replace_incarnation(
        self, member: member_module.Member, instance: ids.InstanceId
    ) -> None:
        before = member.instance
        if before.incarnation == instance.incarnation:
            return
        member.replace_incarnation(instance)
        self.deadlines.record_restart(instance.address)
        self._reachable_until_seconds = -math.inf
        if before.incarnation:
            for callback in self._on_replaced:
                callback(before)

    def _update_reachable(self) -> None:
        self._hub_reports.update_times(self._members)
        now_seconds = self._timers.now_seconds()
        silent_seconds = self.silence_timeout_seconds()
        oldest = now_seconds - silent_seconds
        quiet_seconds = now_seconds - self._direct_at_seconds
        oldest_reported = oldest - min(quiet_seconds, ORPHAN_SECONDS)
        heard = {
            address: member
            for address, member in self._members.items()
            if member.beat is not None
            and member.reported_at_seconds
            >= (
                oldest
                if member.received_at_seconds == member.reported_at_seconds
                else oldest_reported
            )
        }
        if heard.keys() != self._reachable.keys():
            self.version += 1
            self.urgent_version += 1
        self._reachable = heard
        first = min(
            (member.reported_at_seconds for member in heard.values()),
            default=now_seconds,
        )
        self._reachable_until_seconds = first + silent_seconds


__all__ = [
    "Members",
]
