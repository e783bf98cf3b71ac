"""Orders that had no answer, and may have been accepted."""

from __future__ import annotations

import math
from typing import NamedTuple

# An order without an answer may still arrive for so long, and counts as ours
# in reports. Later a rise of the count is another giver's.
DOUBT_SECONDS = 1.0


class Doubt(NamedTuple):
    """An order that had no answer, and when it was sent."""

    order: str
    sent_at_seconds: float


class DoubtedOrders:
    """What one giver's orders in doubt explain, and may still do."""

    def __init__(self) -> None:
        self._doubts: tuple[Doubt, ...] = ()
        self._began_at_seconds = -math.inf

    def __len__(self) -> int:
        return len(self._doubts)

    def begin_turn(self) -> None:
        """Explain no rise of the count by an order of a former turn.

        Another may have owned the engine since. Whoever put its order down to
        one of ours that was lost would give the next one between its.
        """
        self._doubts = ()

    def add(
        self, doubt: Doubt, *, of_this_turn: bool, now_seconds: float
    ) -> None:
        """Note that an order had no answer.

        :param doubt: the order
        :param of_this_turn: whether its turn hasn't ended since
        :param now_seconds: reading of a clock that counts suspension
        """
        self._began_at_seconds = now_seconds
        if of_this_turn:
            self._doubts = (*self._doubts, doubt)

    def may_arrive(self, *, now_seconds: float) -> bool:
        """Tell whether an order may still arrive.

        Given once more and counted, an order whose first copy comes late would
        be answered without a look at the count: with the fencing number of
        then, below those used since.

        :param now_seconds: reading of a clock that counts suspension
        :return: whether no other may be given
        """
        return now_seconds - self._began_at_seconds < DOUBT_SECONDS

    def forget_late(self, *, now_seconds: float) -> None:
        """Forget what would have arrived by now.

        :param now_seconds: reading of a clock that counts suspension
        """
        if now_seconds - self._began_at_seconds > DOUBT_SECONDS:
            self._doubts = ()

    def forget(self) -> None:
        """Forget all: the engine started again, and counts anew."""
        self._doubts = ()
        self._began_at_seconds = -math.inf

    def settle(self, rise: int) -> tuple[Doubt, ...]:
        """Put a rise of the count down to the oldest orders.

        :param rise: how many orders the engine has accepted
        :return: the orders
        """
        settled, self._doubts = self._doubts[:rise], self._doubts[rise:]
        if settled and not self._doubts:
            # All have arrived.
            self._began_at_seconds = -math.inf
        return settled


__all__ = [
    "DOUBT_SECONDS",
    "Doubt",
    "DoubtedOrders",
]
