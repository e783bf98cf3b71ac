"""The fencing tokens of orders.

The token of an order rises with the engine's order count. Its low bits are the
number of the instance that sends the order, so no two instances share a token.
"""

from __future__ import annotations

import ipaddress
from typing import NamedTuple

# Tokens hold the millisecond at which the engine started, so that they differ
# after a restart under the same name. Counted from the start of 2024, UTC.
EPOCH_MILLISECONDS = 1_704_067_200_000
# Low bits of a token that hold the sending instance's number. A token stays
# below two to the power of 63 until 2041.
ISSUER_BITS = 24


class OrderCount(NamedTuple):
    """An engine's order count, and the start of the engine that it is of."""

    born_milliseconds: int
    orders: int


def issuer_number(*, address: str) -> int:
    """Compute the number of an instance for its fencing tokens.

    :param address: its IPv4 address, optionally with a port
    :return: below two to the power of ISSUER_BITS; unique among addresses
        that have their first 8 bits in common
    """
    number = int(ipaddress.IPv4Address(address.partition(":")[0]))
    return number % (1 << ISSUER_BITS)


def fence(counted: OrderCount | None, *, issuer: int) -> int:
    """Compute the fencing token of an order.

    :param counted: the order count that the order expects; None before the
        first report
    :param issuer: number of the instance that sends the order, below two to
        the power of ISSUER_BITS
    :return: a token that rises with the engine's order count and with each
        restart of the engine
    """
    if counted is None:
        return issuer
    born_milliseconds = counted.born_milliseconds - EPOCH_MILLISECONDS
    # An engine accepts fewer than one order per millisecond, so the tokens
    # stay below those after the engine's next restart.
    position = max(0, born_milliseconds) + counted.orders
    return (position << ISSUER_BITS) | issuer


__all__ = [
    "ISSUER_BITS",
    "OrderCount",
    "fence",
    "issuer_number",
]
