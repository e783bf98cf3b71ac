"""Messages about the amounts that instances admitted against rates.

A giver is an instance that reports what it admitted to a hub.
"""

from __future__ import annotations

from typing import NamedTuple


class Era(NamedTuple):
    """Identifies totals that can be compared with one another.

    An instance that finds no hub to learn from starts an era; ``heard_count``
    is the number of instances that it heard and ``name`` its own number.
    Where two eras meet, the greater one continues. ``reunions`` counts how
    often hubs met again that had counted separately for long. An instance
    without an era has a negative count.
    """

    heard_count: int = -1
    name: int = 0
    reunions: int = 0

    @property
    def known(self) -> bool:
        """Return whether this is an era.

        :return: false for an instance without an era
        """
        return self.heard_count >= 0

    @property
    def origin(self) -> tuple[int, int]:
        """Return the part that identifies who started the era.

        :return: unchanged by reunions
        """
        return self.heard_count, self.name

    @property
    def label(self) -> str:
        """Return a short text for logs.

        :return: differs for eras that can't be compared
        """
        return f"{self.name:x}/{self.reunions}"


class Entry(NamedTuple):
    """What one hub counts; only this hub writes it.

    ``version`` rises with each change. ``sums`` are by workspace since the
    entry was created. ``counted`` has the number of the last account of each
    giver that the sums include, by the index that the entry assigned to the
    giver. ``indexes`` are those of new givers, or all ``givers_count`` of
    them. ``age_seconds`` is the time since the entry was created.
    """

    version: int
    age_seconds: int
    sums: dict[str, float]
    counted: dict[int, int]
    indexes: dict[int, int]
    givers_count: int


class ToldEntry(NamedTuple):
    """A hub's own entry, as it sends it to other hubs.

    ``serial`` numbers the entries of one incarnation. ``entry`` is left out
    once its version has been sent for a while. ``lost_digest`` covers the
    entries of hubs that the sender doesn't hear.
    """

    serial: int
    version: int
    era: Era
    lost_digest: int
    entry: Entry | None


class Account(NamedTuple):
    """Amounts that the sender admitted and one hub has to count.

    ``counter`` is the name of the hub's entry. ``amounts`` are the totals
    reported to that entry, for each workspace whose total the entry isn't
    known to include. ``number`` rises with each change, over all entries.
    ``former`` are earlier entries of which it isn't settled what they include.
    """

    counter: str
    number: int
    amounts: dict[str, float]
    former: tuple[str, ...]


class Totals(NamedTuple):
    """The sums over all hubs, sent by a hub to instances.

    ``whole`` means that a workspace which isn't named has a sum of 0.
    ``counted`` and ``indexes`` are those of the hub's own entry, named by
    ``serial``. ``settled`` has, for the givers that asked, the numbers of the
    accounts that other entries include. ``late`` is the part of the amounts
    that the hub received after it hadn't heard their counting hub for a while.
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
    """The summed entries of hubs that ended long ago, and their number.

    Of two versions, the one with more entries is right.
    """

    entries_count: int
    sums: dict[str, float]


class LedgerAsk(NamedTuple):
    """Asks a hub for its :class:`Ledger`."""


class Ledger(NamedTuple):
    """All entries that a hub stores.

    Each comes with the seconds since its hub sent it.
    """

    era: Era
    folded: Folded
    entries: dict[str, tuple[float, Entry]]


class RateNews(NamedTuple):
    """What receivers must know before the next heartbeat.

    An instance sends its ``account`` to the hub that counts for it, and a hub
    its ``entry`` to other hubs and ``totals`` to instances. ``levels`` are
    those of the hub's buckets, for a process that has just started.
    """

    account: Account | None = None
    entry: ToldEntry | None = None
    totals: Totals | None = None
    levels: dict[str, float] | None = None


def entry_name(incarnation: str, serial: int) -> str:
    """Return the name of a hub's entry.

    :param incarnation: of the hub
    :param serial: number of the entry within the incarnation
    :return: a name that is unique to the entry
    """
    return f"{incarnation}/{serial}"


KINDS: tuple[type, ...] = (LedgerAsk, Ledger, RateNews)

__all__ = [
    "Account",
    "Entry",
    "Era",
    "Folded",
    "KINDS",
    "Ledger",
    "LedgerAsk",
    "RateNews",
    "ToldEntry",
    "Totals",
    "entry_name",
]
