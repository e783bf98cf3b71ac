"""Everything that the holder of one endpoint's orders decides."""

from __future__ import annotations

from collections.abc import Callable
import itertools
import math
from typing import Any

from boragefold.coordination.orders import dispatcher as dispatching
from boragefold.coordination.orders import evictions as evicting
from boragefold.coordination.orders import fencing as fences
from boragefold.coordination.orders import leases as leasing
from boragefold.coordination.orders import sender as sending
from boragefold.coordination.orders import slots as slotting
from boragefold.coordination.orders import times
from boragefold.policy import work
from boragefold.protocol import ids
from boragefold.protocol import order_messages as messages
from boragefold.telemetry import counters as counting

Finished = Callable[[sending.Order, sending.Outcome], None]


class Desk:
    """Gives leases of use and orders for one endpoint.

    It begins when the right is gained and is thrown away when it is lost.
    Until the last order of a former holder has surely arrived, it gives
    neither: an eviction still on its way would hit a use that we allowed.
    """

    def __init__(
        self,
        *,
        endpoint: str,
        fencing: fences.Fencing | None,
        numbers: itertools.count[int],
        holds: Callable[[], bool],
        now_seconds: Callable[[], float],
        sender: sending.OrderSender,
        send: Callable[[ids.InstanceId, Any], None],
        finished: Finished,
        counters: counting.Counters,
    ) -> None:
        """Begin to hold the right.

        :param endpoint: its name
        :param fencing: numbers, or None where the endpoint ignores them
        :param numbers: of evictions, never used twice by this process
        :param holds: tells whether the right is ours at this moment
        :param now_seconds: the clock
        :param sender: carries orders
        :param send: sends a message to an instance
        :param finished: told about every accepted order
        :param counters: where orders and refusals are counted
        """
        self._endpoint = endpoint
        self._holds = holds
        self._now_seconds = now_seconds
        self._finished = finished
        self._counters = counters
        self._ready_at_seconds = (
            now_seconds() + times.ORDER_SECONDS + times.MARGIN_SECONDS
        )
        self._slots = slotting.Slots(not_before_seconds=self._ready_at_seconds)
        self._leases = leasing.Leases(since_seconds=now_seconds())
        self._evictions = evicting.Evictions(
            endpoint=endpoint,
            leases=self._leases,
            numbers=numbers,
            now_seconds=now_seconds,
            send=send,
        )
        self._dispatcher = dispatching.Dispatcher(
            fencing=fencing,
            ready=self._ready,
            sender=sender,
            started=self._started,
            ended=self._ended,
            counters=counters,
        )

    @property
    def ready(self) -> bool:
        """Tell whether orders and leases may be given at this moment.

        :return: whether they may
        """
        return self._ready()

    @property
    def loaded(self) -> frozenset[messages.Weights]:
        """List what the endpoint holds.

        :return: adapter versions, none before the first report that counts
        """
        return self._slots.loaded

    def ask_use(self, asker: ids.InstanceId, weights: messages.Weights) -> str:
        """Give or refuse a lease.

        :param asker: an instance of any data centre
        :param weights: what it wants to use
        :return: why not; empty when the lease was given
        """
        if not self._ready():
            return "not_ready"
        if weights in self._evictions:
            return "evicting"
        if weights not in self._slots.loaded:
            return "not_loaded"
        self._leases.give(weights, asker, now_seconds=self._now_seconds())
        return ""

    def use_stopped(
        self, instance: ids.InstanceId, stopped: messages.UseStopped
    ) -> None:
        """Note that an instance has nothing in flight any more.

        :param instance: which
        :param stopped: its message; that of an earlier eviction is ignored
        """
        self._evictions.stopped(instance, stopped)
        self._evict_unused()

    def report(
        self,
        *,
        incarnation: str,
        running: dict[work.AdapterVersion, int],
        sampled_seconds: float,
    ) -> None:
        """Take in an endpoint's report.

        :param incarnation: of the engine's process
        :param running: what it holds, and how many requests run on each
        :param sampled_seconds: no later than the moment it was counted
        """
        loaded = frozenset(messages.Weights(*each) for each in running)
        restarted = self._slots.report(
            incarnation=incarnation,
            loaded=loaded,
            sampled_seconds=sampled_seconds,
        )
        if restarted:
            self._counters.add("endpoint_restarts", "seen")
            self._void()
        idle = [adapter for adapter, count in running.items() if not count]
        for adapter in idle:
            self._leases.idle(
                messages.Weights(*adapter), sampled_seconds=sampled_seconds
            )
        self._evict_unused()

    def load(
        self, adapter: work.AdapterVersion
    ) -> sending.Accepted | sending.Refused:
        """Order an adapter version to be loaded.

        :param adapter: which
        :return: whether the order will be sent
        """
        weights = messages.Weights(*adapter)
        if weights in self._slots.loaded:
            return self._refuse("already_loaded")
        return self._accept(
            sending.Order(
                endpoint=self._endpoint, kind="load", adapter=adapter
            )
        )

    def set_role(self, role: str) -> sending.Accepted | sending.Refused:
        """Order another role.

        :param role: its name
        :return: whether the order will be sent
        """
        return self._accept(
            sending.Order(endpoint=self._endpoint, kind="role", role=role)
        )

    def evict(
        self, adapter: work.AdapterVersion
    ) -> sending.Accepted | sending.Refused:
        """Stop all use of an adapter version, then order its eviction.

        :param adapter: which
        :return: whether that has begun
        """
        weights = messages.Weights(*adapter)
        if not self._ready():
            return self._refuse("not_ready")
        if weights not in self._slots.loaded:
            return self._refuse("not_loaded")
        self._evictions.begin(weights)
        self._evictions.ask()
        self._evict_unused()
        return sending.Accepted()

    def cancel_eviction(self, adapter: work.AdapterVersion) -> bool:
        """Allow use again, if the order has not been queued yet.

        :param adapter: which
        :return: whether the eviction was cancelled
        """
        return self._evictions.cancel(messages.Weights(*adapter))

    def tick(self) -> None:
        """Repeat questions, and let time end what it ends."""
        self._leases.forget_old(self._now_seconds())
        self._evictions.ask()
        self._evict_unused()
        self._dispatcher.send_next()

    def _ready(self) -> bool:
        return (
            self._slots.known
            and self._now_seconds() >= self._ready_at_seconds
            and self._holds()
        )

    def _evict_unused(self) -> None:
        if not self._ready():
            return
        for weights in self._evictions.take_unused():
            # Nobody gets a lease while the order waits or is under way.
            self._slots.changed(
                weights, loaded=False, now_seconds=self._now_seconds()
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

    def _ended(self, order: sending.Order, outcome: sending.Outcome) -> None:
        self._settle(order, outcome)
        self._finished(order, outcome)

    def _settle(self, order: sending.Order, outcome: sending.Outcome) -> None:
        if order.adapter is None:
            return
        # An order with unknown outcome may still be carried out for a while.
        known_seconds = self._now_seconds()
        if isinstance(outcome, sending.NoAnswer):
            known_seconds += times.ORDER_SECONDS
        done = isinstance(outcome, sending.Done)
        self._slots.changed(
            messages.Weights(*order.adapter),
            loaded=done and order.kind == "load",
            now_seconds=known_seconds,
        )

    def _started(self, order: sending.Order) -> None:
        if order.adapter is not None:
            # The order may still be carried out at any moment.
            self._slots.changed(
                messages.Weights(*order.adapter),
                loaded=False,
                now_seconds=math.inf,
            )

    def _void(self) -> None:
        """Forget what was meant for the engine that is gone."""
        self._evictions.clear()
        voided = self._dispatcher.void()
        if voided:
            # The order under way may still reach the new engine.
            self._ready_at_seconds = (
                self._now_seconds()
                + times.ORDER_SECONDS
                + times.MARGIN_SECONDS
            )
        for order in voided:
            self._finished(order, sending.NoAnswer(reason="restarted"))


__all__ = [
    "Desk",
    "Finished",
]
