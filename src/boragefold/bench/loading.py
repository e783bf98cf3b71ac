"""Loads and evictions of the modelled fleet, ordered or by the engine."""

from __future__ import annotations

from collections.abc import Callable

from boragefold.bench import engine as engines
from boragefold.bench import ledger as ledgers
from boragefold.bench import store as stores
from boragefold.timing import timers

# How often an engine whose slots are all in use looks again.
LOOK_AGAIN_SECONDS = 0.05


class Loading:
    """Takes adapters from the store into the engines' slots."""

    def __init__(
        self,
        *,
        service: timers.TimerService,
        store: stores.Store,
        ledger: ledgers.Ledger,
    ) -> None:
        self._service = service
        self._store = store
        self._ledger = ledger
        self.broken_adapters: set[str] = set()

    def preload(self, engine: engines.Engine, adapters: list[str]) -> None:
        """Fill an engine's slots before the run.

        :param engine: the engine
        :param adapters: most popular first, as many as there are slots
        """
        for adapter in reversed(adapters):
            engine.ready[adapter] = None
            self._ledger.ready(adapter, engine.size.name, 0.0)

    def load(
        self,
        engine: engines.Engine,
        adapter: str,
        done: Callable[[bool], None],
    ) -> None:
        """Obey an order to load an adapter.

        :param engine: the engine
        :param adapter: which one
        :param done: called with whether it is ready
        """
        if not engine.begin_load(adapter):
            done(False)
            return
        incarnation = engine.incarnation

        def fetched(succeeded: bool) -> None:
            if engine.incarnation != incarnation:
                done(False)
                return
            succeeded = succeeded and adapter not in self.broken_adapters
            engine.end_load(adapter, succeeded)
            if succeeded:
                self._ledger.ready(
                    adapter, engine.size.name, self._service.now_seconds()
                )
            done(succeeded)

        self._store.load(fetched)

    def evict(self, engine: engines.Engine, adapter: str) -> None:
        """Obey an order to evict an adapter.

        :param engine: the engine
        :param adapter: which one
        """
        if engine.evict(adapter):
            self._ledger.gone(adapter)

    def load_lru(self, engine: engines.Engine, adapter: str) -> None:
        """Load what a request lacks in place of the least recently used.

        :param engine: the engine
        :param adapter: which one
        """
        if adapter in engine.loading:
            return
        if not engine.free_slots():
            self._evict_oldest(engine)
        if engine.free_slots():
            self.load(
                engine, adapter, lambda _: self._look_again(engine, adapter)
            )
            return
        self._service.once(
            delay_seconds=LOOK_AGAIN_SECONDS,
            callback=lambda: self._look_again(engine, adapter),
        )

    def _evict_oldest(self, engine: engines.Engine) -> None:
        oldest = next(
            (
                adapter
                for adapter in engine.ready
                if not engine.in_use[adapter] and not engine.wanted[adapter]
            ),
            None,
        )
        if oldest is not None:
            self.evict(engine, oldest)

    def _look_again(self, engine: engines.Engine, adapter: str) -> None:
        if engine.wanted[adapter] and adapter not in engine.ready:
            self.load_lru(engine, adapter)


__all__ = [
    "Loading",
]
