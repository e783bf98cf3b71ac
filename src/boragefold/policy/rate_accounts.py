"""Adding up what instances admitted, so that few numbers travel.

Load pattern: dozens of workspaces that send through hundreds of instances.
Told of each instance's sums, everyone holds and hears all workspaces times all
instances. Here an instance gives what it admitted to one hub to count, hubs
tell each other the entries that they write, and the instances the totals.
"""

from __future__ import annotations

from boragefold.policy import given_amounts
from boragefold.policy import heard_totals
from boragefold.policy import own_rate_entry
from boragefold.policy import rate_ledger
from boragefold.policy import shared_rate
from boragefold.protocol import rate_ledger_messages as messages

# Of so many entries it is known which index they gave us.
KEPT_INDEXES = 64


class RateAccounts:
    """What this instance gives others to count, and counts for them."""

    def __init__(
        self, *, rate: shared_rate.SharedRate, incarnation: str
    ) -> None:
        """Begin as an instance that counts for nobody.

        :param rate: what is admitted here
        :param incarnation: this process's
        """
        self._rate = rate
        self._incarnation = incarnation
        self._giver = own_rate_entry.giver_of(incarnation)
        self._given = given_amounts.GivenAmounts()
        self._counter = ""
        self._ledger = rate_ledger.RateLedger()
        self._entry: own_rate_entry.OwnEntry | None = None
        self._entries_begun = 0
        self._former: dict[int, tuple[str, ...]] = {}
        # Which index each entry gave us.
        self._indexes: dict[str, int] = {}
        self._heard = heard_totals.HeardTotals(
            rate=rate, held=self._given.held
        )

    @property
    def counter(self) -> str:
        """Tell which entry counts what we admit.

        :return: its name; empty if nobody was chosen
        """
        return self._counter

    @property
    def lacks_totals(self) -> bool:
        """Tell whether the counter's hub has to tell its totals whole.

        :return: whether what it told last can't be used
        """
        return self._heard.lacks_whole

    @property
    def complete(self) -> bool:
        """Tell whether we can tell totals.

        :return: whether the entries of others are known
        """
        return self._entry is not None and self._ledger.complete

    def begin_counting(self, *, now_seconds: float) -> None:
        """Write an entry of our own from now on, as a hub.

        :param now_seconds: reading of the process clock
        """
        if self._entry is not None:
            return
        # What a former one held that wasn't told is given to this one.
        self._entry = own_rate_entry.OwnEntry(
            incarnation=self._incarnation,
            serial=self._entries_begun,
            now_seconds=now_seconds,
        )
        self._entries_begun += 1
        self._ledger = rate_ledger.RateLedger()
        self._former = {}

    def stop_counting(self) -> None:
        """Write no entry: we aren't a hub any more."""
        self._entry = None

    def begin_era(self, *, heard_count: int, now_seconds: float) -> None:
        """Go on without the entries of others: nobody tells them.

        :param heard_count: how many instances are heard
        :param now_seconds: reading of the process clock
        """
        era = rate_ledger.era_of(self._incarnation, heard_count=heard_count)
        self._ledger.begin(era, now_seconds=now_seconds)
        self.count_own(now_seconds=now_seconds)

    def state(self, counter: str, *, now_seconds: float) -> messages.Account:
        """Give what was admitted here to a hub to count.

        :param counter: its entry's name
        :param now_seconds: reading of the process clock
        :return: what to tell the hub
        """
        self._counter = counter
        return self._given.state(
            counter, self._rate.admitted, now_seconds=now_seconds
        )

    def count_own(self, *, now_seconds: float) -> None:
        """Count what was admitted here, as a hub.

        :param now_seconds: reading of the process clock
        """
        if self._entry is None or not self._ledger.complete:
            return
        statement = self.state(self._entry.name, now_seconds=now_seconds)
        if statement.amounts:
            self._count(self._giver, statement, now_seconds)
        entry = self._entry.entry(whole=True, now_seconds=now_seconds)
        self._ledger.put_own(self._entry.name, entry, now_seconds=now_seconds)
        numbers = self._ledger.settled(
            self._giver, (*statement.former, self._entry.name)
        )
        self._given.note_held(numbers)
        self._heard.take(
            self._ledger.totals,
            self._ledger.era,
            late=self._ledger.late(now_seconds=now_seconds),
            whole=True,
            now_seconds=now_seconds,
        )

    def count(
        self,
        sender: str,
        statement: messages.Account,
        *,
        now_seconds: float,
    ) -> None:
        """Count what another instance gives us.

        :param sender: its incarnation
        :param statement: its account; one for another entry is left out
        :param now_seconds: reading of the process clock
        """
        if self._entry is None or statement.counter != self._entry.name:
            return
        giver = own_rate_entry.giver_of(sender)
        self._former[giver] = statement.former
        self._count(giver, statement, now_seconds)

    def forget_instance(self, incarnation: str) -> None:
        """Drop an instance that has ended; what it gave stays counted.

        :param incarnation: which
        """
        giver = own_rate_entry.giver_of(incarnation)
        self._former.pop(giver, None)
        if self._entry is not None:
            self._entry.forget(giver)

    def told_entry(self, *, now_seconds: float) -> messages.ToldEntry | None:
        """Tell other hubs what is counted here.

        :param now_seconds: reading of the process clock
        :return: our entry; None from whoever writes none
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
            entry=(
                entry if own.changed_lately(now_seconds=now_seconds) else None
            ),
        )

    def hear_entry(
        self, hub: str, told: messages.ToldEntry, *, now_seconds: float
    ) -> bool:
        """Take over what another hub counts.

        :param hub: its incarnation
        :param told: its entry
        :param now_seconds: reading of the process clock
        :return: whether it has to tell us its whole ledger
        """
        if self._entry is None or not told.era.known:
            return False
        if not self._ledger.complete:
            return True
        if told.era.founding > self._ledger.era.founding:
            # Nothing that we hold has to do with theirs.
            self.stop_counting()
            self.begin_counting(now_seconds=now_seconds)
            return True
        if told.era.founding < self._ledger.era.founding:
            return False
        self._ledger.note_reunions(told.era, now_seconds=now_seconds)
        name = messages.entry_name(hub, told.serial)
        if told.entry is not None:
            is_known = self._ledger.put(
                name, told.entry, now_seconds=now_seconds
            )
        else:
            is_known = self._ledger.note_unchanged(
                name, told.version, now_seconds=now_seconds
            )
        self.count_own(now_seconds=now_seconds)
        digest = self._ledger.lost_digest(now_seconds=now_seconds)
        return not is_known or digest != told.lost_digest

    def ledger(self, *, now_seconds: float) -> messages.Ledger | None:
        """Tell the entries of all hubs.

        :param now_seconds: reading of the process clock
        :return: None where they aren't known
        """
        if not self.complete:
            return None
        return self._ledger.contents(now_seconds=now_seconds)

    def merge(self, theirs: messages.Ledger, *, now_seconds: float) -> None:
        """Take over what another hub holds of all entries.

        :param theirs: as it told it
        :param now_seconds: reading of the process clock
        """
        if self._entry is not None and theirs.era.known:
            self._ledger.merge(theirs, now_seconds=now_seconds)
            self.count_own(now_seconds=now_seconds)

    def told_totals(
        self, *, whole: bool, now_seconds: float
    ) -> messages.Totals | None:
        """Tell instances what all hubs count.

        :param whole: whether they know nothing yet
        :param now_seconds: reading of the process clock
        :return: None from whoever doesn't know it
        """
        own = self._entry
        if own is None or not self._ledger.complete:
            return None
        entry = own.entry(whole=whole, now_seconds=now_seconds)
        lately = whole or own.changed_lately(now_seconds=now_seconds)
        return messages.Totals(
            serial=own.serial,
            era=self._ledger.era,
            whole=self._ledger.is_whole(whole=whole, now_seconds=now_seconds),
            amounts=self._ledger.told_totals(
                whole=whole, now_seconds=now_seconds
            ),
            counted=entry.counted if lately else {},
            indexes=entry.indexes,
            settled={
                giver: self._ledger.settled(giver, former)
                for giver, former in self._former.items()
                if former
            },
            late=self._ledger.late(now_seconds=now_seconds),
        )

    def hear_totals(
        self, hub: str, totals: messages.Totals, *, now_seconds: float
    ) -> None:
        """Take out what others admitted, as one hub tells it.

        :param hub: its incarnation
        :param totals: what all hubs count; those of another hub than the one
            that counts for us are left out
        :param now_seconds: reading of the process clock
        """
        counter = messages.entry_name(hub, totals.serial)
        # Whoever has just started takes the first that it hears.
        self._counter = self._counter or counter
        if self._giver in totals.indexes:
            self._indexes[counter] = totals.indexes[self._giver]
        if counter != self._counter:
            return
        numbers = dict(totals.settled.get(self._giver, {}))
        number = totals.counted.get(self._indexes.get(counter, -1))
        if number is not None:
            numbers[counter] = number
        self._given.note_held(numbers)
        self._heard.take(
            totals.amounts,
            totals.era,
            late=totals.late,
            whole=totals.whole,
            now_seconds=now_seconds,
        )

    def forget(self, *, now_seconds: float) -> None:
        """Drop what nobody asks for any more.

        :param now_seconds: reading of the process clock
        """
        self._given.forget()
        for counter in list(self._indexes)[:-KEPT_INDEXES]:
            del self._indexes[counter]
        self._ledger.fold(now_seconds=now_seconds)

    def _count(
        self,
        giver: int,
        statement: messages.Account,
        now_seconds: float,
    ) -> None:
        assert self._entry is not None
        self._entry.count(
            giver,
            statement.number,
            statement.amounts,
            now_seconds=now_seconds,
        )


__all__ = [
    "RateAccounts",
]
