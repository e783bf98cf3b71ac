"""The weight store's limits, as placement asks for them."""

from __future__ import annotations

import collections

from boragefold.coordination import load_budget
from boragefold.policy import loads


class StoreBudget(loads.LoadBudget):
    """Hands placement the loads that the fleet's limits leave to us."""

    def __init__(self, *, budget: load_budget.LoadBudget) -> None:
        self._budget = budget
        self._running: collections.deque[load_budget.Load] = (
            collections.deque()
        )

    def try_take(self, *, now_seconds: float) -> bool:
        """Take the right to begin one load.

        :param now_seconds: unused; the budget has the process clock
        :return: whether it was there
        """
        taken = self._budget.try_take()
        if not isinstance(taken, load_budget.Load):
            return False
        self._running.append(taken)
        return True

    def ended(self, *, now_seconds: float) -> None:
        """Give back the oldest running load's place.

        Places are alike, so it doesn't matter which load ended.

        :param now_seconds: unused
        """
        self._budget.finished(self._running.popleft())


__all__ = [
    "StoreBudget",
]
