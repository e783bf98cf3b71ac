"""What is published of an endpoint, and what it reports of itself."""

from __future__ import annotations

from typing import NamedTuple

from boragefold.policy import work as works


class EndpointSpec(NamedTuple):
    """What is published of an endpoint, and how far away it is.

    ``distance_seconds`` is the round trip from this instance.
    """

    name: str
    data_centre: str
    model: str
    role: str
    slots: int
    batch_size: int
    distance_seconds: float = 0.0
    leaving: bool = False


class LoadReport(NamedTuple):
    """What an endpoint said of itself.

    ``measured_at_seconds`` is on our own clock: the arrival of the report
    less its age. ``resident`` is None when the report doesn't list adapters.
    """

    endpoint: str
    incarnation: str
    running: int
    waiting: int
    measured_at_seconds: float
    resident: tuple[works.AdapterVersion, ...] | None = None


__all__ = [
    "EndpointSpec",
    "LoadReport",
]
