"""Adapters that should be loaded, in fair order across workspaces.

Load pattern: one workspace requests hundreds of its rarely used adapters, each
once. Without fair order its loads would use the whole load rate of the weight
store, and another workspace's single adapter would wait behind all of them.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import heapq
from typing import NamedTuple

from boragefold.policy import demand as demands
from boragefold.policy import endpoints as fleet
from boragefold.policy import hot_adapters
from boragefold.policy import virtual_counter
from boragefold.policy import work as works

# Each waiting request moves its adapter forward by this time; the upper bound
# prevents starvation of the other adapters.
OVERTAKE_SECONDS = 0.5
MAX_OVERTAKE_SECONDS = 5.0

# Leaves time for slots to become free without a drain.
DRAIN_AFTER_SECONDS = 3.0

COLD = "cold"
HOT = "hot"
WARM_UP = "warm_up"


class LoadCandidate(NamedTuple):
    """An adapter to be loaded; the smallest rank is loaded first."""

    rank_seconds: float
    adapter: works.AdapterVersion
    workspace: str
    reason: str
    since_seconds: float

    def is_starving(self, now_seconds: float) -> bool:
        """Tell whether a slot should be drained for this adapter.

        :param now_seconds: reading of the process clock
        :return: whether a cold adapter has waited too long for a slot
        """
        waited_seconds = now_seconds - self.since_seconds
        return self.reason == COLD and waited_seconds >= DRAIN_AFTER_SECONDS


class LoadCandidates:
    """Ranks the adapters to load and accounts load time by workspace."""

    def __init__(self) -> None:
        self._spent = virtual_counter.VirtualCounter()
        self._active: set[str] = set()
        self._since: dict[works.AdapterVersion, float] = {}

    def rank(
        self,
        adapters: Iterable[tuple[works.AdapterVersion, str]],
        demand: Mapping[works.AdapterVersion, demands.Demand],
        payer: Mapping[works.AdapterVersion, str],
        *,
        now_seconds: float,
    ) -> list[LoadCandidate]:
        """Rank the adapters to load.

        :param adapters: adapters and the reason for each load
        :param demand: the waiting requests by adapter
        :param payer: the workspace charged for an adapter without waiting
            requests
        :param now_seconds: reading of the process clock
        :return: ranked adapters in no particular order
        """
        candidates = [
            self._candidate(
                adapter, reason, demand.get(adapter), payer, now_seconds
            )
            for adapter, reason in adapters
        ]
        self._since = {
            candidate.adapter: candidate.since_seconds
            for candidate in candidates
        }
        return candidates

    def fair_order(
        self, candidates: Iterable[LoadCandidate]
    ) -> Iterator[LoadCandidate]:
        """Iterate over the adapters, least charged workspace first.

        A charge during the iteration moves the workspace back in the order.

        :param candidates: from :meth:`rank`
        :return: each adapter once
        """
        queues = collections.defaultdict(list)
        for candidate in candidates:
            queues[candidate.workspace].append(candidate)
        self._update_active(set(queues))
        for queue in queues.values():
            heapq.heapify(queue)
        heap = [(self._spent.value(name), name) for name in queues]
        heapq.heapify(heap)
        while heap:
            _spent, workspace = heapq.heappop(heap)
            yield heapq.heappop(queues[workspace])
            if queues[workspace]:
                heapq.heappush(heap, (self._spent.value(workspace), workspace))

    def charge(self, workspace: str, load_seconds: float) -> None:
        """Charge a load to a workspace.

        :param workspace: the workspace; it must have an adapter to load
        :param load_seconds: the expected duration
        """
        self._spent.charge(workspace, load_seconds)

    def correct(self, workspace: str, load_seconds: float) -> None:
        """Correct a charge after the load.

        :param workspace: the workspace that was charged
        :param load_seconds: actual duration minus the expected one
        """
        self._spent.correct(workspace, load_seconds)

    def _update_active(self, present: set[str]) -> None:
        for workspace in sorted(present - self._active):
            self._spent.join(workspace)
        for workspace in self._active - present:
            self._spent.leave(workspace)
        self._active = present

    def _candidate(
        self,
        adapter: works.AdapterVersion,
        reason: str,
        waiting: demands.Demand | None,
        payer: Mapping[works.AdapterVersion, str],
        now_seconds: float,
    ) -> LoadCandidate:
        since_seconds = self._since.get(adapter, now_seconds)
        requests = waiting.requests if waiting is not None else 0
        overtake_seconds = min(
            OVERTAKE_SECONDS * max(requests - 1, 0), MAX_OVERTAKE_SECONDS
        )
        workspace = payer.get(adapter, "")
        if waiting is not None and waiting.by_workspace:
            shares = waiting.by_workspace
            workspace = max(shares, key=lambda name: (shares[name], name))
        rank_seconds = since_seconds - overtake_seconds
        return LoadCandidate(
            rank_seconds, adapter, workspace, reason, since_seconds
        )


def blocked_adapters(
    demand: Mapping[works.AdapterVersion, demands.Demand],
    endpoints: fleet.Endpoints,
    states: Iterable[fleet.EndpointState],
) -> Iterator[tuple[works.AdapterVersion, str]]:
    """Iterate over the adapters whose waiting requests can't start.

    :param demand: the waiting requests by adapter
    :param endpoints: all known endpoints and the adapters they hold
    :param states: the endpoints that may be sent orders; only holders in
        their data centres count
    :return: adapters and the reason for the load: no holder, or no holder
        with room
    """
    data_centres = {state.spec.data_centre for state in states}
    for adapter in demand:
        if not adapter.adapter:
            continue
        near = [
            state
            for state in endpoints.holders(adapter)
            if state.spec.data_centre in data_centres
        ]
        if not near:
            yield adapter, COLD
        elif not any(state.has_room() for state in near):
            yield adapter, HOT


def useful_endpoints(
    candidate: LoadCandidate, states: Sequence[fleet.EndpointState]
) -> Sequence[fleet.EndpointState]:
    """List the endpoints where a load would let requests start.

    :param candidate: the adapter and the reason for its load
    :param states: endpoints that may be sent orders
    :return: a subset of them
    """
    # Under overload every adapter looks hot, but a copy on a full endpoint
    # would start no request.
    if candidate.reason != HOT:
        return states
    return [state for state in states if state.fill() < hot_adapters.HOT_FILL]


__all__ = [
    "COLD",
    "HOT",
    "LoadCandidate",
    "LoadCandidates",
    "WARM_UP",
    "blocked_adapters",
    "useful_endpoints",
]
