"""The times that holders and users of an endpoint agree on."""

from __future__ import annotations

# Longer than a change of holder, so that a running lease is renewed.
USE_LEASE_SECONDS = 8.0

# A request ends or is cancelled this long after it began.
LONGEST_USE_SECONDS = 120.0

# A message that hasn't arrived after this never will.
TRANSIT_SECONDS = 2.0

# The sender then closes the connection.
ORDER_SECONDS = 2.0

# More than two clocks drift apart over these times.
MARGIN_SECONDS = 0.1

# Requests and questions to peers are repeated after this time.
AGAIN_SECONDS = 0.5


def right_of(endpoint: str) -> str:
    """Name the right to give an endpoint orders.

    :param endpoint: its name
    :return: the name for :meth:`rights.Rights.holds`
    """
    return f"orders/{endpoint}"


__all__ = [
    "AGAIN_SECONDS",
    "LONGEST_USE_SECONDS",
    "MARGIN_SECONDS",
    "ORDER_SECONDS",
    "TRANSIT_SECONDS",
    "USE_LEASE_SECONDS",
    "right_of",
]
