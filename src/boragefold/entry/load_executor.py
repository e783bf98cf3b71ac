"""Carries out the loads that placement decides on, with their evictions."""

from __future__ import annotations

from collections.abc import Callable

from boragefold.coordination.orders import endpoint_orders
from boragefold.coordination.orders import sender as sending
from boragefold.coordination.orders import service as order_service
from boragefold.entry import order_executor
from boragefold.policy import actions
from boragefold.policy import fleet_events
from boragefold.policy import loads
from boragefold.policy import work as works
from boragefold.telemetry import counters as telemetry
from boragefold.timing import timers as timing

# Longer than most responses take, shorter than callers wait.
EVICTION_TIMEOUT_SECONDS = 5.0


class LoadExecutor(order_executor.OrderExecutor):
    """Tracks each load through its eviction and its load order."""

    def __init__(
        self,
        *,
        orders: Callable[[], order_service.OrderService],
        events: fleet_events.FleetEvents,
        timers: timing.TimerService,
        counters: telemetry.Counters,
        on_loaded: Callable[[str, works.AdapterVersion], None],
        on_changed: Callable[[], None],
    ) -> None:
        self._orders = orders
        self._events = events
        self._timers = timers
        self._counters = counters
        self._on_loaded = on_loaded
        self._on_changed = on_changed
        self._evicting: dict[tuple[str, works.AdapterVersion], loads.Load] = {}
        self._loading: dict[tuple[str, works.AdapterVersion], loads.Load] = {}

    def order(self, order: actions.OrderLoad) -> None:
        """Start a load, with the eviction that it needs.

        :param order: what to load, and where
        """
        load = order.load
        held = self._orders().held_endpoint(load.endpoint)
        if held is None:
            self._schedule_failure(load, "not_holder")
        elif load.evict is None:
            self._start_load(held, load)
        else:
            self._start_eviction(held, load, load.evict)

    def drain(self, drain: actions.Drain) -> None:
        """Evict an adapter as soon as no request uses it.

        :param drain: the adapter and the endpoint
        """
        held = self._orders().held_endpoint(drain.drain.endpoint)
        if held is not None:
            held.evict(drain.drain.adapter)

    def on_order_finished(
        self, order: sending.Order, outcome: sending.Outcome
    ) -> None:
        """Process the outcome of an order.

        :param order: the order
        :param outcome: the endpoint's response, or why there is none
        """
        if order.adapter is None:
            return
        key = (order.endpoint, order.adapter)
        done = isinstance(outcome, sending.Done)
        if order.kind == "evict" and key in self._evicting:
            self._on_evicted(self._evicting.pop(key), done)
        elif order.kind == "load" and key in self._loading:
            self._on_load_outcome(self._loading.pop(key), outcome)

    def _start_eviction(
        self,
        held: endpoint_orders.EndpointOrders,
        load: loads.Load,
        evict: works.AdapterVersion,
    ) -> None:
        key = (load.endpoint, evict)
        self._evicting[key] = load
        answer = held.evict(evict)
        if isinstance(answer, sending.Refused):
            self._evicting.pop(key, None)
            if answer.reason == "not_loaded":
                self._start_load(held, load)
            else:
                self._schedule_failure(load, answer.reason)
            return
        self._timers.once(
            delay_seconds=EVICTION_TIMEOUT_SECONDS,
            callback=lambda: self._cancel_eviction(load, evict),
        )

    def _on_evicted(self, load: loads.Load, done: bool) -> None:
        held = self._orders().held_endpoint(load.endpoint)
        if done and held is not None:
            self._start_load(held, load)
        else:
            self._schedule_failure(load, "eviction_failed")

    def _cancel_eviction(
        self, load: loads.Load, evict: works.AdapterVersion
    ) -> None:
        key = (load.endpoint, evict)
        if self._evicting.get(key) is not load:
            return
        held = self._orders().held_endpoint(load.endpoint)
        if held is not None and not held.cancel_eviction(evict):
            return
        del self._evicting[key]
        self._events.loaded(
            load.endpoint, evict, now_seconds=self._timers.now_seconds()
        )
        self._schedule_failure(load, "eviction_timeout")

    def _start_load(
        self, held: endpoint_orders.EndpointOrders, load: loads.Load
    ) -> None:
        key = (load.endpoint, load.adapter)
        self._loading[key] = load
        answer = held.load(load.adapter)
        if isinstance(answer, sending.Refused):
            self._loading.pop(key, None)
            self._schedule_failure(load, answer.reason)

    def _on_load_outcome(
        self, load: loads.Load, outcome: sending.Outcome
    ) -> None:
        if not isinstance(outcome, sending.Done):
            self._schedule_failure(
                load, getattr(outcome, "reason", outcome.tag)
            )
            return
        self._events.load_succeeded(
            load, now_seconds=self._timers.now_seconds()
        )
        self._on_loaded(load.endpoint, load.adapter)
        self._on_changed()

    def _schedule_failure(self, load: loads.Load, reason: str) -> None:
        # Deferred: the caller may be in the middle of giving orders.
        self._counters.add("loads_failed", reason)
        self._timers.once(
            delay_seconds=0.0, callback=lambda: self._report_failure(load)
        )

    def _report_failure(self, load: loads.Load) -> None:
        self._events.load_failed(load, now_seconds=self._timers.now_seconds())
        self._on_changed()


__all__ = [
    "LoadExecutor",
]
