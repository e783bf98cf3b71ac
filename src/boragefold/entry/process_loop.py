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

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        counters: telemetry.Counters,
        log: error_guard.ErrorLog,
        loop: loops.Loop | None = None,
    ) -> None:
        """Create the loop without running it.

        :param clock: the process clock
        :param counters: metrics of this process
        :param log: gets a line for each error
        :param loop: one that several instances share; its timers stay as they
            are
        """
        self.counters = counters
        self.guard = error_guard.ErrorGuard(counters=counters, log=log)
        self.loop = loop or loops.Loop(
            timers=timing.TimerService(
                clock=clock, run=self.guard.runner("timer")
            )
        )
        self.timers = self.loop.timers
        self.sockets = sockets.SocketSet(
            poller=self.loop.poller, run=self.guard.runner("socket")
        )
        self.sockets.register(self.loop)

    def open_sockets(self, channel: str) -> sockets.SocketSet:
        """Make a further set of sockets, whose listeners stop by themselves.

        :param channel: a name of its own on the loop
        :return: the set
        """
        opened = sockets.SocketSet(
            poller=self.loop.poller,
            run=self.guard.runner("socket"),
            channel=channel,
        )
        opened.register(self.loop)
        return opened


class GatewayLoop(ProcessLoop):
    """The loop of a gateway, which logs decisions to standard output."""

    def __init__(self) -> None:
        clock = clocks.BootClock()
        counters = telemetry.Counters()
        self.log = decision_log.DecisionLog(
            descriptor=sys.stdout.fileno(),
            now_seconds=clock.now_seconds,
            counters=counters,
        )
        super().__init__(clock=clock, counters=counters, log=self.log)


__all__ = [
    "GatewayLoop",
    "ProcessLoop",
]
