"""The platform's instance list, which lags, for this data centre."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Literal
from typing import NamedTuple

from boragefold.protocol import ids

# An instance that leads alone stops this long after the last list that
# contained it.
FRESH_SECONDS = 1.5

# Maximum difference in age of lists that are read at the same time.
SKEW_SECONDS = 1.0

# An instance that the list has lacked for this long no longer leads alone.
SOLE_LEADER_END_SECONDS = FRESH_SECONDS + SKEW_SECONDS

# Exceeds the lag between copies of the list.
SETTLED_SECONDS = 10.0

FORGET_SECONDS = 600.0


class ListEntry(NamedTuple):
    """One instance on the platform's list."""

    address: str
    data_centre: str
    state: Literal["live", "leaving"]


class InstanceList:
    """The last list, and since when addresses are on it or missing."""

    def __init__(self, *, self_id: ids.InstanceId) -> None:
        self._self_id = self_id
        self._read_seconds = float("-inf")
        self._steady_since_seconds = float("inf")
        self._first_shown_seconds: dict[str, float] = {}
        self._last_shown_seconds: dict[str, float] = {}
        self._missing_since_seconds: dict[str, float] = {}
        self._data_centres: dict[str, str] = {}
        self.entries: tuple[ListEntry, ...] = ()

    def update(self, entries: Iterable[ListEntry], now_seconds: float) -> None:
        """Store a list that was read.

        :param entries: all instances of all data centres
        :param now_seconds: when it was read
        """
        has_gap = now_seconds > self.fresh_until_seconds()
        self.entries = tuple(sorted(entries))
        if not self.contains(self._self_id.address):
            self._steady_since_seconds = float("inf")
        elif has_gap or self._steady_since_seconds == float("inf"):
            self._steady_since_seconds = now_seconds
        self._read_seconds = now_seconds
        shown = {entry.address for entry in self.entries}
        for address in shown:
            self._first_shown_seconds.setdefault(address, now_seconds)
            self._last_shown_seconds[address] = now_seconds
            self._missing_since_seconds.pop(address, None)
        for address in self._last_shown_seconds.keys() - shown:
            self._missing_since_seconds.setdefault(address, now_seconds)
        self._data_centres.update(
            (entry.address, entry.data_centre) for entry in self.entries
        )
        self._forget(now_seconds)

    def fresh_until_seconds(self) -> float:
        """Return until when the last list counts as fresh.

        :return: a reading of the clock
        """
        return self._read_seconds + FRESH_SECONDS

    def is_steady(self, now_seconds: float) -> bool:
        """Return whether the lists have long shown this instance without gap.

        :param now_seconds: the time
        :return: whether all lists show this instance, and no instance that
            its list never showed can lead alone by a list of its own
        """
        return (
            now_seconds <= self.fresh_until_seconds()
            and now_seconds - self._steady_since_seconds
            >= SOLE_LEADER_END_SECONDS
        )

    def peers(self, now_seconds: float) -> tuple[str, ...]:
        """List the other addresses of this data centre.

        A recently dropped instance counts: its own list may still show it and
        so let it lead alone.

        :param now_seconds: the time
        :return: addresses that are live or leaving, or were until recently
        """
        return tuple(
            sorted(
                address
                for address, data_centre in self._data_centres.items()
                if data_centre == self._self_id.data_centre
                and address != self._self_id.address
                and not self._is_dropped(address, now_seconds)
            )
        )

    def other_data_centres(self) -> dict[str, tuple[str, ...]]:
        """List the addresses of the other data centres.

        :return: addresses by data centre
        """
        found: dict[str, tuple[str, ...]] = {}
        for entry in self.entries:
            if entry.data_centre != self._self_id.data_centre:
                before = found.get(entry.data_centre, ())
                found[entry.data_centre] = (*before, entry.address)
        return found

    def contains(self, address: str) -> bool:
        """Return whether the last list contains an address.

        :param address: the address
        :return: whether it is live or leaving
        """
        return any(entry.address == address for entry in self.entries)

    def is_removed(
        self, address: str, known_since_seconds: float, now_seconds: float
    ) -> bool:
        """Return whether the platform has removed an instance for good.

        :param address: the address of the instance
        :param known_since_seconds: when this instance learned of it
        :param now_seconds: the time
        :return: whether the list has lacked it for long enough
        """
        if now_seconds > self.fresh_until_seconds() or self.contains(address):
            return False
        absent_seconds = now_seconds - self._missing_since_seconds.get(
            address, known_since_seconds
        )
        if self.is_settled(address):
            return absent_seconds >= SOLE_LEADER_END_SECONDS
        return absent_seconds >= SETTLED_SECONDS

    def is_settled(self, address: str) -> bool:
        """Return whether an address was listed for longer than copies lag.

        :param address: the address
        :return: whether its absence means that it is gone
        """
        if address not in self._first_shown_seconds:
            return False
        shown_for_seconds = (
            self._last_shown_seconds[address]
            - self._first_shown_seconds[address]
        )
        return shown_for_seconds >= SETTLED_SECONDS

    def _is_dropped(self, address: str, now_seconds: float) -> bool:
        absent_seconds = self._missing_since_seconds.get(address, float("inf"))
        return now_seconds - absent_seconds >= SOLE_LEADER_END_SECONDS

    def _forget(self, now_seconds: float) -> None:
        forgotten = [
            address
            for address, since_seconds in self._missing_since_seconds.items()
            if now_seconds - since_seconds >= FORGET_SECONDS
        ]
        for address in forgotten:
            del self._missing_since_seconds[address]
            del self._first_shown_seconds[address]
            del self._last_shown_seconds[address]
            del self._data_centres[address]


__all__ = [
    "FORGET_SECONDS",
    "FRESH_SECONDS",
    "InstanceList",
    "ListEntry",
    "SETTLED_SECONDS",
    "SKEW_SECONDS",
    "SOLE_LEADER_END_SECONDS",
]
