"""Tracks the adapters that an engine has loaded, and chooses what to evict.

Load pattern: a few popular adapters, and a long tail of adapters that are
requested once each, share five slots. The adapter with the fewest recent
requests is evicted, among those that no request uses or waits for. With
eviction of the least recently used one, five cold adapters in a row push out
all popular ones, and each is loaded again for its next request.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import itertools

from boragefold.policy import adapter_slot
from boragefold.policy import engine_decisions
from boragefold.policy import load_times
from boragefold.policy import popularity
from boragefold.policy import slot_forecast
from boragefold.policy import slot_orders
from boragefold.state import deployment

AdapterKey = deployment.AdapterKey

# When a load is late, the requests that wait for it are tried again after this
# time.
LATE_LOAD_RETRY_SECONDS = 0.06
# When a load is this late, it may have failed: the engine is asked to report.
LOAD_OVERDUE_SECONDS = 0.1
# Delay after an order that failed or was refused.
ORDER_RETRY_SECONDS = 0.1


class EngineSlots:
    """The models and adapters of one engine, and the slots they occupy."""

    def __init__(
        self,
        *,
        engine: deployment.Engine,
        newest_versions: Mapping[AdapterKey, int],
        loads_elsewhere: Callable[[], int] = lambda: 0,
        count_engines: Callable[[], int] = lambda: 1,
        issuer: int = 0,
    ) -> None:
        """Start with nothing loaded.

        :param engine: the capacity of the engine
        :param newest_versions: of each adapter that has several versions
        :param loads_elsewhere: returns how many loads other engines have in
            progress
        :param count_engines: returns how many engines share the weight store
        :param issuer: the number of the instance that issues the orders
        """
        self._issuer = issuer
        self._load_times = load_times.LoadTimes(
            loads_elsewhere=loads_elsewhere, count_engines=count_engines
        )
        self.capacity = engine.adapter_places
        self._engine = engine
        self._newest_versions = newest_versions
        self._models: dict[str, float] = {}
        self._slots: dict[AdapterKey, adapter_slot.AdapterSlot] = {}
        self._popularity = popularity.Popularity()
        self._model_seconds = {
            model.name: model.load_seconds for model in engine.models
        }
        self._next_order_at_seconds = 0.0
        # Whether orders are allowed now, and for how long none will be: right
        # after the start, and while another instance issues them.
        self._is_changing_model = False
        self.may_order = False
        self.orders_in_seconds = 0.0

    def held(self) -> tuple[AdapterKey, ...]:
        """List the adapters that are loaded or loading.

        :return: their keys
        """
        return tuple(self._slots)

    def host_memory_copies(self) -> tuple[AdapterKey, ...]:
        """List the adapters that the engine could load from host memory.

        :return: the keys of those that aren't loaded but have a copy there
        """
        return tuple(
            key
            for key in self._load_times.warm_adapters()
            if key not in self._slots
        )

    def summary(self) -> dict[str, str]:
        """Describe the adapter slots for the log.

        :return: running requests by adapter; "?" marks an adapter that is not
            confirmed as loaded, "-" one that is being unloaded
        """
        return {
            key.adapter: (
                f"{slot.running_requests}"
                f"{'' if slot.confirmed else '?'}"
                f"{'-' if slot.unloading else ''}"
            )
            for key, slot in self._slots.items()
        }

    def models(self) -> tuple[str, ...]:
        """List the models that are loaded or loading.

        :return: their names
        """
        return tuple(self._models)

    def holds(self, key: AdapterKey) -> bool:
        """Check whether an adapter has its slot.

        :param key: the adapter or model
        :return: whether its newest version is loaded or loading
        """
        if key.model not in self._models:
            return False
        if not key.adapter:
            return True
        slot = self._slots.get(key)
        return (
            slot is not None
            and not slot.unloading
            and slot.version >= self._newest_versions.get(key, 0)
        )

    def is_ready(self, key: AdapterKey, *, now_seconds: float) -> bool:
        """Check whether requests of an adapter can run.

        :param key: the adapter or model
        :param now_seconds: reading of the process clock
        :return: whether it should be loaded by now
        """
        if not self.holds(key) or self._models[key.model] > now_seconds:
            return False
        slot = self._slots.get(key)
        return slot is None or slot.ready_at_seconds <= now_seconds

    def until_ready_seconds(
        self, key: AdapterKey, *, now_seconds: float
    ) -> float:
        """Estimate when an adapter is loaded if it gets a slot now.

        :param key: the adapter or model
        :param now_seconds: reading of the process clock
        :return: seconds; 0 if it is loaded
        """
        if not self.holds(key):
            loading = self.loading(now_seconds=now_seconds)
            load_seconds = self._load_times.estimate_seconds(
                key, loads_in_progress=loading
            )
            return load_seconds + self.orders_in_seconds
        ready_at_seconds = self._models[key.model]
        if (slot := self._slots.get(key)) is not None:
            ready_at_seconds = max(ready_at_seconds, slot.ready_at_seconds)
        return max(0.0, ready_at_seconds - now_seconds)

    def held_keys(self) -> frozenset[AdapterKey]:
        """List the models and adapters that have their slot.

        :return: those for which :meth:`holds` is true
        """
        models = (AdapterKey(model, "") for model in self._models)
        return frozenset(
            filter(self.holds, itertools.chain(models, self._slots))
        )

    def forecast(self, *, now_seconds: float) -> slot_forecast.SlotForecast:
        """Estimate for all adapters when they could run.

        :param now_seconds: reading of the process clock
        :return: the same as :meth:`holds`, :meth:`is_ready` and
            :meth:`until_ready_seconds` of each adapter
        """
        held = self.held_keys()
        warm_seconds = self._load_times.warm_seconds + self.orders_in_seconds
        until_ready_seconds = dict.fromkeys(
            self._load_times.warm_adapters(), warm_seconds
        )
        for key in held:
            until_ready_seconds[key] = self.until_ready_seconds(
                key, now_seconds=now_seconds
            )
        cold_seconds = self._load_times.cold_seconds(
            loads_in_progress=self.loading(now_seconds=now_seconds)
        )
        return slot_forecast.SlotForecast(
            held=held,
            ready=frozenset(
                key
                for key in held
                if self.is_ready(key, now_seconds=now_seconds)
            ),
            until_ready_seconds=until_ready_seconds,
            otherwise_seconds=cold_seconds + self.orders_in_seconds,
        )

    def version(self, key: AdapterKey) -> int:
        """Look up which version of an adapter is loaded.

        :param key: the adapter
        :return: its version; 0 for a base model
        """
        slot = self._slots.get(key)
        return 0 if slot is None else slot.version

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

    def available(self, queued_by_adapter: Mapping[AdapterKey, int]) -> int:
        """Count the slots that further adapters could have at once.

        :param queued_by_adapter: how many requests wait for each adapter
        :return: the slots that are empty or hold an idle adapter
        """
        free = self.capacity - self._occupied_slots()
        return max(
            0, free + sum(1 for _ in self._idle_adapters(queued_by_adapter))
        )

    def can_load_one_more(
        self,
        waiting: int,
        queued_by_adapter: Mapping[AdapterKey, int],
        *,
        now_seconds: float,
    ) -> bool:
        """Check whether one more adapter could be loaded now.

        :param waiting: how many adapters wait for a slot already
        :param queued_by_adapter: how many requests wait for each adapter
        :param now_seconds: reading of the process clock
        :return: whether a slot is left and the limit of loads isn't reached
        """
        if (
            self.loading(now_seconds=now_seconds)
            >= load_times.MAX_CONCURRENT_LOADS
        ):
            return False
        return self.available(queued_by_adapter) > waiting

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

    def has_overdue_load(self, *, now_seconds: float) -> bool:
        """Check for a load that should have finished and is unconfirmed.

        :param now_seconds: reading of the process clock
        :return: whether to ask the engine for a report
        """
        return any(
            not slot.confirmed
            and now_seconds - slot.ready_at_seconds > LOAD_OVERDUE_SECONDS
            for slot in self._slots.values()
        )

    def loading(self, *, now_seconds: float) -> int:
        """Count the loads in progress.

        :param now_seconds: reading of the process clock
        :return: a count
        """
        return sum(
            slot.is_loading(now_seconds=now_seconds)
            for slot in self._slots.values()
        )

    def load_ends_at_seconds(self, *, now_seconds: float) -> tuple[float, ...]:
        """List when the loads in progress should end.

        :param now_seconds: reading of the process clock
        :return: later readings of the process clock
        """
        return tuple(
            slot.ready_at_seconds
            for slot in self._slots.values()
            if slot.is_loading(now_seconds=now_seconds)
        )

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

    def due_times(self, *, now_seconds: float) -> Iterator[float]:
        """List the times at which a load or a delay should be over.

        :param now_seconds: reading of the process clock
        :return: later readings of the process clock
        """
        expected = itertools.chain(
            self._models.values(),
            (slot.ready_at_seconds for slot in self._slots.values()),
            (self._next_order_at_seconds,),
        )
        return (due for due in expected if due > now_seconds)

    def _occupied_slots(self) -> int:
        return len(self._slots) + sum(
            slot.replaces for slot in self._slots.values()
        )

    def outdated(self) -> AdapterKey | None:
        """Find a loaded adapter of which a newer version was published.

        :return: one of them, or None
        """
        outdated = (
            key
            for key, slot in self._slots.items()
            if slot.version < self._newest_versions.get(key, 0)
            and not slot.unloading
        )
        return next(outdated, None)

    def _idle_adapters(
        self, queued_by_adapter: Mapping[AdapterKey, int]
    ) -> Iterator[AdapterKey]:
        return (
            key
            for key, slot in self._slots.items()
            if slot.confirmed
            and not slot.running_requests
            and not slot.unloading
            and not queued_by_adapter.get(key)
        )


__all__ = [
    "EngineSlots",
]
