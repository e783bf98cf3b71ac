"""A forecast of when each adapter could run on an engine."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from boragefold.state import deployment


class SlotForecast(NamedTuple):
    """The adapters of an engine at one moment.

    ``held`` have a slot, ``ready`` can run at once. ``until_ready_seconds``
    tells how long the load of an adapter takes from now on, for those held and
    those with a copy in host memory, ``otherwise_seconds`` that of any other.
    """

    held: frozenset[deployment.AdapterKey]
    ready: frozenset[deployment.AdapterKey]
    until_ready_seconds: Mapping[deployment.AdapterKey, float]
    otherwise_seconds: float


__all__ = [
    "SlotForecast",
]
