"""Fencing numbers that increase without stored state."""

from __future__ import annotations

import boragefold.coordination.rights as membership

# Together with an epoch in milliseconds these fit into 63 bits. On overflow
# the endpoint refuses a number and the holder continues above the one it saw.
VIEWS_PER_EPOCH = 1 << 10
ORDERS_PER_VIEW = 1 << 10


class FencingNumbers:
    """Numbers above those of all earlier views of the data centre."""

    def __init__(self, *, view: membership.View) -> None:
        """Start at the first number of a view.

        :param view: view in which this instance gained the right
        """
        view_sequence = view.epoch * VIEWS_PER_EPOCH + view.number
        self._next = view_sequence * ORDERS_PER_VIEW

    def next_number(self) -> int:
        """Return the next number.

        :return: number higher than all earlier ones
        """
        self._next += 1
        return self._next

    def advance_past(self, highest: int) -> None:
        """Continue above a number that the endpoint has seen.

        Only the current holder may do so: a previous holder that went above
        its successor's numbers would have the successor's orders refused.

        :param highest: highest number that the endpoint has seen
        """
        self._next = max(self._next, highest)


__all__ = [
    "FencingNumbers",
]
