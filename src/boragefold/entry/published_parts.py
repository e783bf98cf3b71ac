"""Connects what reads, relays and compares the published items."""

from __future__ import annotations

from collections.abc import Callable
import random
from typing import NamedTuple

from boragefold.coordination.fleet import members as members_module
from boragefold.coordination.fleet import published_digests
from boragefold.coordination.fleet import readers
from boragefold.coordination.fleet import relay as relays
from boragefold.coordination.fleet import removal_grace
import boragefold.coordination.link as links
from boragefold.entry import published_age
from boragefold.entry import store_dialect
from boragefold.entry import store_followers
from boragefold.state import fleet as fleets
from boragefold.state import published_items
from boragefold.telemetry import counters as telemetry
from boragefold.telemetry import decision_log
from boragefold.timing import timers as timing
from boragefold.transport import http_client


class PublishedFormat(NamedTuple):
    """How the platform publishes items.

    ``prefixes`` are the key prefixes that are read, of which the items below
    ``renewed_prefix`` are renewed all the time. ``must_relay`` tells which
    changes must reach instances that don't read the store, ``age_item``
    returns an item as it would be written later, and ``relayed_content`` what
    instances have to agree on of an item. ``make_subscriber`` creates what
    applies items to the fleet.
    """

    dialect: store_dialect.StoreDialect
    prefixes: tuple[str, ...]
    renewed_prefix: str
    must_relay: published_items.Matters
    age_item: published_items.Age
    relayed_content: published_items.Content
    make_subscriber: Callable[
        [fleets.Fleet, removal_grace.RemovalGrace],
        published_items.Subscriber,
    ]


class PublishedParts:
    """The published items of an instance, and what keeps them current."""

    def __init__(
        self,
        *,
        published: PublishedFormat,
        fleet: fleets.Fleet,
        client: http_client.HttpClient,
        link: links.PeerLink,
        members: members_module.Members,
        timers: timing.TimerService,
        counters: telemetry.Counters,
        log: decision_log.DecisionLog,
        rng: random.Random,
        renewal_seconds: float,
    ) -> None:
        """Connect the parts without starting any.

        :param published: how the platform publishes items
        :param fleet: the published items are applied to it
        :param client: sends the calls on the store
        :param link: to the peers
        :param members: the other instances
        :param timers: the process clock
        :param counters: metrics of this process
        :param log: decision log of this process
        :param rng: adds jitter, and chooses peers
        :param renewal_seconds: interval at which endpoints renew their entries
        """
        self.items = published_items.PublishedItems(
            matters=published.must_relay,
            prefixes=published.prefixes,
            age=published.age_item,
            content=published.relayed_content,
            now_seconds=timers.now_seconds,
        )
        grace = removal_grace.RemovalGrace(
            timers=timers,
            drop=fleet.drop_endpoint,
            peer_had_store=members.is_store_read,
            renewal_seconds=renewal_seconds,
        )
        self.items.subscribe(published.make_subscriber(fleet, grace))
        self.followers = store_followers.StoreFollowers(
            prefixes=published.prefixes,
            renewed_prefix=published.renewed_prefix,
            dialect=published.dialect,
            client=client,
            items=self.items,
            timers=timers,
            counters=counters,
            log=log,
            rng=rng,
            must_read=readers.ReaderRole(
                self_id=link.self_id, members=members
            ).must_read,
            grace=grace,
        )
        self.relay = relays.Relay(
            link=link,
            items=self.items,
            timers=timers,
            behind=self.followers.may_be_behind,
            grace=grace,
            is_store_read=members.is_store_read,
        )
        self._digests = published_digests.DigestExchange(
            link=link,
            items=self.items,
            members=members,
            timers=timers,
            counters=counters,
            log=log,
            rng=rng,
            pull_all=self.relay.pull_all,
        )
        self.age = published_age.PublishedAge(
            confirmed_at_seconds=self._confirmed_at_seconds,
            timers=timers,
            counters=counters,
            log=log,
        )

    def start(self) -> None:
        """Read the store, and compare with peers, from now on."""
        self.followers.start()
        self.age.start()
        self._digests.start()

    def _confirmed_at_seconds(self) -> float:
        return max(
            self.followers.confirmed_at_seconds(),
            self.relay.confirmed_at_seconds(),
        )


__all__ = [
    "PublishedFormat",
    "PublishedParts",
]
