"""What instances tell each other of what was admitted of rates."""

from __future__ import annotations

from typing import NamedTuple


class Era(NamedTuple):
    """Tells apart totals that have nothing in common.

    Whoever finds no hub to learn from begins an era, ``heard_count`` being the
    instances that it heard and ``name`` its own number. Where two meet, the
    greater goes on. ``reunions`` counts how often hubs met again that had
    counted apart for long. Whoever is in no era has a negative count.
    """

    heard_count: int = -1
    name: int = 0
    reunions: int = 0

    @property
    def known(self) -> bool:
        """Tell whether this is an era.

        :return: false for whoever is in none
        """
        return self.heard_count >= 0

    @property
    def founding(self) -> tuple[int, int]:
        """Tell who began it.

        :return: the same after each reunion
        """
        return self.heard_count, self.name


class Entry(NamedTuple):
    """What one hub counts; it alone writes it.

    ``version`` rises with each change. ``sums`` are by workspace since the
    entry began, ``counted`` has the number of the last account that they hold
    of each giver, by the index that the entry gave it. ``indexes`` are those
    of new givers, or all ``givers_count`` of them. ``age_seconds`` is how long
    ago the entry began.
    """

    version: int
    age_seconds: int
    sums: dict[str, float]
    counted: dict[int, int]
    indexes: dict[int, int]
    givers_count: int


class ToldEntry(NamedTuple):
    """What a hub tells other hubs of its own entry.

    ``serial`` tells the entries of one incarnation apart. ``entry`` is left
    out where its version was told for a while. The digest stands for the
    entries of hubs that the sender doesn't hear.
    """

    serial: int
    version: int
    era: Era
    lost_digest: int
    entry: Entry | None


class Account(NamedTuple):
    """What the sender admitted and one hub has to count.

    ``counter`` is the name of the hub's entry. ``amounts`` are what was given
    to that entry in all, by workspace of which it isn't known that the entry
    holds it. ``number`` rises with each change, over all entries. ``former``
    are entries of which it isn't settled what they hold.
    """

    counter: str
    number: int
    amounts: dict[str, float]
    former: tuple[str, ...]


class Totals(NamedTuple):
    """What a hub tells instances that all hubs count.

    ``whole`` tells that a workspace which isn't named has a sum of 0.
    ``counted`` and ``indexes`` are those of the hub's own entry, named by
    ``serial``. ``settled`` are the numbers of the accounts that other entries
    hold, for the givers that asked. ``late`` is the part of the amounts that
    the hub learned after it hadn't heard who counted it for a while.
    """

    serial: int
    era: Era
    whole: bool
    amounts: dict[str, float]
    counted: dict[int, int]
    indexes: dict[int, int]
    settled: dict[int, dict[str, int]]
    late: dict[str, float]


class Folded(NamedTuple):
    """The sums of entries whose hubs ended long ago, and how many these are.

    Of two the one with more entries is right.
    """

    entries_count: int
    sums: dict[str, float]


class LedgerAsk(NamedTuple):
    """Asks a hub for its :class:`Ledger`."""


class Ledger(NamedTuple):
    """All entries that a hub holds.

    Each comes with the seconds since its hub told it.
    """

    era: Era
    folded: Folded
    entries: dict[str, tuple[float, Entry]]


def entry_name(incarnation: str, serial: int) -> str:
    """Name a hub's entry.

    :param incarnation: the hub's
    :param serial: which of its entries
    :return: another name for each
    """
    return f"{incarnation}/{serial}"


KINDS: tuple[type, ...] = (LedgerAsk, Ledger)

__all__ = [
    "Account",
    "Entry",
    "Era",
    "Folded",
    "KINDS",
    "Ledger",
    "LedgerAsk",
    "ToldEntry",
    "Totals",
    "entry_name",
]
