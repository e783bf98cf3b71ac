"""Search for a slot for an adapter among the controlled endpoints.

Load pattern: many adapters to load and hundreds of endpoints. Without a bound
on the endpoints examined, the time of a decision would grow with the fleet.
"""

from __future__ import annotations

from collections.abc import Container
from collections.abc import Sequence
import random

from boragefold.policy import endpoints as fleet
from boragefold.policy import slot_choice
from boragefold.policy import work as works

# Size of a random sample, which bounds the time of a decision (the "power of
# two choices" argument).
SAMPLED_ENDPOINTS = 8


class SlotSearch:
    """Finds slots at the endpoints that may load an adapter."""

    def __init__(
        self,
        *,
        slot_choice: slot_choice.SlotChoice,
        rng: random.Random,
    ) -> None:
        self._slot_choice = slot_choice
        self._rng = rng

    def find(
        self,
        adapter: works.AdapterVersion,
        states: Sequence[fleet.EndpointState],
        *,
        protected: Container[works.AdapterVersion],
        now_seconds: float,
    ) -> slot_choice.LoadTarget | None:
        """Find an empty slot or one whose adapter can be evicted.

        :param adapter: the adapter version to load
        :param states: endpoints that may be sent orders
        :param protected: adapters that must not be evicted
        :param now_seconds: reading of the process clock
        :return: the slot, or None
        """
        target = self.find_empty(adapter, states)
        if target is not None:
            return target
        return self._slot_choice.find_evictable(
            self._sample(adapter, states), protected, now_seconds=now_seconds
        )

    def find_empty(
        self,
        adapter: works.AdapterVersion,
        states: Sequence[fleet.EndpointState],
    ) -> slot_choice.LoadTarget | None:
        """Find an empty slot.

        :param adapter: the adapter version to load
        :param states: endpoints that may be sent orders
        :return: the slot, or None
        """
        return self._slot_choice.find_empty(_eligible(adapter, states))

    def find_drainable(
        self,
        adapter: works.AdapterVersion,
        states: Sequence[fleet.EndpointState],
        *,
        now_seconds: float,
    ) -> slot_choice.LoadTarget | None:
        """Find an adapter in use whose slot should be drained.

        :param adapter: the adapter version to load afterwards
        :param states: endpoints that may be sent orders
        :param now_seconds: reading of the process clock
        :return: the slot, or None
        """
        return self._slot_choice.find_drainable(
            self._sample(adapter, states), now_seconds=now_seconds
        )

    def _sample(
        self,
        adapter: works.AdapterVersion,
        states: Sequence[fleet.EndpointState],
    ) -> list[fleet.EndpointState]:
        eligible = _eligible(adapter, states)
        return self._rng.sample(
            eligible, min(SAMPLED_ENDPOINTS, len(eligible))
        )


def _eligible(
    adapter: works.AdapterVersion, states: Sequence[fleet.EndpointState]
) -> list[fleet.EndpointState]:
    return [
        state
        for state in states
        if state.spec.model == adapter.model and adapter not in state.resident
    ]


__all__ = [
    "SlotSearch",
]
