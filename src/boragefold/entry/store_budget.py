"""Adapts the limits of the weight store to the interface of placement."""

from __future__ import annotations

import collections

from boragefold.coordination import load_budget
from boragefold.policy import loads


class StoreBudget(loads.LoadBudget):
    """Grants placement this instance's share of the fleet's load limits."""

    def __init__(self, *, budget: load_budget.LoadBudget) -> None:
        self._budget = budget
        self._running: collections.deque[load_budget.Load] = (
            collections.deque()
        )

    def try_acquire(self, *, now_seconds: float) -> bool:
        """Reserve the right to start one load.

        :param now_seconds: unused; the budget has the process clock
        :return: whether it was available
        """
        reservation = self._budget.try_acquire()
        if not isinstance(reservation, load_budget.Load):
            return False
        self._running.append(reservation)
        return True

    def release(self, *, now_seconds: float) -> None:
        """Release the reservation of the oldest running load.

        Reservations are alike, so it doesn't matter which load ended.

        :param now_seconds: unused
        """
        self._budget.release(self._running.popleft())


__all__ = [
    "StoreBudget",
]
