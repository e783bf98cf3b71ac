"""What is refused first when the queue's delay grows.

Load pattern: more work inside the rates than the endpoints can serve.
Without this, every queue grows until callers give up, and the endpoints work
for callers that are no longer there.
"""

from __future__ import annotations

import enum

from boragefold.policy import refusal
from boragefold.policy import work as works
from boragefold.telemetry import counters as telemetry


class Level(enum.IntEnum):
    """What is shed; each level includes those before it."""

    NORMAL = 0
    NO_EXTRAS = 1
    ABOVE_SHARE = 2
    ORDINARY_COLD = 3
    ORDINARY = 4


# The queue delay that each level answers. The first is half of the 0.4 s in
# which the first token is due, so what nobody waits for stops before callers
# notice; then four steps of about three, since each level sheds a part of the
# load that isn't known beforehand.
DELAY_SECONDS = {
    Level.NO_EXTRAS: 0.2,
    Level.ABOVE_SHARE: 0.7,
    Level.ORDINARY_COLD: 2.0,
    Level.ORDINARY: 6.0,
}
# A delay must last this long to raise the level: a burst that the queue takes
# in and serves within half a second is what the queue is for.
RAISE_AFTER_SECONDS = 0.5
# It is lowered more slowly, and at half of the delay that raised it: what was
# refused comes back at once, and would raise it again.
LOWER_AFTER_SECONDS = 2.0
LOWER_FACTOR = 0.5
MIN_RETRY_AFTER_SECONDS = 1.0


class Overload:
    """Raises and lowers the level by the estimated queue delay."""

    def __init__(self, *, counters: telemetry.Counters) -> None:
        self._counters = counters
        self._level = Level.NORMAL
        self._delay_seconds = 0.0
        self._above_since_seconds: float | None = None
        self._below_since_seconds: float | None = None

    @property
    def level(self) -> Level:
        """Tell what is shed now.

        :return: the level
        """
        return self._level

    def observe(
        self, *, queue_delay_seconds: float, now_seconds: float
    ) -> Level:
        """Take in the queue's delay; call it several times a second.

        :param queue_delay_seconds: estimated wait of a request pushed now
        :param now_seconds: reading of the process clock
        :return: the level from now on
        """
        self._delay_seconds = queue_delay_seconds
        self._above_since_seconds = _since(
            self._above_since_seconds, self._is_above(), now_seconds
        )
        self._below_since_seconds = _since(
            self._below_since_seconds, self._is_below(), now_seconds
        )
        if _lasted(
            self._above_since_seconds, RAISE_AFTER_SECONDS, now_seconds
        ):
            self._change(+1)
        elif _lasted(
            self._below_since_seconds, LOWER_AFTER_SECONDS, now_seconds
        ):
            self._change(-1)
        return self._level

    def check(
        self, work: works.Work, *, above_share: bool, cold: bool
    ) -> refusal.Refused | None:
        """Decide whether a request is shed.

        :param work: an admitted request, before it is queued
        :param above_share: its workspace has more than its share waiting
        :param cold: no endpoint holds its adapter
        :return: the refusal, or None when it may be queued
        """
        reason = self._reason(work, above_share=above_share, cold=cold)
        if reason is None:
            return None
        self._counters.add("requests_refused", reason)
        excess_seconds = (
            self._delay_seconds - LOWER_FACTOR * DELAY_SECONDS[self._level]
        )
        return refusal.Refused(
            status=refusal.UNAVAILABLE,
            reason=reason,
            remedy="come back later; the endpoints are full",
            retry_after_seconds=max(excess_seconds, MIN_RETRY_AFTER_SECONDS),
        )

    def _reason(
        self, work: works.Work, *, above_share: bool, cold: bool
    ) -> str | None:
        if work.late_sensitive:
            shed = above_share and self._level >= Level.ORDINARY
            return "overload_above_share" if shed else None
        if above_share and self._level >= Level.ABOVE_SHARE:
            return "overload_above_share"
        if cold and self._level >= Level.ORDINARY_COLD:
            return "overload_cold"
        if self._level >= Level.ORDINARY:
            return "overload_ordinary"
        return None

    def _is_above(self) -> bool:
        if self._level == Level.ORDINARY:
            return False
        limit_seconds = DELAY_SECONDS[Level(self._level + 1)]
        return self._delay_seconds > limit_seconds

    def _is_below(self) -> bool:
        if self._level == Level.NORMAL:
            return False
        limit_seconds = LOWER_FACTOR * DELAY_SECONDS[self._level]
        return self._delay_seconds < limit_seconds

    def _change(self, step: int) -> None:
        self._level = Level(self._level + step)
        self._above_since_seconds = None
        self._below_since_seconds = None
        self._counters.add("overload_changes", self._level.name.lower())


def _since(
    since_seconds: float | None, holds: bool, now_seconds: float
) -> float | None:
    if not holds:
        return None
    return now_seconds if since_seconds is None else since_seconds


def _lasted(
    since_seconds: float | None, duration_seconds: float, now_seconds: float
) -> bool:
    if since_seconds is None:
        return False
    return now_seconds - since_seconds >= duration_seconds


__all__ = [
    "DELAY_SECONDS",
    "LOWER_AFTER_SECONDS",
    "Level",
    "Overload",
    "RAISE_AFTER_SECONDS",
]
