"""The known instances of the fleet, and which of them are alive.

There is no central list of instances. Each starts with a few seed addresses,
which may be out of date or down, and learns the rest from whichever instance
answers. Known addresses are kept for a long time: a restarted process listens
at the address of its predecessor, so instances that remember the address find
it even when every seed of the restarted process is down.
"""

from __future__ import annotations

from collections.abc import Callable
import math

from boragefold.coordination.fleet import member as member_module
from boragefold.coordination.fleet import member_table
from boragefold.coordination.fleet import state_merge
from boragefold.protocol import ids
from boragefold.protocol import peer_messages as messages
from boragefold.timing import timers as timing

# An address without any message for this long is forgotten.
EXPIRY_SECONDS = 120.0


class Members(member_table.MemberTable):
    """The other instances by address, changed by what they send."""

    def __init__(
        self, *, timers: timing.TimerService, self_id: ids.InstanceId
    ) -> None:
        """Start with no known instances.

        :param timers: the process clock
        :param self_id: the identity of this instance
        """
        super().__init__(timers=timers, self_id=self_id)
        self._on_beat: list[
            Callable[[ids.InstanceId, messages.Beat], None]
        ] = []
        self._on_replaced: list[Callable[[ids.InstanceId], None]] = []
        self._on_silent: list[Callable[[ids.InstanceId, bool], None]] = []
        self._silent: set[str] = set()

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
        stale_seconds = (
            self.silence_timeout_seconds() + member_table.ORPHAN_SECONDS
        )
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


__all__ = [
    "Members",
]
