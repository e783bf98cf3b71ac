"""The lease of one request that is sent one copy at a time."""

from __future__ import annotations

from collections.abc import Callable

from boragefold.coordination.fleet import suspect_leases
from boragefold.entry import request_guard

# Part of the time for an answer that may pass in waiting for other copies.
MAX_WAIT_SHARE = 0.5


class RequestLease(suspect_leases.LeaseWaiter):
    """Asks for the lease of a request, and gives it back."""

    def __init__(
        self,
        *,
        guard: request_guard.RequestGuard,
        leases: suspect_leases.SuspectLeases,
        remaining_seconds: Callable[[], float],
        begin: Callable[[], None],
        refuse: Callable[[], None],
    ) -> None:
        """Ask for nothing yet.

        :param guard: tells whether a lease is needed
        :param leases: asks for it
        :param remaining_seconds: returns the time until the deadline of the
            response
        :param begin: called when the request has its lease
        :param refuse: called when it can't wait any longer
        """
        self._guard = guard
        self._leases = leases
        self._remaining_seconds = remaining_seconds
        self._begin = begin
        self._refuse = refuse
        self._total_seconds = 0.0
        self._key: int | None = None
        self._is_held = False

    @property
    def is_missing(self) -> bool:
        """Tell whether the request may not be sent for want of a lease.

        :return: whether it needs one and has none, or another one
        """
        key = self._guard.lease_key()
        return key is not None and not (self._is_held and self._key == key)

    def request(self) -> None:
        """Begin the request once it has its lease."""
        key = self._guard.lease_key()
        if key is None or self._key == key:
            return
        if self._key is None:
            self._total_seconds = self._remaining_seconds()
        self.end(settles=False)
        self._key = key
        self._is_held = False
        self._leases.request(key, self)

    def close(self, *, settles: bool) -> None:
        """Give the lease back for good, and let go of the request.

        :param settles: whether it may turn out only now that the request
            crashed its endpoint
        """
        self.end(settles=settles)
        self._remaining_seconds = lambda: 0.0
        self._begin = self._refuse = lambda: None

    def end(self, *, settles: bool) -> None:
        """Give the lease back.

        :param settles: whether it may turn out only now that the request
            crashed its endpoint
        """
        if self._key is not None:
            self._leases.release(self._key, self, settles=settles)

    def is_needed(self) -> bool:
        """Tell whether the request still needs its lease.

        :return: whether it hasn't completed anywhere
        """
        return self._guard.lease_key() is not None

    def may_wait(self) -> bool:
        """Tell whether the request can still wait for its lease.

        :return: whether it would have time to be answered
        """
        least_seconds = (1.0 - MAX_WAIT_SHARE) * self._total_seconds
        return self._remaining_seconds() >= least_seconds

    def on_lease(self) -> None:
        """Begin the request."""
        self._is_held = True
        self._begin()

    def on_no_lease(self) -> None:
        """Refuse the request."""
        self._refuse()


__all__ = [
    "RequestLease",
]
