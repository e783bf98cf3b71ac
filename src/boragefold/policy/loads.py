"""Adapter loads in progress, and the orders that start them.

An order is a command that an instance sends to an endpoint.

Load pattern: many requests for one adapter arrive while it is being loaded,
and endpoints restart during a load. Without one record per load, the same
adapter would be loaded twice, or requests would wait forever for a load that
was lost.
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
    """An order to an endpoint to load an adapter, after an eviction if set."""

    endpoint: str
    adapter: works.AdapterVersion
    evict: works.AdapterVersion | None
    workspace: str
    reason: str


class Drain(NamedTuple):
    """Tells all instances to send an endpoint no requests for an adapter.

    The adapter's slot becomes free once its running requests have ended.
    """

    endpoint: str
    adapter: works.AdapterVersion
    workspace: str


class LoadBudget(abc.ABC):
    """This instance's share of the weight store's load limits."""

    @abc.abstractmethod
    def try_acquire(self, *, now_seconds: float) -> bool:
        """Take the permission to start one load, if there is one.

        :param now_seconds: reading of the process clock
        :return: whether the load may start
        """

    @abc.abstractmethod
    def release(self, *, now_seconds: float) -> None:
        """Release the concurrency share of a load that has ended.

        :param now_seconds: reading of the process clock
        """


@dataclasses.dataclass(frozen=True, kw_only=True)
class ActiveLoad:
    """A load in progress."""

    load: Load
    incarnation: str
    began_at_seconds: float


class Loads:
    """Loads in progress, by endpoint and by adapter."""

    def __init__(self) -> None:
        self._running: dict[str, dict[works.AdapterVersion, ActiveLoad]] = {}
        self._by_adapter: dict[works.AdapterVersion, int] = {}

    def __len__(self) -> int:
        return sum(len(running) for running in self._running.values())

    def count(self, adapter: works.AdapterVersion) -> int:
        """Count an adapter's loads in progress.

        :param adapter: the adapter version
        :return: number of loads
        """
        return self._by_adapter.get(adapter, 0)

    def taken_slots(self, state: fleet.EndpointState) -> int:
        """Count the slots that are occupied or will be after the loads.

        :param state: an endpoint
        :return: number of slots; a slot that is evicted for a load counts
            once
        """
        running = self._running.get(state.spec.name, {})
        replaced = sum(
            each.load.evict in state.evicting_since
            for each in running.values()
        )
        # A report may list a loaded adapter before the order is answered.
        seen = sum(adapter in state.resident for adapter in running)
        return state.occupied_slots() + len(running) - replaced - seen

    def unclaimed(
        self, state: fleet.EndpointState
    ) -> list[works.AdapterVersion]:
        """List the blocked adapters that no load in progress replaces.

        :param state: an endpoint
        :return: adapters that were drained, or whose eviction belonged to a
            load that failed
        """
        running = self._running.get(state.spec.name, {})
        claimed = {each.load.evict for each in running.values()}
        return [each for each in state.evicting_since if each not in claimed]

    def begin(
        self, load: Load, *, incarnation: str, now_seconds: float
    ) -> None:
        """Record the start of a load.

        :param load: the order
        :param incarnation: the endpoint's incarnation
        :param now_seconds: reading of the process clock
        """
        self._running.setdefault(load.endpoint, {})[load.adapter] = ActiveLoad(
            load=load, incarnation=incarnation, began_at_seconds=now_seconds
        )
        self._by_adapter[load.adapter] = self.count(load.adapter) + 1

    def end(self, load: Load) -> ActiveLoad | None:
        """Remove a load.

        :param load: the same object as given to :meth:`begin`, not an equal
            one
        :return: its record; None when it was removed before
        """
        # After a restart of the endpoint an equal load is started; a late
        # answer to the first order must not end the second load.
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
        """List the loads that can get no answer any more.

        :param endpoints: shows restarted and removed endpoints
        :param now_seconds: reading of the process clock
        :return: loads to pass to :meth:`end`, and whether each timed out
            (otherwise its endpoint restarted or was removed)
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
