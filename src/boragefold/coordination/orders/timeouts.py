"""Timeouts that all instances that hold or use an endpoint must share."""

from __future__ import annotations

# Longer than a change of holder takes, so that leases in use are renewed.
USE_LEASE_SECONDS = 8.0

# A request ends or is cancelled within this time.
MAX_REQUEST_SECONDS = 120.0

# A message that has not arrived within this time never arrives.
MAX_TRANSIT_SECONDS = 2.0

# The sender closes the connection after this time.
ORDER_TIMEOUT_SECONDS = 2.0

# Exceeds the drift between two clocks over the above durations.
CLOCK_DRIFT_SECONDS = 0.1

# Retry interval of requests to other instances.
RETRY_SECONDS = 0.5


def order_right(endpoint: str) -> str:
    """Return the name of the right to send orders to an endpoint.

    :param endpoint: name of the endpoint
    :return: name to pass to :meth:`rights.Rights.holds`
    """
    return f"orders/{endpoint}"


__all__ = [
    "CLOCK_DRIFT_SECONDS",
    "MAX_REQUEST_SECONDS",
    "MAX_TRANSIT_SECONDS",
    "ORDER_TIMEOUT_SECONDS",
    "RETRY_SECONDS",
    "USE_LEASE_SECONDS",
    "order_right",
]
