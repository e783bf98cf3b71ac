"""Shows what this instance believes about the rates of workspaces."""

from __future__ import annotations

from boragefold.policy import shared_rate
from boragefold.state import fleet as fleets
from boragefold.telemetry import counters as telemetry
from boragefold.telemetry import decision_log
from boragefold.timing import timers as timing

CHECK_SECONDS = 1.0
# Workspaces named in one line.
MAX_NAMES = 8


class RateLog:
    """Logs changes of the basis on which requests are admitted."""

    def __init__(
        self,
        *,
        rate: shared_rate.SharedRate,
        fleet: fleets.Fleet,
        log: decision_log.DecisionLog,
        counters: telemetry.Counters,
        timers: timing.TimerService,
    ) -> None:
        """Start with nothing logged.

        :param rate: the buckets of this instance
        :param fleet: has the workspaces
        :param log: gets a line for each change
        :param counters: gets the gauges
        :param timers: the process clock
        """
        self._rate = rate
        self._fleet = fleet
        self._log = log
        self._counters = counters
        self._timers = timers
        self._logged: object = None

    def start(self) -> None:
        """Begin to look for changes."""
        self._timers.every(period_seconds=CHECK_SECONDS, callback=self.check)

    def check(self) -> None:
        """Update the gauges, and log a change of era or missing buckets."""
        current = self._fleet.deployment
        limited = [] if current is None else current.limited_workspaces()
        lacking = sorted(self._rate.lacks(each.name for each in limited))
        now_seconds = self._timers.now_seconds()
        age_seconds = self._rate.totals_age_seconds(now_seconds=now_seconds)
        self._counters.set_gauge("rate_workspaces_unmet", len(lacking))
        if age_seconds is not None:
            self._counters.set_gauge("rate_totals_age_seconds", age_seconds)
        state = (self._rate.era, lacking)
        if state == self._logged:
            return
        self._logged = state
        self._log.write(
            "rate_state",
            era=self._rate.era.label,
            totals_age_seconds=age_seconds,
            unmet=len(lacking),
            some=lacking[:MAX_NAMES],
        )


__all__ = [
    "RateLog",
]
