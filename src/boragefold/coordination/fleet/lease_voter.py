"""The promises by which an instance votes for those who give orders."""

from __future__ import annotations

import math
from typing import NamedTuple

from boragefold.protocol import ids

# Longer than a lease by the time in which an order arrives or is dropped.
PROMISE_SECONDS = 1.2
# By so much earlier the holder has given its last order, unless that was held
# up on its way.
ORDERS_END_BEFORE_SECONDS = 0.5
# Whoever gave orders before is remembered for longer than reports lag.
REMEMBERED_SECONDS = 4.0
# Promises that ended long ago are dropped when there are more.
KEPT_PROMISES = 256


class Promise(NamedTuple):
    """A vote that binds its voter.

    ``orders_until_seconds`` is when its holder's last order can have come, and
    ``others_until_seconds`` the same of the holder before.
    """

    holder: ids.InstanceId
    number: int
    until_seconds: float
    orders_until_seconds: float
    others_until_seconds: float


class Vote(NamedTuple):
    """What a voter answers.

    ``refused_seconds`` is for how long it can't promise the engine; 0 is a
    promise. ``others_seconds`` is how long ago its promise to another instance
    ended: negative while that lasts, infinite if it remembers none.
    """

    refused_seconds: float
    others_seconds: float = math.inf


class LeaseVoter:
    """Promises each engine to one instance at a time.

    Nothing outlives the process: one that has just started may follow one
    that promised something, and promises nothing until that has ended.
    """

    def __init__(self, *, started_at_seconds: float) -> None:
        """Begin without promises.

        :param started_at_seconds: when this process started, on the clock
            that all methods are given readings of
        """
        self._bound_until_seconds = started_at_seconds + PROMISE_SECONDS
        self._promises: dict[str, Promise] = {}

    def vote(
        self,
        asker: ids.InstanceId,
        engine: str,
        number: int,
        *,
        now_seconds: float,
    ) -> Vote:
        """Promise an engine, unless it is promised to another instance.

        :param asker: who asks
        :param engine: the engine's name
        :param number: of the asker's round
        :param now_seconds: reading of a clock that counts suspension
        :return: the vote
        """
        if now_seconds < self._bound_until_seconds:
            return Vote(self._bound_until_seconds - now_seconds)
        before = self._promises.get(engine)
        others_until_seconds = -math.inf
        if before is not None and before.holder == asker:
            number = max(number, before.number)
            others_until_seconds = before.others_until_seconds
        elif before is not None:
            if before.until_seconds > now_seconds:
                bound_seconds = before.until_seconds - now_seconds
                return Vote(bound_seconds, -bound_seconds)
            others_until_seconds = before.orders_until_seconds
        self._forget_ended(now_seconds)
        until_seconds = now_seconds + PROMISE_SECONDS
        self._promises[engine] = Promise(
            holder=asker,
            number=number,
            until_seconds=until_seconds,
            orders_until_seconds=until_seconds - ORDERS_END_BEFORE_SECONDS,
            others_until_seconds=others_until_seconds,
        )
        return Vote(0.0, now_seconds - others_until_seconds)

    def end(
        self,
        holder: ids.InstanceId,
        engine: str,
        number: int,
        *,
        now_seconds: float,
    ) -> None:
        """End a promise that its holder needs no more.

        :param holder: who says so
        :param engine: the engine's name
        :param number: of the holder's last round then; a promise of a later
            one stands
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

    def _forget_ended(self, now_seconds: float) -> None:
        if len(self._promises) < KEPT_PROMISES:
            return
        oldest_seconds = now_seconds - REMEMBERED_SECONDS
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
