"""Incremental reports of a hub about the live instances.

Load pattern: hundreds of instances that need to know of each other, of which
few join, leave or own an engine. If each were sent the full state twice a
second, an instance would spend its whole control budget on what it knows
already. Therefore a report holds only the changes since the previous report.
Reports are numbered: a receiver that misses one says so, and is sent the full
state once.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Iterator
import itertools
import math
from typing import NamedTuple

from boragefold.coordination.fleet import engine_diffs
from boragefold.coordination.fleet import member as member_module
from boragefold.protocol import ids
from boragefold.protocol import peer_messages as messages


class ReportedState(NamedTuple):
    """The last reported state of an instance, and its number in reports."""

    number: int
    instance: ids.InstanceId
    standing: messages.Standing
    engines: tuple[messages.EngineStatus, ...]
    said_milliseconds: int


class ReportWriter:
    """Writes one hub's reports for one group of receivers."""

    def __init__(self, *, numbering: Iterator[int], first_hand: bool) -> None:
        """Start without receivers.

        :param numbering: shared by all reports of this hub, so that a receiver
            that moves between groups can tell which report is newer
        :param first_hand: whether the reports list only instances that send
            their heartbeats to this hub
        """
        self._numbering = numbering
        self._first_hand = first_hand
        self._number: int | None = None
        self._numbers = itertools.count()
        self._reported: dict[str, ReportedState] = {}
        self._receivers: set[ids.InstanceId] = set()

    def write(
        self,
        members: Collection[member_module.Member],
        receivers: Collection[ids.InstanceId],
        *,
        now_seconds: float,
    ) -> Iterator[tuple[messages.Report, list[ids.InstanceId]]]:
        """Write the next report.

        :param members: the instances to report as alive
        :param receivers: the instances that the report is sent to
        :param now_seconds: reading of the process clock
        :return: an incremental report for receivers that have all previous
            ones, and a full one for the others; each with its receivers
        """
        changes = self._incremental_report(members, now_seconds)
        former = [one for one in receivers if one in self._receivers]
        new = [one for one in receivers if one not in self._receivers]
        self._receivers = set(receivers)
        if former:
            yield changes, former
        if new:
            yield self._full_report(members, now_seconds), new

    def missed(self, receiver: ids.InstanceId) -> None:
        """Send a receiver the full state with the next report.

        :param receiver: the instance that missed a report
        """
        self._receivers.discard(receiver)

    def _incremental_report(
        self,
        members: Collection[member_module.Member],
        now_seconds: float,
    ) -> messages.Report:
        present = {member.instance for member in members}
        gone = [
            known
            for known in self._reported.values()
            if known.instance not in present
        ]
        for known in gone:
            del self._reported[known.instance.address]
        told = tuple(
            change
            for member in members
            if (change := self._changed_entry(member, now_seconds)) is not None
        )
        since, self._number = self._number, next(self._numbering)
        silent = tuple(known.number for known in gone)
        return messages.Report(
            self._number, since, self._first_hand, told, silent
        )

    def _changed_entry(
        self, member: member_module.Member, now_seconds: float
    ) -> messages.Told | None:
        beat = member.beat
        if beat is None:
            return None
        known = self._reported.get(member.instance.address)
        if known is None:
            known = ReportedState(
                next(self._numbers),
                member.instance,
                _standing_of(beat),
                beat.engines,
                member.newest_uptime_milliseconds,
            )
            self._reported[member.instance.address] = known
            return _full_entry(known, member, now_seconds)
        standing = _standing_of(beat)
        unchanged = standing == known.standing
        changes = engine_diffs.diff(known.engines, beat.engines)
        if unchanged and changes == ():
            return None
        engines = (
            None
            if changes is None
            else engine_diffs.patch(known.engines, changes)
        )
        reported = known._replace(
            standing=standing,
            # As the receivers have it: the next change refers to positions.
            engines=beat.engines if engines is None else engines,
            said_milliseconds=member.newest_uptime_milliseconds,
        )
        self._reported[member.instance.address] = reported
        return messages.Told(
            known.number,
            reported.said_milliseconds,
            standing=None
            if unchanged
            else _with_uptime(reported, member, now_seconds),
            engines=beat.engines if changes is None else None,
            changes=changes or None,
        )

    def _full_report(
        self,
        members: Collection[member_module.Member],
        now_seconds: float,
    ) -> messages.Report:
        told = tuple(
            _full_entry(known, member, now_seconds)
            for member in members
            if (known := self._reported.get(member.instance.address))
            is not None
        )
        return messages.Report(
            self._number or 0, None, self._first_hand, told, ()
        )


class ReportReader:
    """Assembles the reports of one incarnation of a hub.

    ``heard_at_seconds`` is when its last report arrived, ``instances`` are
    those that it reports as alive, by address, and ``complete`` tells
    whether no report was missed. ``first_hand`` tells whether all of them send
    their heartbeats to this hub.
    """

    def __init__(self) -> None:
        self.heard_at_seconds = -math.inf
        self.instances: dict[str, ids.InstanceId] = {}
        self.complete = False
        self.first_hand = False
        self._number = -1
        self._instances: dict[int, ids.InstanceId] = {}
        # As this hub has reported them; its changes refer to these.
        self._engines: dict[int, engine_diffs.Engines] = {}

    def apply(
        self, report: messages.Report, *, now_seconds: float
    ) -> list[tuple[ids.InstanceId, messages.Told]]:
        """Apply a report.

        :param report: the report, possibly duplicated or out of order
        :param now_seconds: reading of the process clock
        :return: its entries, by instance, with engines in full
        """
        whole = report.since is None
        if report.number < self._number or (
            report.number == self._number and not whole
        ):
            return []
        follows = report.since == self._number
        self.complete = whole or (self.complete and follows)
        self._number = report.number
        self.first_hand = report.first_hand
        self.heard_at_seconds = now_seconds
        if whole:
            self._instances.clear()
            self._engines.clear()
        for number in report.silent:
            self._instances.pop(number, None)
            self._engines.pop(number, None)
        told = [*self._resolve_numbers(report.told)]
        named = any(entry.instance is not None for entry in report.told)
        if whole or report.silent or named:
            self.instances = {
                instance.address: instance
                for instance in self._instances.values()
            }
        return told

    def _resolve_numbers(
        self, entries: Iterable[messages.Told]
    ) -> Iterator[tuple[ids.InstanceId, messages.Told]]:
        for told in entries:
            if told.instance is not None:
                self._instances[told.number] = told.instance
            instance = self._instances.get(told.number)
            if instance is None:
                # The report that introduced this number was missed.
                self.complete = False
            else:
                yield instance, self._with_engines(told)

    def _with_engines(self, told: messages.Told) -> messages.Told:
        engines = told.engines
        if told.changes is not None:
            # Another hub's report, or a gap, is no base for these changes.
            base = self._engines.get(told.number) if self.complete else None
            engines = (
                None
                if base is None
                else engine_diffs.patch(base, told.changes)
            )
            self.complete &= engines is not None
        if engines is not None:
            self._engines[told.number] = engines
        return told._replace(engines=engines, changes=None)


def _standing_of(beat: messages.Beat) -> messages.Standing:
    return messages.Standing(
        uptime_seconds=0.0,
        leaving=beat.leaving,
        store_lost=beat.store_lost,
        avoids=beat.avoids,
        link_megabits=beat.link_megabits,
        store_sound=beat.store_sound,
    )


def _with_uptime(
    known: ReportedState, member: member_module.Member, now_seconds: float
) -> messages.Standing:
    return known.standing._replace(
        uptime_seconds=round(now_seconds - member.started_at_seconds, 3)
    )


def _full_entry(
    known: ReportedState, member: member_module.Member, now_seconds: float
) -> messages.Told:
    return messages.Told(
        known.number,
        known.said_milliseconds,
        known.instance,
        _with_uptime(known, member, now_seconds),
        known.engines,
    )


__all__ = [
    "ReportReader",
    "ReportWriter",
]
