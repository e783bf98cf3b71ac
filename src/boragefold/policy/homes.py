"""Assignment of each adapter to a home endpoint.

The instance that controls the home endpoint decides on the adapter's loads.

Load pattern: requests for a cold adapter arrive at many instances at once.
Each instance computes the same home without communication, so that one load
serves all of them; endpoints that are full, slow or whose controlling
instance is unreachable are skipped because they could not take the load.
"""

from __future__ import annotations

import abc
from collections.abc import Collection
from collections.abc import Container
from collections.abc import Mapping

import xxhash

from boragefold.policy import endpoints as fleet
from boragefold.policy import work as works

# Data centres within this distance share the loads of an adapter.
MAX_DISTANCE_SECONDS = 0.025
# An endpoint with a lower traffic weight counts as slow.
MIN_WEIGHT = 0.5
# An endpoint with a fuller batch counts as full.
MAX_FILL = 0.8
# Enough to find an eligible endpoint when most are ineligible.
MAX_PROBES = 16


class OrderRights(abc.ABC):
    """Tells which instance currently controls which endpoint.

    At most one instance at a time has the right to send load and eviction
    orders to an endpoint.
    """

    @property
    @abc.abstractmethod
    def incarnation(self) -> str:
        """Return the name of this instance's current process.

        :return: the incarnation of this instance
        """

    @abc.abstractmethod
    def held_endpoints(self) -> Collection[str]:
        """List the endpoints that this instance controls at this moment.

        :return: endpoint names
        """

    @abc.abstractmethod
    def holder(self, endpoint: str) -> str | None:
        """Return the instance that controls an endpoint, as far as known.

        :param endpoint: the endpoint's name
        :return: an incarnation; None when the controlling instance is
            unreachable, so that another endpoint becomes the home of its
            adapters
        """


class Homes:
    """Picks home endpoints by hashing and skips ineligible endpoints.

    Instances see different values of fill and speed, and the values change
    quickly. An adapter therefore keeps its home while requests wait for it.
    """

    def __init__(
        self, *, endpoints: fleet.Endpoints, rights: OrderRights
    ) -> None:
        self._endpoints = endpoints
        self._rights = rights
        self._reachable: dict[str, dict[str, fleet.EndpointState]] = {}
        self._assigned: dict[works.AdapterVersion, str] = {}

    def refresh(self, waiting: Container[works.AdapterVersion]) -> None:
        """Discard cached states and the homes of adapters not waited for.

        Call this before a series of look-ups.

        :param waiting: the adapters that requests wait for at this instance
        """
        self._reachable.clear()
        self._assigned = {
            adapter: home
            for adapter, home in self._assigned.items()
            if adapter in waiting
        }

    def home(self, adapter: works.AdapterVersion) -> str | None:
        """Return an adapter's home endpoint.

        :param adapter: the adapter version
        :return: an endpoint name; None when no controlling instance can be
            reached
        """
        reachable = self._reachable_of(adapter.model)
        assigned = self._assigned.get(adapter)
        if assigned in reachable:
            return assigned
        if not reachable:
            return None
        home = _pick_home(adapter, reachable)
        self._assigned[adapter] = home
        return home

    def _reachable_of(self, model: str) -> dict[str, fleet.EndpointState]:
        # Adapters of an endpoint whose controlling instance is unreachable
        # are loaded elsewhere.
        states = self._reachable.get(model)
        if states is None:
            states = {
                state.spec.name: state
                for state in sorted(
                    self._endpoints, key=lambda each: each.spec.name
                )
                if state.spec.model == model
                and not state.spec.leaving
                and state.spec.distance_seconds <= MAX_DISTANCE_SECONDS
                and self._rights.holder(state.spec.name) is not None
            }
            self._reachable[model] = states
        return states


def _pick_home(
    adapter: works.AdapterVersion,
    reachable: Mapping[str, fleet.EndpointState],
) -> str:
    # Hashing again with another seed moves only the adapters of ineligible
    # endpoints.
    names = list(reachable)
    text = "\0".join(adapter).encode()
    candidates = [
        names[xxhash.xxh3_64_intdigest(text, seed=seed) % len(names)]
        for seed in range(MAX_PROBES)
    ]
    return next(
        (name for name in candidates if _is_eligible(reachable[name])),
        candidates[0],
    )


def _is_eligible(state: fleet.EndpointState) -> bool:
    return state.weight >= MIN_WEIGHT and state.fill() < MAX_FILL


__all__ = [
    "Homes",
    "OrderRights",
]
