"""Which endpoints change their model or role.

Load pattern: the demand moves between models, or between roles, over the
day. Without this, one pool refuses while another idles; without the
hysteresis an endpoint wanders between two pools and serves neither.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Mapping
from typing import NamedTuple

from boragefold.policy import endpoints as fleet
from boragefold.telemetry import counters as telemetry


class Pool(NamedTuple):
    """The endpoints of one model in one role."""

    model: str
    role: str


class RoleOrder(NamedTuple):
    """An order to an endpoint to join another pool, once it is drained."""

    endpoint: str
    pool: Pool


class Roles:
    """Moves endpoints from pools with little work to pools with much."""

    def __init__(
        self,
        *,
        endpoints: fleet.Endpoints,
        counters: telemetry.Counters,
    ) -> None:
        self._endpoints = endpoints
        self._counters = counters

    def decide(
        self,
        *,
        busy: Mapping[Pool, float],
        ordered: Collection[str],
        now_seconds: float,
    ) -> list[RoleOrder]:
        """Decide on the moves to begin now; call it about once a second.

        :param busy: requests running and waiting, by pool
        :param ordered: the endpoints that this instance may give orders
        :param now_seconds: reading of the process clock
        :return: the orders
        """
        raise NotImplementedError


__all__ = [
    "Pool",
    "RoleOrder",
    "Roles",
]
