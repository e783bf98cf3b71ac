"""Interface of the lease that allows an owner to send an engine orders."""

from __future__ import annotations

import abc


class OrderLease(abc.ABC):
    """The right of one instance to send orders to one engine."""

    @abc.abstractmethod
    def request(self) -> None:
        """Request the lease, or its renewal, because orders are due."""

    @abc.abstractmethod
    def is_held(self, *, now_seconds: float) -> bool:
        """Return whether this instance holds the lease.

        :param now_seconds: reading of a clock that counts suspension
        :return: whether orders may be sent
        """

    @abc.abstractmethod
    def majority_lost(self) -> bool:
        """Return whether a majority of the voters seems to be gone.

        Orders may be sent without the lease then, after a delay: the voters
        may be on the other side of a network partition, where another
        instance may hold the lease.

        :return: whether no majority has been reachable for a long time
        """

    @abc.abstractmethod
    def unavailable_seconds(self, *, now_seconds: float) -> float:
        """Return for how long the lease is known to be unavailable.

        :param now_seconds: reading of a clock that counts suspension
        :return: seconds; 0 when it is held or may be available
        """

    @abc.abstractmethod
    def order_delay_seconds(self, *, now_seconds: float) -> float:
        """Return how long an order must have been due before it is sent.

        :param now_seconds: reading of a clock that counts suspension
        :return: seconds; 0 while the lease is held
        """

    @abc.abstractmethod
    def foreign_lease_end_seconds(self) -> float:
        """Return when the last lease of another instance ended.

        :return: reading of the process clock; no order may be based on an
            earlier report of the engine
        """

    @abc.abstractmethod
    def release(self) -> None:
        """Release the lease after the last order has been answered."""


__all__ = [
    "OrderLease",
]
