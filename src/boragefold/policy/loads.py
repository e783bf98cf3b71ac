"""The loads under way, and the orders that begin them.

Load pattern: many requests for one adapter arrive while it is being loaded,
and endpoints restart in the middle of a load. Without one record per load,
the same adapter is ordered twice, or a lost load is waited for without end.
"""

from __future__ import annotations

import abc
import dataclasses
from typing import NamedTuple

from boragefold.policy import endpoints as fleet
from boragefold.policy import work as works

# A load takes a quarter of a second, and proportionally longer when more
# than eight share the store; after this its answer won't come any more.
LOAD_TIMEOUT_SECONDS = 10.0


class Load(NamedTuple):
    """An order to an endpoint; evict first where an adapter is named."""

    endpoint: str
    adapter: works.AdapterVersion
    evict: works.AdapterVersion | None
    workspace: str
    reason: str


class Drain(NamedTuple):
    """An order to all instances: send this adapter no more requests there."""

    endpoint: str
    adapter: works.AdapterVersion
    workspace: str


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
        """Give back the in-flight part of one load that has ended.

        :param now_seconds: reading of the process clock
        """


@dataclasses.dataclass(frozen=True, kw_only=True)
class Running:
    """A load under way."""

    load: Load
    incarnation: str
    began_at_seconds: float


class Loads:
    """Loads under way, by endpoint and by adapter."""

    def __init__(self) -> None:
        self._running: dict[tuple[str, works.AdapterVersion], Running] = {}
        self._by_endpoint: dict[str, int] = {}
        self._by_adapter: dict[works.AdapterVersion, int] = {}

    def __len__(self) -> int:
        return len(self._running)

    def at(self, endpoint: str) -> int:
        """Count the loads under way at an endpoint.

        :param endpoint: its name
        :return: loads
        """
        return self._by_endpoint.get(endpoint, 0)

    def of(self, adapter: works.AdapterVersion) -> int:
        """Count the loads under way of an adapter.

        :param adapter: the adapter version
        :return: loads
        """
        return self._by_adapter.get(adapter, 0)

    def begin(
        self, load: Load, *, incarnation: str, now_seconds: float
    ) -> None:
        """Record a load.

        :param load: the order
        :param incarnation: of the endpoint
        :param now_seconds: reading of the process clock
        """
        self._running[load.endpoint, load.adapter] = Running(
            load=load, incarnation=incarnation, began_at_seconds=now_seconds
        )
        self._by_endpoint[load.endpoint] = self.at(load.endpoint) + 1
        self._by_adapter[load.adapter] = self.of(load.adapter) + 1

    def end(self, load: Load) -> Running | None:
        """Forget a load.

        :param load: the order
        :return: its record; None when it was forgotten before
        """
        running = self._running.get((load.endpoint, load.adapter))
        if running is None or running.load != load:
            return None
        del self._running[load.endpoint, load.adapter]
        self._by_endpoint[load.endpoint] -= 1
        if not self._by_endpoint[load.endpoint]:
            del self._by_endpoint[load.endpoint]
        self._by_adapter[load.adapter] -= 1
        if not self._by_adapter[load.adapter]:
            del self._by_adapter[load.adapter]
        return running

    def lost(
        self, endpoints: fleet.Endpoints, *, now_seconds: float
    ) -> list[tuple[Load, bool]]:
        """List the loads whose answer can't come any more.

        :param endpoints: tells restarts and endpoints that are gone
        :param now_seconds: reading of the process clock
        :return: loads to be given to :meth:`end`, and whether each timed out
            rather than ended with its endpoint
        """
        lost = []
        for running in self._running.values():
            state = endpoints.get(running.load.endpoint)
            age_seconds = now_seconds - running.began_at_seconds
            if state is None or state.incarnation != running.incarnation:
                lost.append((running.load, False))
            elif age_seconds > LOAD_TIMEOUT_SECONDS:
                lost.append((running.load, True))
        return lost


__all__ = [
    "Drain",
    "LOAD_TIMEOUT_SECONDS",
    "Load",
    "LoadBudget",
    "Loads",
]
