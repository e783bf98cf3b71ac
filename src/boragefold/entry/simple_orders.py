"""A first way of orders: each right's holder orders, and spends its part."""

from __future__ import annotations

from boragefold.entry import desk as desks
from boragefold.entry import engine_orders
from boragefold.entry import load_reports
from boragefold.entry import work_digests
from boragefold.policy import actions
from boragefold.policy import fleet_events
from boragefold.policy import placement
from boragefold.state import catalogue as catalogues
from boragefold.timing import timers as timing


class PartBudget(placement.LoadBudget):
    """A fixed part of the store's limits."""

    def __init__(
        self, *, catalogue: catalogues.Catalogue, instances: int
    ) -> None:
        self._catalogue = catalogue
        self._instances = instances
        self._level = 1.0
        self._at_seconds = 0.0
        self._in_flight = 0

    def try_take(self, *, now_seconds: float) -> bool:
        """Take the right to begin one load.

        :param now_seconds: reading of the process clock
        :return: whether it was there
        """
        store = self._catalogue.store()
        if store is None:
            return False
        rate = store["loads_per_second"] / self._instances
        elapsed = now_seconds - self._at_seconds
        self._level = min(1.0, self._level + rate * elapsed)
        self._at_seconds = now_seconds
        limit = max(1, store["loads_in_flight"] // self._instances)
        if self._level < 1.0 or self._in_flight >= limit:
            return False
        self._level -= 1.0
        self._in_flight += 1
        return True

    def ended(self, *, now_seconds: float) -> None:
        """Give back the in-flight part of one load.

        :param now_seconds: reading of the process clock
        """
        self._in_flight -= 1


class SimpleOrderer(desks.Orderer):
    """Orders loads; evicts only what no request of ours uses."""

    def __init__(
        self,
        *,
        orders: engine_orders.EngineOrders,
        reports: load_reports.LoadReports,
        events: fleet_events.FleetEvents,
        digests: work_digests.WorkDigests,
        timers: timing.TimerService,
        desk: desks.Desk,
    ) -> None:
        self._orders = orders
        self._reports = reports
        self._events = events
        self._digests = digests
        self._timers = timers
        self._desk = desk

    def order(self, order: actions.Order) -> None:
        """Send the order.

        :param order: what and where
        """
        load = order.load
        address = self._reports.address_of(load.endpoint)

        def done(result: engine_orders.Result) -> None:
            now_seconds = self._timers.now_seconds()
            if isinstance(result, engine_orders.OrderDone):
                self._events.load_ended(load, now_seconds=now_seconds)
                self._digests.tell_loaded(load.endpoint, load.adapter)
            else:
                self._events.load_failed(load, now_seconds=now_seconds)
            self._desk.run()

        if load.evict is not None:
            self._events.stop_using(
                load.endpoint,
                load.evict,
                now_seconds=self._timers.now_seconds(),
            )
        self._orders.load(
            address=address or "",
            adapter=load.adapter,
            evict=load.evict,
            fencing=1,
            done=done,
        )

    def drain(self, drain: actions.Drain) -> None:
        """Do nothing yet.

        :param drain: which
        """


__all__ = [
    "PartBudget",
    "SimpleOrderer",
]
