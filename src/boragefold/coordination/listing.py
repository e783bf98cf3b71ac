"""What the platform's lagging list says of our data centre."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Literal
from typing import NamedTuple

from boragefold.protocol import ids

# The list is read every second. An instance that leads alone stops so long
# after the last list that showed it.
FRESH_SECONDS = 1.5

# How far the lists of two readers that read at the same time may differ.
SKEW_SECONDS = 1.0

# When the list has not shown an instance for so long, it has stopped leading
# alone, if it lives: its own list dropped it, or it read none.
MATURE_SECONDS = FRESH_SECONDS + SKEW_SECONDS

# An older copy of the list lacks an instance that has just started. Only one
# that was shown for longer than copies lag can be said to be gone.
SETTLED_SECONDS = 10.0


class ListEntry(NamedTuple):
    """One instance on the platform's list."""

    address: str
    data_centre: str
    state: Literal["live", "leaving"]


class Listing:
    """The last list, and since when it has shown or not shown addresses."""

    def __init__(self, *, self_id: ids.InstanceId) -> None:
        self._self_id = self_id
        self._seen_seconds = float("-inf")
        self._first_seconds: dict[str, float] = {}
        self._last_seconds: dict[str, float] = {}
        self._absent_seconds: dict[str, float] = {}
        self.entries: tuple[ListEntry, ...] = ()

    def update(self, entries: Iterable[ListEntry], now_seconds: float) -> None:
        """Take in a list as it was read.

        :param entries: all instances of all data centres
        :param now_seconds: when it was read
        """
        self.entries = tuple(sorted(entries))
        self._seen_seconds = now_seconds
        shown = {entry.address for entry in self.entries}
        for address in shown:
            self._first_seconds.setdefault(address, now_seconds)
            self._last_seconds[address] = now_seconds
            self._absent_seconds.pop(address, None)
        for address in self._last_seconds.keys() - shown:
            self._absent_seconds.setdefault(address, now_seconds)

    def fresh_until_seconds(self) -> float:
        """Tell how long the last list counts as fresh.

        :return: a reading of the clock
        """
        return self._seen_seconds + FRESH_SECONDS

    def peers(self) -> tuple[str, ...]:
        """List the other addresses of our data centre.

        :return: addresses that are live or leaving
        """
        return tuple(
            entry.address
            for entry in self.entries
            if entry.data_centre == self._self_id.data_centre
            and entry.address != self._self_id.address
        )

    def others(self) -> dict[str, tuple[str, ...]]:
        """List the addresses of the other data centres.

        :return: addresses by data centre
        """
        found: dict[str, tuple[str, ...]] = {}
        for entry in self.entries:
            if entry.data_centre != self._self_id.data_centre:
                before = found.get(entry.data_centre, ())
                found[entry.data_centre] = (*before, entry.address)
        return found

    def shows(self, address: str) -> bool:
        """Tell whether the last list shows an address.

        :param address: the address
        :return: whether it is live or leaving
        """
        return any(entry.address == address for entry in self.entries)

    def gone(self, address: str, now_seconds: float) -> bool:
        """Tell whether the platform has dropped an instance for good.

        :param address: where it listened
        :param now_seconds: the time
        :return: whether it was shown for long and has been gone for long
        """
        absent_seconds = self._absent_seconds.get(address)
        if absent_seconds is None or now_seconds > self.fresh_until_seconds():
            return False
        return (
            self.settled(address)
            and now_seconds - absent_seconds >= MATURE_SECONDS
        )

    def settled(self, address: str) -> bool:
        """Tell whether an address was shown for longer than copies lag.

        :param address: the address
        :return: whether its absence means that it is gone
        """
        if address not in self._first_seconds:
            return False
        shown_for_seconds = (
            self._last_seconds[address] - self._first_seconds[address]
        )
        return shown_for_seconds >= SETTLED_SECONDS


__all__ = [
    "FRESH_SECONDS",
    "MATURE_SECONDS",
    "SETTLED_SECONDS",
    "SKEW_SECONDS",
    "ListEntry",
    "Listing",
]
