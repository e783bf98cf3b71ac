"""Evictions that wait until nothing uses what they remove."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import itertools
from typing import Any

from boragefold.coordination.orders import leases as leasing
from boragefold.coordination.orders import times
from boragefold.protocol import ids
from boragefold.protocol import order_messages as messages


@dataclasses.dataclass(kw_only=True)
class _Eviction:
    """One adapter version whose use is to end."""

    number: int
    asked_at_seconds: float


class Evictions:
    """Asks the users of an endpoint's adapter versions to stop."""

    def __init__(
        self,
        *,
        endpoint: str,
        leases: leasing.Leases,
        numbers: itertools.count[int],
        now_seconds: Callable[[], float],
        send: Callable[[ids.InstanceId, Any], None],
    ) -> None:
        """Start with none.

        :param endpoint: its name
        :param leases: who may use it
        :param numbers: of evictions, never used twice by this process, so
            that a late answer to an earlier one is told apart
        :param now_seconds: the clock
        :param send: sends a message to an instance
        """
        self._endpoint = endpoint
        self._leases = leases
        self._numbers = numbers
        self._now_seconds = now_seconds
        self._send = send
        self._evictions: dict[messages.Weights, _Eviction] = {}

    def __contains__(self, weights: messages.Weights) -> bool:
        return weights in self._evictions

    def begin(self, weights: messages.Weights) -> None:
        """Begin to end all use of an adapter version.

        :param weights: which; nobody may be given a lease from now on
        """
        self._evictions.setdefault(
            weights,
            _Eviction(
                number=next(self._numbers),
                asked_at_seconds=-times.AGAIN_SECONDS,
            ),
        )

    def cancel(self, weights: messages.Weights) -> bool:
        """Stop waiting.

        :param weights: of which
        :return: whether its use was to end
        """
        return self._evictions.pop(weights, None) is not None

    def clear(self) -> None:
        """Cancel all of them."""
        self._evictions.clear()

    def stopped(
        self, instance: ids.InstanceId, stopped: messages.UseStopped
    ) -> None:
        """Note that an instance has nothing in flight any more.

        :param instance: which
        :param stopped: its message; that of an earlier eviction is ignored
        """
        weights = stopped.target.weights
        eviction = self._evictions.get(weights)
        if eviction is not None and eviction.number == stopped.eviction:
            self._leases.stopped(weights, instance)

    def ask(self) -> None:
        """Ask, or ask again, those who may still use the weights."""
        now_seconds = self._now_seconds()
        for weights, eviction in list(self._evictions.items()):
            if now_seconds < eviction.asked_at_seconds + times.AGAIN_SECONDS:
                continue
            eviction.asked_at_seconds = now_seconds
            target = messages.Target(self._endpoint, weights)
            asked = messages.UseStopAsked(target, eviction.number)
            for user in self._leases.users(weights, now_seconds=now_seconds):
                self._send(user, asked)

    def take_unused(self) -> list[messages.Weights]:
        """Take out what nobody can use any more.

        :return: adapter versions that may be evicted now
        """
        now_seconds = self._now_seconds()
        unused = [
            weights
            for weights in self._evictions
            if not self._leases.former_users_possible(
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
