"""Distributed counting of admitted amounts, with few numbers sent.

Load pattern: dozens of workspaces that send through hundreds of instances. If
every instance sent its sums to all others, each would store and receive as
many numbers as there are workspaces times instances. Instead, an instance
reports what it admitted to one hub, the hubs exchange the entries that they
write, and send the totals to the instances.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping

from boragefold.policy import admission_reports
from boragefold.policy import own_ledger_entry
from boragefold.policy import rate_ledger
from boragefold.policy import received_totals
from boragefold.policy import shared_rate
from boragefold.protocol import rate_ledger_messages as messages

# Number of entries whose index for this instance is kept.
MAX_INDEXES = 64


class AdmissionCounts:
    """Reports this instance's admitted amounts, and counts others' as a hub.

    A report is an :class:`~rate_ledger_messages.Account` message. A giver is
    an instance that sends reports, and the counter is the entry that it
    reports to.
    """

    def __init__(
        self, *, rate: shared_rate.SharedRate, incarnation: str
    ) -> None:
        """Start as an instance that is no hub.

        :param rate: the buckets of this instance and what it admitted
        :param incarnation: of this process
        """
        self._rate = rate
        self._incarnation = incarnation
        self._giver = own_ledger_entry.giver_id(incarnation)
        self._reports = admission_reports.AdmissionReports()
        self._counter = ""
        self._ledger = rate_ledger.RateLedger()
        self._entry: own_ledger_entry.OwnEntry | None = None
        self._entries_created = 0
        self._former_by_giver: dict[int, tuple[str, ...]] = {}
        # The totals as they were last sent.
        self._told: dict[str, float] = {}
        # The index that each entry assigned to this instance.
        self._indexes: dict[str, int] = {}
        self._received_totals = received_totals.ReceivedTotals(
            rate=rate, confirmed=self._reports.confirmed
        )

    @property
    def counter(self) -> str:
        """Return the entry that counts what this instance admits.

        :return: its name; empty before any was chosen
        """
        return self._counter

    @property
    def needs_all_totals(self) -> bool:
        """Return whether the counter's hub has to send all its totals.

        :return: whether the totals received last can't be used
        """
        return self._received_totals.needs_all

    @property
    def complete(self) -> bool:
        """Return whether this instance can send totals.

        :return: whether the entries of others are known
        """
        return self._entry is not None and self._ledger.complete

    @property
    def has_news(self) -> bool:
        """Return whether totals rose much since they were last sent.

        :return: whether instances should know before the next heartbeat
        """
        return any(
            abs(amount - self._told.get(workspace, 0.0))
            >= self._rate.news_amount(workspace)
            for workspace, amount in self._ledger.totals.items()
        )

    def connect(self, *, report: Callable[[], None]) -> None:
        """Connect what sends reports between heartbeats.

        :param report: called when others need to know of more at once
        """
        self._rate.connect(confirmed=self._reports.confirmed, report=report)

    def mark_told(self) -> None:
        """Record that the totals were sent to the instances."""
        self._told = dict(self._ledger.totals)

    def set_reach(
        self, share: float, *, instances: int, now_seconds: float
    ) -> None:
        """Go by other reachable instances from now on.

        :param share: fraction of the rates that belongs to those
        :param instances: number of all that may admit requests
        :param now_seconds: reading of the process clock
        """
        self._rate.set_reach(
            share, instances=instances, now_seconds=now_seconds
        )

    def levels(self, *, now_seconds: float) -> dict[str, float] | None:
        """Return the levels of all buckets for a process that starts.

        :param now_seconds: reading of the process clock
        :return: by workspace; None as long as they aren't known here
        """
        return self._rate.levels(now_seconds=now_seconds)

    def receive_levels(
        self, levels: Mapping[str, float], *, now_seconds: float
    ) -> None:
        """Go by a hub's levels, in a process that has just started.

        :param levels: by workspace
        :param now_seconds: reading of the process clock
        """
        self._rate.receive_levels(levels, now_seconds=now_seconds)

    def begin_counting(self, *, now_seconds: float) -> None:
        """Become a hub: write an entry from now on.

        :param now_seconds: reading of the process clock
        """
        if self._entry is not None:
            return
        # Amounts in an earlier entry that weren't sent to any other hub are
        # reported to this one again.
        self._entry = own_ledger_entry.OwnEntry(
            incarnation=self._incarnation,
            serial=self._entries_created,
            now_seconds=now_seconds,
        )
        self._entries_created += 1
        self._ledger = rate_ledger.RateLedger()
        self._former_by_giver = {}

    def stop_counting(self) -> None:
        """Stop being a hub: write no entry any more."""
        self._entry = None

    def begin_era(self, *, heard_count: int, now_seconds: float) -> None:
        """Start an era without the entries of others, as no hub sends any.

        :param heard_count: the number of instances heard
        :param now_seconds: reading of the process clock
        """
        era = rate_ledger.new_era(self._incarnation, heard_count=heard_count)
        self._ledger.begin_era(era, now_seconds=now_seconds)
        self._rate.keep_levels()
        self.count_own(now_seconds=now_seconds)

    def create_report(
        self, counter: str, *, now_seconds: float
    ) -> messages.Account:
        """Create the report of what was admitted here.

        :param counter: name of the hub's entry
        :param now_seconds: reading of the process clock
        :return: the report for the hub
        """
        self._counter = counter
        return self._reports.create_report(
            counter, self._rate.admitted, now_seconds=now_seconds
        )

    def count_own(self, *, now_seconds: float) -> None:
        """Count what was admitted here in the own entry, if there is one.

        :param now_seconds: reading of the process clock
        """
        if self._entry is None or not self._ledger.complete:
            return
        report = self.create_report(self._entry.name, now_seconds=now_seconds)
        if report.amounts:
            self._count(self._giver, report, now_seconds)
        entry = self._entry.entry(whole=True, now_seconds=now_seconds)
        self._ledger.put_own(self._entry.name, entry, now_seconds=now_seconds)
        numbers = self._ledger.counted_reports(
            self._giver, (*report.former, self._entry.name)
        )
        self._reports.confirm(numbers)
        self._received_totals.apply(
            self._ledger.totals,
            self._ledger.era,
            late=self._ledger.late(now_seconds=now_seconds),
            whole=True,
            now_seconds=now_seconds,
        )

    def count_report(
        self,
        sender: str,
        report: messages.Account,
        *,
        now_seconds: float,
    ) -> None:
        """Count the report of another instance.

        :param sender: its incarnation
        :param report: its report; ignored if meant for another entry
        :param now_seconds: reading of the process clock
        """
        if self._entry is None or report.counter != self._entry.name:
            return
        giver = own_ledger_entry.giver_id(sender)
        self._former_by_giver[giver] = report.former
        self._count(giver, report, now_seconds)

    def remove_instance(self, incarnation: str) -> None:
        """Remove an instance that has ended; its amounts stay counted.

        :param incarnation: of the instance
        """
        giver = own_ledger_entry.giver_id(incarnation)
        self._former_by_giver.pop(giver, None)
        if self._entry is not None:
            self._entry.remove_giver(giver)

    def entry_to_send(
        self, *, now_seconds: float
    ) -> messages.ToldEntry | None:
        """Return the own entry as sent to other hubs.

        :param now_seconds: reading of the process clock
        :return: None if this instance is no hub
        """
        own = self._entry
        if own is None:
            return None
        entry = own.entry(now_seconds=now_seconds)
        return messages.ToldEntry(
            serial=own.serial,
            version=entry.version,
            era=self._ledger.era,
            lost_digest=self._ledger.lost_digest(now_seconds=now_seconds),
            entry=(entry if own.is_recent(now_seconds=now_seconds) else None),
        )

    def receive_entry(
        self, hub: str, told: messages.ToldEntry, *, now_seconds: float
    ) -> bool:
        """Store another hub's entry.

        :param hub: its incarnation
        :param told: its entry
        :param now_seconds: reading of the process clock
        :return: whether the hub's whole ledger is needed
        """
        if self._entry is None or not told.era.known:
            return False
        if not self._ledger.complete:
            return True
        if told.era.origin > self._ledger.era.origin:
            # The entries of the two eras have nothing in common.
            self.stop_counting()
            self.begin_counting(now_seconds=now_seconds)
            return True
        if told.era.origin < self._ledger.era.origin:
            return False
        self._ledger.update_reunions(told.era, now_seconds=now_seconds)
        name = messages.entry_name(hub, told.serial)
        if told.entry is not None:
            is_known = self._ledger.put(
                name, told.entry, now_seconds=now_seconds
            )
        else:
            is_known = self._ledger.confirm_version(
                name, told.version, now_seconds=now_seconds
            )
        self.count_own(now_seconds=now_seconds)
        digest = self._ledger.lost_digest(now_seconds=now_seconds)
        return not is_known or digest != told.lost_digest

    def ledger(self, *, now_seconds: float) -> messages.Ledger | None:
        """Return the entries of all hubs.

        :param now_seconds: reading of the process clock
        :return: None while they aren't known
        """
        if not self.complete:
            return None
        return self._ledger.to_message(now_seconds=now_seconds)

    def merge(self, other: messages.Ledger, *, now_seconds: float) -> None:
        """Merge another hub's ledger into the own one.

        :param other: the ledger received
        :param now_seconds: reading of the process clock
        """
        if self._entry is not None and other.era.known:
            self._ledger.merge(other, now_seconds=now_seconds)
            self.count_own(now_seconds=now_seconds)

    def totals_to_send(
        self, *, whole: bool, now_seconds: float
    ) -> messages.Totals | None:
        """Return the totals of all hubs as sent to instances.

        :param whole: whether to include all totals, not only recent changes
        :param now_seconds: reading of the process clock
        :return: None if the totals aren't known here
        """
        own = self._entry
        if own is None or not self._ledger.complete:
            return None
        entry = own.entry(whole=whole, now_seconds=now_seconds)
        is_recent = whole or own.is_recent(now_seconds=now_seconds)
        return messages.Totals(
            serial=own.serial,
            era=self._ledger.era,
            whole=self._ledger.sends_all(whole=whole, now_seconds=now_seconds),
            amounts=self._ledger.totals_to_send(
                whole=whole, now_seconds=now_seconds
            ),
            counted=entry.counted if is_recent else {},
            indexes=entry.indexes,
            settled={
                giver: self._ledger.counted_reports(giver, former)
                for giver, former in self._former_by_giver.items()
                if former
            },
            late=self._ledger.late(now_seconds=now_seconds),
        )

    def receive_totals(
        self, hub: str, totals: messages.Totals, *, now_seconds: float
    ) -> None:
        """Remove what others admitted from the buckets, by a hub's totals.

        :param hub: its incarnation
        :param totals: totals of all hubs; ignored unless they come from the
            hub that counts for this instance
        :param now_seconds: reading of the process clock
        """
        counter = messages.entry_name(hub, totals.serial)
        # Just after the start, take the first totals received.
        self._counter = self._counter or counter
        if self._giver in totals.indexes:
            self._indexes[counter] = totals.indexes[self._giver]
        if counter != self._counter:
            return
        numbers = dict(totals.settled.get(self._giver, {}))
        number = totals.counted.get(self._indexes.get(counter, -1))
        if number is not None:
            numbers[counter] = number
        self._reports.confirm(numbers)
        self._received_totals.apply(
            totals.amounts,
            totals.era,
            late=totals.late,
            whole=totals.whole,
            now_seconds=now_seconds,
        )

    def expire(self, *, now_seconds: float) -> None:
        """Drop state that is no longer requested.

        :param now_seconds: reading of the process clock
        """
        self._reports.drop_oldest()
        for counter in list(self._indexes)[:-MAX_INDEXES]:
            del self._indexes[counter]
        self._ledger.compact(now_seconds=now_seconds)

    def _count(
        self,
        giver: int,
        report: messages.Account,
        now_seconds: float,
    ) -> None:
        assert self._entry is not None
        self._entry.count(
            giver,
            report.number,
            report.amounts,
            now_seconds=now_seconds,
        )


__all__ = [
    "AdmissionCounts",
]
