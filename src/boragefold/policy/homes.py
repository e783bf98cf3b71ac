"""Which endpoint's orderer decides on the loads of an adapter.

Load pattern: requests for a cold adapter come to many instances at once. Each
picks the same home for it without asking anybody, so that its loads are
joined; a home that is full, slow or out of reach could not take the load.
"""

from __future__ import annotations

import abc
from collections.abc import Collection
from collections.abc import Container
from collections.abc import Mapping

import xxhash

from boragefold.policy import endpoints as fleet
from boragefold.policy import work as works

# Nearer data centres load an adapter once for all of them.
JOINED_SECONDS = 0.025
# An endpoint with less of its share is no adapter's home.
LEAST_WEIGHT = 0.5
# Nor is one whose batch is fuller.
MOST_FILL = 0.8
# Enough to find a fit one when most are unfit.
TRIES = 16


class OrderRights(abc.ABC):
    """Which instance gives orders to which endpoint, now."""

    @property
    @abc.abstractmethod
    def self_name(self) -> str:
        """Tell who we are.

        :return: our own incarnation
        """

    @abc.abstractmethod
    def ordered(self) -> Collection[str]:
        """List the endpoints whose order right we hold at this moment.

        :return: their names
        """

    @abc.abstractmethod
    def orderer(self, endpoint: str) -> str | None:
        """Tell who holds an endpoint's order right, as far as we know.

        :param endpoint: its name
        :return: an incarnation; None when we can't reach its holder, so that
            its adapters are decided on elsewhere
        """


class Homes:
    """Picks homes by hashing, passing over the endpoints that are unfit.

    Views of fill and slowness differ between instances and change quickly, so
    a home is kept for as long as requests of its adapter wait.
    """

    def __init__(
        self, *, endpoints: fleet.Endpoints, rights: OrderRights
    ) -> None:
        self._endpoints = endpoints
        self._rights = rights
        self._reachable: dict[str, dict[str, fleet.EndpointState]] = {}
        self._kept: dict[works.AdapterVersion, str] = {}

    def refresh(self, waiting: Container[works.AdapterVersion]) -> None:
        """Look at the endpoints anew; call it before a series of questions.

        :param waiting: the adapters that requests wait for here
        """
        self._reachable.clear()
        self._kept = {
            adapter: home
            for adapter, home in self._kept.items()
            if adapter in waiting
        }

    def of(self, adapter: works.AdapterVersion) -> str | None:
        """Name an adapter's home.

        :param adapter: the adapter version
        :return: an endpoint; None when no orderer can be reached
        """
        reachable = self._reachable_of(adapter.model)
        kept = self._kept.get(adapter)
        if kept in reachable:
            return kept
        if not reachable:
            return None
        home = _first_fit(adapter, reachable)
        self._kept[adapter] = home
        return home

    def _reachable_of(self, model: str) -> dict[str, fleet.EndpointState]:
        # While an orderer can't be reached, its adapters are loaded elsewhere.
        states = self._reachable.get(model)
        if states is None:
            states = {
                state.spec.name: state
                for state in sorted(
                    self._endpoints, key=lambda each: each.spec.name
                )
                if state.spec.model == model
                and not state.spec.leaving
                and state.spec.distance_seconds <= JOINED_SECONDS
                and self._rights.orderer(state.spec.name) is not None
            }
            self._reachable[model] = states
        return states


def _first_fit(
    adapter: works.AdapterVersion,
    reachable: Mapping[str, fleet.EndpointState],
) -> str:
    # An unfit endpoint moves only its own adapters.
    names = list(reachable)
    text = "\0".join(adapter).encode()
    tries = [
        names[xxhash.xxh3_64_intdigest(text, seed=seed) % len(names)]
        for seed in range(TRIES)
    ]
    return next((name for name in tries if _is_fit(reachable[name])), tries[0])


def _is_fit(state: fleet.EndpointState) -> bool:
    return state.weight >= LEAST_WEIGHT and state.fill() < MOST_FILL


__all__ = [
    "Homes",
    "OrderRights",
]
