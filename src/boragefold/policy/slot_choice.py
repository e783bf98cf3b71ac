"""Choice of the slot into which an adapter is loaded.

Load pattern: more adapters are in use than there are slots. Without a minimum
residency, two adapters that are requested alternately would evict each other,
and every request would wait for a load.
"""

from __future__ import annotations

from collections.abc import Container
from collections.abc import Iterable
from typing import NamedTuple

from boragefold.policy import arrival_rates
from boragefold.policy import endpoints as fleet
from boragefold.policy import loads
from boragefold.policy import work as works

# Bounds the share of a slot's time that is spent on loading.
MIN_RESIDENCY_SECONDS = 2.0
# Bounds the wait of requests for other adapters.
MAX_RESIDENCY_SECONDS = 10.0
PROTECTED_GAPS = 2.0


class LoadTarget(NamedTuple):
    """A slot at an endpoint, and the adapter to evict from it, if any."""

    endpoint: fleet.EndpointState
    evict: works.AdapterVersion | None


class SlotChoice:
    """Finds the slot whose reuse costs least."""

    def __init__(
        self, *, rates: arrival_rates.ArrivalRates, loads: loads.Loads
    ) -> None:
        self._rates = rates
        self._loads = loads

    def find_empty(
        self, states: Iterable[fleet.EndpointState]
    ) -> LoadTarget | None:
        """Find an endpoint with an empty slot.

        :param states: endpoints that may load the adapter
        :return: the slot, or None
        """
        empty = [
            (state.is_slow(), state.fill(), state.spec.name, state)
            for state in states
            if self._loads.taken_slots(state) < state.spec.slots
        ]
        return LoadTarget(min(empty)[-1], None) if empty else None

    def find_evictable(
        self,
        states: Iterable[fleet.EndpointState],
        protected: Container[works.AdapterVersion],
        *,
        now_seconds: float,
    ) -> LoadTarget | None:
        """Find the adapter whose eviction costs least.

        :param states: endpoints that may load the new adapter
        :param protected: adapters that must stay, such as those with waiting
            requests
        :param now_seconds: reading of the process clock
        :return: the slot, or None
        """
        found = [
            (
                *self._retention_value(state, adapter, now_seconds),
                adapter,
                state,
            )
            for state in states
            for adapter in (*self._loads.unclaimed(state), *state.resident)
            if not state.is_in_use(adapter)
            and self._is_evictable(state, adapter, protected, now_seconds)
        ]
        if not found:
            return None
        *_value, adapter, state = min(found, key=lambda each: each[:-1])
        return LoadTarget(state, adapter)

    def find_drainable(
        self,
        states: Iterable[fleet.EndpointState],
        *,
        now_seconds: float,
    ) -> LoadTarget | None:
        """Find the adapter in use whose new requests should be stopped.

        :param states: endpoints; those with a drained or otherwise blocked
            slot that no load has claimed yet are skipped
        :param now_seconds: reading of the process clock
        :return: the slot, or None
        """
        found = [
            (
                *self._retention_value(state, adapter, now_seconds),
                adapter,
                state,
            )
            for state in states
            if not self._loads.unclaimed(state)
            for adapter in state.resident
            if now_seconds - _loaded_at(state, adapter)
            >= MAX_RESIDENCY_SECONDS
        ]
        if not found:
            return None
        *_value, adapter, state = min(found, key=lambda each: each[:-1])
        return LoadTarget(state, adapter)

    def _is_evictable(
        self,
        state: fleet.EndpointState,
        adapter: works.AdapterVersion,
        protected: Container[works.AdapterVersion],
        now_seconds: float,
    ) -> bool:
        if adapter in state.evicting_since:
            return True
        if adapter in protected:
            return False
        used_at, gap_seconds = self._rates.last_use(adapter)
        stay_seconds = min(PROTECTED_GAPS * gap_seconds, MAX_RESIDENCY_SECONDS)
        loaded_at = _loaded_at(state, adapter)
        return (
            now_seconds >= loaded_at + MIN_RESIDENCY_SECONDS
            and now_seconds >= used_at + stay_seconds
        )

    def _retention_value(
        self,
        state: fleet.EndpointState,
        adapter: works.AdapterVersion,
        now_seconds: float,
    ) -> tuple[bool, bool, float, float]:
        per_second = self._rates.per_second(adapter, now_seconds=now_seconds)
        used_at, _gap = self._rates.last_use(adapter)
        routable = adapter not in state.evicting_since
        # An adapter can't serve requests where there is no room for them.
        unusable = state.is_slow() or not state.has_room()
        return routable, unusable, per_second, used_at


def _loaded_at(
    state: fleet.EndpointState, adapter: works.AdapterVersion
) -> float:
    return state.loaded_at.get(adapter, float("-inf"))


__all__ = [
    "LoadTarget",
    "MAX_RESIDENCY_SECONDS",
    "MIN_RESIDENCY_SECONDS",
    "SlotChoice",
]
