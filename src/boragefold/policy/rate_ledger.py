"""Replicated ledger of what all hubs count, as each hub stores it.

Each hub writes a single entry and numbers its versions, so that of two copies
the newer one is known, also where sums decrease. An entry remains after its
hub has ended, on all hubs that received it. Hubs that store the same versions
send the same totals, whenever each of them started: an instance can switch
hubs without any change of the totals.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
import math
from typing import NamedTuple

import xxhash

from boragefold.policy import announced_sums
from boragefold.policy import rate_share
from boragefold.protocol import rate_ledger_messages as messages

# A hub that sent nothing for this long has ended or is unreachable.
LOST_SECONDS = 2.0
# After this, no instance asks what the entry of an ended hub contains.
FOLD_SECONDS = 600.0


class StoredEntry(NamedTuple):
    """An entry, when its hub last sent it, and when it last changed here."""

    entry: messages.Entry
    sent_at_seconds: float
    changed_at_seconds: float


class RateLedger:
    """The entries of all hubs."""

    def __init__(self) -> None:
        """Start without an era, as the entries of others aren't known yet."""
        self._era = messages.Era()
        self._era_began_at_seconds = -math.inf
        self._stored: dict[str, StoredEntry] = {}
        self._folded = messages.Folded(0, {})
        self._totals = announced_sums.AnnouncedSums()
        self._late = announced_sums.AnnouncedSums()

    @property
    def era(self) -> messages.Era:
        """Return the era of these entries.

        :return: has a negative count before the first era
        """
        return self._era

    @property
    def complete(self) -> bool:
        """Return whether the entries of others are known.

        :return: whether totals may be sent
        """
        return self._era.known

    @property
    def totals(self) -> Mapping[str, float]:
        """Return the sums of all entries.

        :return: sums by workspace
        """
        return self._totals.amounts

    def late(self, *, now_seconds: float) -> dict[str, float]:
        """Return the part of the totals that was received late.

        :param now_seconds: reading of the process clock
        :return: recently changed sums, by workspace
        """
        return self._late.changed(now_seconds=now_seconds)

    def begin_era(self, era: messages.Era, *, now_seconds: float) -> None:
        """Start an era, as there is no hub to get entries from.

        :param era: the new one
        :param now_seconds: reading of the process clock
        """
        self._change_era(era, now_seconds)

    def totals_to_send(
        self, *, whole: bool, now_seconds: float
    ) -> dict[str, float]:
        """Return the totals that receivers may not know.

        :param whole: whether they know none
        :param now_seconds: reading of the process clock
        :return: sums by workspace
        """
        if self.sends_all(whole=whole, now_seconds=now_seconds):
            return dict(self._totals.amounts)
        return self._totals.changed(now_seconds=now_seconds)

    def sends_all(self, *, whole: bool, now_seconds: float) -> bool:
        """Return whether all totals are sent, not only recent changes.

        :param whole: whether receivers know none
        :param now_seconds: reading of the process clock
        :return: whether a workspace that isn't included has a sum of 0
        """
        new_seconds = now_seconds - self._era_began_at_seconds
        return whole or new_seconds <= announced_sums.ANNOUNCE_SECONDS

    def put_own(
        self, name: str, entry: messages.Entry, *, now_seconds: float
    ) -> None:
        """Store this hub's own entry.

        :param name: its name
        :param entry: the newest version
        :param now_seconds: reading of the process clock
        """
        self._replace(name, StoredEntry(entry, now_seconds, now_seconds))

    def put(
        self, name: str, entry: messages.Entry, *, now_seconds: float
    ) -> bool:
        """Store an entry received from its hub.

        :param name: its name
        :param entry: the version received
        :param now_seconds: reading of the process clock
        :return: whether the indexes of all its givers are known
        """
        stored = self._stored.get(name)
        if stored is not None:
            indexes = {**stored.entry.indexes, **entry.indexes}
            entry = entry._replace(indexes=indexes)
        if stored is not None and entry.version < stored.entry.version:
            self._stored[name] = stored._replace(sent_at_seconds=now_seconds)
            return True
        self._note_gap(stored, entry, now_seconds)
        self._replace(name, StoredEntry(entry, now_seconds, now_seconds))
        return len(entry.indexes) >= entry.givers_count

    def confirm_version(
        self, name: str, version: int, *, now_seconds: float
    ) -> bool:
        """Record that a hub sent only the version of its entry.

        :param name: the entry's name
        :param version: its newest version
        :param now_seconds: reading of the process clock
        :return: whether that version is stored here
        """
        stored = self._stored.get(name)
        if stored is None or stored.entry.version < version:
            return version == 0
        self._stored[name] = stored._replace(sent_at_seconds=now_seconds)
        return True

    def counted_reports(
        self, giver: int, names: Iterable[str]
    ) -> dict[str, int]:
        """Return which of an instance's reports the entries include.

        :param giver: the instance
        :param names: the entries that it reported to
        :return: number of the last report by entry, 0 for none; entries for
            which it is unknown are left out
        """
        numbers = {name: self._last_counted(name, giver) for name in names}
        return {
            name: number
            for name, number in numbers.items()
            if number is not None
        }

    def lost_digest(self, *, now_seconds: float) -> int:
        """Return a hash that is equal if two hubs store the same lost entries.

        Lost are the entries of hubs that no longer send them; hubs that are
        reachable send theirs directly.

        :param now_seconds: reading of the process clock
        :return: a hash
        """
        oldest_seconds = now_seconds - LOST_SECONDS
        lost = sorted(
            f"{name}:{stored.entry.version}"
            for name, stored in self._stored.items()
            if stored.sent_at_seconds < oldest_seconds
        )
        text = "\0".join([str(self._folded.entries_count), *lost])
        return xxhash.xxh3_64_intdigest(text.encode())

    def to_message(self, *, now_seconds: float) -> messages.Ledger:
        """Return the whole ledger.

        :param now_seconds: reading of the process clock
        :return: for hubs whose ledger is empty or differs
        """
        entries = {
            name: (now_seconds - stored.sent_at_seconds, stored.entry)
            for name, stored in self._stored.items()
        }
        return messages.Ledger(self._era, self._folded, entries)

    def merge(self, other: messages.Ledger, *, now_seconds: float) -> None:
        """Merge the ledger of another hub.

        :param other: its ledger
        :param now_seconds: reading of the process clock
        """
        is_new = not self.complete
        if is_new:
            self._change_era(other.era, now_seconds)
        if other.era.origin != self._era.origin:
            return
        self.update_reunions(other.era, now_seconds=now_seconds)
        self._merge_folded(other, now_seconds)
        for name, (age_seconds, entry) in other.entries.items():
            stored = self._stored.get(name)
            sent_at_seconds = now_seconds - age_seconds
            if stored is not None and not _is_newer(stored.entry, entry):
                continue
            if stored is not None:
                sent_at_seconds = max(sent_at_seconds, stored.sent_at_seconds)
            if not is_new:
                self._note_gap(stored, entry, now_seconds)
            self._replace(
                name, StoredEntry(entry, sent_at_seconds, now_seconds)
            )

    def update_reunions(
        self, era: messages.Era, *, now_seconds: float
    ) -> None:
        """Take over a greater number of reunions.

        :param era: the same era, as another hub knows it
        :param now_seconds: reading of the process clock
        """
        if era.reunions > self._era.reunions:
            self._change_era(era, now_seconds)

    def compact(self, *, now_seconds: float) -> None:
        """Replace the entries of hubs that ended long ago by their sum.

        :param now_seconds: reading of the process clock
        """
        oldest_seconds = now_seconds - FOLD_SECONDS
        old = [
            name
            for name, stored in self._stored.items()
            if stored.sent_at_seconds < oldest_seconds
        ]
        if not old:
            return
        sums = dict(self._folded.sums)
        for name in old:
            for workspace, amount in self._stored.pop(name).entry.sums.items():
                sums[workspace] = sums.get(workspace, 0.0) + amount
        self._folded = messages.Folded(
            self._folded.entries_count + len(old), sums
        )

    def _last_counted(self, name: str, giver: int) -> int | None:
        stored = self._stored.get(name)
        if stored is None:
            return 0
        index = stored.entry.indexes.get(giver)
        if index is not None:
            return stored.entry.counted.get(index, 0)
        is_known = len(stored.entry.indexes) >= stored.entry.givers_count
        return 0 if is_known else None

    def _note_gap(
        self,
        stored: StoredEntry | None,
        entry: messages.Entry,
        now_seconds: float,
    ) -> None:
        gap_seconds = _gap_seconds(stored, entry, now_seconds)
        if gap_seconds > rate_share.PEER_EXPIRY_SECONDS:
            # Each side used the whole rate meanwhile, so what the other one
            # admitted must not be removed from the buckets.
            reunions = self._era.reunions + 1
            era = self._era._replace(reunions=reunions)
            self._change_era(era, now_seconds)
        elif gap_seconds > LOST_SECONDS:
            before = {} if stored is None else stored.entry.sums
            late = {
                workspace: amount - before.get(workspace, 0.0)
                for workspace, amount in entry.sums.items()
            }
            self._late.add_all(late, now_seconds=now_seconds)

    def _change_era(self, era: messages.Era, now_seconds: float) -> None:
        self._era = era
        self._era_began_at_seconds = now_seconds

    def _merge_folded(
        self, other: messages.Ledger, now_seconds: float
    ) -> None:
        if other.folded.entries_count <= self._folded.entries_count:
            return
        # Their folded sums include old entries that they no longer list.
        oldest_seconds = now_seconds - FOLD_SECONDS / 2
        for name, stored in list(self._stored.items()):
            is_old = stored.sent_at_seconds < oldest_seconds
            if is_old and name not in other.entries:
                self._add(stored.entry.sums, -1.0, now_seconds)
                del self._stored[name]
        self._add(self._folded.sums, -1.0, now_seconds)
        self._add(other.folded.sums, 1.0, now_seconds)
        self._folded = other.folded

    def _replace(self, name: str, stored: StoredEntry) -> None:
        before = self._stored.get(name)
        now_seconds = stored.changed_at_seconds
        if before is not None:
            self._add(before.entry.sums, -1.0, now_seconds)
        self._add(stored.entry.sums, 1.0, now_seconds)
        self._stored[name] = stored

    def _add(
        self, sums: Mapping[str, float], sign: float, now_seconds: float
    ) -> None:
        self._totals.add_all(
            {workspace: sign * amount for workspace, amount in sums.items()},
            now_seconds=now_seconds,
        )


def new_era(founder: str, *, heard_count: int) -> messages.Era:
    """Create an era founded by this instance.

    :param founder: the incarnation that founds it
    :param heard_count: the number of instances that it hears
    :return: the era
    """
    return messages.Era(heard_count, xxhash.xxh32_intdigest(founder.encode()))


def _gap_seconds(
    stored: StoredEntry | None, entry: messages.Entry, now_seconds: float
) -> float:
    # How long amounts may have been counted without being received here.
    if stored is None:
        return entry.age_seconds
    sent_at_seconds = max(stored.sent_at_seconds, stored.changed_at_seconds)
    return min(now_seconds - sent_at_seconds, entry.age_seconds)


def _is_newer(stored: messages.Entry, other: messages.Entry) -> bool:
    if other.version == stored.version:
        return len(other.indexes) > len(stored.indexes)
    return other.version > stored.version


__all__ = [
    "RateLedger",
    "new_era",
]
