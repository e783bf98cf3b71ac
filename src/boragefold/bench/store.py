"""The weight store of the bench: a limited rate, slower beyond 8 in flight."""

from __future__ import annotations

import collections
from collections.abc import Callable
import math
import random

from boragefold.timing import timers

LOAD_SECONDS = 0.25
FULL_SPEED_IN_FLIGHT = 8


class Store:
    """Serves loads in the order asked, no more a second than its rate."""

    def __init__(
        self,
        *,
        service: timers.TimerService,
        loads_per_second: float,
        rng: random.Random,
    ) -> None:
        self._service = service
        self._rng = rng
        self._waiting: collections.deque[Callable[[bool], None]] = (
            collections.deque()
        )
        self._next_start_seconds = -math.inf
        self._waking = False
        self.loads_per_second = loads_per_second
        self.failure_share = 0.0
        self.in_flight = 0
        self.loads = 0
        self.failures = 0

    def load(self, done: Callable[[bool], None]) -> None:
        """Fetch one adapter.

        :param done: called with whether it succeeded
        """
        self._waiting.append(done)
        self._start_due()

    @property
    def waiting(self) -> int:
        """Tell how many loads wait for the rate.

        :return: a count
        """
        return len(self._waiting)

    def _start_due(self) -> None:
        now = self._service.now_seconds()
        while self._waiting and self._next_start_seconds <= now + 1e-9:
            # A second's worth may start at once after idle time.
            earliest = now - 1.0 + 1.0 / self.loads_per_second
            self._next_start_seconds = (
                max(self._next_start_seconds, earliest)
                + 1.0 / self.loads_per_second
            )
            self._start(self._waiting.popleft())
        if self._waiting and not self._waking:
            self._waking = True
            self._service.once(
                delay_seconds=self._next_start_seconds - now,
                callback=self._wake,
            )

    def _wake(self) -> None:
        self._waking = False
        self._start_due()

    def _start(self, done: Callable[[bool], None]) -> None:
        self.in_flight += 1
        self.loads += 1
        crowding = max(1.0, self.in_flight / FULL_SPEED_IN_FLIGHT)
        succeeds = self._rng.random() >= self.failure_share
        self._service.once(
            delay_seconds=LOAD_SECONDS * crowding,
            callback=lambda: self._finish(done, succeeds),
        )

    def _finish(self, done: Callable[[bool], None], succeeds: bool) -> None:
        self.in_flight -= 1
        self.failures += not succeeds
        done(succeeds)


__all__ = [
    "FULL_SPEED_IN_FLIGHT",
    "LOAD_SECONDS",
    "Store",
]
