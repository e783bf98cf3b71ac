"""Timeouts that all instances that hold or use an endpoint must share."""

from __future__ import annotations

# Longer than a change of holder takes, so that leases in use are renewed.
USE_LEASE_SECONDS = 8.0

# A request ends or is cancelled within this time.
LONGEST_USE_SECONDS = 120.0

# A message that has not arrived within this time never arrives.
TRANSIT_SECONDS = 2.0

# The sender closes the connection after this time.
ORDER_SECONDS = 2.0

# Exceeds the drift between two clocks over the above durations.
MARGIN_SECONDS = 0.1

# Retry interval of requests to other instances.
AGAIN_SECONDS = 0.5


def right_of(endpoint: str) -> str:
    """Return the name of the right to send orders to an endpoint.

    :param endpoint: name of the endpoint
    :return: name to pass to :meth:`rights.Rights.holds`
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
