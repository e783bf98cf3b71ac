"""Limits the requests that one endpoint gets while it is cold.

Load pattern: an endpoint that has just started sustains a few requests per
second and crashes well above that, while many wait for it. A token bucket
would allow two bursts within one second, at the end of one period and at the
beginning of the next. Here the times of the last requests are kept, and one
more is allowed when the oldest of them is outside the window. This module
reads no clock and no socket.
"""

from __future__ import annotations

import collections
from collections.abc import Iterator
import math
from typing import NamedTuple

WINDOW_SECONDS = 1.0
# Requests may arrive closer together than they were sent.
TRANSIT_SECONDS = 0.05
# Two instances may act as owner of an engine during a partition.
SHARE_OF_LIMIT = 0.5
# Limits memory: the time of each request in the window is kept.
MAX_REQUESTS_PER_SECOND = 10_000.0


class Tolerance(NamedTuple):
    """How far the rate that a cold endpoint sustains may be exceeded.

    In any second it may receive the requests that it sustains in a second,
    multiplied by ``overage``, and ``slack`` on top.
    """

    overage: float = 1.0
    slack: float = 0.0

    def allowed_per_second(self, sustained_per_second: float) -> float:
        """Compute the rate that one sender may use.

        :param sustained_per_second: requests that the endpoint sustains
        :return: that rate, or half of the limit if that is less
        """
        limit = sustained_per_second * self.overage + self.slack
        return min(sustained_per_second, SHARE_OF_LIMIT * limit)


class ColdLimit:
    """The requests that one sender may send to one endpoint.

    Requests are recorded while the endpoint is warm as well: it may receive
    them when it has become cold.
    """

    def __init__(self) -> None:
        self.until_seconds = -math.inf
        self._per_second = 0.0
        self._window_seconds = WINDOW_SECONDS
        self._sent: collections.deque[float] = collections.deque(maxlen=0)
        self._held = 0
        self._last_held = ""

    def update(
        self,
        *,
        per_second: float,
        until_seconds: float,
        now_seconds: float,
    ) -> None:
        """Apply the rate and the end of the cold time that are in force.

        What is allowed in addition to the earlier rate counts as used at this
        moment, since other senders may have used it.

        :param per_second: requests that are allowed, 0 for any number
        :param until_seconds: when the endpoint is warm, by the process clock
        :param now_seconds: reading of the process clock
        """
        self.until_seconds = until_seconds
        if per_second == self._per_second:
            return
        self._per_second = per_second
        size = 0
        if per_second > 0:
            size = max(1, int(min(per_second, MAX_REQUESTS_PER_SECOND)))
            # A rate below one allows a single request in a longer window.
            self._window_seconds = TRANSIT_SECONDS + max(
                WINDOW_SECONDS, 1 / per_second
            )
        self._sent = collections.deque(self._sent, maxlen=size)
        self._sent.extend([now_seconds] * (size - len(self._sent)))

    def is_cold(self, *, now_seconds: float) -> bool:
        """Return whether the limit applies.

        :param now_seconds: reading of the process clock
        :return: whether the endpoint is cold and its rate limited
        """
        return bool(self._sent) and now_seconds < self.until_seconds

    def may_send(self, request_id: str, *, now_seconds: float) -> bool:
        """Return whether one more request may be sent now.

        :param request_id: id of the request; checking it again doesn't count
            it again as held back
        :param now_seconds: reading of the process clock
        :return: whether it may
        """
        if self._next_at_seconds(0, now_seconds) <= now_seconds:
            return True
        if request_id != self._last_held:
            self._last_held = request_id
            self._held += 1
        return False

    def record(self, *, now_seconds: float) -> None:
        """Record that a request was sent or granted.

        :param now_seconds: reading of the process clock
        """
        self._sent.append(now_seconds)

    def wait_seconds(self, ahead: int, *, now_seconds: float) -> float:
        """Compute how long a request waits that is sent after others.

        :param ahead: number of requests that are sent before it
        :param now_seconds: reading of the process clock
        :return: seconds; 0 if the limit doesn't delay it
        """
        return max(
            0.0, self._next_at_seconds(ahead, now_seconds) - now_seconds
        )

    def due_times(self, *, now_seconds: float) -> Iterator[float]:
        """List the time at which a request may be sent that can't be now.

        :param now_seconds: reading of the process clock
        :return: at most one later reading of the process clock
        """
        due_seconds = self._next_at_seconds(0, now_seconds)
        if due_seconds > now_seconds:
            yield due_seconds

    def take_held(self) -> int:
        """Count the requests that were held back since the last call.

        :return: a count
        """
        held, self._held = self._held, 0
        return held

    def _next_at_seconds(self, ahead: int, now_seconds: float) -> float:
        # Never later than the end of the cold time.
        if not self.is_cold(now_seconds=now_seconds):
            return now_seconds
        windows, position = divmod(ahead, len(self._sent))
        at_seconds = max(
            now_seconds, self._sent[position] + self._window_seconds
        )
        return min(
            self.until_seconds, at_seconds + windows * self._window_seconds
        )


__all__ = [
    "ColdLimit",
    "Tolerance",
]
