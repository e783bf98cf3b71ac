"""The planned stop: nothing new, everything running to its end, then exit."""

from __future__ import annotations

from collections.abc import Callable
import signal

import circuits

from boragefold.timing import timers as timing

CHECK_SECONDS = 0.1
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class Stopping(circuits.BaseComponent):  # type: ignore[misc]
    """Turns a signal into the steps of a planned stop.

    First the readiness probe says no, while callers are still accepted: the
    balancer goes on sending until it has noticed. Then rights are handed
    over and no connection is accepted any more. The process ends when the
    last request has been answered and the rights have moved, however long
    that takes; a second signal changes nothing, because it would cut off
    requests that were promised an answer.
    """

    channel = "*"

    def __init__(
        self,
        *,
        timers: timing.TimerService,
        notice_seconds: float,
        hand_over: Callable[[], None],
        finished: Callable[[], bool],
        stop: Callable[[], None],
        say: Callable[[str], None],
        limit_seconds: float | None = None,
    ) -> None:
        """Wait for the signal.

        :param timers: the process clock
        :param notice_seconds: how long to go on accepting
        :param hand_over: gives rights up and accepts nothing more
        :param finished: tells whether nothing runs any more
        :param stop: ends the loop
        :param say: logs each step
        :param limit_seconds: when to end all the same, counted from the
            signal; None waits for as long as something runs
        """
        super().__init__()
        self._limit_seconds = limit_seconds
        self._begun_at_seconds = 0.0
        self._timers = timers
        self._notice_seconds = notice_seconds
        self._hand_over = hand_over
        self._finished = finished
        self._stop_loop = stop
        self._say = say
        self.begun = False

    def begin(self) -> None:
        """Begin to stop; further calls change nothing."""
        if self.begun:
            return
        self.begun = True
        self._begun_at_seconds = self._timers.now_seconds()
        self._say("not ready, accepting for a while longer")
        self._timers.once(
            delay_seconds=self._notice_seconds, callback=self._noticed
        )

    @circuits.handler("signal", channel="*")  # type: ignore[untyped-decorator]
    def _on_signal(
        self, event: circuits.Event, number: int, stack: object
    ) -> None:
        event.stop()
        if number in STOP_SIGNALS:
            self.begin()

    def _noticed(self) -> None:
        self._say("rights handed over, finishing what runs")
        self._hand_over()
        self._timers.every(period_seconds=CHECK_SECONDS, callback=self._check)

    def _check(self) -> None:
        if self._finished():
            self._say("finished")
            self._stop_loop()
        elif self._is_over_limit():
            # A caller that reads nothing keeps its connection open.
            self._say("the time for it is over")
            self._stop_loop()

    def _is_over_limit(self) -> bool:
        if self._limit_seconds is None:
            return False
        spent_seconds = self._timers.now_seconds() - self._begun_at_seconds
        return spent_seconds > self._limit_seconds


__all__ = [
    "Stopping",
]
