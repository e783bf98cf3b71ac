"""Drains the slot of an adapter in use for one that waits too long.

Load pattern: more adapters are hot than there are slots, and none is ever
idle. Without drains nothing could be evicted, and the callers of a cold
adapter would wait until they time out.
"""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Sequence

from boragefold.policy import endpoints as fleet
from boragefold.policy import load_candidates
from boragefold.policy import loads as loads_module
from boragefold.policy import slot_search
from boragefold.telemetry import counters as telemetry


class Drains:
    """Stops new requests for an adapter so that its slot becomes free."""

    def __init__(
        self,
        *,
        endpoints: fleet.Endpoints,
        loads: loads_module.Loads,
        slot_search: slot_search.SlotSearch,
        counters: telemetry.Counters,
    ) -> None:
        self._endpoints = endpoints
        self._loads = loads
        self._slot_search = slot_search
        self._counters = counters

    def decide(
        self,
        candidate: load_candidates.LoadCandidate,
        candidates: Sequence[load_candidates.LoadCandidate],
        states: Sequence[fleet.EndpointState],
        *,
        now_seconds: float,
    ) -> Iterator[loads_module.Drain]:
        """Drain one slot for an adapter that has waited too long for one.

        :param candidate: the adapter without a slot
        :param candidates: all adapters to load; at most as many slots are
            drained as there are starving adapters
        :param states: endpoints that may be sent orders
        :param now_seconds: reading of the process clock
        :return: at most one drain
        """
        starving = sum(each.is_starving(now_seconds) for each in candidates)
        draining = sum(len(self._loads.unclaimed(state)) for state in states)
        if not candidate.is_starving(now_seconds) or draining >= starving:
            return
        target = self._slot_search.find_drainable(
            candidate.adapter, states, now_seconds=now_seconds
        )
        if target is None or target.evict is None:
            return
        name = target.endpoint.spec.name
        self._endpoints.stop_using(name, target.evict, now_seconds=now_seconds)
        self._counters.add("adapters_drained", "slot_needed")
        yield loads_module.Drain(name, target.evict, candidate.workspace)


__all__ = [
    "Drains",
]
