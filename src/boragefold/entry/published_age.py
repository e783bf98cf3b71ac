"""How old what an instance knows of the published items is."""

from __future__ import annotations

from collections.abc import Callable
import math

from boragefold.telemetry import counters as telemetry
from boragefold.telemetry import decision_log
from boragefold.timing import timers as timing

CHECK_SECONDS = 0.5
# Longer than a reader that is lost takes to be replaced.
OUTDATED_SECONDS = 5.0
GAUGE = "published_age_seconds"


class PublishedAge:
    """The time since it was last shown that nothing newer is published.

    The store shows that to the instances that read it with each answer to a
    watch, and heartbeats of peers show it to the others. A quiet store and one
    that is no longer followed look alike otherwise.
    """

    def __init__(
        self,
        *,
        confirmed_at_seconds: Callable[[], float],
        timers: timing.TimerService,
        counters: telemetry.Counters,
        log: decision_log.DecisionLog,
    ) -> None:
        """Begin without a check.

        :param confirmed_at_seconds: reading of the process clock when nothing
            newer was published, minus infinity if that was never shown
        :param timers: the process clock
        :param counters: gets the gauge
        :param log: gets a line when the age passes its limit, and when it is
            below it again
        """
        self._confirmed_at_seconds = confirmed_at_seconds
        self._timers = timers
        self._counters = counters
        self._log = log
        self._begun_at_seconds = timers.now_seconds()
        self._is_outdated = False

    def start(self) -> None:
        """Check the age from now on."""
        self._begun_at_seconds = self._timers.now_seconds()
        self._timers.every(period_seconds=CHECK_SECONDS, callback=self._check)

    def seconds(self) -> float:
        """Return the age of what is known.

        :return: seconds; since the start if nothing was ever known
        """
        confirmed_at_seconds = self._confirmed_at_seconds()
        if math.isinf(confirmed_at_seconds):
            confirmed_at_seconds = self._begun_at_seconds
        return max(0.0, self._timers.now_seconds() - confirmed_at_seconds)

    def _check(self) -> None:
        age_seconds = self.seconds()
        self._counters.set_gauge(GAUGE, age_seconds)
        is_outdated = age_seconds > OUTDATED_SECONDS
        if is_outdated == self._is_outdated:
            return
        self._is_outdated = is_outdated
        self._log.write(
            "published_outdated" if is_outdated else "published_current",
            age_seconds=round(age_seconds, 3),
        )


__all__ = [
    "PublishedAge",
]
