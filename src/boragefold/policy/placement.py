"""Which adapter is loaded where, and which one makes room.

Load pattern: most adapters are idle, a few are hot, and every hour some wake
up. Without this, one workspace's rarely used adapters take the whole load
rate, hot adapters queue on one endpoint, and two adapters that share a slot
evict each other without end.
"""

from __future__ import annotations

import abc
from collections.abc import Collection
from collections.abc import Mapping
import random
from typing import NamedTuple

from boragefold.policy import endpoints as fleet
from boragefold.policy import fair_queue
from boragefold.policy import work as works
from boragefold.telemetry import counters as telemetry


class Load(NamedTuple):
    """An order to an endpoint; evict first where an adapter is named."""

    endpoint: str
    adapter: works.AdapterVersion
    evict: works.AdapterVersion | None
    workspace: str
    reason: str


class LoadBudget(abc.ABC):
    """This instance's part of the weight store's limits."""

    @abc.abstractmethod
    def try_take(self, *, now_seconds: float) -> bool:
        """Take the right to begin one load.

        :param now_seconds: reading of the process clock
        :return: whether it was there
        """

    @abc.abstractmethod
    def ended(self, *, now_seconds: float) -> None:
        """Give back the in-flight part of one load, ended or never begun.

        :param now_seconds: reading of the process clock
        """


class Placement:
    """Decides on loads for the endpoints that this instance gives orders."""

    def __init__(
        self,
        *,
        endpoints: fleet.Endpoints,
        budget: LoadBudget,
        rng: random.Random,
        counters: telemetry.Counters,
    ) -> None:
        self._endpoints = endpoints
        self._budget = budget
        self._rng = rng
        self._counters = counters

    def arrived(self, work: works.Work, *, now_seconds: float) -> None:
        """Note an arrival, for the rate of its adapter.

        :param work: an admitted request
        :param now_seconds: reading of the process clock
        """
        raise NotImplementedError

    def decide(
        self,
        *,
        demand: Mapping[works.AdapterVersion, fair_queue.Demand],
        ordered: Collection[str],
        now_seconds: float,
        warm_up: bool = True,
    ) -> list[Load]:
        """Decide on the loads to begin now.

        :param demand: what waits for which adapter, of all instances known
        :param ordered: the endpoints that this instance may give orders
        :param now_seconds: reading of the process clock
        :param warm_up: whether to load also what nobody waits for yet
        :return: orders; each must be answered by one of the two calls below
        """
        raise NotImplementedError

    def load_ended(self, load: Load, *, now_seconds: float) -> None:
        """Note that a load succeeded.

        :param load: from :meth:`decide`
        :param now_seconds: reading of the process clock
        """
        raise NotImplementedError

    def load_failed(self, load: Load, *, now_seconds: float) -> None:
        """Note that a load failed, timed out or could not be ordered.

        :param load: from :meth:`decide`
        :param now_seconds: reading of the process clock
        """
        raise NotImplementedError


__all__ = [
    "Load",
    "LoadBudget",
    "Placement",
]
