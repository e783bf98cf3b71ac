"""Loads of recently used adapters into empty slots, ahead of requests.

Load pattern: an engine restarts empty, and the adapters that it held are
requested again within seconds. Without these loads, a caller would wait for
the load of each, although slots and load rate were idle before.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from typing import NamedTuple

from boragefold.policy import arrival_rates
from boragefold.policy import endpoints as fleet
from boragefold.policy import load_candidates
from boragefold.policy import slot_choice
from boragefold.policy import slot_search
from boragefold.policy import work as works

# Leaves part of the weight store's load rate for sudden demand.
PERIOD_SECONDS = 0.5
# At least two requests within the averaging time.
MIN_PER_SECOND = 2 / arrival_rates.TIME_CONSTANT_SECONDS


class EarlyLoad(NamedTuple):
    """An adapter to load ahead of requests, and the slot for it."""

    candidate: load_candidates.LoadCandidate
    target: slot_choice.LoadTarget


class WarmUp:
    """Fills empty slots with recently used adapters."""

    def __init__(
        self,
        *,
        rates: arrival_rates.ArrivalRates,
        slot_search: slot_search.SlotSearch,
        is_absent: Callable[[works.AdapterVersion, float], bool],
    ) -> None:
        self._rates = rates
        self._slot_search = slot_search
        self._is_absent = is_absent
        self._next_at_seconds = float("-inf")

    def find(
        self, states: Sequence[fleet.EndpointState], *, now_seconds: float
    ) -> EarlyLoad | None:
        """Find the most used adapter that no endpoint holds, and a slot.

        :param states: endpoints that may be sent orders
        :param now_seconds: reading of the process clock
        :return: the adapter and its slot; None when there is nothing to load
            or the last search was less than a period ago
        """
        if now_seconds < self._next_at_seconds:
            return None
        self._next_at_seconds = now_seconds + PERIOD_SECONDS
        if all(state.occupied_slots() >= state.spec.slots for state in states):
            return None
        return next(
            (
                EarlyLoad(self._candidate(adapter, now_seconds), target)
                for per_second, adapter in self._rates.hottest(
                    now_seconds=now_seconds
                )
                if per_second >= MIN_PER_SECOND
                and self._is_absent(adapter, now_seconds)
                and (target := self._slot_search.find_empty(adapter, states))
                is not None
            ),
            None,
        )

    def _candidate(
        self, adapter: works.AdapterVersion, now_seconds: float
    ) -> load_candidates.LoadCandidate:
        return load_candidates.LoadCandidate(
            now_seconds,
            adapter,
            self._rates.workspace(adapter),
            load_candidates.WARM_UP,
            now_seconds,
        )


__all__ = [
    "EarlyLoad",
    "WarmUp",
]
