"""What an owner of an engine asks of the lease under which it orders."""

from __future__ import annotations

import abc


class OrderLease(abc.ABC):
    """The lease of one engine."""

    @abc.abstractmethod
    def want(self) -> None:
        """Ask for the lease, or for its renewal, because orders are due."""

    @abc.abstractmethod
    def held(self, *, now_seconds: float) -> bool:
        """Tell whether orders may be given.

        :param now_seconds: reading of a clock that counts suspension
        :return: whether the lease is ours
        """

    @abc.abstractmethod
    def alone(self) -> bool:
        """Tell whether those who could give the lease are gone, as it seems.

        Orders may be given without it then, with care: they may be cut off
        from us, and another instance may hold it.

        :return: whether too few of them were heard for long
        """

    @abc.abstractmethod
    def wait_seconds(self, *, now_seconds: float) -> float:
        """Tell how long the lease can't be had, as far as that is known.

        :param now_seconds: reading of a clock that counts suspension
        :return: seconds; 0 when it is held or nothing is known against it
        """

    @abc.abstractmethod
    def order_delay_seconds(self, *, now_seconds: float) -> float:
        """Tell how long an order must have been wanted before it is given.

        :param now_seconds: reading of a clock that counts suspension
        :return: seconds; 0 while the lease is held
        """

    @abc.abstractmethod
    def others_until_seconds(self) -> float:
        """Tell when another instance's lease ended last.

        :return: reading of the process clock; what the engine said before
            then is no ground for an order
        """

    @abc.abstractmethod
    def end(self) -> None:
        """Give the lease up: no order of ours is on its way any more."""


__all__ = [
    "OrderLease",
]
