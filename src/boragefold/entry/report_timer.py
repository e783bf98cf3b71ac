"""The timer of an engine's next report."""

from __future__ import annotations

from collections.abc import Callable
import math

from boragefold.timing import timers as timing


class ReportTimer:
    """Requests a report at the earliest of the times asked for.

    Each report may schedule the next one. One timer prevents two series of
    reports from running side by side forever.
    """

    def __init__(
        self, *, timers: timing.TimerService, request: Callable[[], None]
    ) -> None:
        """Begin without a scheduled report.

        :param timers: the process clock
        :param request: requests a report
        """
        self._timers = timers
        self._request = request
        self._next: timing.Subscription | None = None
        self._due_at_seconds = math.inf

    def schedule(self, delay_seconds: float) -> None:
        """Schedule a report after a delay, unless one is due sooner.

        :param delay_seconds: time until the report is requested
        """
        at_seconds = self._timers.now_seconds() + delay_seconds
        if at_seconds >= self._due_at_seconds:
            return
        self.cancel()
        self._due_at_seconds = at_seconds
        self._next = self._timers.once(
            delay_seconds=delay_seconds, callback=self._request
        )

    def cancel(self) -> None:
        """Cancel the scheduled report."""
        if self._next is not None:
            self._next.cancel()
        self._next = None
        self._due_at_seconds = math.inf


__all__ = [
    "ReportTimer",
]
