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

# Until then it may still change what the entry of an earlier hub holds.
SETTLE_SECONDS = 20.0
# No reachable hub stores older versions of an entry.
KEPT_SECONDS = 6.0
# An entry that is reported to again continues from its kept state.
KEPT_ENTRIES = 64


class Given(NamedTuple):
    """The amounts of one numbered report to an entry."""

    number: int
    at_seconds: float
    amounts: dict[str, float]


class EntryAccount:
    """What was reported to one entry, and what it holds."""

    def __init__(self) -> None:
        self.held: dict[str, float] = {}
        self.given: list[Given] = []
        self.last_given_at_seconds = 0.0

    def note_held(self, number: int) -> None:
        """Record which report the entry holds.

        :param number: of the last report that is included; 0 for none
        """
        older = [given for given in self.given if given.number <= number]
        if not number or not self.given:
            self.held = {}
        else:
            self.held = (older or self.given[:1])[-1].amounts

    def drop_older(self, before_seconds: float) -> None:
        """Drop reports that can't be the last included one any more.

        :param before_seconds: reports whose successor is older are dropped
        """
        self.given = [
            given
            for given, following in itertools.zip_longest(
                self.given, self.given[1:]
            )
            if following is None or following.at_seconds >= before_seconds
        ]


class GivenAmounts:
    """What this instance reported to each entry."""

    def __init__(self) -> None:
        self._accounts: dict[str, EntryAccount] = {}
        self._number = 0
        self._held: dict[str, float] = {}
        self._held_by_dropped: dict[str, float] = {}

    def held(self, workspace: str) -> float:
        """Return how much of what was admitted here all entries hold.

        :param workspace: its name
        :return: tokens or requests
        """
        return self._held.get(workspace, 0.0)

    def state(
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
        account = self._accounts.setdefault(counter, EntryAccount())
        account.last_given_at_seconds = now_seconds
        amounts = {
            workspace: amount
            - self.held(workspace)
            + account.held.get(workspace, 0.0)
            for workspace, amount in admitted.items()
        }
        if not account.given or account.given[-1].amounts != amounts:
            self._number += 1
            account.given.append(Given(self._number, now_seconds, amounts))
        account.drop_older(now_seconds - KEPT_SECONDS)
        unconfirmed = {
            workspace: amount
            for workspace, amount in amounts.items()
            if amount != account.held.get(workspace, 0.0)
        }
        return messages.Account(
            counter,
            account.given[-1].number,
            unconfirmed,
            self.former(counter, now_seconds=now_seconds),
        )

    def former(self, counter: str, *, now_seconds: float) -> tuple[str, ...]:
        """List the entries recently reported to, without the current one.

        :param counter: the current entry
        :param now_seconds: reading of the process clock
        :return: their names
        """
        oldest_seconds = now_seconds - SETTLE_SECONDS
        return tuple(
            name
            for name, account in self._accounts.items()
            if name != counter
            and account.last_given_at_seconds >= oldest_seconds
        )

    def note_held(self, numbers: Mapping[str, int]) -> None:
        """Record which reports the entries hold, as received from a hub.

        :param numbers: number of the last included report, by entry
        """
        for name, number in numbers.items():
            if name in self._accounts:
                self._accounts[name].note_held(number)
        self._add_up()

    def forget(self) -> None:
        """Drop the entries that were reported to least recently."""
        last_given = sorted(
            self._accounts,
            key=lambda name: self._accounts[name].last_given_at_seconds,
        )
        for name in last_given[:-KEPT_ENTRIES]:
            _add(self._held_by_dropped, self._accounts.pop(name).held)

    def _add_up(self) -> None:
        held = dict(self._held_by_dropped)
        for account in self._accounts.values():
            _add(held, account.held)
        self._held = held


def _add(sums: dict[str, float], amounts: Mapping[str, float]) -> None:
    for workspace, amount in amounts.items():
        sums[workspace] = sums.get(workspace, 0.0) + amount


__all__ = [
    "GivenAmounts",
]
