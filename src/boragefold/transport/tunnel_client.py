"""Opens a connection to an endpoint through the tunnel of a peer."""

from __future__ import annotations

import h11

from boragefold.protocol import paths
from boragefold.transport import streams

SUCCESSES = range(200, 300)
# How a connection fails that the peer couldn't open.
REFUSED_BY_PEER = "refused_by_peer"


class TunnelHandshake(streams.StreamHandler):
    """Asks a peer for a connection, and hands the stream over when it opens.

    Until then no byte of the call was sent, so a failure is certain to have
    done nothing at the endpoint.
    """

    stream: streams.Stream

    def __init__(
        self, *, path: paths.Path, target: str, handler: streams.StreamHandler
    ) -> None:
        """Prepare to ask, once connected to the peer.

        :param path: through which peer
        :param target: name of the endpoint, with a port
        :param handler: reacts to the connection to the endpoint
        """
        self._path = path
        self._target = target
        self._handler = handler
        self._parser = h11.Connection(h11.CLIENT)

    def connected(self) -> None:
        """Ask for a connection to the endpoint."""
        request = h11.Request(
            method="CONNECT",
            target=self._target,
            headers=[
                ("Host", self._target),
                ("Proxy-Authorization", f"Bearer {self._path.token}"),
            ],
        )
        for event in (request, h11.EndOfMessage()):
            self.stream.write(self._parser.send(event) or b"")

    def received(self, data: bytes) -> None:
        """Parse the peer's answer.

        :param data: bytes
        """
        try:
            self._parser.receive_data(data)
            event = self._parser.next_event()
        except h11.RemoteProtocolError:
            self.stream.abort(REFUSED_BY_PEER)
            return
        if event is h11.NEED_DATA:
            return
        if (
            not isinstance(event, h11.Response)
            or event.status_code not in SUCCESSES
        ):
            self.stream.abort(REFUSED_BY_PEER)
            return
        self._hand_over(self._parser.trailing_data[0])

    def drained(self) -> None:
        """Do nothing: the request is short."""

    def closed(self, reason: str) -> None:
        """Report that the connection could not be opened.

        :param reason: why
        """
        self._handler.closed(reason)

    def _hand_over(self, early: bytes) -> None:
        self.stream.handler = self._handler
        self._handler.connected()
        if early and self.stream.open:
            self._handler.received(early)


__all__ = [
    "REFUSED_BY_PEER",
    "TunnelHandshake",
]
