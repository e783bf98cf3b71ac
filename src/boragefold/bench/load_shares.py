"""The load budget of the bench: one holder, asked by message."""

from __future__ import annotations

import collections
from collections.abc import Callable

from boragefold.bench import store
from boragefold.policy import placement
from boragefold.timing import timers

# A grant that isn't used within this time goes back to the holder.
UNUSED_LOAD_SECONDS = 0.5


class LoadHolder:
    """The fleet's loads: a rate, and so many at once."""

    def __init__(
        self, *, service: timers.TimerService, loads_per_second: float
    ) -> None:
        self._service = service
        self._rate = loads_per_second
        self._level = loads_per_second
        self._at_seconds = 0.0
        self._in_flight = 0
        self._asking: collections.deque[Callable[[], None]] = (
            collections.deque()
        )
        service.every(period_seconds=0.02, callback=self._grant)

    def ask(self, granted: Callable[[], None]) -> None:
        """Ask for one load.

        :param granted: called when it may begin
        """
        self._asking.append(granted)
        self._grant()

    def ended(self, *, begun: bool) -> None:
        """Take back a load that ended or was never begun.

        :param begun: whether it went to the store
        """
        self._in_flight -= 1
        if not begun:
            self._level += 1
        self._grant()

    def _grant(self) -> None:
        now = self._service.now_seconds()
        elapsed = now - self._at_seconds
        self._at_seconds = now
        self._level = min(self._rate, self._level + elapsed * self._rate)
        while (
            self._asking
            and self._level >= 1
            and self._in_flight < store.FULL_SPEED_IN_FLIGHT
        ):
            self._level -= 1
            self._in_flight += 1
            self._asking.popleft()()


class ModelLoadBudget(placement.LoadBudget):
    """One instance's loads, granted one by one by the holder."""

    def __init__(
        self,
        *,
        service: timers.TimerService,
        holder: LoadHolder,
        delay_seconds: float,
        granted: Callable[[], None],
    ) -> None:
        self._service = service
        self._holder = holder
        self._delay_seconds = delay_seconds
        self._granted = granted
        self._asking = False
        self._grants: list[timers.Subscription] = []

    def try_acquire(self, *, now_seconds: float) -> bool:
        """Take a grant, or ask for one."""
        if self._grants:
            self._grants.pop(0).cancel()
            return True
        if not self._asking:
            self._asking = True
            self._later(lambda: self._holder.ask(self._on_its_way))
        return False

    def release(self, *, now_seconds: float) -> None:
        """Tell the holder that a load has ended."""
        self._later(lambda: self._holder.ended(begun=True))

    def _on_its_way(self) -> None:
        self._later(self._receive)

    def _receive(self) -> None:
        self._asking = False
        self._grants.append(
            self._service.once(
                delay_seconds=UNUSED_LOAD_SECONDS, callback=self._hand_back
            )
        )
        self._granted()

    def _hand_back(self) -> None:
        self._grants.pop(0)
        self._later(lambda: self._holder.ended(begun=False))

    def _later(self, callback: Callable[[], None]) -> None:
        self._service.once(
            delay_seconds=self._delay_seconds, callback=callback
        )


__all__ = [
    "LoadHolder",
    "ModelLoadBudget",
]
