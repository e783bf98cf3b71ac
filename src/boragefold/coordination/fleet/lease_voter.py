"""The votes of an instance on which instance may send orders to an engine."""

from __future__ import annotations

import math
from typing import NamedTuple

from boragefold.protocol import ids

# Longer than a lease by the time in which an order arrives or is abandoned.
PROMISE_SECONDS = 1.2
# The holder's last order has arrived at least this long before the promise
# ends, unless the order was delayed on its way.
ORDERS_END_MARGIN_SECONDS = 0.5
# Ended promises are kept for longer than the lag of engine reports.
RETENTION_SECONDS = 4.0
# Promises that ended longer ago are dropped from this number on.
CLEANUP_THRESHOLD = 256


class Promise(NamedTuple):
    """A vote that binds its voter until it ends.

    ``orders_until_seconds`` is the latest arrival of the holder's orders,
    ``others_until_seconds`` the latest arrival of the previous holder's.
    """

    holder: ids.InstanceId
    number: int
    until_seconds: float
    orders_until_seconds: float
    others_until_seconds: float


class Vote(NamedTuple):
    """A voter's answer.

    ``refused_seconds`` is how long the voter can't promise the engine; 0 is a
    promise. ``others_seconds`` is how long ago its promise to another instance
    ended: negative while that lasts, infinite if it remembers none.
    """

    refused_seconds: float
    others_seconds: float = math.inf


class LeaseVoter:
    """Promises each engine to at most one instance at a time.

    Promises are not stored. A process that has just started may replace one
    that made promises, so it refuses until those have ended.
    """

    def __init__(self, *, started_at_seconds: float) -> None:
        """Create it without promises.

        :param started_at_seconds: when this process started, on the clock
            whose readings all methods are passed
        """
        self._refuses_until_seconds = started_at_seconds + PROMISE_SECONDS
        self._promises: dict[str, Promise] = {}

    def vote(
        self,
        candidate: ids.InstanceId,
        engine: str,
        number: int,
        *,
        now_seconds: float,
    ) -> Vote:
        """Promise an engine, unless it is promised to another instance.

        :param candidate: the instance that asks for the promise
        :param engine: the engine's name
        :param number: the candidate's number of the voting round
        :param now_seconds: reading of a clock that counts suspension
        :return: the vote
        """
        if now_seconds < self._refuses_until_seconds:
            return Vote(self._refuses_until_seconds - now_seconds)
        former = self._promises.get(engine)
        others_until_seconds = -math.inf
        if former is not None and former.holder == candidate:
            number = max(number, former.number)
            others_until_seconds = former.others_until_seconds
        elif former is not None:
            if former.until_seconds > now_seconds:
                remaining_seconds = former.until_seconds - now_seconds
                return Vote(remaining_seconds, -remaining_seconds)
            others_until_seconds = former.orders_until_seconds
        self._expire(now_seconds)
        until_seconds = now_seconds + PROMISE_SECONDS
        self._promises[engine] = Promise(
            holder=candidate,
            number=number,
            until_seconds=until_seconds,
            orders_until_seconds=until_seconds - ORDERS_END_MARGIN_SECONDS,
            others_until_seconds=others_until_seconds,
        )
        return Vote(0.0, now_seconds - others_until_seconds)

    def release(
        self,
        holder: ids.InstanceId,
        engine: str,
        number: int,
        *,
        now_seconds: float,
    ) -> None:
        """End a promise that its holder has released.

        :param holder: the instance that releases it
        :param engine: the engine's name
        :param number: the holder's latest round at the time; a promise from a
            later round remains
        :param now_seconds: reading of a clock that counts suspension
        """
        promise = self._promises.get(engine)
        if promise is None or promise.holder != holder:
            return
        if promise.number <= number:
            self._promises[engine] = promise._replace(
                until_seconds=min(promise.until_seconds, now_seconds),
                orders_until_seconds=min(
                    promise.orders_until_seconds, now_seconds
                ),
            )

    def _expire(self, now_seconds: float) -> None:
        if len(self._promises) < CLEANUP_THRESHOLD:
            return
        oldest_seconds = now_seconds - RETENTION_SECONDS
        self._promises = {
            engine: promise
            for engine, promise in self._promises.items()
            if promise.until_seconds > oldest_seconds
        }


__all__ = [
    "LeaseVoter",
    "PROMISE_SECONDS",
    "Vote",
]
