"""Reads the platform's stand-in in virtual time."""

from __future__ import annotations

import collections
from collections.abc import Callable
import itertools

from boragefold.coordination.configuration import reader as readers
from boragefold.protocol import platform_api
from boragefold.standins import platform as platforms
from boragefold.timing import timers as timing

CALL_SECONDS = 0.005


class VirtualReader(readers.PlatformReader):
    """Reads a stand-in in virtual time, and can be cut off from it."""

    def __init__(
        self, *, platform: platforms.Platform, timers: timing.TimerService
    ) -> None:
        self._platform = platform
        self._timers = timers
        self._held: dict[int, Callable[[], None]] = {}
        self._numbers = itertools.count()
        self.cut_off = False
        self.tree_calls: collections.Counter[int] = collections.Counter()
        # The lag of the copy that this reader's calls reach.
        self.lag_seconds: float | None = None
        self.list_lag_seconds: float | None = None
        platform.subscribe(self._news)

    def watch(
        self, *, after_revision: int, callback: readers.WatchCallback
    ) -> None:
        """Ask for changes.

        :param after_revision: where the caller stands
        :param callback: called with the changes or the failure
        """
        self.tree_calls[int(self._timers.now_seconds())] += 1
        number = next(self._numbers)
        failed = self._count()
        if failed is not None:
            self._later(lambda: callback(failed))
            return

        def look(*, over: bool = False) -> None:
            if number not in self._held or self._is_silent():
                return
            result = self._platform.peek(
                after_revision, lag_seconds=self.lag_seconds
            )
            if over or platforms.is_news(result, after_revision):
                del self._held[number]
                callback(result)

        self._held[number] = look
        self._later(look)
        self._timers.once(
            delay_seconds=readers.WATCH_SECONDS,
            callback=lambda: look(over=True),
        )

    def read_list(self, *, callback: readers.ListCallback) -> None:
        """Ask for the list.

        :param callback: called with the list or the failure
        """
        failed = self._count()
        if failed is not None:
            self._later(lambda: callback(failed))
        elif not self._is_silent():
            listing = self._platform.list_instances(
                lag_seconds=self.list_lag_seconds
            )
            self._later(lambda: callback(listing))

    def _count(self) -> platform_api.PlatformFailed | None:
        if self.cut_off:
            return platform_api.PlatformFailed(reason="refused")
        return self._platform.count_call()

    def _is_silent(self) -> bool:
        faults = self._platform.faults
        return self.cut_off or faults.down or faults.silent

    def _news(self) -> None:
        if not self._held:
            return
        lag_seconds = self.lag_seconds or self._platform.faults.lag_seconds
        self._timers.once(
            delay_seconds=lag_seconds + CALL_SECONDS, callback=self._look_all
        )

    def _look_all(self) -> None:
        for look in list(self._held.values()):
            look()

    def _later(self, callback: Callable[[], None]) -> None:
        self._timers.once(delay_seconds=CALL_SECONDS, callback=callback)


__all__ = [
    "VirtualReader",
]
