"""Orders that the engine did not answer, and may have accepted."""

from __future__ import annotations

import math
from typing import NamedTuple

# An unanswered order can still arrive within this time. A rise of the engine's
# order count in reports is attributed to it; a later rise is attributed to
# another instance.
LATE_ARRIVAL_SECONDS = 1.0


class UnansweredOrder(NamedTuple):
    """An order without an answer, and when it was sent."""

    order: str
    sent_at_seconds: float


class UnansweredOrders:
    """The unanswered orders of one instance to one engine."""

    def __init__(self) -> None:
        self._orders: tuple[UnansweredOrder, ...] = ()
        self._last_added_at_seconds = -math.inf

    def __len__(self) -> int:
        return len(self._orders)

    def begin_turn(self) -> None:
        """Drop the unanswered orders of earlier turns.

        Another instance may have owned the engine since. If its order were
        taken for a lost one of this instance, the next order of this instance
        would come between the other's orders.
        """
        self._orders = ()

    def add(
        self, order: UnansweredOrder, *, of_this_turn: bool, now_seconds: float
    ) -> None:
        """Record that an order had no answer.

        :param order: the order
        :param of_this_turn: whether it was sent in the current turn
        :param now_seconds: reading of a clock that counts suspension
        """
        self._last_added_at_seconds = now_seconds
        if of_this_turn:
            self._orders = (*self._orders, order)

    def may_arrive(self, *, now_seconds: float) -> bool:
        """Return whether an unanswered order may still arrive.

        If the same order were sent again and counted, the engine would answer
        a late first copy without checking the count. That answer bears the
        fencing token of the first copy, below those used since.

        :param now_seconds: reading of a clock that counts suspension
        :return: whether no other order may be sent
        """
        return now_seconds - self._last_added_at_seconds < LATE_ARRIVAL_SECONDS

    def expire(self, *, now_seconds: float) -> None:
        """Drop unanswered orders that are too old to arrive.

        :param now_seconds: reading of a clock that counts suspension
        """
        if now_seconds - self._last_added_at_seconds > LATE_ARRIVAL_SECONDS:
            self._orders = ()

    def clear(self) -> None:
        """Drop all orders after a restart of the engine reset its count."""
        self._orders = ()
        self._last_added_at_seconds = -math.inf

    def settle(self, rise: int) -> tuple[UnansweredOrder, ...]:
        """Attribute a rise of the order count to the oldest orders.

        :param rise: how many more orders the engine has accepted
        :return: the orders that count as accepted
        """
        settled, self._orders = self._orders[:rise], self._orders[rise:]
        if settled and not self._orders:
            # All unanswered orders have arrived.
            self._last_added_at_seconds = -math.inf
        return settled


__all__ = [
    "LATE_ARRIVAL_SECONDS",
    "UnansweredOrder",
    "UnansweredOrders",
]
