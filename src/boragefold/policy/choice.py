"""To which endpoint a request is sent.

Load pattern: a hot adapter, an endpoint that gets slow, a full data centre.
Without this, instances with the same lagged report herd onto one endpoint, a
slow one goes on getting its share until it fails, and an adapter's requests
are spread so thinly that no batch fills.
"""

from __future__ import annotations

import dataclasses
import random

from boragefold.policy import endpoints as fleet
from boragefold.policy import work as works
from boragefold.telemetry import counters as telemetry


@dataclasses.dataclass(frozen=True, kw_only=True)
class Chosen:
    """Send it there; call :meth:`endpoints.Endpoints.sent` first."""

    endpoint: str
    wait_seconds: float
    tag: str = "chosen"


@dataclasses.dataclass(frozen=True, kw_only=True)
class NoHolder:
    """No usable endpoint holds the adapter; placement has to load it."""

    tag: str = "no_holder"


@dataclasses.dataclass(frozen=True, kw_only=True)
class NoRoom:
    """Every holder is full; the request stays in the fair queue."""

    tag: str = "no_room"


class Choice:
    """Chooses among the holders of an adapter."""

    def __init__(
        self,
        *,
        endpoints: fleet.Endpoints,
        rng: random.Random,
        counters: telemetry.Counters,
    ) -> None:
        self._endpoints = endpoints
        self._rng = rng
        self._counters = counters

    def choose(
        self,
        work: works.Work,
        *,
        excluded: frozenset[str] = frozenset(),
    ) -> Chosen | NoHolder | NoRoom:
        """Choose an endpoint.

        :param work: the request
        :param excluded: endpoints that failed this request already
        :return: the endpoint, or why there is none
        """
        raise NotImplementedError

    def has_room(self, adapter: works.AdapterVersion) -> bool:
        """Tell whether an adapter's next request could start at once.

        :param adapter: the adapter version
        :return: whether a holder has room
        """
        raise NotImplementedError


__all__ = [
    "Choice",
    "Chosen",
    "NoHolder",
    "NoRoom",
]
