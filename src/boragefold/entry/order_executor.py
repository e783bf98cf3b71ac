"""Interface for carrying out the orders that placement decides on."""

from __future__ import annotations

import abc

from boragefold.policy import actions


class OrderExecutor(abc.ABC):
    """Carries out the orders that placement decides on."""

    @abc.abstractmethod
    def order(self, order: actions.OrderLoad) -> None:
        """Load an adapter, evicting another first where one is named.

        :param order: what to load, and where
        """

    @abc.abstractmethod
    def drain(self, drain: actions.Drain) -> None:
        """Have every instance stop using an adapter on an endpoint.

        :param drain: the adapter and the endpoint
        """


__all__ = [
    "OrderExecutor",
]
