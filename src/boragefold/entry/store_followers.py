"""The followers of all prefixes of the store, taken together."""

from __future__ import annotations

from collections.abc import Callable
import random

from boragefold.coordination.fleet import lapses as lapses_module
from boragefold.entry import store_follower
from boragefold.state import published_items
from boragefold.telemetry import counters as telemetry
from boragefold.telemetry import decision_log
from boragefold.timing import timers as timing
from boragefold.transport import http_client


class StoreFollowers:
    """One follower a prefix, and what they say of the store together."""

    def __init__(
        self,
        *,
        prefixes: tuple[str, ...],
        dialect: store_follower.StoreDialect,
        client: http_client.HttpClient,
        items: published_items.PublishedItems,
        timers: timing.TimerService,
        counters: telemetry.Counters,
        log: decision_log.DecisionLog,
        rng: random.Random,
        wanted: Callable[[], bool],
        lapses: lapses_module.Lapses,
    ) -> None:
        """Make the followers; none reads yet.

        :param prefixes: the starts of the keys that are read
        :param dialect: speaks with the store
        :param client: makes the calls
        :param items: what is published
        :param timers: the process clock
        :param counters: of this process
        :param log: of this process
        :param rng: spreads the retries
        :param wanted: tells whether this instance has to read
        :param lapses: learns that the store is back
        """
        self._lapses = lapses
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
                wanted=wanted,
                returned=lapses.store_returned,
            )
            for prefix in prefixes
        ]

    def start(self) -> None:
        """Begin to read."""
        for follower in self._followers:
            follower.start()

    def any_stale(self) -> bool:
        """Tell whether anything published may be out of date here.

        :return: whether the store has not answered a follower for long
        """
        return any(follower.is_stale() for follower in self._followers)

    def any_lost(self) -> bool:
        """Tell whether the store failed us last.

        :return: whether it failed a follower
        """
        return any(follower.is_lost() for follower in self._followers)

    def is_store_sound(self) -> bool:
        """Tell whether others can rely on the store's being up.

        :return: whether it has answered just now and lately always did
        """
        if self._lapses.settling_seconds() > 0 or self.any_lost():
            return False
        # A watch on what rarely changes is silent; that on endpoints isn't.
        return any(follower.is_sound() for follower in self._followers)


__all__ = [
    "StoreFollowers",
]
