"""A token bucket together with the record of the tokens granted from it.

Granted tokens *occupy* the bucket while their receiver may still charge them:
``level + occupied <= burst`` holds at all times. The tokens charged in any
time window are therefore limited to one burst plus the refill of the window.

The unused part of a reservation is returned when its request ends, often many
seconds after the charge. Adding it to the level would allow more than one
burst if the bucket was full in between. Instead the bucket is replayed from
the time of the charge with the smaller amount, so that the level is the one
that would have resulted if the use had been known from the start.
"""

from __future__ import annotations

import bisect
import dataclasses
import itertools

from boragefold.coordination.rates import bucket as buckets
from boragefold.coordination.rates import limits
from boragefold.protocol import ids

# Bounds the cost of a replay; the oldest entries beyond it are finished, and
# their unused tokens are no longer returned.
MAX_EVENTS = 1000


_Key = tuple[ids.InstanceId, int]


class Ledger:
    """A token bucket whose level and given-out tokens share the burst."""

    def __init__(
        self, *, limit: limits.Limit, now_seconds: float, wait_seconds: float
    ) -> None:
        """Create an empty bucket that refills after a delay.

        :param limit: rate and burst of this bucket
        :param now_seconds: time at which this instance became the holder
        :param wait_seconds: how long tokens of a previous holder stay valid
        """
        self._limit = limit
        self._starts_at_seconds = now_seconds + wait_seconds
        self._base = buckets.Bucket(at_seconds=self._starts_at_seconds)
        self._current = dataclasses.replace(self._base)
        self._open_entries: dict[_Key, buckets.Entry] = {}
        self._events: list[buckets.Event] = []
        self._applied = 0
        self._needs_replay = False
        self._order = itertools.count()

    @property
    def limit(self) -> limits.Limit:
        """Return the limit in force.

        :return: rate and burst
        """
        return self._limit

    @property
    def level_tokens(self) -> float:
        """Return what can be granted as of the last :meth:`advance`.

        :return: tokens
        """
        return max(0.0, self._current.level_tokens)

    @property
    def occupied_tokens(self) -> float:
        """Return what was granted and may still be charged.

        :return: tokens
        """
        return max(0.0, self._current.occupied_tokens)

    def starts_in_seconds(self, now_seconds: float) -> float:
        """Return the remaining time until the bucket of a new holder refills.

        :param now_seconds: current time
        :return: seconds, zero if the bucket already refills
        """
        return max(0.0, self._starts_at_seconds - now_seconds)

    def change_limit(self, limit: limits.Limit, *, now_seconds: float) -> None:
        """Apply another rate and burst immediately.

        :param limit: the new rate and burst
        :param now_seconds: current time
        """
        if limit == self._limit:
            return
        self.advance(now_seconds)
        self.replay()
        # Entries of running requests are dropped, so their unused tokens are
        # not returned. Tokens that may still be charged stay occupied.
        self._open_entries.clear()
        self._fold_events(now_seconds)
        self._limit = limit
        self._base.clamp(limit)
        self._current.clamp(limit)

    def advance(self, now_seconds: float) -> None:
        """Refill the bucket and free the tokens of expired grants.

        :param now_seconds: current time
        """
        while self._applied < len(self._events):
            event = self._events[self._applied]
            if event.at_seconds > now_seconds:
                break
            self._current.apply(self._limit, event)
            self._applied += 1
        self._current.refill(self._limit, now_seconds)

    def debit(
        self,
        *,
        asker: ids.InstanceId,
        number: int,
        tokens: float,
        now_seconds: float,
    ) -> None:
        """Debit tokens before they are sent.

        :param asker: instance that receives the tokens
        :param number: unique number of its request
        :param tokens: at most the level
        :param now_seconds: time of the last :meth:`advance`
        """
        self._open_entries[asker, number] = self._occupy(tokens, now_seconds)

    def report(
        self,
        *,
        asker: ids.InstanceId,
        number: int,
        charged_tokens: float,
        final: bool,
        now_seconds: float,
    ) -> None:
        """Return tokens that were not charged; ignores unknown entries.

        :param asker: instance that received the tokens
        :param number: number of its request
        :param charged_tokens: tokens that were charged and not returned
        :param final: whether no more tokens will be returned
        :param now_seconds: time of the last :meth:`advance`
        """
        entry = self._open_entries.get((asker, number))
        if entry is None:
            return
        if charged_tokens < entry.charged_tokens:
            entry.charged_tokens = max(0.0, charged_tokens)
            self._needs_replay = True
        if final:
            self._finish((asker, number), now_seconds)
        elif not self._limit.hold_seconds:
            self._free(entry, now_seconds)
        self.advance(now_seconds)

    def replay(self) -> None:
        """Replay the bucket with the reports since the last replay.

        Without the replay the level is too low, never too high.
        """
        if not self._needs_replay:
            return
        self._needs_replay = False
        now_seconds = self._current.at_seconds
        self._current = dataclasses.replace(self._base)
        self._applied = 0
        self.advance(now_seconds)

    def finish_old(self, now_seconds: float) -> None:
        """Finish entries that are too old for their tokens to be returned.

        :param now_seconds: time of the last :meth:`advance`
        """
        oldest_seconds = now_seconds - limits.SETTLE_TIMEOUT_SECONDS
        excess_events = len(self._events) - MAX_EVENTS
        if excess_events > 0:
            oldest_seconds = max(
                oldest_seconds, self._events[excess_events].at_seconds
            )
        old = [
            key
            for key, entry in self._open_entries.items()
            if entry.granted_at_seconds < oldest_seconds
            and entry.free_at_seconds <= now_seconds
        ]
        for key in old:
            self._finish(key, now_seconds)
        self.replay()
        self._fold_events(now_seconds)

    def inherit(
        self,
        *,
        level_tokens: float,
        occupied_tokens: float,
        now_seconds: float,
    ) -> None:
        """Continue from a previous holder's bucket without the initial delay.

        :param level_tokens: level of that bucket
        :param occupied_tokens: its granted tokens that may still be charged
        :param now_seconds: current time
        """
        self._starts_at_seconds = now_seconds
        whole_tokens = level_tokens + occupied_tokens
        self._base = buckets.Bucket(
            at_seconds=now_seconds, level_tokens=whole_tokens
        )
        self._base.clamp(self._limit)
        self._current = dataclasses.replace(self._base)
        self._occupy(
            min(occupied_tokens, self._current.level_tokens), now_seconds
        )

    def _occupy(self, tokens: float, now_seconds: float) -> buckets.Entry:
        life_seconds = limits.GRANT_VALID_SECONDS + limits.CLOCK_DRIFT_SECONDS
        entry = buckets.Entry(
            granted_at_seconds=now_seconds,
            charged_tokens=tokens,
            free_at_seconds=now_seconds
            + life_seconds
            + self._limit.hold_seconds,
        )
        self._insert_event(now_seconds, entry, given=True)
        self._insert_event(entry.free_at_seconds, entry, given=False)
        self.advance(now_seconds)
        return entry

    def _insert_event(
        self, at_seconds: float, entry: buckets.Entry, *, given: bool
    ) -> None:
        event = buckets.Event(at_seconds, next(self._order), entry, given)
        bisect.insort(self._events, event, key=lambda each: each[:2])

    def _free(self, entry: buckets.Entry, now_seconds: float) -> None:
        if entry.free_at_seconds > now_seconds:
            entry.free_at_seconds = now_seconds
            self._insert_event(now_seconds, entry, given=False)

    def _finish(self, key: _Key, now_seconds: float) -> None:
        entry = self._open_entries.pop(key)
        entry.final = True
        self._free(entry, now_seconds)

    def _fold_events(self, now_seconds: float) -> None:
        """Apply events before the oldest open entry to the past bucket."""
        self.advance(now_seconds)
        oldest = next(iter(self._open_entries.values()), None)
        until_seconds = now_seconds
        if oldest is not None:
            until_seconds = min(until_seconds, oldest.granted_at_seconds)
        count = 0
        for event in self._events[: self._applied]:
            if event.at_seconds >= until_seconds:
                break
            self._base.apply(self._limit, event)
            count += 1
        del self._events[:count]
        self._applied -= count


__all__ = [
    "Ledger",
    "MAX_EVENTS",
]
