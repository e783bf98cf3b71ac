"""Grace period for endpoints whose registrations expired in a store outage.

Endpoints renew their registrations in the store, which fails while the store
is down. When it recovers, the registrations of healthy endpoints may be
missing for a moment, until the endpoints have registered again. If they were
dropped at once, whole services would have no endpoint just when their callers
return. A removal that is read right after the store's recovery is therefore
delayed, and cancelled if the registration is back by then.

A registration that was renewed lately can't have expired: its removal is
genuine, whatever happened to the store meanwhile.
"""

from __future__ import annotations

from collections.abc import Callable
import math

from boragefold.timing import timers as timing

# Live endpoints have renewed their registrations by then.
GRACE_SECONDS = 2.3
# A registration expires after so many intervals without a renewal.
EXPIRY_INTERVALS = 3


class RemovalGrace:
    """Decides when a removed endpoint is dropped."""

    def __init__(
        self,
        *,
        timers: timing.TimerService,
        drop: Callable[[str], None],
        peer_had_store: Callable[[], bool] = lambda: False,
        renewal_seconds: float = 0.0,
    ) -> None:
        """Start without a grace period.

        :param timers: the process clock
        :param drop: drops an endpoint for good
        :param peer_had_store: tells whether the store answered a peer all the
            time: then it refused only this instance, no registration expired,
            and a removal is genuine
        :param renewal_seconds: interval at which endpoints renew their
            registrations; 0 if it is unknown
        """
        self._renewal_seconds = renewal_seconds
        self._peer_had_store = peer_had_store
        self._timers = timers
        self._drop = drop
        self._until_seconds = 0.0
        self._missing: set[str] = set()
        self._written_since_seconds = -math.inf
        # When the last renewal that was read was written at the earliest.
        self._renewed_since_seconds: dict[str, float] = {}

    def remaining_seconds(self) -> float:
        """Tell how much longer removals are delayed.

        :return: seconds; 0 when they take effect at once
        """
        return max(0.0, self._until_seconds - self._timers.now_seconds())

    def told_seconds(self) -> float:
        """Tell how long peers that read no store must delay removals.

        :return: seconds; 0 as long as no registration may have expired
        """
        return self.remaining_seconds() if self._missing else 0.0

    def store_answered(
        self, has_recovered: bool, written_since_seconds: float
    ) -> None:
        """Record an answer of the store whose items are applied next.

        :param has_recovered: whether it is the first one after a failure
        :param written_since_seconds: reading of the process clock since which
            the items were written
        """
        self._written_since_seconds = written_since_seconds
        if has_recovered:
            self.store_recovered()

    def store_recovered(self, within_seconds: float = GRACE_SECONDS) -> None:
        """Record that the store answers again, here or at a peer.

        :param within_seconds: time that endpoints may take to register again
        """
        until_seconds = self._timers.now_seconds() + within_seconds
        self._until_seconds = max(self._until_seconds, until_seconds)

    def remove(self, endpoint: str) -> None:
        """Drop an endpoint whose registration was removed, now or later.

        :param endpoint: its name
        """
        renewed_at_seconds = self._renewed_since_seconds.pop(
            endpoint, -math.inf
        )
        wait_seconds = self.remaining_seconds()
        if (
            not wait_seconds
            or self._peer_had_store()
            or not self._may_have_expired(renewed_at_seconds)
        ):
            self._drop(endpoint)
            return
        self._missing.add(endpoint)
        self._timers.once(
            delay_seconds=wait_seconds,
            callback=lambda: self._drop_missing(endpoint),
        )

    def record_renewal(self, endpoint: str) -> None:
        """Cancel the delayed removal of an endpoint that is registered.

        :param endpoint: its name
        """
        self._renewed_since_seconds[endpoint] = self._written_since_seconds
        self._missing.discard(endpoint)

    def _may_have_expired(self, renewed_at_seconds: float) -> bool:
        silent_seconds = self._timers.now_seconds() - renewed_at_seconds
        return silent_seconds >= EXPIRY_INTERVALS * self._renewal_seconds

    def _drop_missing(self, endpoint: str) -> None:
        if endpoint in self._missing:
            self._missing.discard(endpoint)
            self._drop(endpoint)


__all__ = [
    "GRACE_SECONDS",
    "RemovalGrace",
]
