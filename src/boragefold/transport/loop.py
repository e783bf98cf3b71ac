"""The one loop of the process, and the timers it drives."""

from __future__ import annotations

import circuits
from circuits.core import pollers

from boragefold.timing import timers as timing


class TimerDriver(circuits.BaseComponent):  # type: ignore[misc]
    """Runs the timer service from the loop.

    A circuits Timer is a component of its own, and registering a component
    throws away the loop's handler cache. Under load the loop then spends its
    time rebuilding the cache; one fixed driver over a heap avoids that.
    """

    channel = "timers"

    def __init__(self, *, timers: timing.TimerService) -> None:
        super().__init__()
        self._timers = timers

    @circuits.handler("generate_events")  # type: ignore[untyped-decorator]
    def _on_generate_events(self, event: circuits.Event) -> None:
        self._timers.run_due()
        due_seconds = self._timers.next_due_seconds()
        if len(self.root):
            # A fired event must not wait for the poller.
            event.reduce_time_left(0)
        elif due_seconds is not None:
            wait_seconds = due_seconds - self._timers.now_seconds()
            event.reduce_time_left(max(0.0, wait_seconds))


class Loop(circuits.BaseComponent):  # type: ignore[misc]
    """The root component: a poller and the timer driver.

    Everything is registered before :meth:`run`, nothing afterwards.
    """

    channel = "loop"

    def __init__(self, *, timers: timing.TimerService) -> None:
        super().__init__()
        self.timers = timers
        self.poller = pollers.EPoll().register(self)
        TimerDriver(timers=timers).register(self)


__all__ = [
    "Loop",
    "TimerDriver",
]
