"""What all hubs count of rates, as each of them holds it.

Each hub writes one entry of its own and numbers its versions, so that of two
words on an entry the newer one is known, also where sums fall. An entry
outlives its hub at all that heard it. Hubs that hold the same versions tell
the same totals, whoever began when: an instance may change from one to
another without a difference.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
import math
from typing import NamedTuple

import xxhash

from boragefold.policy import recent_sums
from boragefold.policy import shared_rate
from boragefold.protocol import rate_ledger_messages as messages

# A hub that told nothing for so long has ended, or can't be heard.
LOST_SECONDS = 2.0
# Nobody asks any more what the entry of a hub holds that ended so long ago.
FOLD_SECONDS = 600.0


class HeldEntry(NamedTuple):
    """An entry, when its hub told it last, and when it last changed here."""

    entry: messages.Entry
    told_at_seconds: float
    changed_at_seconds: float


class RateLedger:
    """The entries of all hubs."""

    def __init__(self) -> None:
        """Begin without an era: the entries of others are not known yet."""
        self._era = messages.Era()
        self._era_began_at_seconds = -math.inf
        self._held: dict[str, HeldEntry] = {}
        self._folded = messages.Folded(0, {})
        self._totals = recent_sums.RecentSums()
        self._late = recent_sums.RecentSums()

    @property
    def era(self) -> messages.Era:
        """Tell in which era these entries are.

        :return: one with a negative count until there is any
        """
        return self._era

    @property
    def complete(self) -> bool:
        """Tell whether the entries of others are known.

        :return: whether totals may be told
        """
        return self._era.known

    @property
    def totals(self) -> Mapping[str, float]:
        """Add up all entries.

        :return: sums by workspace
        """
        return self._totals.amounts

    def late(self, *, now_seconds: float) -> dict[str, float]:
        """Tell which part of the totals was learned late.

        :param now_seconds: reading of the process clock
        :return: sums by workspace that changed lately
        """
        return self._late.recent(now_seconds=now_seconds)

    def begin(self, era: messages.Era, *, now_seconds: float) -> None:
        """Begin an era: nobody is there to learn from.

        :param era: the new one
        :param now_seconds: reading of the process clock
        """
        self._change_era(era, now_seconds)

    def told_totals(
        self, *, whole: bool, now_seconds: float
    ) -> dict[str, float]:
        """List the totals that others may not know.

        :param whole: whether they know none
        :param now_seconds: reading of the process clock
        :return: sums by workspace
        """
        if self.is_whole(whole=whole, now_seconds=now_seconds):
            return dict(self._totals.amounts)
        return self._totals.recent(now_seconds=now_seconds)

    def is_whole(self, *, whole: bool, now_seconds: float) -> bool:
        """Tell whether told totals are all.

        :param whole: as for told_totals
        :param now_seconds: reading of the process clock
        :return: whether a workspace that isn't among them has a sum of 0
        """
        new_seconds = now_seconds - self._era_began_at_seconds
        return whole or new_seconds <= recent_sums.TELL_SECONDS

    def put_own(
        self, name: str, entry: messages.Entry, *, now_seconds: float
    ) -> None:
        """Take over the entry that we write ourselves.

        :param name: its name
        :param entry: what we count
        :param now_seconds: reading of the process clock
        """
        self._replace(name, HeldEntry(entry, now_seconds, now_seconds))

    def put(
        self, name: str, entry: messages.Entry, *, now_seconds: float
    ) -> bool:
        """Take over an entry from its hub.

        :param name: whose
        :param entry: what it counts
        :param now_seconds: reading of the process clock
        :return: whether the indexes of all its givers are known
        """
        held = self._held.get(name)
        if held is not None:
            indexes = {**held.entry.indexes, **entry.indexes}
            entry = entry._replace(indexes=indexes)
        if held is not None and entry.version < held.entry.version:
            self._held[name] = held._replace(told_at_seconds=now_seconds)
            return True
        self._note_gap(held, entry, now_seconds)
        self._replace(name, HeldEntry(entry, now_seconds, now_seconds))
        return len(entry.indexes) >= entry.givers_count

    def note_unchanged(
        self, name: str, version: int, *, now_seconds: float
    ) -> bool:
        """Note that a hub told only the version of its entry.

        :param name: whose
        :param version: its newest
        :param now_seconds: reading of the process clock
        :return: whether we have that one
        """
        held = self._held.get(name)
        if held is None or held.entry.version < version:
            return version == 0
        self._held[name] = held._replace(told_at_seconds=now_seconds)
        return True

    def settled(self, giver: int, names: Iterable[str]) -> dict[str, int]:
        """Tell which of an instance's accounts entries hold.

        :param giver: the instance
        :param names: whose entries it gave something
        :return: by entry the number of the last account, 0 for none; without
            those of which that isn't known
        """
        numbers = {name: self._counted(name, giver) for name in names}
        return {
            name: number
            for name, number in numbers.items()
            if number is not None
        }

    def lost_digest(self, *, now_seconds: float) -> int:
        """Make a number that two share if they hold the same of lost hubs.

        Those that live tell their entries themselves.

        :param now_seconds: reading of the process clock
        :return: a hash
        """
        oldest_seconds = now_seconds - LOST_SECONDS
        lost = sorted(
            f"{name}:{held.entry.version}"
            for name, held in self._held.items()
            if held.told_at_seconds < oldest_seconds
        )
        text = "\0".join([str(self._folded.entries_count), *lost])
        return xxhash.xxh3_64_intdigest(text.encode())

    def contents(self, *, now_seconds: float) -> messages.Ledger:
        """Tell all.

        :param now_seconds: reading of the process clock
        :return: for whoever knows nothing, or something else
        """
        entries = {
            name: (now_seconds - held.told_at_seconds, held.entry)
            for name, held in self._held.items()
        }
        return messages.Ledger(self._era, self._folded, entries)

    def merge(self, theirs: messages.Ledger, *, now_seconds: float) -> None:
        """Take over what another hub holds.

        :param theirs: its ledger
        :param now_seconds: reading of the process clock
        """
        is_new = not self.complete
        if is_new:
            self._change_era(theirs.era, now_seconds)
        if theirs.era.founding != self._era.founding:
            return
        self.note_reunions(theirs.era, now_seconds=now_seconds)
        self._take_folded(theirs, now_seconds)
        for name, (age_seconds, entry) in theirs.entries.items():
            held = self._held.get(name)
            told_at_seconds = now_seconds - age_seconds
            if held is not None and not _is_news(held.entry, entry):
                continue
            if held is not None:
                told_at_seconds = max(told_at_seconds, held.told_at_seconds)
            if not is_new:
                self._note_gap(held, entry, now_seconds)
            self._replace(name, HeldEntry(entry, told_at_seconds, now_seconds))

    def note_reunions(self, era: messages.Era, *, now_seconds: float) -> None:
        """Take over how often hubs met again.

        :param era: the same era, as another hub has it
        :param now_seconds: reading of the process clock
        """
        if era.reunions > self._era.reunions:
            self._change_era(era, now_seconds)

    def fold(self, *, now_seconds: float) -> None:
        """Add up the entries of hubs that ended long ago.

        :param now_seconds: reading of the process clock
        """
        oldest_seconds = now_seconds - FOLD_SECONDS
        old = [
            name
            for name, held in self._held.items()
            if held.told_at_seconds < oldest_seconds
        ]
        if not old:
            return
        sums = dict(self._folded.sums)
        for name in old:
            for workspace, amount in self._held.pop(name).entry.sums.items():
                sums[workspace] = sums.get(workspace, 0.0) + amount
        self._folded = messages.Folded(
            self._folded.entries_count + len(old), sums
        )

    def _counted(self, name: str, giver: int) -> int | None:
        held = self._held.get(name)
        if held is None:
            return 0
        index = held.entry.indexes.get(giver)
        if index is not None:
            return held.entry.counted.get(index, 0)
        is_known = len(held.entry.indexes) >= held.entry.givers_count
        return 0 if is_known else None

    def _note_gap(
        self,
        held: HeldEntry | None,
        entry: messages.Entry,
        now_seconds: float,
    ) -> None:
        apart_seconds = _apart_seconds(held, entry, now_seconds)
        if apart_seconds > shared_rate.FORGET_SECONDS:
            # Each side went on with the whole rate: what the other one
            # admitted meanwhile is no debt.
            reunions = self._era.reunions + 1
            era = self._era._replace(reunions=reunions)
            self._change_era(era, now_seconds)
        elif apart_seconds > LOST_SECONDS:
            before = {} if held is None else held.entry.sums
            late = {
                workspace: amount - before.get(workspace, 0.0)
                for workspace, amount in entry.sums.items()
            }
            self._late.add_all(late, now_seconds=now_seconds)

    def _change_era(self, era: messages.Era, now_seconds: float) -> None:
        self._era = era
        self._era_began_at_seconds = now_seconds

    def _take_folded(
        self, theirs: messages.Ledger, now_seconds: float
    ) -> None:
        if theirs.folded.entries_count <= self._folded.entries_count:
            return
        # It holds what they don't list any more.
        oldest_seconds = now_seconds - FOLD_SECONDS / 2
        for name, held in list(self._held.items()):
            is_old = held.told_at_seconds < oldest_seconds
            if is_old and name not in theirs.entries:
                self._add(held.entry.sums, -1.0, now_seconds)
                del self._held[name]
        self._add(self._folded.sums, -1.0, now_seconds)
        self._add(theirs.folded.sums, 1.0, now_seconds)
        self._folded = theirs.folded

    def _replace(self, name: str, held: HeldEntry) -> None:
        before = self._held.get(name)
        now_seconds = held.changed_at_seconds
        if before is not None:
            self._add(before.entry.sums, -1.0, now_seconds)
        self._add(held.entry.sums, 1.0, now_seconds)
        self._held[name] = held

    def _add(
        self, sums: Mapping[str, float], sign: float, now_seconds: float
    ) -> None:
        self._totals.add_all(
            {workspace: sign * amount for workspace, amount in sums.items()},
            now_seconds=now_seconds,
        )


def era_of(founder: str, *, heard_count: int) -> messages.Era:
    """Make an era of its own.

    :param founder: the incarnation that begins it
    :param heard_count: how many instances it hears
    :return: the era
    """
    return messages.Era(heard_count, xxhash.xxh32_intdigest(founder.encode()))


def _apart_seconds(
    held: HeldEntry | None, entry: messages.Entry, now_seconds: float
) -> float:
    # For how long somebody counted what we weren't told.
    if held is None:
        return entry.age_seconds
    told_at_seconds = max(held.told_at_seconds, held.changed_at_seconds)
    return min(now_seconds - told_at_seconds, entry.age_seconds)


def _is_news(held: messages.Entry, other: messages.Entry) -> bool:
    if other.version == held.version:
        return len(other.indexes) > len(held.indexes)
    return other.version > held.version


__all__ = [
    "RateLedger",
    "era_of",
]
