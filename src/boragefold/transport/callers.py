"""The callers' connections, and how they end at a planned stop."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from boragefold.telemetry import counters as telemetry
from boragefold.transport import http_server
from boragefold.transport import sockets

if TYPE_CHECKING:
    import ssl


class CallersFace:
    """Accepts callers and knows which of them are being served."""

    def __init__(
        self,
        *,
        sockets_: sockets.SocketSet,
        application: http_server.Application,
        counters: telemetry.Counters,
        now_seconds: Callable[[], float] = lambda: 0.0,
        max_body_bytes: Callable[[], int] = lambda: http_server.MAX_BODY_BYTES,
    ) -> None:
        """Begin without connections.

        :param sockets_: holds them
        :param application: answers requests
        :param counters: of this process
        :param now_seconds: the process clock
        :param max_body_bytes: how large a request's body may be
        """
        self._now_seconds = now_seconds
        self._max_body_bytes = max_body_bytes
        self._sockets = sockets_
        self._application = application
        self._counters = counters
        self._connections: set[http_server.ServerConnection] = set()
        self._last_answers = False

    def listen(
        self, *, host: str, port: int, tls: ssl.SSLContext | None
    ) -> None:
        """Accept connections.

        :param host: the IP number to bind
        :param port: the port
        :param tls: how to encrypt, if at all
        :raises OSError: when the address can't be bound
        """
        self._sockets.listen(
            host=host, port=port, make_handler=self._connect, tls=tls
        )

    def stop_listening(self) -> None:
        """Accept no new connection, and make each next answer the last.

        A caller with an open connection would go on using it for as long as
        it has requests; told to close, it connects anew, elsewhere.
        """
        self._last_answers = True
        self._sockets.stop_listening()

    def close_idle(self) -> int:
        """Close the connections that neither receive nor answer a request.

        :return: how many connections are left
        """
        for connection in list(self._connections):
            if connection.idle:
                unread = connection.stream.is_readable()
                self._counters.add(
                    "idle_connections_closed", "unread" if unread else "quiet"
                )
                connection.stream.close()
        return len(self._connections)

    def refuse_slow(
        self, *, idle_seconds: float, request_seconds: float
    ) -> None:
        """End the connections that idle, or send too slowly.

        :param idle_seconds: how long one may stay without a request
        :param request_seconds: how long a request may take to arrive
        """
        for connection in list(self._connections):
            connection.refuse_slow(
                idle_seconds=idle_seconds, request_seconds=request_seconds
            )

    def _connect(self) -> http_server.ServerConnection:
        connection = http_server.ServerConnection(
            application=self._application,
            on_bad_request=self._refused,
            last_answer=lambda: self._last_answers,
            on_gone=self._connections.discard,
            now_seconds=self._now_seconds,
            max_body_bytes=self._max_body_bytes(),
        )
        self._connections.add(connection)
        return connection

    def _refused(self, reason: str) -> None:
        self._counters.add("requests_refused", reason)


__all__ = [
    "CallersFace",
]
