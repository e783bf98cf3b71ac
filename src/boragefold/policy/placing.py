"""Placement among instances: who decides on which adapter's loads.

Load pattern: a cold adapter is asked for at several instances, each of which
may give orders to other endpoints. Without one decider per adapter, it is
loaded several times, and the store's few loads a second go to copies.
"""

from __future__ import annotations

import abc
from collections.abc import Collection
from collections.abc import Iterator
from collections.abc import Mapping

import xxhash

from boragefold.policy import actions
from boragefold.policy import demand as demands
from boragefold.policy import digest as digests
from boragefold.policy import endpoints as fleet
from boragefold.policy import placement as placements
from boragefold.policy import work as works

# Data centres within this round trip join their loads: a request sent to one
# of them loses a tenth of what a load of a quarter of a second would cost.
JOINED_SECONDS = 0.025


class OrderRights(abc.ABC):
    """Which endpoints this instance gives orders to, now."""

    @abc.abstractmethod
    def ordered(self) -> Collection[str]:
        """List the endpoints whose order right we hold at this moment.

        :return: their names
        """


class Placing:
    """Feeds placement with the demand of all instances we hear from."""

    def __init__(
        self,
        *,
        placement: placements.Placement,
        endpoints: fleet.Endpoints,
        rights: OrderRights,
        data_centre: str,
    ) -> None:
        self._placement = placement
        self._endpoints = endpoints
        self._rights = rights
        self._data_centre = data_centre
        self._peers = digests.Peers()
        self._arrivals = digests.Arrivals()
        self._homes: dict[str, list[str]] = {}

    def arrived(self, work: works.Work, *, now_seconds: float) -> None:
        """Note an admitted request.

        :param work: the request
        :param now_seconds: reading of the process clock
        """
        self._arrivals.add(work)
        self._placement.arrived(work, now_seconds=now_seconds)

    def digest(
        self, own: Mapping[works.AdapterVersion, demands.Demand]
    ) -> digests.Digest:
        """Sum up for the peers what we have; the arrivals begin anew.

        :param own: what waits here
        :return: to be sent to every instance nearby
        """
        return digests.Digest(
            data_centre=self._data_centre,
            waiting=digests.waiting_of(own),
            arrived=self._arrivals.take(),
            in_use=tuple(
                digests.InUse(state.spec.name, tuple(state.in_use))
                for state in self._endpoints
                if state.in_use
            ),
        )

    def peer(
        self, peer: str, digest: digests.Digest, *, now_seconds: float
    ) -> None:
        """Take in another instance's digest.

        :param peer: its incarnation
        :param digest: what it sent
        :param now_seconds: reading of the process clock
        """
        self._peers.put(peer, digest, now_seconds=now_seconds)
        for arrived in digest.arrived:
            self._placement.arrived_elsewhere(
                arrived.adapter,
                workspace=arrived.workspace,
                requests=arrived.requests,
                now_seconds=now_seconds,
            )

    def decide(
        self,
        own: Mapping[works.AdapterVersion, demands.Demand],
        *,
        warm_up: bool,
        now_seconds: float,
    ) -> Iterator[actions.Order | actions.Drain]:
        """Decide on the loads to begin now.

        :param own: what waits here
        :param warm_up: whether to load also what nobody waits for yet
        :param now_seconds: reading of the process clock
        :return: orders to carry out
        """
        ordered = self._rights.ordered()
        if not ordered:
            return
        self._peers.expire(now_seconds=now_seconds)
        self._homes.clear()
        for name in ordered:
            self._endpoints.pin_elsewhere(name, self._peers.in_use(name))
        demand = self._peers.demand(
            own, decides=lambda adapter: self._home(adapter) in ordered
        )
        for order in self._placement.decide(
            demand=demand,
            ordered=ordered,
            now_seconds=now_seconds,
            warm_up=warm_up,
        ):
            if isinstance(order, placements.Load):
                yield actions.Order(order)
            else:
                yield actions.Drain(order)

    def load_ended(self, load: placements.Load, *, now_seconds: float) -> None:
        """Note that a load succeeded.

        :param load: from an :class:`actions.Order`
        :param now_seconds: reading of the process clock
        """
        self._placement.load_ended(load, now_seconds=now_seconds)

    def load_failed(
        self, load: placements.Load, *, now_seconds: float
    ) -> None:
        """Note that a load failed, timed out or could not be ordered.

        :param load: from an :class:`actions.Order`
        :param now_seconds: reading of the process clock
        """
        self._placement.load_failed(load, now_seconds=now_seconds)

    def _home(self, adapter: works.AdapterVersion) -> str | None:
        """Name the endpoint whose orderer decides on an adapter.

        A data centre that we don't hear from can't decide for us: it is left
        out, and what it holds meanwhile is loaded a second time.
        """
        names = self._homes.get(adapter.model)
        if names is None:
            heard = self._peers.data_centres() | {self._data_centre}
            names = sorted(
                state.spec.name
                for state in self._endpoints
                if state.spec.model == adapter.model
                and not state.spec.leaving
                and state.spec.data_centre in heard
                and state.spec.distance_seconds <= JOINED_SECONDS
            )
            self._homes[adapter.model] = names
        if not names:
            return None
        text = "\0".join(adapter)
        return names[xxhash.xxh3_64_intdigest(text.encode()) % len(names)]


__all__ = [
    "OrderRights",
    "Placing",
]
