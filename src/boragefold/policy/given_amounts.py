"""What one instance gave hubs to count, and how much of it they hold.

An instance gives each amount to one hub. Where that one is lost, the others
hold an older version of its entry, or have heard less of it than the instance
was told: what is missing there is given to the next hub, and what shows after
all is taken back from it.
"""

from __future__ import annotations

from collections.abc import Mapping
import itertools
from typing import NamedTuple

from boragefold.protocol import rate_ledger_messages as messages

# For so long it may still turn out what the entry of a former hub holds.
SETTLE_SECONDS = 20.0
# No living hub holds older versions of an entry.
KEPT_SECONDS = 6.0
# Entries that are given something again go on where they were left.
KEPT_ENTRIES = 64


class Given(NamedTuple):
    """What was given to an entry with the account of a number."""

    number: int
    at_seconds: float
    amounts: dict[str, float]


class EntryAccount:
    """What one entry was given and holds."""

    def __init__(self) -> None:
        self.held: dict[str, float] = {}
        self.given: list[Given] = []
        self.last_given_at_seconds = 0.0

    def note_held(self, number: int) -> None:
        """Note which account the entry holds.

        :param number: the last one that it does
        """
        older = [given for given in self.given if given.number <= number]
        if not number or not self.given:
            self.held = {}
        else:
            self.held = (older or self.given[:1])[-1].amounts

    def drop_older(self, before_seconds: float) -> None:
        """Drop accounts that can't be the last any more.

        :param before_seconds: those that were followed before this
        """
        self.given = [
            given
            for given, following in itertools.zip_longest(
                self.given, self.given[1:]
            )
            if following is None or following.at_seconds >= before_seconds
        ]


class GivenAmounts:
    """What this instance gave to each entry."""

    def __init__(self) -> None:
        self._accounts: dict[str, EntryAccount] = {}
        self._number = 0
        self._held: dict[str, float] = {}
        self._held_by_dropped: dict[str, float] = {}

    def held(self, workspace: str) -> float:
        """Tell how much of what was admitted here all entries hold.

        :param workspace: whose
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
        """Give an entry what no other one holds.

        :param counter: the entry's name
        :param admitted: what was admitted here in all, by workspace
        :param now_seconds: reading of the process clock
        :return: what to tell its hub
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
        """List the entries that were given something lately, and aren't now.

        :param counter: the entry that is
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
        """Note which accounts the entries hold, as a hub has them.

        :param numbers: by entry that of the last account
        """
        for name, number in numbers.items():
            if name in self._accounts:
                self._accounts[name].note_held(number)
        self._add_up()

    def forget(self) -> None:
        """Drop the entries that were given nothing for longest."""
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
