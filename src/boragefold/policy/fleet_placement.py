"""Adapter placement across instances.

For each adapter, one instance decides on the loads; the others send it their
demand.

Load pattern: a cold adapter is requested at several instances, each of which
controls other endpoints. If each of them decided for itself, the adapter
would be loaded several times, and the weight store's few loads a second would
be spent on copies.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Set
from typing import TypeVar

from boragefold.policy import actions
from boragefold.policy import demand as demands
from boragefold.policy import digest as digests
from boragefold.policy import endpoints as fleet
from boragefold.policy import homes
from boragefold.policy import placement as placements
from boragefold.policy import work as works

Item = TypeVar("Item")


class FleetPlacement:
    """Passes the demand of all reachable instances to the placement."""

    def __init__(
        self,
        *,
        placement: placements.Placement,
        endpoints: fleet.Endpoints,
        rights: homes.OrderRights,
    ) -> None:
        self._placement = placement
        self._endpoints = endpoints
        self._rights = rights
        self._peers = digests.PeerDigests()
        self._arrivals = digests.Arrivals()
        self._homes = homes.Homes(endpoints=endpoints, rights=rights)
        self._notified: Set[str] = frozenset()

    def count_arrival(self, work: works.Work, *, now_seconds: float) -> None:
        """Count an admitted request.

        :param work: the request
        :param now_seconds: reading of the process clock
        """
        self._arrivals.add(work)
        self._placement.count_arrival(work, now_seconds=now_seconds)

    def is_cold(self, adapter: works.AdapterVersion) -> bool:
        """Tell whether an adapter's requests have to wait for a load.

        :param adapter: the adapter version
        :return: whether no endpoint is known to hold it
        """
        return bool(adapter.adapter) and not self._endpoints.holders(adapter)

    def digests_by_peer(
        self, own: Mapping[works.AdapterVersion, demands.Demand]
    ) -> dict[str, digests.Digest]:
        """Summarise for each peer the demand that the peer decides on.

        The arrival counts are reset.

        :param own: the requests that wait at this instance, by adapter
        :return: digests by incarnation, without peers that need none
        """
        self._homes.refresh(own)
        waiting = _by_peer(
            digests.waiting_entries(own),
            lambda each: self._decider(each.adapter),
        )
        arrived = _by_peer(
            self._arrivals.pop_all(), lambda each: self._decider(each.adapter)
        )
        in_use = _by_peer(
            (
                digests.InUse(state.spec.name, tuple(state.in_use))
                for state in self._endpoints
                if state.in_use
            ),
            lambda each: self._rights.holder(each.endpoint),
        )
        # A peer that was sent a digest before gets an empty one at the end.
        present = waiting.keys() | arrived.keys() | in_use.keys()
        notified, self._notified = self._notified, present
        return {
            peer: digests.Digest(
                waiting=tuple(waiting.get(peer, ())),
                arrived=tuple(arrived.get(peer, ())),
                in_use=tuple(in_use.get(peer, ())),
            )
            for peer in sorted(
                (present | notified) - {self._rights.incarnation}
            )
        }

    def receive_digest(
        self, peer: str, digest: digests.Digest, *, now_seconds: float
    ) -> None:
        """Process the digest of another instance.

        :param peer: the incarnation of that instance
        :param digest: the digest
        :param now_seconds: reading of the process clock
        """
        self._peers.put(peer, digest, now_seconds=now_seconds)
        for arrived in digest.arrived:
            self._placement.count_remote_arrivals(
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
    ) -> Iterator[actions.OrderLoad | actions.Drain]:
        """Decide which loads to start now.

        :param own: the requests that wait at this instance, by adapter
        :param warm_up: whether to load adapters without waiting requests too
        :param now_seconds: reading of the process clock
        :return: orders to carry out
        """
        held_endpoints = self._rights.held_endpoints()
        if not held_endpoints:
            return
        self._peers.expire(now_seconds=now_seconds)
        self._homes.refresh(own)
        for name in held_endpoints:
            self._endpoints.set_used_by_peers(name, self._peers.in_use(name))
        demand = self._peers.demand(
            own,
            decides=lambda adapter: (
                self._homes.home(adapter) in held_endpoints
            ),
        )
        for order in self._placement.decide(
            demand=demand,
            held_endpoints=held_endpoints,
            now_seconds=now_seconds,
            warm_up=warm_up,
        ):
            if isinstance(order, placements.Load):
                yield actions.OrderLoad(order)
            else:
                yield actions.Drain(order)

    def load_succeeded(
        self, load: placements.Load, *, now_seconds: float
    ) -> None:
        """Record that a load succeeded.

        :param load: from an :class:`actions.OrderLoad`
        :param now_seconds: reading of the process clock
        """
        self._placement.load_succeeded(load, now_seconds=now_seconds)

    def load_failed(
        self, load: placements.Load, *, now_seconds: float
    ) -> None:
        """Record that a load failed, timed out or could not be sent.

        :param load: from an :class:`actions.OrderLoad`
        :param now_seconds: reading of the process clock
        """
        self._placement.load_failed(load, now_seconds=now_seconds)

    def _decider(self, adapter: works.AdapterVersion) -> str | None:
        home = self._homes.home(adapter)
        return None if home is None else self._rights.holder(home)


def _by_peer(
    items: Iterable[Item], peer_of: Callable[[Item], str | None]
) -> dict[str, list[Item]]:
    by_peer: dict[str, list[Item]] = {}
    for item in items:
        peer = peer_of(item)
        if peer is not None:
            by_peer.setdefault(peer, []).append(item)
    return by_peer


__all__ = [
    "FleetPlacement",
]
