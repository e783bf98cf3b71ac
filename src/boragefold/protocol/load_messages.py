"""Messages on the load of endpoints."""

from __future__ import annotations

from typing import NamedTuple


class EndpointFull(NamedTuple):
    """Tells that a brittle endpoint rejected a request for want of room."""

    service: str
    endpoint: str


KINDS = (EndpointFull,)


__all__ = [
    "EndpointFull",
    "KINDS",
]
