"""Which adapters should be loaded, in fair order over workspaces.

Load pattern: one workspace touches hundreds of its rarely used adapters, each
once. Without fair order its loads take the whole rate of the weight store,
and another workspace's one adapter waits behind all of them.
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

# How far a waiting request lets an adapter overtake, and the bound that keeps
# the others from starving.
OVERTAKE_SECONDS = 0.5
MAX_OVERTAKE_SECONDS = 5.0

# Slots that free themselves are used first.
DRAIN_AFTER_SECONDS = 3.0

COLD = "cold"
HOT = "hot"
WARM_UP = "warm_up"


class Want(NamedTuple):
    """An adapter to be loaded; the smallest rank goes first."""

    rank_seconds: float
    adapter: works.AdapterVersion
    workspace: str
    reason: str
    since_seconds: float

    def is_starving(self, now_seconds: float) -> bool:
        """Tell whether a slot should be emptied for this adapter.

        :param now_seconds: reading of the process clock
        :return: whether it has found none for too long
        """
        waited_seconds = now_seconds - self.since_seconds
        return self.reason == COLD and waited_seconds >= DRAIN_AFTER_SECONDS


class LoadWants:
    """Wanted loads, and the load seconds spent by each workspace."""

    def __init__(self) -> None:
        self._spent = virtual_counter.VirtualCounter()
        self._active: set[str] = set()
        self._since: dict[works.AdapterVersion, float] = {}

    def make(
        self,
        adapters: Iterable[tuple[works.AdapterVersion, str]],
        demand: Mapping[works.AdapterVersion, demands.Demand],
        payer: Mapping[works.AdapterVersion, str],
        *,
        now_seconds: float,
    ) -> list[Want]:
        """Rank the wanted adapters.

        :param adapters: adapters and the reason each is wanted for
        :param demand: what waits for each
        :param payer: the workspace charged where nothing waits
        :param now_seconds: reading of the process clock
        :return: wants in no order
        """
        wants = [
            self._want(
                adapter, reason, demand.get(adapter), payer, now_seconds
            )
            for adapter, reason in adapters
        ]
        self._since = {want.adapter: want.since_seconds for want in wants}
        return wants

    def in_order(self, wants: Iterable[Want]) -> Iterator[Want]:
        """Go through the wants, the workspace that spent least first.

        A want that is charged while the iteration goes on moves its
        workspace back.

        :param wants: from :meth:`make`
        :return: each want once
        """
        lines = collections.defaultdict(list)
        for want in wants:
            lines[want.workspace].append(want)
        self._follow(set(lines))
        for line in lines.values():
            heapq.heapify(line)
        heap = [(self._spent.value(name), name) for name in lines]
        heapq.heapify(heap)
        while heap:
            _spent, workspace = heapq.heappop(heap)
            yield heapq.heappop(lines[workspace])
            if lines[workspace]:
                heapq.heappush(heap, (self._spent.value(workspace), workspace))

    def charge(self, workspace: str, load_seconds: float) -> None:
        """Count a load.

        :param workspace: on whose behalf; one of a present want
        :param load_seconds: how long it is expected to take
        """
        self._spent.charge(workspace, load_seconds)

    def correct(self, workspace: str, load_seconds: float) -> None:
        """Correct the charge after the load.

        :param workspace: who was charged
        :param load_seconds: real duration less the expected one
        """
        self._spent.correct(workspace, load_seconds)

    def _follow(self, present: set[str]) -> None:
        for workspace in sorted(present - self._active):
            self._spent.join(workspace)
        for workspace in self._active - present:
            self._spent.leave(workspace)
        self._active = present

    def _want(
        self,
        adapter: works.AdapterVersion,
        reason: str,
        waiting: demands.Demand | None,
        payer: Mapping[works.AdapterVersion, str],
        now_seconds: float,
    ) -> Want:
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
        return Want(rank_seconds, adapter, workspace, reason, since_seconds)


def waited_for(
    demand: Mapping[works.AdapterVersion, demands.Demand],
    endpoints: fleet.Endpoints,
    states: Iterable[fleet.EndpointState],
) -> Iterator[tuple[works.AdapterVersion, str]]:
    """Go through the adapters whose waiting work can't start.

    :param demand: what waits for which adapter
    :param endpoints: who holds what
    :param states: the endpoints that may be loaded; holders count where the
        data centre is theirs
    :return: adapters, and whether they lack a holder or one with room
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


def with_use_for(
    want: Want, states: Sequence[fleet.EndpointState]
) -> Sequence[fleet.EndpointState]:
    """List the endpoints where a wanted load would serve somebody.

    :param want: the adapter and why it is wanted
    :param states: endpoints that may be given orders
    :return: some of them
    """
    # In an overload every adapter looks hot; a copy on a full endpoint would
    # serve nobody.
    if want.reason != HOT:
        return states
    return [state for state in states if state.fill() < hot_adapters.HOT_FILL]


__all__ = [
    "COLD",
    "HOT",
    "LoadWants",
    "WARM_UP",
    "Want",
    "waited_for",
    "with_use_for",
]
