"""Evictions that wait until no instance uses the adapter version."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import itertools
from typing import Any

from boragefold.coordination.orders import leases as leasing
from boragefold.coordination.orders import timeouts
from boragefold.protocol import ids
from boragefold.protocol import order_messages as messages


@dataclasses.dataclass(kw_only=True)
class _Eviction:
    """A pending eviction of one adapter version."""

    number: int
    requested_at_seconds: float


class Evictions:
    """Asks instances to stop using adapter versions of an endpoint."""

    def __init__(
        self,
        *,
        endpoint: str,
        leases: leasing.Leases,
        eviction_numbers: itertools.count[int],
        now_seconds: Callable[[], float],
        send: Callable[[ids.InstanceId, Any], None],
    ) -> None:
        """Create an empty set of evictions.

        :param endpoint: name of the endpoint
        :param leases: granted leases
        :param eviction_numbers: unique within this process so that a late
            reply to an earlier eviction is recognised
        :param now_seconds: returns the current time
        :param send: sends a message to an instance
        """
        self._endpoint = endpoint
        self._leases = leases
        self._eviction_numbers = eviction_numbers
        self._now_seconds = now_seconds
        self._send = send
        self._evictions: dict[messages.Weights, _Eviction] = {}

    def __contains__(self, weights: messages.Weights) -> bool:
        return weights in self._evictions

    def begin(self, weights: messages.Weights) -> None:
        """Begin an eviction; no lease may be granted from now on.

        :param weights: adapter version to evict
        """
        self._evictions.setdefault(
            weights,
            _Eviction(
                number=next(self._eviction_numbers),
                requested_at_seconds=-timeouts.RETRY_SECONDS,
            ),
        )

    def cancel(self, weights: messages.Weights) -> bool:
        """Cancel a pending eviction.

        :param weights: adapter version that was to be evicted
        :return: whether its eviction was pending
        """
        return self._evictions.pop(weights, None) is not None

    def clear(self) -> None:
        """Cancel all pending evictions."""
        self._evictions.clear()

    def record_stopped(
        self, instance: ids.InstanceId, stopped: messages.UseStopped
    ) -> None:
        """Record that an instance has no more requests in flight.

        :param instance: instance that sent the message
        :param stopped: message, ignored if it answers an earlier eviction
        """
        weights = stopped.target.weights
        eviction = self._evictions.get(weights)
        if eviction is not None and eviction.number == stopped.eviction:
            self._leases.record_stopped(weights, instance)

    def send_stop_requests(self) -> None:
        """Send stop requests to possible users; repeat unanswered ones."""
        now_seconds = self._now_seconds()
        for weights, eviction in list(self._evictions.items()):
            if (
                now_seconds
                < eviction.requested_at_seconds + timeouts.RETRY_SECONDS
            ):
                continue
            eviction.requested_at_seconds = now_seconds
            target = messages.Target(self._endpoint, weights)
            asked = messages.UseStopAsked(target, eviction.number)
            for user in self._leases.users(weights, now_seconds=now_seconds):
                self._send(user, asked)

    def pop_unused(self) -> list[messages.Weights]:
        """Remove and return the pending evictions that may be ordered.

        :return: adapter versions that no instance can use any more
        """
        now_seconds = self._now_seconds()
        unused = [
            weights
            for weights in self._evictions
            if not self._leases.previous_leases_possible(
                weights, now_seconds=now_seconds
            )
            and not self._leases.users(weights, now_seconds=now_seconds)
        ]
        for weights in unused:
            del self._evictions[weights]
        return unused


__all__ = [
    "Evictions",
]
