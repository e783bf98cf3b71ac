"""Comparison of what two instances know of the published items.

Changes reach most instances through others. An instance that missed one, and
has every newer one, asks nobody for it: its numbers show no gap. Digests of
the items themselves do, whatever the gap came from (anti-entropy).
"""

from __future__ import annotations

from collections.abc import Callable
import random

from boragefold.coordination.fleet import members as members_module
import boragefold.coordination.link as links
from boragefold.protocol import ids
from boragefold.protocol import published_messages as messages
from boragefold.state import published_items
from boragefold.telemetry import counters as telemetry
from boragefold.telemetry import decision_log
from boragefold.timing import timers as timing

# Bounds, with the time of an exchange, how long a difference to the hubs of
# an instance lasts.
COMPARE_SECONDS = 1.0
DIFFERENCES = "published_differences"


class DigestExchange:
    """Sends digests to a random peer, and compares those of others."""

    def __init__(
        self,
        *,
        link: links.PeerLink,
        items: published_items.PublishedItems,
        members: members_module.Members,
        timers: timing.TimerService,
        counters: telemetry.Counters,
        log: decision_log.DecisionLog,
        rng: random.Random,
        on_difference: Callable[[ids.InstanceId, str], None] = (
            lambda peer, prefix: None
        ),
    ) -> None:
        """Compare what is received, and send nothing yet.

        :param link: to the peers
        :param items: the published items
        :param members: the other instances
        :param timers: the process clock
        :param counters: counts the differences by prefix
        :param log: gets a line when a prefix begins or ceases to differ
        :param rng: chooses the peer
        :param on_difference: called with a peer and the prefix of which it
            knows something else
        """
        self._link = link
        self._items = items
        self._members = members
        self._timers = timers
        self._counters = counters
        self._log = log
        self._rng = rng
        self._on_difference = on_difference
        self._differing: set[str] = set()
        link.subscribe(messages.PublishedDigests, self._handle)

    def start(self) -> None:
        """Send digests from now on."""
        self._timers.every(
            period_seconds=COMPARE_SECONDS, callback=self._send_to_one
        )

    def _send_to_one(self) -> None:
        if peers := self._members.direct_peers():
            self._send(self._rng.choice(peers).instance, is_reply=False)

    def _send(self, peer: ids.InstanceId, *, is_reply: bool) -> None:
        digests = tuple(
            messages.PrefixDigest(*state) for state in self._items.states()
        )
        body = messages.PublishedDigests(digests, is_reply)
        self._link.send(to=peer, body=body)

    def _handle(
        self, sender: ids.InstanceId, body: messages.PublishedDigests
    ) -> None:
        own = {state.prefix: state for state in self._items.states()}
        compared = [
            (theirs, own[theirs.prefix])
            for theirs in body.prefixes
            if theirs.prefix in own
            and _is_comparable(theirs, own[theirs.prefix])
        ]
        differing = [
            theirs.prefix
            for theirs, ours in compared
            if theirs.digest != ours.digest
        ]
        for theirs, ours in compared:
            self._record(sender, theirs, ours)
        for prefix in differing:
            self._on_difference(sender, prefix)
        if differing and not body.is_reply:
            self._send(sender, is_reply=True)

    def _record(
        self,
        sender: ids.InstanceId,
        theirs: messages.PrefixDigest,
        ours: published_items.PrefixState,
    ) -> None:
        prefix = theirs.prefix
        differs = theirs.digest != ours.digest
        if differs:
            self._counters.add(DIFFERENCES, prefix)
        if differs == (prefix in self._differing):
            return
        self._differing ^= {prefix}
        self._log.write(
            "published_differs" if differs else "published_agrees",
            prefix=prefix,
            peer=sender.address,
            newest_revision=ours.newest_revision,
            complete_revision=ours.complete_revision,
            peer_newest_revision=theirs.newest_revision,
            peer_complete_revision=theirs.complete_revision,
        )


def _is_comparable(
    theirs: messages.PrefixDigest, ours: published_items.PrefixState
) -> bool:
    # Whoever is behind by these numbers asks for the changes anyway.
    return (
        theirs.newest_revision <= ours.complete_revision
        and ours.newest_revision <= theirs.complete_revision
    )


__all__ = [
    "COMPARE_SECONDS",
    "DIFFERENCES",
    "DigestExchange",
]
