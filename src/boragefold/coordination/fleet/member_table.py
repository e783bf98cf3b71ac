"""What is known of the other instances, and which of them are alive."""

from __future__ import annotations

from collections.abc import Collection
import math

import xxhash

from boragefold.coordination.fleet import heartbeat_deadlines
from boragefold.coordination.fleet import hub_reports
from boragefold.coordination.fleet import hubs
from boragefold.coordination.fleet import member as member_module
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


class MemberTable:
    """The other instances by address, without what changes them."""

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
        self._direct_at_seconds = self._started_at_seconds
        self._reachable: dict[str, member_module.Member] = {}
        # No reachable instance can become silent before this time.
        self._reachable_until_seconds = -math.inf
        # Counts the changes that are sent on at once.
        self.urgent_version = 0
        # Counts the changes to who is reachable, owns an engine or is leaving.
        self.version = 0

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

    def staying(self) -> list[ids.InstanceId]:
        """List the instances that can be relied on for a while.

        :return: those that are alive and told that they aren't leaving
        """
        return [
            member.instance for member in self.reachable() if member.staying
        ]

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

    def count_lately(self, within_seconds: float) -> int:
        """Count the instances that may be running.

        :param within_seconds: time within which they were alive or discovered
        :return: a count, this instance included
        """
        return 1 + sum(
            self.lost_seconds(member) <= within_seconds
            for member in self._members.values()
        )

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

    def is_store_read(self) -> bool:
        """Return whether a reachable instance reads the store.

        :return: whether one reports that its store answers
        """
        return any(beat.store_sound for beat in self.heartbeats())

    def count_loads(self) -> int:
        """Count the loads in progress at engines of reachable instances.

        :return: a count
        """
        return sum(
            engine.loading
            for beat in self.heartbeats()
            for engine in beat.engines
        )

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

    def hubs_with_gaps(self) -> tuple[str, ...]:
        """List the hubs of which a report was missed.

        :return: their addresses
        """
        return self._hub_reports.hubs_with_gaps(
            since_seconds=self._timers.now_seconds()
            - self.silence_timeout_seconds()
        )

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
    "MemberTable",
    "ORPHAN_SECONDS",
]
