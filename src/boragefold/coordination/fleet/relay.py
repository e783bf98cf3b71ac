"""Forwarding of published changes between instances.

The store may refuse some instances while it serves others. These instances
would continue with outdated routes, keys and endpoints, while other instances
answer the same callers differently. Each heartbeat carries the newest
revision of its sender; an instance that is behind, and gets no answer from
the store, requests the missing changes. An answer is bounded; the rest is
requested as soon as it has come.
"""

from __future__ import annotations

from collections.abc import Callable
import math
from typing import NamedTuple

from boragefold.coordination.fleet import removal_grace
import boragefold.coordination.link as links
from boragefold.protocol import ids
from boragefold.protocol import peer_messages as messages
from boragefold.state import published_items
from boragefold.timing import timers as timing

# Without an answer within this time, the next peer is asked.
ASK_PAUSE_SECONDS = 0.3
# An item counts as published since the last heartbeat that showed nothing
# missing, if that isn't older than this.
CURRENT_SECONDS = 1.5
# Of the values in one answer; a link drops messages above 2 MiB.
MAX_ANSWER_BYTES = 1_000_000


class PullProgress(NamedTuple):
    """The changes that were requested last.

    By prefix, all changes after ``known`` are requested until ``wanted`` is
    reached.
    """

    peer: str
    known: dict[str, int]
    wanted: dict[str, int]


class Relay:
    """Requests published changes from peers and answers their requests."""

    def __init__(
        self,
        *,
        link: links.PeerLink,
        items: published_items.PublishedItems,
        timers: timing.TimerService,
        behind: Callable[[], bool],
        grace: removal_grace.RemovalGrace,
        is_store_read: Callable[[], bool] = lambda: True,
    ) -> None:
        """Start to answer requests.

        :param link: to the peers
        :param items: the published items
        :param timers: the process clock
        :param grace: delays removals after the store recovers
        :param behind: tells whether this instance doesn't read the store, or
            the store has not answered it lately
        :param is_store_read: tells whether a peer in contact reads the store
        """
        self._link = link
        self._items = items
        self._timers = timers
        self._behind = behind
        self._grace = grace
        self._is_store_read = is_store_read
        self._asked_at_seconds = -ASK_PAUSE_SECONDS
        self._current_at_seconds = -math.inf
        self._progress = PullProgress("", {}, {})
        link.subscribe(messages.Pull, self._handle_pull)
        link.subscribe(messages.Published, self._handle_published)

    def confirmed_at_seconds(self) -> float:
        """Return when a peer last showed that nothing newer is published.

        :return: reading of the process clock, minus infinity if none did
        """
        return self._current_at_seconds

    def on_beat(self, sender: ids.InstanceId, beat: messages.Beat) -> None:
        """Request the missing changes from a peer that has newer ones.

        :param sender: the peer
        :param beat: its heartbeat
        """
        now_seconds = self._timers.now_seconds()
        if not self._items.lacks(beat.told):
            if self._is_store_read():
                self._current_at_seconds = now_seconds
            return
        if not self._behind():
            return
        if now_seconds - self._asked_at_seconds < ASK_PAUSE_SECONDS:
            return
        self._asked_at_seconds = now_seconds
        self._pull(sender, known=self._items.complete, wanted=beat.told)

    def pull_all(
        self, peer: ids.InstanceId, prefix: str, revision: int
    ) -> None:
        """Request all that a peer knows below a prefix.

        :param peer: it knows something else than this instance, at the same
            revision
        :param prefix: the start of the keys
        :param revision: of the newest change that it knows
        """
        known = {**self._items.complete, prefix: 0}
        self._pull(peer, known=known, wanted={prefix: revision})

    def _pull(
        self,
        peer: ids.InstanceId,
        *,
        known: dict[str, int],
        wanted: dict[str, int],
    ) -> None:
        self._progress = PullProgress(peer.address, known, wanted)
        self._link.send(to=peer, body=messages.Pull(told=known))

    def _handle_pull(
        self, sender: ids.InstanceId, pull: messages.Pull
    ) -> None:
        changes = self._items.changes_after(
            pull.told, max_bytes=MAX_ANSWER_BYTES
        )
        items = tuple(
            messages.PublishedItem(item.key, item.revision, item.value)
            for item in changes.items
        )
        self._link.send(
            to=sender,
            body=messages.Published(
                told=changes.told,
                items=items,
                settling_seconds=self._grace.told_seconds(),
            ),
        )

    def _handle_published(
        self, sender: ids.InstanceId, body: messages.Published
    ) -> None:
        if body.settling_seconds:
            self._grace.store_recovered(body.settling_seconds)
        age_seconds = self._timers.now_seconds() - self._current_at_seconds
        is_recent = age_seconds <= CURRENT_SECONDS
        changed_at_seconds = self._current_at_seconds if is_recent else None
        items = (
            published_items.Item(*item, changed_at_seconds)
            for item in body.items
        )
        self._items.receive(items, told=body.told)
        self._pull_rest(sender, body.told)

    def _pull_rest(self, sender: ids.InstanceId, told: dict[str, int]) -> None:
        before = self._progress
        if sender.address != before.peer:
            return
        known = {
            prefix: max(told.get(prefix, 0), before.known.get(prefix, 0))
            for prefix in told.keys() | before.known.keys()
        }
        is_whole = all(
            known.get(prefix, 0) >= revision
            for prefix, revision in before.wanted.items()
        )
        if known != before.known and not is_whole:
            self._pull(sender, known=known, wanted=before.wanted)


__all__ = [
    "MAX_ANSWER_BYTES",
    "PullProgress",
    "Relay",
]
