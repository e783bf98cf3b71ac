"""A link to peers that also delivers messages to this instance itself."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

from boragefold.coordination import link as links
from boragefold.protocol import ids
from boragefold.timing import timers as timing


class SelfLink(links.PeerLink):
    """Delivers messages to this instance itself without a socket.

    The sender of a request to the owner of an engine need not know whether
    that is this instance. As with any peer, the message is delivered after
    the call to send returns.
    """

    def __init__(
        self, *, link: links.PeerLink, timers: timing.TimerService
    ) -> None:
        self._link = link
        self._timers = timers
        self._handlers: dict[type, Callable[[ids.InstanceId, Any], None]] = {}

    @property
    def self_id(self) -> ids.InstanceId:
        """Tell the identity of this instance.

        :return: the identity that messages are sent under
        """
        return self._link.self_id

    def send(self, *, to: ids.InstanceId, body: Any) -> None:
        """Send a message.

        :param to: the receiver
        :param body: an object of a registered message kind
        """
        if to != self.self_id:
            self._link.send(to=to, body=body)
            return
        handler = self._handlers[type(body)]
        self._timers.once(
            delay_seconds=0.0, callback=lambda: handler(to, body)
        )

    def send_all(self, *, to: Iterable[ids.InstanceId], body: Any) -> None:
        """Send one message to several peers, but not to this instance.

        :param to: the receivers
        :param body: an object of a registered message kind
        """
        self._link.send_all(to=to, body=body)

    def subscribe(self, kind: Any, handler: Any) -> None:
        """Receive one kind of message.

        :param kind: the message type
        :param handler: called with the sender and the message
        """
        self._handlers[kind] = handler
        self._link.subscribe(kind, handler)

    def reconnect(self, peer: ids.InstanceId) -> None:
        """Open a new connection to a silent peer.

        :param peer: the peer
        """
        self._link.reconnect(peer)

    def close(self) -> None:
        """Drop what is unsent and send no more."""
        self._link.close()


__all__ = [
    "SelfLink",
]
