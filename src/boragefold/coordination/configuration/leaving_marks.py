"""Shares which endpoints the platform's list reports as leaving."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from boragefold.coordination.configuration import list_poller as list_pollers
from boragefold.coordination.configuration import peers as peering
import boragefold.coordination.link as links
from boragefold.protocol import config_messages as messages
from boragefold.protocol import ids
from boragefold.protocol import platform_api
from boragefold.state import endpoints
from boragefold.telemetry import counters as telemetry

# Bounds the size of a message.
MARKS_PER_MESSAGE = 400
# Revoked marks are shared too, otherwise a peer would restore them.
MAX_REVOKED_SENT = 256


class LeavingMarks:
    """Shares marks, because instances may read lists of different age."""

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

    def hash_marks(self) -> int:
        """Hash the marks of the endpoints that are leaving.

        :return: a hash that is equal on instances with the same marks
        """
        leaving = sorted(
            mark.address for mark in self._index.marks() if mark.leaving
        )
        return xxhash.xxh3_64_intdigest("\0".join(leaving).encode())

    def receive_listing(self, listing: platform_api.Listing) -> None:
        """Record the marks of the platform's list and send new ones on.

        :param listing: the platform's list
        """
        marks = list_pollers.find_leaving_marks(listing, self._index)
        news = self._index.mark(marks)
        if news:
            self._counters.add("leaving_marks", "list", len(news))
            for member in self._peers.members():
                self._send(member, news, is_reply=True)

    def send_all(self, to: ids.InstanceId, *, is_reply: bool = False) -> None:
        """Send the marks that this instance knows to another instance.

        :param to: the receiving instance
        :param is_reply: whether the receiver has already sent its marks
        """
        self._send(to, self._marks(), is_reply=is_reply)

    def _marks(self) -> list[messages.LeavingMark]:
        marks = self._index.marks()
        revoked = [mark for mark in marks if not mark.leaving]
        leaving = [mark for mark in marks if mark.leaving]
        return leaving + revoked[-MAX_REVOKED_SENT:]

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
    "LeavingMarks",
]
