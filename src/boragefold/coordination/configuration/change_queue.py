"""Applies the platform's answers to the configuration tree in batches."""

from __future__ import annotations

import collections
from collections.abc import Callable

from boragefold.protocol import platform_api
from boragefold.state import tree as trees
from boragefold.timing import timers as timing

# Validation blocks the event loop and delays the token streams it serves.
BATCH_BYTES = 64 * 1024
PAUSE_SECONDS = 0.01

Done = Callable[[], None]


class ChangeQueue:
    """A queue of published changes, in the order of the platform's answers."""

    def __init__(
        self, *, tree: trees.Tree, timers: timing.TimerService
    ) -> None:
        self._tree = tree
        self._timers = timers
        self._queue: collections.deque[platform_api.PublishedChange | Done] = (
            collections.deque()
        )

    def add(
        self, changes: tuple[platform_api.PublishedChange, ...], done: Done
    ) -> None:
        """Queue an answer; if the queue was empty, apply a batch at once.

        :param changes: the changes of the answer
        :param done: called once all of the changes have been applied
        """
        was_idle = not self._queue
        self._queue.extend((*changes, done))
        if was_idle:
            self._apply_batch()

    def _apply_batch(self) -> None:
        applied_bytes = 0
        while self._queue and applied_bytes < BATCH_BYTES:
            item = self._queue.popleft()
            if isinstance(item, platform_api.PublishedChange):
                path, revision, data = item
                self._tree.apply(path=path, revision=revision, data=data)
                applied_bytes += len(data or b"")
            else:
                item()
        if self._queue:
            self._timers.once(
                delay_seconds=PAUSE_SECONDS, callback=self._apply_batch
            )


__all__ = [
    "ChangeQueue",
]
