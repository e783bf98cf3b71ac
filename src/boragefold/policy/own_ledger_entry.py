"""The ledger entry of a hub, as the hub itself writes it."""

from __future__ import annotations

from collections.abc import Mapping

import xxhash

from boragefold.policy import announced_sums
from boragefold.protocol import rate_ledger_messages as messages


class OwnEntry:
    """The entry that this instance writes as a hub.

    A giver is an instance whose reports are counted in the entry.
    """

    def __init__(
        self, *, incarnation: str, serial: int, now_seconds: float
    ) -> None:
        """Start with nothing counted.

        :param incarnation: of this process
        :param serial: differs for each entry of this process
        :param now_seconds: reading of the process clock
        """
        self.name = messages.entry_name(incarnation, serial)
        self.serial = serial
        self._began_at_seconds = now_seconds
        self._changed_at_seconds = now_seconds
        self._version = 0
        self._sums: dict[str, float] = {}
        self._counted: dict[int, int] = {}
        self._amounts_by_giver: dict[int, dict[str, float]] = {}
        self._ended_givers: set[int] = set()
        # Shorter than the givers' ids; an index is never reused.
        self._indexes: dict[int, int] = {}
        self._indexed_at_seconds: dict[int, float] = {}

    def count(
        self,
        giver: int,
        number: int,
        amounts: Mapping[str, float],
        *,
        now_seconds: float,
    ) -> None:
        """Count a report.

        :param giver: the instance that sent it
        :param number: of the report; lower than counted if it arrives late
        :param amounts: everything it reported to this entry, by workspace;
            only those that changed
        :param now_seconds: reading of the process clock
        """
        if giver in self._ended_givers:
            # A delayed report. What was counted of this instance is no longer
            # known, so its amounts would be counted twice.
            return
        if giver not in self._indexes:
            self._indexes[giver] = len(self._indexes)
            self._indexed_at_seconds[giver] = now_seconds
        index = self._indexes[giver]
        if number <= self._counted.get(index, 0):
            return
        before = self._amounts_by_giver.setdefault(giver, {})
        for workspace, amount in amounts.items():
            added = amount - before.get(workspace, 0.0)
            self._sums[workspace] = self._sums.get(workspace, 0.0) + added
        before.update(amounts)
        self._counted[index] = number
        self._version += 1
        self._changed_at_seconds = now_seconds

    def remove_giver(self, giver: int) -> None:
        """Remove an instance that ended; its amounts stay counted.

        :param giver: the instance
        """
        if self._amounts_by_giver.pop(giver, None) is not None:
            self._ended_givers.add(giver)

    def is_recent(self, *, now_seconds: float) -> bool:
        """Return whether others may not know the newest version.

        :param now_seconds: reading of the process clock
        :return: whether to send the entry, not only its version
        """
        unchanged_seconds = now_seconds - self._changed_at_seconds
        return unchanged_seconds <= announced_sums.ANNOUNCE_SECONDS

    def entry(
        self, *, whole: bool = False, now_seconds: float
    ) -> messages.Entry:
        """Return a copy of the newest version.

        :param whole: whether to include the indexes of all givers, not only
            of new ones
        :param now_seconds: reading of the process clock
        :return: the entry
        """
        oldest_seconds = now_seconds - announced_sums.ANNOUNCE_SECONDS
        indexes = {
            giver: index
            for giver, index in self._indexes.items()
            if whole or self._indexed_at_seconds[giver] >= oldest_seconds
        }
        return messages.Entry(
            version=self._version,
            age_seconds=int(now_seconds - self._began_at_seconds),
            sums=dict(self._sums),
            counted=dict(self._counted),
            indexes=indexes,
            givers_count=len(self._indexes),
        )


def giver_id(incarnation: str) -> int:
    """Return the id of an instance in entries.

    :param incarnation: of the instance
    :return: a hash, half as long as the incarnation
    """
    return xxhash.xxh3_64_intdigest(incarnation.encode())


__all__ = [
    "OwnEntry",
    "giver_id",
]
