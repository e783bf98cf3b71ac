"""What one instance reported to hubs, and how much of it their entries hold.

An instance reports each amount to one hub. If that hub is lost, the other
hubs hold an older version of its entry, or received less of it than was
confirmed to the instance: the missing amounts are reported to the next hub,
and amounts that turn out to be held after all are subtracted there again.
"""

from __future__ import annotations

from collections.abc import Mapping
import itertools
from typing import NamedTuple

from boragefold.protocol import rate_ledger_messages as messages

# During this time, the amounts known of an earlier hub's entry may change.
SETTLE_SECONDS = 20.0
# No reachable hub stores older versions of an entry.
KEPT_REPORT_SECONDS = 6.0
# An entry that is reported to again continues from its kept state.
MAX_ENTRIES = 64


class Report(NamedTuple):
    """The amounts of one numbered report to an entry."""

    number: int
    at_seconds: float
    amounts: dict[str, float]


class EntryReports:
    """What was reported to one entry, and what it holds."""

    def __init__(self) -> None:
        self.confirmed: dict[str, float] = {}
        self.reports: list[Report] = []
        self.last_reported_at_seconds = 0.0

    def confirm(self, number: int) -> None:
        """Record which report the entry holds.

        :param number: of the last report that is included; 0 for none
        """
        older = [report for report in self.reports if report.number <= number]
        if not number or not self.reports:
            self.confirmed = {}
        else:
            self.confirmed = (older or self.reports[:1])[-1].amounts

    def drop_older(self, before_seconds: float) -> None:
        """Drop reports that can't be the last included one any more.

        :param before_seconds: reports whose successor is older are dropped
        """
        self.reports = [
            report
            for report, following in itertools.zip_longest(
                self.reports, self.reports[1:]
            )
            if following is None or following.at_seconds >= before_seconds
        ]


class AdmissionReports:
    """What this instance reported to each entry."""

    def __init__(self) -> None:
        self._entries: dict[str, EntryReports] = {}
        self._last_number = 0
        self._confirmed: dict[str, float] = {}
        self._confirmed_by_dropped: dict[str, float] = {}

    def confirmed(self, workspace: str) -> float:
        """Return how much of what was admitted here all entries hold.

        :param workspace: its name
        :return: tokens or requests
        """
        return self._confirmed.get(workspace, 0.0)

    def create_report(
        self,
        counter: str,
        admitted: Mapping[str, float],
        *,
        now_seconds: float,
    ) -> messages.Account:
        """Report to an entry all amounts that no other entry holds.

        :param counter: the entry's name
        :param admitted: everything admitted here, by workspace
        :param now_seconds: reading of the process clock
        :return: the report for the entry's hub
        """
        entry = self._entries.setdefault(counter, EntryReports())
        entry.last_reported_at_seconds = now_seconds
        amounts = {
            workspace: amount
            - self.confirmed(workspace)
            + entry.confirmed.get(workspace, 0.0)
            for workspace, amount in admitted.items()
        }
        if not entry.reports or entry.reports[-1].amounts != amounts:
            self._last_number += 1
            entry.reports.append(
                Report(self._last_number, now_seconds, amounts)
            )
        entry.drop_older(now_seconds - KEPT_REPORT_SECONDS)
        unconfirmed = {
            workspace: amount
            for workspace, amount in amounts.items()
            if amount != entry.confirmed.get(workspace, 0.0)
        }
        return messages.Account(
            counter,
            entry.reports[-1].number,
            unconfirmed,
            self.former_entries(counter, now_seconds=now_seconds),
        )

    def former_entries(
        self, counter: str, *, now_seconds: float
    ) -> tuple[str, ...]:
        """List the entries recently reported to, without the current one.

        :param counter: the current entry
        :param now_seconds: reading of the process clock
        :return: their names
        """
        oldest_seconds = now_seconds - SETTLE_SECONDS
        return tuple(
            name
            for name, entry in self._entries.items()
            if name != counter
            and entry.last_reported_at_seconds >= oldest_seconds
        )

    def confirm(self, numbers: Mapping[str, int]) -> None:
        """Record which reports the entries hold, as received from a hub.

        :param numbers: number of the last included report, by entry
        """
        for name, number in numbers.items():
            if name in self._entries:
                self._entries[name].confirm(number)
        self._update_confirmed()

    def drop_oldest(self) -> None:
        """Drop the entries that were reported to least recently."""
        by_age = sorted(
            self._entries,
            key=lambda name: self._entries[name].last_reported_at_seconds,
        )
        for name in by_age[:-MAX_ENTRIES]:
            _add(self._confirmed_by_dropped, self._entries.pop(name).confirmed)

    def _update_confirmed(self) -> None:
        confirmed = dict(self._confirmed_by_dropped)
        for entry in self._entries.values():
            _add(confirmed, entry.confirmed)
        self._confirmed = confirmed


def _add(sums: dict[str, float], amounts: Mapping[str, float]) -> None:
    for workspace, amount in amounts.items():
        sums[workspace] = sums.get(workspace, 0.0) + amount


__all__ = [
    "AdmissionReports",
]
