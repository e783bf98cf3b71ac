"""The lease of one request that is sent one copy at a time."""

from __future__ import annotations

import abc

from boragefold.coordination.fleet import suspect_leases
from boragefold.entry import quarantine as quarantines

# Part of the time for an answer that may pass in waiting for other copies.
MAX_WAIT_SHARE = 0.5


class LeaseOwner(abc.ABC):
    """A request that may need a lease."""

    @abc.abstractmethod
    def remaining_seconds(self) -> float:
        """Return the time until the deadline of the response.

        :return: seconds
        """

    @abc.abstractmethod
    def begin(self) -> None:
        """Choose an endpoint and send the request, or refuse the request."""

    @abc.abstractmethod
    def refuse_without_lease(self) -> None:
        """Refuse the request, as a copy of it runs for too long."""


class RequestLease(suspect_leases.LeaseWaiter):
    """Asks for the lease of a request, and gives it back."""

    def __init__(
        self,
        *,
        owner: LeaseOwner,
        guard: quarantines.RequestGuard,
        leases: suspect_leases.SuspectLeases,
    ) -> None:
        """Ask for nothing yet.

        :param owner: the request
        :param guard: tells whether a lease is needed
        :param leases: asks for it
        """
        self._owner = owner
        self._guard = guard
        self._leases = leases
        self._total_seconds = 0.0
        self._is_requested = False
        self._is_held = False

    @property
    def is_missing(self) -> bool:
        """Tell whether the request may not be sent for want of a lease.

        :return: whether it needs one and has none
        """
        return not self._is_held and self._guard.needs_lease()

    def request(self) -> None:
        """Begin the request once it has its lease."""
        if not self._is_requested:
            self._is_requested = True
            self._total_seconds = self._owner.remaining_seconds()
            self._leases.request(self._guard.fingerprint, self)

    def end(self, *, settles: bool) -> None:
        """Give the lease back.

        :param settles: whether it may turn out only now that the request
            crashed its endpoint
        """
        if self._is_requested:
            self._leases.release(
                self._guard.fingerprint, self, settles=settles
            )

    def may_wait(self) -> bool:
        """Tell whether the request can still wait for its lease.

        :return: whether it would have time to be answered
        """
        least_seconds = (1.0 - MAX_WAIT_SHARE) * self._total_seconds
        return self._owner.remaining_seconds() >= least_seconds

    def on_lease(self) -> None:
        """Begin the request."""
        self._is_held = True
        self._owner.begin()

    def on_no_lease(self) -> None:
        """Refuse the request."""
        self._owner.refuse_without_lease()


__all__ = [
    "LeaseOwner",
    "RequestLease",
]
