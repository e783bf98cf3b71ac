"""The event loop of a process, with its log and what guards its callbacks."""

from __future__ import annotations

import sys

from boragefold.telemetry import counters as telemetry
from boragefold.telemetry import decision_log
from boragefold.telemetry import error_guard
from boragefold.timing import clock as clocks
from boragefold.timing import timers as timing
from boragefold.transport import loop as loops
from boragefold.transport import sockets


class ProcessLoop:
    """One loop: timers and sockets whose callbacks can't end each other."""

    def __init__(self) -> None:
        clock = clocks.BootClock()
        self.counters = telemetry.Counters()
        self.log = decision_log.DecisionLog(
            descriptor=sys.stdout.fileno(),
            now_seconds=clock.now_seconds,
            counters=self.counters,
        )
        self.guard = error_guard.ErrorGuard(
            counters=self.counters, log=self.log
        )
        self.timers = timing.TimerService(
            clock=clock, run=self.guard.runner("timer")
        )
        self.loop = loops.Loop(timers=self.timers)
        self.sockets = sockets.SocketSet(
            poller=self.loop.poller, run=self.guard.runner("socket")
        )
        self.sockets.register(self.loop)


__all__ = [
    "ProcessLoop",
]
