"""Forwarding of published changes between instances.

The store may refuse some instances while it serves others. These instances
would continue with outdated routes, keys and endpoints, while other instances
answer the same callers differently. Each heartbeat carries the newest
revision of its sender; an instance that is behind, and gets no answer from
the store, requests the missing changes.
"""

from __future__ import annotations

from collections.abc import Callable
import math

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
        pull = messages.Pull(told=dict(self._items.told))
        self._link.send(to=sender, body=pull)

    def _handle_pull(
        self, sender: ids.InstanceId, pull: messages.Pull
    ) -> None:
        items = tuple(
            messages.PublishedItem(item.key, item.revision, item.value)
            for item in self._items.after(pull.told)
        )
        self._link.send(
            to=sender,
            body=messages.Published(
                told=dict(self._items.told),
                items=items,
                settling_seconds=self._grace.remaining_seconds(),
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
        newest = max(body.told.values(), default=0)
        self._items.take(items, revision=newest, told=body.told)


__all__ = [
    "Relay",
]
