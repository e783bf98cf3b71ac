"""Fencing numbers that rise without anything being stored."""

from __future__ import annotations

import boragefold.coordination.rights as membership

# Both fit, with an epoch in milliseconds, into 63 bits. Either may overflow: a
# number refused as old is learned.
VIEWS_PER_EPOCH = 1 << 10
ORDERS_PER_VIEW = 1 << 10


class Fencing:
    """Numbers above those of every earlier view of the data centre."""

    def __init__(self, *, view: membership.View) -> None:
        """Begin with the first number of a view.

        :param view: the view that gave us the right
        """
        of_view = view.epoch * VIEWS_PER_EPOCH + view.number
        self._next = of_view * ORDERS_PER_VIEW

    def take(self) -> int:
        """Make the next number.

        :return: higher than every one before
        """
        self._next += 1
        return self._next

    def learn(self, highest: int) -> None:
        """Go on above a number that an endpoint has seen.

        Only the present holder may do so: a former one that went above its
        successor's numbers would shut the successor out.

        :param highest: the endpoint's number
        """
        self._next = max(self._next, highest)


__all__ = [
    "Fencing",
]
