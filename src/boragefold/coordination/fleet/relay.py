"""What was published, passed on between instances.

The store turns some instances away while it serves the others. Those would
go on with routes, keys and endpoints that are no more, while their callers
are answered differently elsewhere. Each heartbeat tells the sender's newest
revision; whoever is behind, and has no answer of the store, asks for the rest.
"""

from __future__ import annotations

from collections.abc import Callable

from boragefold.coordination.fleet import lapses as lapses_module
import boragefold.coordination.link as links
from boragefold.protocol import ids
from boragefold.protocol import peer_messages as messages
from boragefold.state import published_items
from boragefold.timing import timers as timing

# After this the next peer is asked.
ASK_PAUSE_SECONDS = 0.3


class Relay:
    """Asks peers for what the store doesn't tell, and answers them."""

    def __init__(
        self,
        *,
        link: links.PeerLink,
        items: published_items.PublishedItems,
        timers: timing.TimerService,
        behind: Callable[[], bool],
        lapses: lapses_module.Lapses,
    ) -> None:
        """Begin to answer.

        :param link: to the peers
        :param items: what was published
        :param timers: the process clock
        :param lapses: delays removals after the store's return
        :param behind: tells whether we don't read the store, or it has not
            answered lately
        """
        self._link = link
        self._items = items
        self._timers = timers
        self._behind = behind
        self._lapses = lapses
        self._asked_at_seconds = -ASK_PAUSE_SECONDS
        link.subscribe(messages.Pull, self._answer)
        link.subscribe(messages.Published, self._take)

    def on_beat(self, sender: ids.InstanceId, beat: messages.Beat) -> None:
        """Ask a peer that knows more than we do.

        :param sender: the peer
        :param beat: its heartbeat
        """
        now_seconds = self._timers.now_seconds()
        if not self._items.lacks(beat.told) or not self._behind():
            return
        if now_seconds - self._asked_at_seconds < ASK_PAUSE_SECONDS:
            return
        self._asked_at_seconds = now_seconds
        pull = messages.Pull(told=dict(self._items.told))
        self._link.send(to=sender, body=pull)

    def _answer(self, sender: ids.InstanceId, pull: messages.Pull) -> None:
        items = tuple(
            messages.PublishedItem(*item)
            for item in self._items.after(pull.told)
        )
        self._link.send(
            to=sender,
            body=messages.Published(
                told=dict(self._items.told),
                items=items,
                settling_seconds=self._lapses.settling_seconds(),
            ),
        )

    def _take(self, sender: ids.InstanceId, body: messages.Published) -> None:
        if body.settling_seconds:
            self._lapses.store_returned(body.settling_seconds)
        items = (published_items.Item(*item) for item in body.items)
        newest = max(body.told.values(), default=0)
        self._items.take(items, revision=newest, told=body.told)


__all__ = [
    "Relay",
]
