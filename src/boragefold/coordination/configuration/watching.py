"""Follows the platform's tree."""

from __future__ import annotations

from collections.abc import Callable
import random

from boragefold.coordination.configuration import reader as readers
from boragefold.protocol import platform_api
from boragefold.telemetry import counters as telemetry
from boragefold.timing import timers as timing

# Joins the changes of a burst, within the platform's limit of calls.
MIN_GAP_SECONDS = 0.25
# Instances without a view all read, so each reads less often.
ALONE_GAP_SECONDS = 2.0
# A connection may go silent for good.
ANSWER_LIMIT_SECONDS = readers.WATCH_SECONDS + 5.0
FIRST_RETRY_SECONDS = 0.5
LONGEST_RETRY_SECONDS = 8.0
# A platform that was away may have been restored from a backup, and hand out
# revisions again that our cursor has passed.
REREAD_AFTER_SECONDS = 5.0

WHOLE_TREE = 0

# Takes the changes of an answer, and a callback for when that is done.
Take = Callable[
    [tuple[platform_api.PublishedChange, ...], Callable[[], None]], None
]


class TreeWatcher:
    """Keeps one watch waiting at the platform while it is active."""

    def __init__(
        self,
        *,
        reader: readers.PlatformReader,
        timers: timing.TimerService,
        random: random.Random,
        counters: telemetry.Counters,
        take: Take,
    ) -> None:
        self._reader = reader
        self._timers = timers
        self._random = random
        self._counters = counters
        self._take = take
        self._active = False
        self._gap_seconds = MIN_GAP_SECONDS
        self._after_revision = WHOLE_TREE
        self._call_number = 0
        self._pending: timing.Subscription | None = None
        self._retry_seconds = FIRST_RETRY_SECONDS
        self._failing_since_seconds: float | None = None
        self.heard_seconds: float | None = None
        self.whole_read_seconds: float | None = None

    @property
    def active(self) -> bool:
        """Tell whether a watch is kept waiting.

        :return: whether it is
        """
        return self._active

    @property
    def failing(self) -> bool:
        """Tell whether the last call failed.

        :return: whether it did
        """
        return self._failing_since_seconds is not None

    def start(self, *, gap_seconds: float, delay_seconds: float = 0.0) -> None:
        """Begin to follow, with the whole tree first.

        What we hold came from peers, path by path, so no single revision
        tells what we have not seen.

        :param gap_seconds: the shortest time between two calls
        :param delay_seconds: how long to wait before the first call
        """
        self._gap_seconds = gap_seconds
        if self._active:
            return
        self._active = True
        self._after_revision = WHOLE_TREE
        self._schedule(delay_seconds)

    def stop(self) -> None:
        """Follow no longer; an answer that is still due will be taken."""
        self._active = False
        self._cancel()

    def _schedule(self, delay_seconds: float) -> None:
        self._cancel()
        self._pending = self._timers.once(
            delay_seconds=delay_seconds, callback=self._call
        )

    def _cancel(self) -> None:
        if self._pending is not None:
            self._pending.cancel()
            self._pending = None

    def _call(self) -> None:
        self._call_number += 1
        number = self._call_number
        after_revision = self._after_revision
        self._pending = self._timers.once(
            delay_seconds=ANSWER_LIMIT_SECONDS,
            callback=lambda: self._fail("silent"),
        )
        self._counters.add("platform_calls", "tree")
        self._reader.watch(
            after_revision=after_revision,
            callback=lambda answer: self._answered(
                number, after_revision, answer
            ),
        )

    def _answered(
        self,
        number: int,
        after_revision: int,
        answer: platform_api.WatchResult | platform_api.PlatformFailed,
    ) -> None:
        if isinstance(answer, platform_api.PlatformFailed):
            if self._active and number == self._call_number:
                self._fail(answer.reason)
            return
        self.heard_seconds = self._timers.now_seconds()
        # A late answer is safe: the tree takes only what is newer.
        self._take(
            answer.changes, lambda: self._taken(number, after_revision, answer)
        )

    def _taken(
        self,
        number: int,
        after_revision: int,
        answer: platform_api.WatchResult,
    ) -> None:
        now_seconds = self._timers.now_seconds()
        if after_revision == WHOLE_TREE:
            self.whole_read_seconds = now_seconds
        if self._active and number == self._call_number:
            self._succeed(answer, now_seconds)

    def _succeed(
        self, answer: platform_api.WatchResult, now_seconds: float
    ) -> None:
        if answer.revision < self._after_revision:
            # A cursor ahead of another copy, or of a restored one, would hide
            # its changes.
            self._counters.add("platform_went_back")
        self._after_revision = answer.revision
        since_seconds = self._failing_since_seconds
        self._failing_since_seconds = None
        self._retry_seconds = FIRST_RETRY_SECONDS
        if (
            since_seconds is not None
            and now_seconds - since_seconds >= REREAD_AFTER_SECONDS
        ):
            self._after_revision = WHOLE_TREE
        self._schedule(self._gap_seconds)

    def _fail(self, reason: str) -> None:
        self._call_number += 1
        self._counters.add("platform_failures", reason)
        if self._failing_since_seconds is None:
            self._failing_since_seconds = self._timers.now_seconds()
        jitter = self._random.uniform(0.5, 1.0)
        delay_seconds = max(self._gap_seconds, self._retry_seconds * jitter)
        self._retry_seconds = min(
            2 * self._retry_seconds, LONGEST_RETRY_SECONDS
        )
        self._schedule(delay_seconds)


__all__ = [
    "ALONE_GAP_SECONDS",
    "MIN_GAP_SECONDS",
    "TreeWatcher",
]
