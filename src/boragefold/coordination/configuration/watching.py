"""Watches the platform's configuration tree for changes."""

from __future__ import annotations

from collections.abc import Callable
import random

from boragefold.coordination.configuration import reader as readers
from boragefold.protocol import platform_api
from boragefold.telemetry import counters as telemetry
from boragefold.timing import timers as timing

# Batches bursts of changes and respects the platform's rate limit.
MIN_GAP_SECONDS = 0.25
# Without a view every instance reads, so each one reads less often.
NO_VIEW_GAP_SECONDS = 2.0
# Times out a watch whose connection has stalled.
ANSWER_LIMIT_SECONDS = readers.WATCH_SECONDS + 5.0
FIRST_RETRY_SECONDS = 0.5
LONGEST_RETRY_SECONDS = 8.0
# After an outage the platform may have been restored from a backup and may
# reuse revisions that the cursor has already passed.
REREAD_AFTER_SECONDS = 5.0

WHOLE_TREE = 0

# Applies the changes of an answer, then calls the given callback.
ApplyChanges = Callable[
    [tuple[platform_api.PublishedChange, ...], Callable[[], None]], None
]


class TreeWatcher:
    """Keeps one long-poll request open at the platform while active."""

    def __init__(
        self,
        *,
        reader: readers.PlatformReader,
        timers: timing.TimerService,
        random: random.Random,
        counters: telemetry.Counters,
        apply: ApplyChanges,
    ) -> None:
        self._reader = reader
        self._timers = timers
        self._random = random
        self._counters = counters
        self._apply = apply
        self._active = False
        self._gap_seconds = MIN_GAP_SECONDS
        self._after_revision = WHOLE_TREE
        self._call_number = 0
        self._pending: timing.Subscription | None = None
        self._retry_seconds = FIRST_RETRY_SECONDS
        self._failing_since_seconds: float | None = None
        self.last_answer_seconds: float | None = None
        self.full_read_seconds: float | None = None

    @property
    def active(self) -> bool:
        """Return whether a long-poll request is kept open.

        :return: whether the watcher is active
        """
        return self._active

    @property
    def failing(self) -> bool:
        """Return whether the last call failed.

        :return: whether it failed
        """
        return self._failing_since_seconds is not None

    def start(self, *, gap_seconds: float, delay_seconds: float = 0.0) -> None:
        """Start watching, with a read of the whole tree first.

        Peers sent the values held so far path by path, so no single revision
        describes which changes are missing.

        :param gap_seconds: the minimum time between two calls
        :param delay_seconds: the delay before the first call
        """
        self._gap_seconds = gap_seconds
        if self._active:
            return
        self._active = True
        self._after_revision = WHOLE_TREE
        self._schedule(delay_seconds)

    def stop(self) -> None:
        """Stop watching; a pending answer is still applied."""
        self._active = False
        self._cancel()

    def _schedule(self, delay_seconds: float) -> None:
        self._cancel()
        self._pending = self._timers.once(
            delay_seconds=delay_seconds, callback=self._send_watch
        )

    def _cancel(self) -> None:
        if self._pending is not None:
            self._pending.cancel()
            self._pending = None

    def _send_watch(self) -> None:
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
        self.last_answer_seconds = self._timers.now_seconds()
        # A late answer is safe: the tree ignores values that aren't newer.
        self._apply(
            answer.changes,
            lambda: self._on_applied(number, after_revision, answer),
        )

    def _on_applied(
        self,
        number: int,
        after_revision: int,
        answer: platform_api.WatchResult,
    ) -> None:
        now_seconds = self._timers.now_seconds()
        if after_revision == WHOLE_TREE:
            self.full_read_seconds = now_seconds
        if self._active and number == self._call_number:
            self._succeed(answer, now_seconds)

    def _succeed(
        self, answer: platform_api.WatchResult, now_seconds: float
    ) -> None:
        if answer.revision < self._after_revision:
            # A cursor ahead of another or a restored replica of the platform
            # would hide that replica's changes.
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
    "MIN_GAP_SECONDS",
    "NO_VIEW_GAP_SECONDS",
    "TreeWatcher",
]
