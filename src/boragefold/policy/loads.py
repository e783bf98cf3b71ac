"""The loads under way, and the orders that begin them.

Load pattern: many requests for one adapter arrive while it is being loaded,
and endpoints restart in the middle of a load. Without one record per load,
the same adapter is ordered twice, or a lost load is waited for without end.
"""

from __future__ import annotations

import abc
import dataclasses
import itertools
from typing import NamedTuple

from boragefold.policy import endpoints as fleet
from boragefold.policy import work as works

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
        self._running: dict[str, dict[works.AdapterVersion, Running]] = {}
        self._by_adapter: dict[works.AdapterVersion, int] = {}

    def __len__(self) -> int:
        return sum(len(running) for running in self._running.values())

    def of(self, adapter: works.AdapterVersion) -> int:
        """Count the loads under way of an adapter.

        :param adapter: the adapter version
        :return: loads
        """
        return self._by_adapter.get(adapter, 0)

    def taken_slots(self, state: fleet.EndpointState) -> int:
        """Count the slots that are in use or will be.

        :param state: an endpoint
        :return: slots; one that is emptied for a load counts once
        """
        running = self._running.get(state.spec.name, {})
        replaced = sum(
            each.load.evict in state.blocked_at for each in running.values()
        )
        # A report may list what is loaded before the order is answered.
        seen = sum(adapter in state.resident for adapter in running)
        return state.occupied_slots() + len(running) - replaced - seen

    def unclaimed(
        self, state: fleet.EndpointState
    ) -> list[works.AdapterVersion]:
        """List what gets no requests any more and no load replaces yet.

        :param state: an endpoint
        :return: adapters that were drained, or evicted by a failed load
        """
        running = self._running.get(state.spec.name, {})
        claimed = {each.load.evict for each in running.values()}
        return [each for each in state.blocked_at if each not in claimed]

    def begin(
        self, load: Load, *, incarnation: str, now_seconds: float
    ) -> None:
        """Record a load.

        :param load: the order
        :param incarnation: of the endpoint
        :param now_seconds: reading of the process clock
        """
        self._running.setdefault(load.endpoint, {})[load.adapter] = Running(
            load=load, incarnation=incarnation, began_at_seconds=now_seconds
        )
        self._by_adapter[load.adapter] = self.of(load.adapter) + 1

    def end(self, load: Load) -> Running | None:
        """Forget a load.

        :param load: the very order that was given, not one equal to it
        :return: its record; None when it was forgotten before
        """
        # After a restart of the endpoint the same load is ordered again; the
        # first order's late answer must not count for the second.
        at_endpoint = self._running.get(load.endpoint, {})
        running = at_endpoint.get(load.adapter)
        if running is None or running.load is not load:
            return None
        del at_endpoint[load.adapter]
        if not at_endpoint:
            del self._running[load.endpoint]
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
        for running in itertools.chain.from_iterable(
            each.values() for each in self._running.values()
        ):
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
