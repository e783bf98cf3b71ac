"""The published properties of an endpoint, and its load reports."""

from __future__ import annotations

from typing import NamedTuple

from boragefold.policy import work as works


class EndpointSpec(NamedTuple):
    """The published properties of an endpoint, and its distance.

    ``distance_seconds`` is the round-trip time from this instance.
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
    """The load that an endpoint reports.

    ``measured_at_seconds`` is on this instance's clock: the arrival of the
    report less its age. ``resident`` is None when the report doesn't list
    adapters.
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
