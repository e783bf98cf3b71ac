"""Limits the requests in flight at an engine that has just come back.

Load pattern: an engine that starts again, or is reachable again, is idle, and
all instances send it their queued requests. Without a limit it is overloaded
while its caches are empty; with one for a fixed time it may be underused. Here
the limit depends on its responses: it grows while their first events come
about as soon as the prompts ahead of them permit, and shrinks when they don't.

Expected times come from the engine's speed as it was known at the restart: a
running estimate would take an overload for the engine's normal speed. At the
lowest limit, a late start shows that the engine is slow, not that it is
overloaded; later starts are compared with that.
"""

from __future__ import annotations

import copy
import math
from typing import NamedTuple

from boragefold.policy import engine_speed
from boragefold.policy import request_states

# Share of the slots that an engine gets first.
START_SHARE = 0.125
# Two, so that one request that hangs doesn't stop all others.
MIN_LIMIT = 2.0
# A start is late beyond this multiple of the expected time plus the slack,
# which covers messages and a step of the batch.
TOLERANCE_FACTOR = 2.0
SLACK_SECONDS = 0.05
DECREASE_FACTOR = 0.7
# The limit grows up to this multiple of the requests that were in flight when
# one that started on time was sent.
MAX_GROWTH_FACTOR = 1.5
# Weight of a newer start in the slowness of the engine.
SMOOTHING = 0.3


class UnstartedRequest(NamedTuple):
    """A request whose response hasn't started.

    ``in_flight`` is how many were in flight when it was sent, itself included.
    """

    granted_at_seconds: float
    expected_seconds: float
    in_flight: int


class ConcurrencyLimit:
    """The limit of one engine; none before the first restart."""

    def __init__(self, *, slots: int) -> None:
        """Begin without a limit.

        :param slots: how many requests the engine can run
        """
        self._slots = slots
        self._limit = math.inf
        self._threshold = math.inf
        self._slowness = 1.0
        self._speed = engine_speed.EngineSpeed()
        self._decreased_at_seconds = -math.inf
        # Those sent since the restart; of earlier ones no end may be reported.
        self._in_flight: set[str] = set()
        self._unstarted: dict[str, UnstartedRequest] = {}

    @property
    def limit(self) -> float:
        """Return the number of requests that may be in flight.

        :return: a number, infinite if there is no limit
        """
        return self._limit

    def describe(self) -> float | None:
        """Describe the limit for the log.

        :return: a number, None if there is no limit
        """
        return None if self._limit == math.inf else round(self._limit, 1)

    def restart(self, speed: engine_speed.EngineSpeed) -> None:
        """Reset the limit to few requests: the engine has just come back.

        :param speed: what is known of the engine's speed
        """
        self._limit = max(MIN_LIMIT, START_SHARE * self._slots)
        self._threshold = math.inf
        self._slowness = 1.0
        self._speed = copy.copy(speed)
        self._decreased_at_seconds = -math.inf
        self._in_flight.clear()
        self._unstarted.clear()

    def allows(self, ahead: int = 0) -> bool:
        """Return whether one more request may be sent.

        :param ahead: how many are sent before it
        :return: whether the limit allows it
        """
        return len(self._in_flight) + ahead + 1 <= self._limit

    def record_grant(
        self,
        request_id: str,
        pending: request_states.PromptTotals,
        *,
        now_seconds: float,
    ) -> None:
        """Record that a request was sent.

        :param request_id: id of the request
        :param pending: the prompts to be prefilled, its own included
        :param now_seconds: reading of the process clock
        """
        self._in_flight.add(request_id)
        self._unstarted[request_id] = UnstartedRequest(
            granted_at_seconds=now_seconds,
            expected_seconds=self._speed.prefill_seconds(
                pending.tokens, pending.number
            ),
            in_flight=len(self._in_flight),
        )

    def record_start(self, request_id: str, *, now_seconds: float) -> None:
        """Adapt the limit to the first event of a response.

        :param request_id: id of the request
        :param now_seconds: reading of the process clock
        """
        request = self._unstarted.pop(request_id, None)
        if request is None:
            return
        took_seconds = now_seconds - request.granted_at_seconds
        if self._is_late(request, now_seconds):
            self._record_late(request, now_seconds)
        else:
            self._observe(request, took_seconds)
            self._record_on_time(request)

    def record_end(self, request_id: str, *, now_seconds: float) -> None:
        """Adapt the limit to a request that ended, perhaps without a start.

        :param request_id: id of the request
        :param now_seconds: reading of the process clock
        """
        self._in_flight.discard(request_id)
        request = self._unstarted.pop(request_id, None)
        if request is not None and self._is_late(request, now_seconds):
            self._record_late(request, now_seconds)

    def _is_late(self, request: UnstartedRequest, now_seconds: float) -> bool:
        allowed_seconds = (
            TOLERANCE_FACTOR * self._slowness * request.expected_seconds
            + SLACK_SECONDS
        )
        return now_seconds - request.granted_at_seconds > allowed_seconds

    def _record_late(
        self, request: UnstartedRequest, now_seconds: float
    ) -> None:
        if self._limit <= MIN_LIMIT:
            self._observe(request, now_seconds - request.granted_at_seconds)
            return
        if request.granted_at_seconds <= self._decreased_at_seconds:
            # It was sent under the limit that was lowered since.
            return
        self._decreased_at_seconds = now_seconds
        self._limit = max(MIN_LIMIT, DECREASE_FACTOR * self._limit)
        self._threshold = self._limit

    def _record_on_time(self, request: UnstartedRequest) -> None:
        # A start shows that the engine could run the requests in flight when
        # this one was sent. Where starts take long, the limit would otherwise
        # grow without evidence.
        if self._limit > MAX_GROWTH_FACTOR * request.in_flight:
            return
        is_doubling = self._limit < self._threshold
        self._limit += 1.0 if is_doubling else 1.0 / self._limit
        if self._limit >= self._slots:
            self._limit = math.inf
            self._in_flight.clear()
            self._unstarted.clear()

    def _observe(self, request: UnstartedRequest, took_seconds: float) -> None:
        # At higher limits a slow start may be due to the load instead.
        slowness = max(
            1.0, (took_seconds - SLACK_SECONDS) / request.expected_seconds
        )
        if slowness < self._slowness or self._limit <= MIN_LIMIT:
            self._slowness += SMOOTHING * (slowness - self._slowness)


__all__ = [
    "ConcurrencyLimit",
]
