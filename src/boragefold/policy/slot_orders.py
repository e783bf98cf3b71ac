"""Chooses the next order to one engine: a load, or an unload to make room.

Load pattern: requests wait for hundreds of adapters while all slots are in
use. What is the same for all adapters, such as the adapter to evict, is
determined once for all of them.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

import xxhash

from boragefold.policy import adapter_slot
from boragefold.policy import engine_decisions
from boragefold.policy import load_times
from boragefold.policy import popularity
from boragefold.state import deployment

AdapterKey = deployment.AdapterKey


class SlotOrders:
    """What an engine can be ordered to do at one moment."""

    def __init__(
        self,
        *,
        models: Mapping[str, float],
        loadable_models: Collection[str],
        slots: Mapping[AdapterKey, adapter_slot.AdapterSlot],
        newest_versions: Mapping[AdapterKey, int],
        has_free_slot: bool,
        idle: Sequence[AdapterKey],
        load_times: load_times.LoadTimes,
        popularity: popularity.Popularity,
        issuer: int,
        now_seconds: float,
    ) -> None:
        """Determine what is the same for all adapters.

        :param models: when each model of the engine is ready
        :param loadable_models: the models that may be ordered if the engine
            has none
        :param slots: the slots of the engine
        :param newest_versions: of each adapter that has several versions
        :param has_free_slot: whether a slot is empty
        :param idle: the adapters that may be unloaded
        :param load_times: limits the loads at once
        :param popularity: the recent requests by adapter
        :param issuer: the number of the instance that issues the orders
        :param now_seconds: reading of the process clock
        """
        self._models = models
        self._loadable_models = loadable_models
        self._slots = slots
        self._newest_versions = newest_versions
        self._has_free_slot = has_free_slot
        self._load_times = load_times
        self._popularity = popularity
        self._issuer = issuer
        self._now_seconds = now_seconds
        self._loading = sum(
            slot.is_loading(now_seconds=now_seconds) for slot in slots.values()
        )
        self._may_load_cold = load_times.may_load_cold(
            loads_in_progress=self._loading
        )
        self._victim = None if has_free_slot else self._find_victim(idle)

    def first_order(
        self, keys: Iterable[AdapterKey]
    ) -> engine_decisions.Order | None:
        """Choose the order for the first adapter that can be served.

        :param keys: the adapters, most urgent first
        :return: the order; None if none of them can be served now
        """
        orders = map(self._order_for, keys)
        return next((order for order in orders if order is not None), None)

    def _order_for(self, key: AdapterKey) -> engine_decisions.Order | None:
        if key.model not in self._models:
            return self._model_order(key.model)
        if self._models[key.model] > self._now_seconds or not key.adapter:
            return None
        if not self._may_load(key):
            return None
        slot = self._slots.get(key)
        if slot is not None and slot.unloading:
            return None
        if self._has_free_slot:
            return engine_decisions.Load(
                key, self._newest_versions.get(key, 0)
            )
        if slot is not None and slot.confirmed and not slot.running_requests:
            return engine_decisions.Unload(key)
        return (
            None
            if self._victim is None
            else engine_decisions.Unload(self._victim)
        )

    def _may_load(self, key: AdapterKey) -> bool:
        return self._may_load_cold or (
            self._loading < load_times.MAX_CONCURRENT_LOADS
            and self._load_times.is_warm(key)
        )

    def _model_order(self, model: str) -> engine_decisions.Order | None:
        # An engine that restarted is empty; one that holds another model has
        # no room for this one. While an engine loads a model, it accepts a
        # second order for it without counting it, so that two instances would
        # use the same fencing number.
        if self._models or model not in self._loadable_models:
            return None
        return engine_decisions.Load(AdapterKey(model, ""), 0)

    def _find_victim(self, idle: Iterable[AdapterKey]) -> AdapterKey | None:
        return min(
            idle,
            key=lambda key: (
                self._popularity.score(key, now_seconds=self._now_seconds),
                self._tie_break(key),
            ),
            default=None,
        )

    def _tie_break(self, key: AdapterKey) -> int:
        # Two instances that begin to own an engine at once have counted no
        # requests yet. If both unloaded the same adapter, the engine would
        # accept the second order without checking the count it expects.
        text = f"{self._issuer}\0{key.model}\0{key.adapter}"
        return xxhash.xxh3_64_intdigest(text.encode())


__all__ = [
    "SlotOrders",
]
