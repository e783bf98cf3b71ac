"""Tells other instances which endpoints leave by the platform's list."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from boragefold.coordination.configuration import listing as listings
from boragefold.coordination.configuration import peers as peering
import boragefold.coordination.link as links
from boragefold.protocol import config_messages as messages
from boragefold.protocol import ids
from boragefold.protocol import platform_api
from boragefold.state import endpoints
from boragefold.telemetry import counters as telemetry

# Bounds a message.
MARKS_PER_MESSAGE = 400
# Marks that were undone are passed on too, or a peer would bring them back.
UNDONE_PASSED_ON = 256


class LeavingNews:
    """Spreads marks, because lists lag and two readers see different ones."""

    def __init__(
        self,
        *,
        link: links.PeerLink,
        index: endpoints.EndpointIndex,
        peers: peering.Peers,
        counters: telemetry.Counters,
    ) -> None:
        self._link = link
        self._index = index
        self._peers = peers
        self._counters = counters
        link.subscribe(messages.ConfigurationMarks, self._on_marks)

    def root(self) -> int:
        """Hash the marks of the endpoints that leave.

        :return: the same number on instances that know the same
        """
        leaving = sorted(
            mark.address for mark in self._index.marks() if mark.leaving
        )
        return xxhash.xxh3_64_intdigest("\0".join(leaving).encode())

    def note_listing(self, listing: platform_api.Listing) -> None:
        """Learn from the platform's list, and tell the view what is new.

        :param listing: the list
        """
        marks = listings.marks_of(listing, self._index)
        news = self._index.mark(marks)
        if news:
            self._counters.add("leaving_marks", "list", len(news))
            for member in self._peers.members():
                self._send(member, news, is_reply=True)

    def send_all(self, to: ids.InstanceId, *, is_reply: bool = False) -> None:
        """Tell another instance what we know.

        :param to: which instance
        :param is_reply: whether it has told us already
        """
        self._send(to, self._marks(), is_reply=is_reply)

    def _marks(self) -> list[messages.LeavingMark]:
        marks = self._index.marks()
        undone = [mark for mark in marks if not mark.leaving]
        leaving = [mark for mark in marks if mark.leaving]
        return leaving + undone[-UNDONE_PASSED_ON:]

    def _send(
        self,
        to: ids.InstanceId,
        marks: Iterable[messages.LeavingMark],
        *,
        is_reply: bool,
    ) -> None:
        remaining = tuple(marks)
        while remaining:
            page = remaining[:MARKS_PER_MESSAGE]
            remaining = remaining[MARKS_PER_MESSAGE:]
            body = messages.ConfigurationMarks(page, is_reply)
            self._link.send(to=to, body=body)

    def _on_marks(
        self, sender: ids.InstanceId, body: messages.ConfigurationMarks
    ) -> None:
        news = self._index.mark(body.marks)
        if news:
            self._counters.add("leaving_marks", "peer", len(news))
        if not body.is_reply:
            self.send_all(sender, is_reply=True)


__all__ = [
    "LeavingNews",
]
