"""The models and adapters of one engine, and the slots they occupy."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
import itertools

from boragefold.policy import adapter_slot
from boragefold.policy import load_times
from boragefold.policy import popularity
from boragefold.policy import slot_forecast
from boragefold.state import deployment

AdapterKey = deployment.AdapterKey

# When a load is this late, it may have failed: the engine is asked to report.
LOAD_OVERDUE_SECONDS = 0.1


class SlotTable:
    """What an engine has loaded and loads, as far as it is known."""

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

    def _occupied_slots(self) -> int:
        return len(self._slots) + sum(
            slot.replaces for slot in self._slots.values()
        )

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
    "AdapterKey",
    "LOAD_OVERDUE_SECONDS",
    "SlotTable",
]
