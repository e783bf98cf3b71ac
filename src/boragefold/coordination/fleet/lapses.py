"""Endpoints whose entries lapsed while the store was away.

Endpoints renew their entries in the store. While it is down nobody can, and
when it returns, entries of sound endpoints may be missing for a moment until
they have registered anew. Dropped at once, whole services would have no
endpoint just when their callers come back. So a removal that is read right
after the store's return waits; an entry that is back by then never went.
"""

from __future__ import annotations

from collections.abc import Callable

from boragefold.timing import timers as timing

# Live endpoints have renewed their entries by then.
RETURN_SECONDS = 2.3


class Lapses:
    """Decides when a removed endpoint is really dropped."""

    def __init__(
        self,
        *,
        timers: timing.TimerService,
        drop: Callable[[str], None],
        store_was_up: Callable[[], bool] = lambda: False,
    ) -> None:
        """Begin with a store that is sound.

        :param timers: the process clock
        :param drop: drops an endpoint for good
        :param store_was_up: tells whether a peer has had the store all along:
            then it turned only us away, no entry lapsed, and a removal is one
        """
        self._store_was_up = store_was_up
        self._timers = timers
        self._drop = drop
        self._until_seconds = 0.0
        self._missing: set[str] = set()

    def settling_seconds(self) -> float:
        """Tell how long removals still wait.

        :return: seconds; 0 when they count at once
        """
        return max(0.0, self._until_seconds - self._timers.now_seconds())

    def store_returned(self, within_seconds: float = RETURN_SECONDS) -> None:
        """Note that the store answers again, here or at a peer.

        :param within_seconds: how long endpoints may take to come back
        """
        until_seconds = self._timers.now_seconds() + within_seconds
        self._until_seconds = max(self._until_seconds, until_seconds)

    def removed(self, endpoint: str) -> None:
        """Note that an endpoint's entry was removed.

        :param endpoint: its name
        """
        wait_seconds = self.settling_seconds()
        if not wait_seconds or self._store_was_up():
            self._drop(endpoint)
            return
        self._missing.add(endpoint)
        self._timers.once(
            delay_seconds=wait_seconds,
            callback=lambda: self._drop_missing(endpoint),
        )

    def present(self, endpoint: str) -> None:
        """Note that an endpoint's entry is there.

        :param endpoint: its name
        """
        self._missing.discard(endpoint)

    def _drop_missing(self, endpoint: str) -> None:
        if endpoint in self._missing:
            self._missing.discard(endpoint)
            self._drop(endpoint)


__all__ = [
    "Lapses",
    "RETURN_SECONDS",
]
