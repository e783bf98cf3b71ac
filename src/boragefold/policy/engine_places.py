"""Which adapters an engine holds, and which makes way for which.

Load pattern: a few popular adapters, and a long tail of which each is asked
for once, in front of five places. Of those that nobody uses or waits for, the
one with the fewest requests lately makes way. By the time of the last request
alone, five cold adapters in a row push every popular one out, and each is
loaded again for its next request.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import itertools

import xxhash

from boragefold.policy import adapter_places
from boragefold.policy import engine_asks
from boragefold.policy import load_times
from boragefold.policy import popularity
from boragefold.state import deployment

AdapterKey = deployment.AdapterKey

# A load that was not there when it was expected is expected again after this.
RETRY_LOAD_SECONDS = 0.06
# From then on a report is asked for: the load may have failed.
OVERDUE_SECONDS = 0.1
# An order that failed or was refused is not repeated sooner.
ORDER_PAUSE_SECONDS = 0.1


class Places:
    """The models and adapters of one engine."""

    def __init__(
        self,
        *,
        engine: deployment.Engine,
        newest: Mapping[AdapterKey, int],
        loads_elsewhere: Callable[[], int] = lambda: 0,
        engines: Callable[[], int] = lambda: 1,
        giver: int = 0,
    ) -> None:
        """Begin with nothing held.

        :param engine: what the engine can hold
        :param newest: the newest version of each adapter that has several
        :param loads_elsewhere: how many loads other engines have on the way
        :param engines: how many engines share the store
        :param giver: the number of the instance that gives the orders
        """
        self._giver = giver
        self._load_times = load_times.LoadTimes(
            loads_elsewhere=loads_elsewhere, engines=engines
        )
        self.capacity = engine.adapter_places
        self._engine = engine
        self._newest = newest
        self._models: dict[str, float] = {}
        self._places: dict[AdapterKey, adapter_places.Place] = {}
        self._popularity = popularity.Popularity()
        self._model_seconds = {
            model.name: model.load_seconds for model in engine.models
        }
        self._not_before_seconds = 0.0
        # Whether an order may be given now, and how long none can be expected:
        # right after the start, and while another instance gives them.
        self._busy = False
        self.may_order = False
        self.orders_in_seconds = 0.0

    def held(self) -> tuple[AdapterKey, ...]:
        """List the adapters that are held or on their way.

        :return: their keys
        """
        return tuple(self._places)

    def copies(self) -> tuple[AdapterKey, ...]:
        """List the adapters that could be held again quickly.

        :return: those that the engine should have copies of
        """
        return tuple(
            key
            for key in self._load_times.remembered()
            if key not in self._places
        )

    def summary(self) -> dict[str, str]:
        """Tell what each place does, for the log.

        :return: running requests by adapter; "?" marks what is not there yet,
            "-" what leaves
        """
        return {
            key.adapter: (
                f"{place.running}"
                f"{'' if place.confirmed else '?'}"
                f"{'-' if place.leaving else ''}"
            )
            for key, place in self._places.items()
        }

    def models(self) -> tuple[str, ...]:
        """List the models that are held or on their way.

        :return: their names
        """
        return tuple(self._models)

    def holds(self, key: AdapterKey) -> bool:
        """Tell whether an adapter needs no place any more.

        :param key: the adapter or model
        :return: whether it is held or on its way, in its newest version
        """
        if key.model not in self._models:
            return False
        if not key.adapter:
            return True
        place = self._places.get(key)
        return (
            place is not None
            and not place.leaving
            and place.version >= self._newest.get(key, 0)
        )

    def ready(self, key: AdapterKey, *, now_seconds: float) -> bool:
        """Tell whether a request of an adapter can run.

        :param key: the adapter or model
        :param now_seconds: reading of the process clock
        :return: whether it is there
        """
        if not self.holds(key) or self._models[key.model] > now_seconds:
            return False
        place = self._places.get(key)
        return place is None or place.ready_at_seconds <= now_seconds

    def until_ready_seconds(
        self, key: AdapterKey, *, now_seconds: float
    ) -> float:
        """Estimate when an adapter is there that gets its place now.

        :param key: the adapter or model
        :param now_seconds: reading of the process clock
        :return: seconds; 0 for what is there
        """
        if not self.holds(key):
            loading = self.loading(now_seconds=now_seconds)
            load_seconds = self._load_times.seconds(key, loading=loading)
            return load_seconds + self.orders_in_seconds
        ready_at_seconds = self._models[key.model]
        if (place := self._places.get(key)) is not None:
            ready_at_seconds = max(ready_at_seconds, place.ready_at_seconds)
        return max(0.0, ready_at_seconds - now_seconds)

    def version(self, key: AdapterKey) -> int:
        """Tell which version of an adapter is held.

        :param key: the adapter
        :return: its version; 0 for a base model
        """
        place = self._places.get(key)
        return 0 if place is None else place.version

    def enter(self, key: AdapterKey, *, now_seconds: float) -> None:
        """Note that a request of an adapter runs.

        :param key: the adapter or model
        :param now_seconds: reading of the process clock
        """
        if (place := self._places.get(key)) is not None:
            place.running += 1
        if key.adapter:
            self._popularity.note(key, now_seconds=now_seconds)

    def leave(self, key: AdapterKey, *, now_seconds: float) -> None:
        """Note that a request of an adapter has ended.

        :param key: the adapter or model
        :param now_seconds: reading of the process clock
        """
        if (place := self._places.get(key)) is not None:
            place.running = max(0, place.running - 1)

    def free(self, wanted: Mapping[AdapterKey, int]) -> int:
        """Count the places that further adapters could have at once.

        :param wanted: how many requests wait for each adapter
        :return: those that are free or idle
        """
        free = self.capacity - self._taken()
        return max(0, free + sum(1 for _ in self._idle(wanted)))

    def has_place_for(
        self,
        waiting: int,
        wanted: Mapping[AdapterKey, int],
        *,
        now_seconds: float,
    ) -> bool:
        """Tell whether one more adapter could be loaded now.

        :param waiting: adapters that wait for a place already
        :param wanted: how many requests wait for each adapter
        :param now_seconds: reading of the process clock
        :return: whether a place is left, and the engine loads few enough
        """
        if self.loading(now_seconds=now_seconds) >= load_times.MAX_LOADING:
            return False
        return self.free(wanted) > waiting

    def next_order(
        self,
        unplaced: Sequence[engine_asks.Ask],
        wanted: Mapping[AdapterKey, int],
        *,
        now_seconds: float,
        renews: bool = True,
    ) -> engine_asks.Order | None:
        """Choose the order to give now.

        :param unplaced: requests whose adapter isn't held, most urgent first
        :param wanted: how many requests wait for each adapter
        :param now_seconds: reading of the process clock
        :param renews: whether newer versions are loaded before they are asked
            for
        :return: the order; None when nothing can be ordered
        """
        if not self.may_order or now_seconds < self._not_before_seconds:
            return None
        for ask in unplaced:
            order = self._order_for(ask.needs, wanted, now_seconds)
            if order is not None:
                return order
        return self._renewal(wanted, now_seconds) if renews else None

    def ordered(
        self,
        order: engine_asks.Order,
        *,
        done: bool,
        now_seconds: float,
        count: int = 0,
    ) -> None:
        """Note that the engine accepted an order.

        :param order: which
        :param done: whether it is carried out already; an adapter that is
            still used keeps its place until its requests have ended
        :param now_seconds: reading of the process clock
        :param count: the engine's count of orders after it
        """
        key = order.key
        if isinstance(order, engine_asks.Unload):
            if done:
                self._places.pop(key, None)
            elif key in self._places:
                self._places[key].leaving = True
        elif not key.adapter:
            load_seconds = self._model_seconds.get(key.model, 0.0)
            self._models[key.model] = now_seconds + load_seconds
        else:
            load_seconds = self._load_times.seconds(
                key, loading=self.loading(now_seconds=now_seconds)
            )
            # The requests of an older version go on beside the newer one.
            before = self._places.get(key)
            self._places[key] = adapter_places.Place(
                version=order.version,
                ready_at_seconds=now_seconds + load_seconds,
                count=count,
                running=0 if before is None else before.running,
                warm=self._load_times.is_warm(key),
                replaces=before is not None,
            )
        self._load_times.remember(key)

    def order_failed(self, *, now_seconds: float) -> None:
        """Note that the engine refused an order, or gave no answer.

        :param now_seconds: reading of the process clock
        """
        self._not_before_seconds = now_seconds + ORDER_PAUSE_SECONDS

    def not_there(self, key: AdapterKey, *, now_seconds: float) -> None:
        """Note that the engine refused a request for want of its adapter.

        :param key: the adapter or model
        :param now_seconds: reading of the process clock
        """
        if (place := self._places.get(key)) is None:
            return
        delay_seconds = RETRY_LOAD_SECONDS
        if place.warm:
            # The engine had dropped its copy: this load is a cold one.
            delay_seconds = load_times.COLD_LOAD_SECONDS
        elif not place.confirmed:
            self._load_times.late()
        place.warm = place.confirmed = False
        place.ready_at_seconds = now_seconds + delay_seconds

    def confirm(self, key: AdapterKey) -> None:
        """Note that a request ran on an adapter.

        :param key: the adapter or model
        """
        if (place := self._places.get(key)) is None:
            return
        if not place.confirmed and not place.warm:
            self._load_times.in_time()
        place.confirmed = True
        place.replaces = False

    def overdue(self, *, now_seconds: float) -> bool:
        """Tell whether a load should be there and nothing has shown it.

        :param now_seconds: reading of the process clock
        :return: whether to ask the engine for a report
        """
        return any(
            not place.confirmed
            and now_seconds - place.ready_at_seconds > OVERDUE_SECONDS
            for place in self._places.values()
        )

    def loading(self, *, now_seconds: float) -> int:
        """Count the loads that are on their way.

        :param now_seconds: reading of the process clock
        :return: a count
        """
        return sum(
            not place.confirmed and place.ready_at_seconds > now_seconds
            for place in self._places.values()
        )

    def learn(
        self,
        held: Mapping[str, Mapping[str, int]],
        coming: Mapping[AdapterKey, int],
        *,
        now_seconds: float,
        busy: bool = False,
    ) -> None:
        """Take over what the engine reports that it holds.

        Only for the report whose count of orders the next order expects:
        places from another one would be too few or too many for that count.

        :param held: versions by adapter by model
        :param coming: versions of the adapters on their way
        :param now_seconds: reading of the process clock
        :param busy: whether it loads or drops a model, which it lists only
            when it is done
        """
        self._busy = busy
        self._places = adapter_places.learned(
            self._places, held, coming, now_seconds=now_seconds
        )
        self._models = {
            model: ready_at_seconds
            for model, ready_at_seconds in self._models.items()
            if busy
        } | {model: self._models.get(model, 0.0) for model in held}

    def learn_former(
        self, held: Mapping[str, Mapping[str, int]], *, count: int
    ) -> None:
        """Take over what a report shows that doesn't know of our last orders.

        :param held: versions by adapter by model
        :param count: how many orders the engine had accepted
        """
        adapter_places.confirm_former(self._places, held, count=count)

    def dues(self, *, now_seconds: float) -> Iterator[float]:
        """List when something that is on its way should be there.

        :param now_seconds: reading of the process clock
        :return: later readings of the process clock
        """
        expected = itertools.chain(
            self._models.values(),
            (place.ready_at_seconds for place in self._places.values()),
            (self._not_before_seconds,),
        )
        return (due for due in expected if due > now_seconds)

    def _order_for(
        self,
        key: AdapterKey,
        wanted: Mapping[AdapterKey, int],
        now_seconds: float,
    ) -> engine_asks.Order | None:
        if key.model not in self._models:
            return self._model_order(key.model)
        if self._models[key.model] > now_seconds or not key.adapter:
            return None
        if not self._load_times.may_load(
            key, loading=self.loading(now_seconds=now_seconds)
        ):
            return None
        place = self._places.get(key)
        if place is not None and place.leaving:
            return None
        if self._taken() < self.capacity:
            return engine_asks.Load(key, self._newest.get(key, 0))
        if place is not None and place.confirmed and not place.running:
            return engine_asks.Unload(key)
        idlest = self._least_popular(wanted, now_seconds)
        return None if idlest is None else engine_asks.Unload(idlest)

    def _taken(self) -> int:
        return len(self._places) + sum(
            place.replaces for place in self._places.values()
        )

    def _model_order(self, model: str) -> engine_asks.Order | None:
        # An engine that restarted is empty. One that holds another model has
        # no room for this one.
        # While it loads one, a second order is answered as if it were new and
        # isn't counted: two givers would use one fencing number.
        if self._busy or self._models or model not in self._model_seconds:
            return None
        return engine_asks.Load(AdapterKey(model, ""), 0)

    def outdated(self) -> AdapterKey | None:
        """Find an adapter that is held in an older version.

        :return: one of them, or None
        """
        outdated = (
            key
            for key, place in self._places.items()
            if place.version < self._newest.get(key, 0) and not place.leaving
        )
        return next(outdated, None)

    def _renewal(
        self, wanted: Mapping[AdapterKey, int], now_seconds: float
    ) -> engine_asks.Order | None:
        # A newer version of an adapter that is held: nothing of the older may
        # begin much later, so it is replaced before it is asked for.
        key = self.outdated()
        if key is None:
            return None
        return self._order_for(key, wanted, now_seconds)

    def _least_popular(
        self, wanted: Mapping[AdapterKey, int], now_seconds: float
    ) -> AdapterKey | None:
        return min(
            self._idle(wanted),
            key=lambda key: (
                self._popularity.of(key, now_seconds=now_seconds),
                self._tie_break(key),
            ),
            default=None,
        )

    def _tie_break(self, key: AdapterKey) -> int:
        # Two instances that take an engine up at once know of no popularity.
        # If both dropped the same adapter, the engine would answer the second
        # order without a look at its count.
        text = f"{self._giver}\0{key.model}\0{key.adapter}"
        return xxhash.xxh3_64_intdigest(text.encode())

    def _idle(self, wanted: Mapping[AdapterKey, int]) -> Iterator[AdapterKey]:
        return (
            key
            for key, place in self._places.items()
            if place.confirmed
            and not place.running
            and not place.leaving
            and not wanted.get(key)
        )


__all__ = [
    "Places",
]
