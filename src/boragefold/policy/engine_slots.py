"""Tracks the adapters that an engine has loaded, and chooses what to evict.

Load pattern: a few popular adapters, and a long tail of adapters that are
requested once each, share five slots. The adapter with the fewest recent
requests is evicted, among those that no request uses or waits for. With
eviction of the least recently used one, five cold adapters in a row push out
all popular ones, and each is loaded again for its next request.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
import itertools

from boragefold.policy import adapter_slot
from boragefold.policy import engine_decisions
from boragefold.policy import load_times
from boragefold.policy import slot_orders
from boragefold.policy import slot_table

AdapterKey = slot_table.AdapterKey

# When a load is late, the requests that wait for it are tried again after this
# time.
LATE_LOAD_RETRY_SECONDS = 0.06
# Delay after an order that failed or was refused.
ORDER_RETRY_SECONDS = 0.1


class EngineSlots(slot_table.SlotTable):
    """The slots of one engine, changed by requests, orders and reports."""

    def record_start(self, key: AdapterKey, *, now_seconds: float) -> None:
        """Record that a request of an adapter starts running.

        :param key: the adapter or model
        :param now_seconds: reading of the process clock
        """
        if (slot := self._slots.get(key)) is not None:
            slot.running_requests += 1
        if key.adapter:
            self._popularity.add(key, now_seconds=now_seconds)

    def record_end(self, key: AdapterKey, *, now_seconds: float) -> None:
        """Record that a request of an adapter has ended.

        :param key: the adapter or model
        :param now_seconds: reading of the process clock
        """
        if (slot := self._slots.get(key)) is not None:
            slot.running_requests = max(0, slot.running_requests - 1)

    def can_order(self, *, now_seconds: float) -> bool:
        """Check whether an order may be sent now.

        :param now_seconds: reading of the process clock
        :return: whether orders are allowed and no delay is in force
        """
        return self.may_order and now_seconds >= self._next_order_at_seconds

    def next_order(
        self,
        awaiting_slot: Iterable[engine_decisions.EngineRequest],
        queued_by_adapter: Mapping[AdapterKey, int],
        *,
        now_seconds: float,
        update_loaded: bool = True,
    ) -> engine_decisions.Order | None:
        """Choose the next order.

        :param awaiting_slot: requests whose adapter has no slot, most urgent
            first
        :param queued_by_adapter: how many requests wait for each adapter
        :param now_seconds: reading of the process clock
        :param update_loaded: whether newer versions of loaded adapters are
            loaded before a request needs them
        :return: the order; None if there is nothing to order now
        """
        if not self.can_order(now_seconds=now_seconds):
            return None
        choice = slot_orders.SlotOrders(
            models=self._models,
            loadable_models=()
            if self._is_changing_model
            else self._model_seconds,
            slots=self._slots,
            newest_versions=self._newest_versions,
            has_free_slot=self._occupied_slots() < self.capacity,
            idle=list(self._idle_adapters(queued_by_adapter)),
            load_times=self._load_times,
            popularity=self._popularity,
            issuer=self._issuer,
            now_seconds=now_seconds,
        )
        outdated = self.outdated() if update_loaded else None
        keys = itertools.chain(
            (request.adapter for request in awaiting_slot),
            () if outdated is None else (outdated,),
        )
        return choice.first_order(keys)

    def record_order(
        self,
        order: engine_decisions.Order,
        *,
        done: bool,
        now_seconds: float,
        count: int = 0,
    ) -> None:
        """Record that the engine accepted an order.

        :param order: the order
        :param done: whether the engine has carried it out; an adapter that is
            still used keeps its slot until its requests have ended
        :param now_seconds: reading of the process clock
        :param count: the number of orders that the engine has accepted since
        """
        key = order.key
        if isinstance(order, engine_decisions.Unload):
            if done:
                self._slots.pop(key, None)
            elif key in self._slots:
                self._slots[key].unloading = True
        elif not key.adapter:
            load_seconds = self._model_seconds.get(key.model, 0.0)
            self._models[key.model] = now_seconds + load_seconds
        else:
            load_seconds = self._load_times.estimate_seconds(
                key, loads_in_progress=self.loading(now_seconds=now_seconds)
            )
            # Requests of an older version go on running beside the newer one.
            previous = self._slots.get(key)
            self._slots[key] = adapter_slot.AdapterSlot(
                version=order.version,
                ready_at_seconds=now_seconds + load_seconds,
                order_count=count,
                running_requests=0
                if previous is None
                else previous.running_requests,
                warm=self._load_times.is_warm(key),
                replaces=previous is not None,
            )
        self._load_times.add_warm(key)

    def record_failed_order(self, *, now_seconds: float) -> None:
        """Record that the engine refused an order, or didn't reply.

        :param now_seconds: reading of the process clock
        """
        self._next_order_at_seconds = now_seconds + ORDER_RETRY_SECONDS

    def record_missing(self, key: AdapterKey, *, now_seconds: float) -> None:
        """Record that the engine refused a request: its adapter isn't loaded.

        :param key: the adapter or model
        :param now_seconds: reading of the process clock
        """
        if (slot := self._slots.get(key)) is None:
            return
        delay_seconds = LATE_LOAD_RETRY_SECONDS
        if slot.warm:
            # The engine had dropped its copy: it loads from the store.
            delay_seconds = load_times.COLD_LOAD_SECONDS
        elif not slot.confirmed:
            self._load_times.record_late()
        slot.warm = slot.confirmed = False
        slot.ready_at_seconds = now_seconds + delay_seconds

    def confirm_loaded(self, key: AdapterKey) -> None:
        """Record that an adapter is loaded, since a request ran on it.

        :param key: the adapter or model
        """
        if (slot := self._slots.get(key)) is None:
            return
        if not slot.confirmed and not slot.warm:
            self._load_times.record_in_time()
        slot.confirmed = True
        slot.replaces = False

    def apply_report(
        self,
        held: Mapping[str, Mapping[str, int]],
        loading: Mapping[AdapterKey, int],
        *,
        now_seconds: float,
        busy: bool = False,
    ) -> None:
        """Replace the state by what the engine reports as loaded.

        Only for a report whose order count is the one that the next order
        expects: after another report, the slots wouldn't match that count.

        :param held: versions by adapter by model
        :param loading: versions of the adapters that are loading
        :param now_seconds: reading of the process clock
        :param busy: whether the engine loads or unloads a model, which it
            lists only when that is done
        """
        self._is_changing_model = busy
        self._slots = adapter_slot.from_report(
            self._slots, held, loading, now_seconds=now_seconds
        )
        self._models = {
            model: ready_at_seconds
            for model, ready_at_seconds in self._models.items()
            if busy
        } | {model: self._models.get(model, 0.0) for model in held}

    def apply_old_report(
        self, held: Mapping[str, Mapping[str, int]], *, count: int
    ) -> None:
        """Confirm loads by a report that is older than the last orders.

        :param held: versions by adapter by model
        :param count: how many orders the engine had accepted by then
        """
        adapter_slot.confirm_from_older_report(self._slots, held, count=count)


__all__ = [
    "EngineSlots",
]
