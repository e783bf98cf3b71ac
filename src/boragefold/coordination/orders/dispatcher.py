"""Sends the orders of one endpoint, one at a time."""

from __future__ import annotations

import collections
from collections.abc import Callable
import dataclasses

from boragefold.coordination.orders import fencing as fences
from boragefold.coordination.orders import sender as sending
from boragefold.telemetry import counters as counting


class Dispatcher:
    """A queue of orders with at most one order in flight.

    The endpoint refuses an order with a lower fencing number than one it has
    seen, so an order must not overtake an earlier one.
    """

    def __init__(
        self,
        *,
        fencing: fences.FencingNumbers | None,
        ready: Callable[[], bool],
        sender: sending.OrderSender,
        on_start: Callable[[sending.Order], None],
        on_outcome: Callable[[sending.Order, sending.Outcome], None],
        counters: counting.Counters,
    ) -> None:
        """Create an empty queue.

        :param fencing: fencing numbers, or None if the endpoint does not
            check them
        :param ready: returns whether orders may be sent now
        :param sender: sends orders to the endpoint
        :param on_start: called with an order before it is sent
        :param on_outcome: called with an order and its outcome
        :param counters: counts orders
        """
        self._fencing = fencing
        self._ready = ready
        self._sender = sender
        self._on_start = on_start
        self._on_outcome = on_outcome
        self._counters = counters
        self._queue: collections.deque[sending.Order] = collections.deque()
        self._in_flight: sending.Order | None = None

    def put(self, order: sending.Order) -> bool:
        """Queue an order and send it if no other one is in flight.

        :param order: order without a fencing number
        :return: False if the same order is already queued or in flight
        """
        if order in self._queue or order == self._in_flight:
            return False
        self._queue.append(order)
        self.send_next()
        return True

    def send_next(self) -> None:
        """Send the next order if none is in flight."""
        if self._in_flight is None and self._queue and self._ready():
            self._transmit(self._queue.popleft())

    def clear(self) -> list[sending.Order]:
        """Drop all orders and ignore the outcome of the one in flight.

        :return: dropped orders, beginning with the one in flight
        """
        dropped = [*self._queue]
        if self._in_flight is not None:
            dropped.insert(0, self._in_flight)
        self._queue.clear()
        self._in_flight = None
        return dropped

    def _transmit(self, order: sending.Order) -> None:
        self._in_flight = order
        self._on_start(order)
        numbered = order
        if self._fencing is not None:
            numbered = dataclasses.replace(
                order, fencing=self._fencing.next_number()
            )
        self._counters.add("orders_sent", order.kind)
        self._sender.send(
            numbered,
            may_send=lambda: self._in_flight is order and self._ready(),
            on_outcome=lambda outcome: self._handle_outcome(order, outcome),
        )

    def _handle_outcome(
        self, order: sending.Order, outcome: sending.Outcome
    ) -> None:
        if self._in_flight is not order:
            return
        if isinstance(outcome, sending.Outdated) and self._fencing:
            self._counters.add("orders_outdated", order.kind)
            # A previous holder that went above its successor's numbers would
            # have the successor's orders refused.
            if self._ready():
                self._fencing.advance_past(outcome.highest)
                self._transmit(order)
                return
        self._in_flight = None
        self._on_outcome(order, outcome)
        self.send_next()


__all__ = [
    "Dispatcher",
]
