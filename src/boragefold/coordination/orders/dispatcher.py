"""Sends one endpoint's orders, one after the other."""

from __future__ import annotations

import collections
from collections.abc import Callable
import dataclasses

from boragefold.coordination.orders import fencing as fences
from boragefold.coordination.orders import sender as sending
from boragefold.telemetry import counters as counting


class Dispatcher:
    """A queue of orders of which at most one is under way.

    One at a time, because a later order with a higher number that overtook an
    earlier one would have it refused.
    """

    def __init__(
        self,
        *,
        fencing: fences.Fencing | None,
        ready: Callable[[], bool],
        sender: sending.OrderSender,
        started: Callable[[sending.Order], None],
        ended: Callable[[sending.Order, sending.Outcome], None],
        counters: counting.Counters,
    ) -> None:
        """Start with an empty queue.

        :param fencing: numbers, or None where the endpoint ignores them
        :param ready: tells whether orders may be sent at this moment
        :param sender: carries them
        :param started: told before an order is sent
        :param ended: told its outcome
        :param counters: where orders are counted
        """
        self._fencing = fencing
        self._ready = ready
        self._sender = sender
        self._started = started
        self._ended = ended
        self._counters = counters
        self._queue: collections.deque[sending.Order] = collections.deque()
        self._under_way: sending.Order | None = None

    def put(self, order: sending.Order) -> bool:
        """Add an order, and send it when its turn has come.

        :param order: without a fencing number
        :return: False if the same order waits or is under way already
        """
        if order in self._queue or order == self._under_way:
            return False
        self._queue.append(order)
        self.send_next()
        return True

    def send_next(self) -> None:
        """Send the next order, if none is under way."""
        if self._under_way is None and self._queue and self._ready():
            self._transmit(self._queue.popleft())

    def void(self) -> list[sending.Order]:
        """Forget every order.

        :return: the one under way first; its outcome will be ignored
        """
        voided = [*self._queue]
        if self._under_way is not None:
            voided.insert(0, self._under_way)
        self._queue.clear()
        self._under_way = None
        return voided

    def _transmit(self, order: sending.Order) -> None:
        self._under_way = order
        self._started(order)
        numbered = order
        if self._fencing is not None:
            numbered = dataclasses.replace(order, fencing=self._fencing.take())
        self._counters.add("orders_sent", order.kind)
        self._sender.send(
            numbered,
            still_ours=lambda: self._under_way is order and self._ready(),
            finished=lambda outcome: self._outcome(order, outcome),
        )

    def _outcome(self, order: sending.Order, outcome: sending.Outcome) -> None:
        if self._under_way is not order:
            return
        if isinstance(outcome, sending.Outdated) and self._fencing:
            self._counters.add("orders_outdated", order.kind)
            # A former holder must not use up its successor's numbers.
            if self._ready():
                self._fencing.learn(outcome.highest)
                self._transmit(order)
                return
        self._under_way = None
        self._ended(order, outcome)
        self.send_next()


__all__ = [
    "Dispatcher",
]
