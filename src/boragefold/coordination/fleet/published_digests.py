"""Comparison of what two instances know of the published items.

Changes reach most instances through others. An instance that missed one, and
has every newer one, asks nobody for it: its numbers show no gap. Digests of
the items themselves do, whatever the gap came from (anti-entropy).
"""

from __future__ import annotations

from collections.abc import Callable
import random
from typing import NamedTuple

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
# Instances of two releases may differ in what matters to them: what a pull
# doesn't mend is pulled ever less often.
FIRST_PAUSE_SECONDS = 2.0
MAX_PAUSE_SECONDS = 60.0


class Difference(NamedTuple):
    """What a peer knows of a prefix differs; it is pulled again later."""

    again_at_seconds: float
    pause_seconds: float


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
        pull_all: Callable[[ids.InstanceId, str, int], None],
    ) -> None:
        """Compare what is received, and send nothing yet.

        :param link: to the peers
        :param items: the published items
        :param members: the other instances
        :param timers: the process clock
        :param counters: counts the differences by prefix
        :param log: gets a line when a prefix begins or ceases to differ
        :param rng: chooses the peer
        :param pull_all: requests from a peer what it knows below a prefix,
            of which the newest change has a revision
        """
        self._link = link
        self._items = items
        self._members = members
        self._timers = timers
        self._counters = counters
        self._log = log
        self._rng = rng
        self._pull_all = pull_all
        # By address of the peer, and prefix.
        self._differences: dict[tuple[str, str], Difference] = {}
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
        differing = [pair for pair in compared if _differ(*pair)]
        for theirs, ours in compared:
            if _differ(theirs, ours):
                self._handle_difference(sender, theirs, ours)
            elif self._differences.pop((sender.address, ours.prefix), None):
                self._write("published_agrees", sender, theirs, ours)
        if differing and not body.is_reply:
            self._send(sender, is_reply=True)

    def _handle_difference(
        self,
        sender: ids.InstanceId,
        theirs: messages.PrefixDigest,
        ours: published_items.PrefixState,
    ) -> None:
        self._counters.add(DIFFERENCES, ours.prefix)
        now_seconds = self._timers.now_seconds()
        known = self._differences.get((sender.address, ours.prefix))
        if known is None:
            self._write("published_differs", sender, theirs, ours)
            pause_seconds = FIRST_PAUSE_SECONDS
        elif now_seconds >= known.again_at_seconds:
            pause_seconds = min(2 * known.pause_seconds, MAX_PAUSE_SECONDS)
        else:
            return
        self._differences[sender.address, ours.prefix] = Difference(
            now_seconds + pause_seconds, pause_seconds
        )
        self._pull_all(sender, theirs.prefix, theirs.newest_revision)

    def _write(
        self,
        event: str,
        sender: ids.InstanceId,
        theirs: messages.PrefixDigest,
        ours: published_items.PrefixState,
    ) -> None:
        self._log.write(
            event,
            prefix=ours.prefix,
            peer=sender.address,
            newest_revision=ours.newest_revision,
            complete_revision=ours.complete_revision,
            peer_newest_revision=theirs.newest_revision,
            peer_complete_revision=theirs.complete_revision,
        )


def _differ(
    theirs: messages.PrefixDigest, ours: published_items.PrefixState
) -> bool:
    return theirs.digest != ours.digest


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
    "Difference",
    "DigestExchange",
]
