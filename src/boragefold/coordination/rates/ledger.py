"""One bucket, and the account of what was given out of it.

Tokens that were given out *occupy* the bucket while somebody may still charge
them: at every instant ``level + occupied <= burst``. Whatever is charged in a
window therefore comes out of at most one burst and the window's refill.

What a request reserved but did not use comes back when it ends, often many
seconds after it was charged. Adding it to the level would allow more than one
burst if the bucket was full in between. So the bucket is replayed from the
moment of the charge with the smaller amount: the level becomes what it would
have been, had the use been known.
"""

from __future__ import annotations

import bisect
import dataclasses
import itertools

from boragefold.coordination.rates import bucket as buckets
from boragefold.coordination.rates import limits
from boragefold.protocol import ids

# Bounds a replay; older requests lose their remainder.
MOST_EVENTS = 1000


_Key = tuple[ids.InstanceId, int]


class Ledger:
    """A token bucket whose level and given-out tokens share the burst."""

    def __init__(
        self, *, limit: limits.Limit, now_seconds: float, wait_seconds: float
    ) -> None:
        """Start empty; the refill begins after a wait.

        :param limit: rate and burst of this bucket
        :param now_seconds: the moment the right was gained
        :param wait_seconds: how long a former holder's tokens may live
        """
        self._limit = limit
        self._starts_at_seconds = now_seconds + wait_seconds
        self._past = buckets.Bucket(at_seconds=self._starts_at_seconds)
        self._now = dataclasses.replace(self._past)
        self._open: dict[_Key, buckets.Entry] = {}
        self._events: list[buckets.Event] = []
        self._applied = 0
        self._stale = False
        self._order = itertools.count()

    @property
    def limit(self) -> limits.Limit:
        """Tell what the bucket allows.

        :return: rate and burst in force
        """
        return self._limit

    @property
    def level_tokens(self) -> float:
        """Tell how much can be given, as of the last :meth:`advance`.

        :return: tokens
        """
        return max(0.0, self._now.level_tokens)

    @property
    def occupied_tokens(self) -> float:
        """Tell how much was given and may still be charged.

        :return: tokens
        """
        return max(0.0, self._now.occupied_tokens)

    def starts_in_seconds(self, now_seconds: float) -> float:
        """Tell how long the wait of a new holder still lasts.

        :param now_seconds: the clock
        :return: seconds, zero when the bucket refills
        """
        return max(0.0, self._starts_at_seconds - now_seconds)

    def change(self, limit: limits.Limit, *, now_seconds: float) -> None:
        """Put another rate and burst in force at once.

        :param limit: the new ones
        :param now_seconds: the clock
        """
        if limit == self._limit:
            return
        self.advance(now_seconds)
        self.recount()
        # Open requests lose their remainder; what may still be charged stays.
        self._open.clear()
        self._fold(now_seconds)
        self._limit = limit
        self._past.fit(limit)
        self._now.fit(limit)

    def advance(self, now_seconds: float) -> None:
        """Refill, and let what has ended give up its place.

        :param now_seconds: the clock
        """
        while self._applied < len(self._events):
            event = self._events[self._applied]
            if event.at_seconds > now_seconds:
                break
            self._now.apply(self._limit, event)
            self._applied += 1
        self._now.refill(self._limit, now_seconds)

    def give(
        self,
        *,
        asker: ids.InstanceId,
        number: int,
        tokens: float,
        now_seconds: float,
    ) -> None:
        """Debit tokens before they are sent.

        :param asker: who gets them
        :param number: the number of its request, never used before
        :param tokens: at most the level
        :param now_seconds: the clock, as last given to :meth:`advance`
        """
        self._open[asker, number] = self._occupy(tokens, now_seconds)

    def report(
        self,
        *,
        asker: ids.InstanceId,
        number: int,
        charged_tokens: float,
        final: bool,
        now_seconds: float,
    ) -> None:
        """Take back what was not charged; unknown entries are ignored.

        :param asker: who got the tokens
        :param number: the number of its request
        :param charged_tokens: what was charged, and not given back
        :param final: whether no more will come back
        :param now_seconds: the clock, as last given to :meth:`advance`
        """
        entry = self._open.get((asker, number))
        if entry is None:
            return
        if charged_tokens < entry.charged_tokens:
            entry.charged_tokens = max(0.0, charged_tokens)
            self._stale = True
        if final:
            self._finish((asker, number), now_seconds)
        elif not self._limit.hold_seconds:
            self._free(entry, now_seconds)
        self.advance(now_seconds)

    def recount(self) -> None:
        """Replay the bucket with what was reported since the last time.

        Until then the level is too low, never too high.
        """
        if not self._stale:
            return
        self._stale = False
        now_seconds = self._now.at_seconds
        self._now = dataclasses.replace(self._past)
        self._applied = 0
        self.advance(now_seconds)

    def settle_old(self, now_seconds: float) -> None:
        """Stop waiting for what is too old to come back.

        :param now_seconds: the clock, as last given to :meth:`advance`
        """
        oldest_seconds = now_seconds - limits.REFUND_SECONDS
        many = len(self._events) - MOST_EVENTS
        if many > 0:
            oldest_seconds = max(oldest_seconds, self._events[many].at_seconds)
        old = [
            key
            for key, entry in self._open.items()
            if entry.given_at_seconds < oldest_seconds
            and entry.free_at_seconds <= now_seconds
        ]
        for key in old:
            self._finish(key, now_seconds)
        self.recount()
        self._fold(now_seconds)

    def inherit(
        self,
        *,
        level_tokens: float,
        occupied_tokens: float,
        now_seconds: float,
    ) -> None:
        """Go on from where a former holder gave up; ends the wait.

        :param level_tokens: its level
        :param occupied_tokens: what it gave out and may still be charged
        :param now_seconds: the clock
        """
        self._starts_at_seconds = now_seconds
        whole_tokens = level_tokens + occupied_tokens
        self._past = buckets.Bucket(
            at_seconds=now_seconds, level_tokens=whole_tokens
        )
        self._past.fit(self._limit)
        self._now = dataclasses.replace(self._past)
        self._occupy(min(occupied_tokens, self._now.level_tokens), now_seconds)

    def _occupy(self, tokens: float, now_seconds: float) -> buckets.Entry:
        life_seconds = limits.GRANT_SECONDS + limits.MARGIN_SECONDS
        entry = buckets.Entry(
            given_at_seconds=now_seconds,
            charged_tokens=tokens,
            free_at_seconds=now_seconds
            + life_seconds
            + self._limit.hold_seconds,
        )
        self._insert(now_seconds, entry, given=True)
        self._insert(entry.free_at_seconds, entry, given=False)
        self.advance(now_seconds)
        return entry

    def _insert(
        self, at_seconds: float, entry: buckets.Entry, *, given: bool
    ) -> None:
        event = buckets.Event(at_seconds, next(self._order), entry, given)
        bisect.insort(self._events, event, key=lambda each: each[:2])

    def _free(self, entry: buckets.Entry, now_seconds: float) -> None:
        if entry.free_at_seconds > now_seconds:
            entry.free_at_seconds = now_seconds
            self._insert(now_seconds, entry, given=False)

    def _finish(self, key: _Key, now_seconds: float) -> None:
        entry = self._open.pop(key)
        entry.final = True
        self._free(entry, now_seconds)

    def _fold(self, now_seconds: float) -> None:
        """Forget the events before the oldest open entry."""
        self.advance(now_seconds)
        oldest = next(iter(self._open.values()), None)
        until_seconds = now_seconds
        if oldest is not None:
            until_seconds = min(until_seconds, oldest.given_at_seconds)
        count = 0
        for event in self._events[: self._applied]:
            if event.at_seconds >= until_seconds:
                break
            self._past.apply(self._limit, event)
            count += 1
        del self._events[:count]
        self._applied -= count


__all__ = [
    "Ledger",
    "MOST_EVENTS",
]
