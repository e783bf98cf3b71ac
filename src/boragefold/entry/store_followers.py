"""Follows all prefixes of the store and sums up its health."""

from __future__ import annotations

from collections.abc import Callable
import random

from boragefold.coordination.fleet import removal_grace
from boragefold.entry import store_dialect
from boragefold.entry import store_follower
from boragefold.state import published_items
from boragefold.telemetry import counters as telemetry
from boragefold.telemetry import decision_log
from boragefold.timing import timers as timing
from boragefold.transport import http_client


class StoreFollowers:
    """One follower for each key prefix, and the store's health over all."""

    def __init__(
        self,
        *,
        prefixes: tuple[str, ...],
        renewed_prefix: str,
        dialect: store_dialect.StoreDialect,
        client: http_client.HttpClient,
        items: published_items.PublishedItems,
        timers: timing.TimerService,
        counters: telemetry.Counters,
        log: decision_log.DecisionLog,
        rng: random.Random,
        must_read: Callable[[], bool],
        grace: removal_grace.RemovalGrace,
    ) -> None:
        """Create the followers without starting them.

        :param prefixes: key prefixes that are read
        :param renewed_prefix: the one whose items are renewed all the time
        :param dialect: encodes and decodes the calls on the store
        :param client: sends the calls
        :param items: stores the published items
        :param timers: the process clock
        :param counters: metrics of this process
        :param log: decision log of this process
        :param rng: adds jitter to the retries
        :param must_read: tells whether this instance has to read the store
        :param grace: is notified when the store is back
        """
        self._grace = grace
        self._followers = [
            store_follower.StoreFollower(
                prefix=prefix,
                dialect=dialect,
                client=client,
                items=items,
                timers=timers,
                counters=counters,
                log=log,
                rng=rng,
                poll_seconds=(
                    store_follower.RENEWED_POLL_SECONDS
                    if prefix == renewed_prefix
                    else store_follower.LONG_POLL_SECONDS
                ),
                must_read=must_read,
                on_answer=(
                    grace.store_answered
                    if prefix == renewed_prefix
                    else lambda has_recovered, written_since: None
                ),
            )
            for prefix in prefixes
        ]

    def start(self) -> None:
        """Start all followers."""
        for follower in self._followers:
            follower.start()

    def any_stale(self) -> bool:
        """Tell whether any published items may be out of date.

        :return: whether a follower's last answer from the store is too old
        """
        return any(follower.is_stale() for follower in self._followers)

    def confirmed_at_seconds(self) -> float:
        """Return when the store last showed that nothing newer is published.

        :return: reading of the process clock for the prefix that is followed
            worst, minus infinity if one was never read
        """
        return min(
            follower.confirmed_at_seconds() for follower in self._followers
        )

    def may_be_behind(self) -> bool:
        """Return whether peers may know more than this instance.

        :return: whether it doesn't read the store, or has no good answer
        """
        return self.any_stale() or self.any_failing()

    def any_failing(self) -> bool:
        """Tell whether the store failed any follower.

        :return: whether a follower's last call failed or is overdue
        """
        return any(follower.is_failing() for follower in self._followers)

    def is_store_healthy(self) -> bool:
        """Tell whether others can rely on the store being up.

        :return: whether it has just answered and hasn't failed recently
        """
        if self._grace.remaining_seconds() > 0 or self.any_failing():
            return False
        # A watch on a rarely changed prefix gets no answers for long, but
        # endpoints renew their entries all the time.
        return any(follower.is_healthy() for follower in self._followers)


__all__ = [
    "StoreFollowers",
]
