"""Timers on one heap for the whole process."""

from __future__ import annotations

from collections.abc import Callable
import heapq
import itertools

from boragefold.timing import clock as clocks

Callback = Callable[[], None]
Run = Callable[[Callback], object]


def _run_unguarded(callback: Callback) -> None:
    callback()


def _do_nothing() -> None:
    pass


class Subscription:
    """A scheduled callback that can be cancelled."""

    def __init__(
        self, *, callback: Callback, period_seconds: float | None
    ) -> None:
        self.callback = callback
        self.period_seconds = period_seconds
        self.cancelled = False

    def cancel(self) -> None:
        """Prevent all further calls, and let go of the callback."""
        self.cancelled = True
        # The heap keeps the subscription until it would have been due.
        self.callback = _do_nothing


class TimerService:
    """Runs callbacks when they are due."""

    def __init__(
        self, *, clock: clocks.Clock, run: Run = _run_unguarded
    ) -> None:
        """Begin without callbacks.

        :param clock: tells when they are due
        :param run: runs one, and may keep its errors within it; by default
            an error ends the pass
        """
        self._clock = clock
        self._run_callback = run
        self._heap: list[tuple[float, int, Subscription]] = []
        self._order = itertools.count()

    def now_seconds(self) -> float:
        """Read the clock of the service.

        :return: seconds since an arbitrary start
        """
        return self._clock.now_seconds()

    def once(
        self, *, delay_seconds: float, callback: Callback
    ) -> Subscription:
        """Schedule a single call.

        :param delay_seconds: time until the call
        :param callback: the function to call
        :return: the subscription, to cancel it
        """
        subscription = Subscription(callback=callback, period_seconds=None)
        self._push(delay_seconds, subscription)
        return subscription

    def every(
        self,
        *,
        period_seconds: float,
        callback: Callback,
        first_delay_seconds: float | None = None,
    ) -> Subscription:
        """Schedule a periodic call.

        Periods missed while the process was paused lead to one call, not to
        one each, to avoid a burst.

        :param period_seconds: the time between two calls
        :param callback: the function to call
        :param first_delay_seconds: the time until the first call, if it
            differs
        :return: the subscription, to cancel it
        """
        subscription = Subscription(
            callback=callback, period_seconds=period_seconds
        )
        first_seconds = (
            period_seconds
            if first_delay_seconds is None
            else first_delay_seconds
        )
        self._push(first_seconds, subscription)
        return subscription

    def next_due_seconds(self) -> float | None:
        """Return when the next callback is due.

        :return: a reading of the clock, or None if none is scheduled
        """
        while self._heap and self._heap[0][2].cancelled:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else None

    def run_due(self) -> int:
        """Run all callbacks that are due.

        :return: the number of callbacks that ran
        """
        now_seconds = self.now_seconds()
        ran = 0
        while (due := self.next_due_seconds()) is not None:
            if due > now_seconds:
                break
            subscription = heapq.heappop(self._heap)[2]
            if subscription.period_seconds is not None:
                self._push(subscription.period_seconds, subscription)
            self._run_callback(subscription.callback)
            ran += 1
        return ran

    def _push(self, delay_seconds: float, subscription: Subscription) -> None:
        due_seconds = self.now_seconds() + delay_seconds
        heapq.heappush(
            self._heap, (due_seconds, next(self._order), subscription)
        )


__all__ = [
    "Callback",
    "Subscription",
    "TimerService",
]
