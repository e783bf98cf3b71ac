"""Decisions of the instance that holds the right to order one endpoint."""

from __future__ import annotations

from collections.abc import Callable
import itertools
import math
from typing import Any

from boragefold.coordination.orders import dispatcher as dispatching
from boragefold.coordination.orders import evictions as evicting
from boragefold.coordination.orders import fencing as fences
from boragefold.coordination.orders import leases as leasing
from boragefold.coordination.orders import loaded_adapters
from boragefold.coordination.orders import sender as sending
from boragefold.coordination.orders import timeouts
from boragefold.policy import work
from boragefold.protocol import ids
from boragefold.protocol import order_messages as messages
from boragefold.telemetry import counters as counting

OutcomeCallback = Callable[[sending.Order, sending.Outcome], None]


class EndpointOrders:
    """Grants adapter leases and sends orders for one endpoint.

    It is created when this instance gains the right and dropped when it loses
    it. It grants and sends nothing until the last order of the previous holder
    must have arrived: a late eviction would interrupt requests that this
    instance allowed.
    """

    def __init__(
        self,
        *,
        endpoint: str,
        fencing: fences.FencingNumbers | None,
        eviction_numbers: itertools.count[int],
        is_holder: Callable[[], bool],
        now_seconds: Callable[[], float],
        sender: sending.OrderSender,
        send: Callable[[ids.InstanceId, Any], None],
        on_outcome: OutcomeCallback,
        counters: counting.Counters,
    ) -> None:
        """Create the state of a newly gained right.

        :param endpoint: name of the endpoint
        :param fencing: fencing numbers, or None if the endpoint does not
            check them
        :param eviction_numbers: unique within this process
        :param is_holder: returns whether this instance holds the right now
        :param now_seconds: returns the current time
        :param sender: sends orders to the endpoint
        :param send: sends a message to an instance
        :param on_outcome: called with the outcome of every accepted order
        :param counters: counts orders and refusals
        """
        self._endpoint = endpoint
        self._is_holder = is_holder
        self._now_seconds = now_seconds
        self._on_outcome = on_outcome
        self._counters = counters
        self._ready_at_seconds = (
            now_seconds()
            + timeouts.ORDER_TIMEOUT_SECONDS
            + timeouts.CLOCK_DRIFT_SECONDS
        )
        self._loaded_adapters = loaded_adapters.LoadedAdapters(
            not_before_seconds=self._ready_at_seconds
        )
        self._leases = leasing.Leases(gained_at_seconds=now_seconds())
        self._evictions = evicting.Evictions(
            endpoint=endpoint,
            leases=self._leases,
            eviction_numbers=eviction_numbers,
            now_seconds=now_seconds,
            send=send,
        )
        self._dispatcher = dispatching.Dispatcher(
            fencing=fencing,
            ready=self._ready,
            sender=sender,
            on_start=self._mark_in_flight,
            on_outcome=self._handle_outcome,
            counters=counters,
        )

    @property
    def ready(self) -> bool:
        """Tell whether orders may be sent and leases granted now.

        :return: whether both are allowed
        """
        return self._ready()

    @property
    def loaded(self) -> frozenset[messages.Weights]:
        """List the adapter versions that requests may use.

        :return: adapter versions, none before the first valid report
        """
        return self._loaded_adapters.loaded

    def request_lease(
        self, requester: ids.InstanceId, weights: messages.Weights
    ) -> str:
        """Grant or refuse a lease on an adapter version.

        :param requester: instance of any data centre that requests the lease
        :param weights: adapter version that it wants to use
        :return: reason for the refusal, empty if the lease was granted
        """
        if not self._ready():
            return "not_ready"
        if weights in self._evictions:
            return "evicting"
        if weights not in self._loaded_adapters.loaded:
            return "not_loaded"
        self._leases.grant(weights, requester, now_seconds=self._now_seconds())
        return ""

    def record_stopped(
        self, instance: ids.InstanceId, stopped: messages.UseStopped
    ) -> None:
        """Record that an instance has no more requests in flight.

        :param instance: instance that sent the message
        :param stopped: message, ignored if it answers an earlier eviction
        """
        self._evictions.record_stopped(instance, stopped)
        self._evict_unused()

    def apply_report(
        self,
        *,
        incarnation: str,
        running: dict[work.AdapterVersion, int],
        sampled_seconds: float,
    ) -> None:
        """Apply a report of the endpoint.

        :param incarnation: identifies the engine's process
        :param running: number of running requests by loaded adapter version
        :param sampled_seconds: time of the sample, or an earlier time
        """
        loaded = frozenset(messages.Weights(*each) for each in running)
        restarted = self._loaded_adapters.apply_report(
            incarnation=incarnation,
            loaded=loaded,
            sampled_seconds=sampled_seconds,
        )
        if restarted:
            self._counters.add("endpoint_restarts", "seen")
            self._cancel_all()
        idle = [adapter for adapter, count in running.items() if not count]
        for adapter in idle:
            self._leases.record_idle(
                messages.Weights(*adapter), sampled_seconds=sampled_seconds
            )
        self._evict_unused()

    def load(
        self, adapter: work.AdapterVersion
    ) -> sending.Accepted | sending.Refused:
        """Order the endpoint to load an adapter version.

        :param adapter: adapter version to load
        :return: whether the order was accepted
        """
        weights = messages.Weights(*adapter)
        if weights in self._loaded_adapters.loaded:
            return self._refuse("already_loaded")
        return self._accept(
            sending.Order(
                endpoint=self._endpoint, kind="load", adapter=adapter
            )
        )

    def set_role(self, role: str) -> sending.Accepted | sending.Refused:
        """Order the endpoint to change its role.

        :param role: name of the new role
        :return: whether the order was accepted
        """
        return self._accept(
            sending.Order(endpoint=self._endpoint, kind="role", role=role)
        )

    def evict(
        self, adapter: work.AdapterVersion
    ) -> sending.Accepted | sending.Refused:
        """Stop all use of an adapter version, then order its eviction.

        :param adapter: adapter version to evict
        :return: whether the eviction was accepted
        """
        weights = messages.Weights(*adapter)
        if not self._ready():
            return self._refuse("not_ready")
        if weights not in self._loaded_adapters.loaded:
            return self._refuse("not_loaded")
        self._evictions.begin(weights)
        self._evictions.send_stop_requests()
        self._evict_unused()
        return sending.Accepted()

    def cancel_eviction(self, adapter: work.AdapterVersion) -> bool:
        """Cancel an eviction whose order is not queued yet.

        :param adapter: adapter version that was to be evicted
        :return: whether an eviction was cancelled
        """
        return self._evictions.cancel(messages.Weights(*adapter))

    def tick(self) -> None:
        """Expire leases, repeat stop requests and send what is due."""
        self._leases.expire(self._now_seconds())
        self._evictions.send_stop_requests()
        self._evict_unused()
        self._dispatcher.send_next()

    def _ready(self) -> bool:
        return (
            self._loaded_adapters.has_report
            and self._now_seconds() >= self._ready_at_seconds
            and self._is_holder()
        )

    def _evict_unused(self) -> None:
        if not self._ready():
            return
        for weights in self._evictions.pop_unused():
            # No lease is granted while the order is queued or in flight.
            self._loaded_adapters.record_order(
                weights, loaded=False, effective_at_seconds=self._now_seconds()
            )
            self._accept(
                sending.Order(
                    endpoint=self._endpoint,
                    kind="evict",
                    adapter=work.AdapterVersion(*weights),
                )
            )

    def _accept(
        self, order: sending.Order
    ) -> sending.Accepted | sending.Refused:
        if not self._ready():
            return self._refuse("not_ready")
        if not self._dispatcher.put(order):
            return self._refuse("already_ordered")
        return sending.Accepted()

    def _refuse(self, reason: str) -> sending.Refused:
        self._counters.add("orders_refused", reason)
        return sending.Refused(reason=reason)

    def _handle_outcome(
        self, order: sending.Order, outcome: sending.Outcome
    ) -> None:
        self._record_outcome(order, outcome)
        self._on_outcome(order, outcome)

    def _record_outcome(
        self, order: sending.Order, outcome: sending.Outcome
    ) -> None:
        if order.adapter is None:
            return
        # After an unknown outcome the order may still take effect for a while.
        effective_at_seconds = self._now_seconds()
        if isinstance(outcome, sending.NoAnswer):
            effective_at_seconds += timeouts.ORDER_TIMEOUT_SECONDS
        done = isinstance(outcome, sending.Done)
        self._loaded_adapters.record_order(
            messages.Weights(*order.adapter),
            loaded=done and order.kind == "load",
            effective_at_seconds=effective_at_seconds,
        )

    def _mark_in_flight(self, order: sending.Order) -> None:
        if order.adapter is not None:
            # The order may take effect at any time until its outcome is known.
            self._loaded_adapters.record_order(
                messages.Weights(*order.adapter),
                loaded=False,
                effective_at_seconds=math.inf,
            )

    def _cancel_all(self) -> None:
        """Cancel all evictions and orders after a restart of the engine."""
        self._evictions.clear()
        cancelled = self._dispatcher.clear()
        if cancelled:
            # The order in flight may still reach the new engine process.
            self._ready_at_seconds = (
                self._now_seconds()
                + timeouts.ORDER_TIMEOUT_SECONDS
                + timeouts.CLOCK_DRIFT_SECONDS
            )
        for order in cancelled:
            self._on_outcome(order, sending.NoAnswer(reason="restarted"))


__all__ = [
    "EndpointOrders",
    "OutcomeCallback",
]
