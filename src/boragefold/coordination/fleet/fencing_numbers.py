"""The fencing numbers of orders.

The number of an order rises with the engine's count of orders and holds the
giver's own number in its low digits, so that two givers never share one.
"""

from __future__ import annotations

from collections.abc import Iterable
import ipaddress
from typing import NamedTuple

# Lives of an engine that starts again under its name are told apart by the
# millisecond of their start, counted from here: the start of 2024, UTC.
EPOCH_MILLISECONDS = 1_704_067_200_000
# One part in so many for each giver, see giver_number.
GIVER_BITS = 15
# The giver's number: which data centre, and the low bits of its address there.
ADDRESS_BITS = 10


class Counted(NamedTuple):
    """An engine's count of orders, in one life of the engine."""

    born_milliseconds: int
    orders: int


def giver_number(
    *, data_centres: Iterable[str], data_centre: str, address: str
) -> int:
    """Make an instance's own part of fencing numbers.

    :param data_centres: all there are, the same at every instance
    :param data_centre: the instance's own
    :param address: its IPv4 number, perhaps with a port
    :return: below two to GIVER_BITS; another for each of the first 1,024
        addresses in each of 32 data centres
    """
    place = sorted(data_centres).index(data_centre)
    number = int(ipaddress.IPv4Address(address.partition(":")[0]))
    low = number % (1 << ADDRESS_BITS)
    return ((place << ADDRESS_BITS) | low) % (1 << GIVER_BITS)


def fence(counted: Counted | None, *, giver: int) -> int:
    """Make the fencing number of an order.

    :param counted: the count that the order relies on; None before the first
        report
    :param giver: its giver's own number, below two to GIVER_BITS
    :return: a number that rises with the engine's count, and from one life of
        the engine to the next
    """
    if counted is None:
        return giver
    born_milliseconds = counted.born_milliseconds - EPOCH_MILLISECONDS
    # An engine takes fewer orders than one a millisecond, so no number of this
    # life reaches those of the next.
    place = max(0, born_milliseconds) + counted.orders
    return (place << GIVER_BITS) | giver


__all__ = [
    "Counted",
    "GIVER_BITS",
    "fence",
    "giver_number",
]
