"""Graceful shutdown: finishes all running requests before the exit."""

from __future__ import annotations

from collections.abc import Callable
import signal

import circuits

from boragefold.timing import timers as timing

CHECK_SECONDS = 0.1
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class GracefulShutdown(circuits.BaseComponent):  # type: ignore[misc]
    """Shuts the process down gracefully after a signal.

    First the readiness probe fails while connections are still accepted,
    because the balancer goes on sending requests until it has noticed. Then
    leases are handed over and no more connections are accepted. The process
    ends when the last request has been answered and the leases have moved,
    at the latest at the limit if one is set. A second signal changes nothing,
    because it would cut off requests that were promised an answer.
    """

    channel = "*"

    def __init__(
        self,
        *,
        timers: timing.TimerService,
        notice_seconds: float,
        announce: Callable[[], None],
        hand_over: Callable[[], None],
        is_finished: Callable[[], bool],
        stop: Callable[[], None],
        log_step: Callable[[str], None],
        limit_seconds: float | None = None,
        give_up: Callable[[], None] = lambda: None,
    ) -> None:
        """Create a shutdown that waits for the signal.

        :param timers: the process clock
        :param notice_seconds: how long connections are still accepted
        :param announce: makes each answer from now on the last on its
            connection
        :param hand_over: releases leases and closes the listening sockets
        :param is_finished: tells whether nothing is left to finish
        :param stop: ends the event loop
        :param log_step: logs each step
        :param limit_seconds: time after the signal at which the process ends
            even if requests still run; None waits for as long as they do
        :param give_up: answers the requests that still run at the limit
        """
        super().__init__()
        self._announce = announce
        self._give_up = give_up
        self._has_given_up = False
        self._limit_seconds = limit_seconds
        self._begun_at_seconds = 0.0
        self._timers = timers
        self._notice_seconds = notice_seconds
        self._hand_over = hand_over
        self._is_finished = is_finished
        self._stop_loop = stop
        self._log_step = log_step
        self.has_begun = False

    def begin(self) -> None:
        """Begin the shutdown; further calls change nothing."""
        if self.has_begun:
            return
        self.has_begun = True
        self._begun_at_seconds = self._timers.now_seconds()
        self._log_step("not ready, accepting for a while longer")
        self._announce()
        self._timers.once(
            delay_seconds=self._notice_seconds, callback=self._stop_accepting
        )

    @circuits.handler("signal", channel="*")  # type: ignore[untyped-decorator]
    def _on_signal(
        self, event: circuits.Event, number: int, stack: object
    ) -> None:
        event.stop()
        if number in STOP_SIGNALS:
            self.begin()

    def _stop_accepting(self) -> None:
        self._log_step("rights handed over, finishing what runs")
        self._hand_over()
        self._timers.every(period_seconds=CHECK_SECONDS, callback=self._check)

    def _check(self) -> None:
        if self._is_finished():
            self._log_step("finished")
            self._stop_loop()
        elif self._has_given_up:
            self._stop_loop()
        elif self._is_over_limit():
            # A caller that doesn't read its response keeps its connection
            # open.
            self._log_step("the time for it is over")
            self._has_given_up = True
            self._give_up()

    def _is_over_limit(self) -> bool:
        if self._limit_seconds is None:
            return False
        spent_seconds = self._timers.now_seconds() - self._begun_at_seconds
        return spent_seconds > self._limit_seconds


__all__ = [
    "GracefulShutdown",
]
