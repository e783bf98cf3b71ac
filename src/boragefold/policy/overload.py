"""Which requests are refused first when the queue's delay grows.

Load pattern: requests within the rate limits exceed what the endpoints can
serve. Without load shedding, every queue grows until callers time out, and
the endpoints work for callers that have already disconnected.
"""

from __future__ import annotations

import enum
import math

from boragefold.policy import refusal
from boragefold.policy import work as works
from boragefold.telemetry import counters as telemetry


class Level(enum.IntEnum):
    """What is shed; each level includes the lower ones."""

    NORMAL = 0
    NO_EXTRAS = 1
    ABOVE_SHARE = 2
    ORDINARY_COLD = 3
    ORDINARY = 4


# Queue delay as a part of the callers' timeout. Optional work stops first,
# then requests are shed in equal steps, before the queue itself refuses.
DELAY_TIMEOUT_SHARE = {
    Level.NO_EXTRAS: 0.02,
    Level.ABOVE_SHARE: 0.1,
    Level.ORDINARY_COLD: 0.2,
    Level.ORDINARY: 0.3,
}
# Smooths the mean timeout over recent requests.
TIMEOUT_SMOOTHING = 0.02
# What isn't given out drains the queue.
DIVIDED_SHARES = {
    Level.NORMAL: 1.0,
    Level.NO_EXTRAS: 1.0,
    Level.ABOVE_SHARE: 0.9,
    Level.ORDINARY_COLD: 0.75,
    Level.ORDINARY: 0.6,
}
# Longer than a burst that the queue can absorb. Higher levels wait longer,
# because shedding takes time to have an effect.
RAISE_AFTER_SECONDS = {
    Level.NO_EXTRAS: 0.5,
    Level.ABOVE_SHARE: 0.5,
    Level.ORDINARY_COLD: 2.0,
    Level.ORDINARY: 2.0,
}
# Hysteresis: on lowering the level, the refused load returns at once.
LOWER_AFTER_SECONDS = 2.0
LOWER_FACTOR = 0.5
MIN_RETRY_AFTER_SECONDS = 1.0


class Overload:
    """Raises and lowers the overload level by the estimated queue delay."""

    def __init__(self, *, counters: telemetry.Counters) -> None:
        self._counters = counters
        self._level = Level.NORMAL
        self._delay_seconds = 0.0
        self._timeout_seconds: float | None = None
        self._delay_before_seconds = 0.0
        self._above_since_seconds: float | None = None
        self._below_since_seconds: float | None = None

    @property
    def level(self) -> Level:
        """Return what is shed now.

        :return: the level
        """
        return self._level

    @property
    def divided_share(self) -> float:
        """Return the part of the throughput that the fair shares divide.

        :return: from 0 to 1, for :meth:`fair_share.FairShare.exceeds`
        """
        return DIVIDED_SHARES[self._level]

    def observe(
        self, *, queue_delay_seconds: float, now_seconds: float
    ) -> Level:
        """Update the level by the queue's delay, several times a second.

        :param queue_delay_seconds: from
            :meth:`fair_queue.FairQueue.delay_seconds`
        :param now_seconds: reading of the process clock
        :return: the level from now on
        """
        self._delay_seconds = queue_delay_seconds
        if self._above_since_seconds is None:
            self._delay_before_seconds = queue_delay_seconds
        self._above_since_seconds = _since(
            self._above_since_seconds, self._is_above(), now_seconds
        )
        self._below_since_seconds = _since(
            self._below_since_seconds, self._is_below(), now_seconds
        )
        if self._is_raise_due(now_seconds):
            self._raise_unless_falling(now_seconds)
        elif _lasted(
            self._below_since_seconds, LOWER_AFTER_SECONDS, now_seconds
        ):
            self._change_level(-1)
        return self._level

    def check(
        self, work: works.Work, *, above_share: bool, cold: bool
    ) -> refusal.Refused | None:
        """Decide whether a request is shed.

        :param work: an admitted request, before it is queued
        :param above_share: from :meth:`fair_share.FairShare.exceeds`
        :param cold: whether no endpoint holds its adapter
        :return: the refusal, or None when it may be queued
        """
        self._update_timeout(work)
        reason = self._reason(work, above_share=above_share, cold=cold)
        if reason is None:
            return None
        self._counters.add("requests_refused", reason)
        excess_seconds = self._delay_seconds - self._lower_seconds()
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

    def _update_timeout(self, work: works.Work) -> None:
        timeout_seconds = work.deadline_at_seconds - work.arrived_at_seconds
        if self._timeout_seconds is None:
            self._timeout_seconds = timeout_seconds
        self._timeout_seconds += TIMEOUT_SMOOTHING * (
            timeout_seconds - self._timeout_seconds
        )

    def _raise_seconds(self) -> float:
        share = DELAY_TIMEOUT_SHARE[Level(self._level + 1)]
        return share * (self._timeout_seconds or math.inf)

    def _lower_seconds(self) -> float:
        share = LOWER_FACTOR * DELAY_TIMEOUT_SHARE[self._level]
        return share * (self._timeout_seconds or math.inf)

    def _is_above(self) -> bool:
        if self._level == Level.ORDINARY:
            return False
        return self._delay_seconds > self._raise_seconds()

    def _is_below(self) -> bool:
        if self._level == Level.NORMAL:
            return False
        return self._delay_seconds < self._lower_seconds()

    def _is_raise_due(self, now_seconds: float) -> bool:
        if self._level == Level.ORDINARY:
            return False
        duration_seconds = RAISE_AFTER_SECONDS[Level(self._level + 1)]
        return _lasted(
            self._above_since_seconds, duration_seconds, now_seconds
        )

    def _raise_unless_falling(self, now_seconds: float) -> None:
        # A falling delay shows that the present level may be enough.
        falling = self._delay_seconds < self._delay_before_seconds
        if not falling:
            self._change_level(+1)
            return
        self._above_since_seconds = now_seconds
        self._delay_before_seconds = self._delay_seconds

    def _change_level(self, step: int) -> None:
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
    "DELAY_TIMEOUT_SHARE",
    "LOWER_AFTER_SECONDS",
    "Level",
    "Overload",
    "RAISE_AFTER_SECONDS",
]
