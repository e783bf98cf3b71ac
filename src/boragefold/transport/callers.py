"""The callers' connections, and how they end at a planned stop."""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragefold.telemetry import counters as telemetry
from boragefold.timing import timers as timing
from boragefold.transport import accept_gate
from boragefold.transport import caller_admission
from boragefold.transport import http_server
from boragefold.transport import requests
from boragefold.transport import sockets

if TYPE_CHECKING:
    from collections.abc import Callable
    import ssl

# What a caller has sent arrives within this time, also when it is sent again.
QUIET_SECONDS = 0.5
# How long a caller may take to read the end of a last answer.
LINGER_SECONDS = 1.0
# Connections are checked for exceeded timeouts this often.
SLOW_CHECK_SECONDS = 1.0
# While no caller gives way, whether one does now is checked this often.
PLACE_CHECK_SECONDS = 0.1


class CallersFace(accept_gate.AcceptGate):
    """Accepts callers and knows which of them are being served."""

    def __init__(
        self,
        *,
        sockets_: sockets.SocketSet,
        application: http_server.Application,
        counters: telemetry.Counters,
        timers: timing.TimerService,
        limits: Callable[[], requests.RequestLimits] = requests.RequestLimits,
        admission: caller_admission.CallerAdmission | None = None,
    ) -> None:
        """Begin without connections.

        :param sockets_: holds them
        :param application: answers requests
        :param counters: of this process
        :param timers: the process clock
        :param limits: returns how large a request may be
        :param admission: what callers may take together
        """
        self._timers = timers
        self._limits = limits
        self._admission = admission or caller_admission.for_one()
        self._checks_place = False
        self._sockets = sockets_
        self._application = application
        self._counters = counters
        self._connections: set[http_server.ServerConnection] = set()
        self._last_answers = False
        self._stopped = False

    def listen(
        self, *, host: str, port: int, tls: ssl.SSLContext | None
    ) -> int:
        """Accept connections.

        :param host: the IP number to bind
        :param port: the port, or 0 for any
        :param tls: how to encrypt, if at all
        :return: the port that was bound
        :raises OSError: when the address can't be bound
        """
        return self._sockets.listen(
            host=host,
            port=port,
            make_handler=self._connect,
            tls=tls,
            gate=self,
        )

    def may_accept(self) -> bool:
        """Tell whether one more caller may connect.

        :return: whether there is place, or an open connection may be closed
        """
        if self._admission.has_place():
            return True
        self._counters.add("connections_held_back", "no_place")
        if not self._checks_place:
            self._checks_place = True
            self._timers.once(
                delay_seconds=PLACE_CHECK_SECONDS, callback=self._check_place
            )
        return False

    def announce_stop(self) -> None:
        """Make each next answer the last on its connection.

        A caller with an open connection would go on using it until it is
        closed, and a request may cross the close; told to close, the caller
        connects anew, elsewhere.
        """
        self._last_answers = True

    def stop_listening(self) -> None:
        """Accept no new connection, and end each behind its next answer.

        What comes later might not be served before the process ends.
        """
        self.announce_stop()
        self._stopped = True
        self._sockets.stop_listening()

    def close_idle(self) -> int:
        """Close the connections on which no request is or can be on its way.

        :return: how many connections are left
        """
        for connection in list(self._connections):
            if connection.is_idle(quiet_seconds=QUIET_SECONDS):
                self._counters.add("connections_closed", "stopping")
                connection.end()
        return len(self._connections)

    def give_up(self) -> None:
        """Answer all requests now that have no whole answer yet."""
        for connection in list(self._connections):
            if connection.exchange is not None:
                self._counters.add("connections_closed", "given_up")
                connection.exchange.give_up()

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
        self._admission.make_place()
        connection = http_server.ServerConnection(
            application=self._application,
            on_bad_request=self._refused,
            last_answer=lambda: self._last_answers,
            must_end=lambda: self._stopped,
            on_gone=self._connections.discard,
            now_seconds=self._timers.now_seconds,
            limits=self._limits,
            admission=self._admission,
            call_later=self._call_later,
            on_ended=self._linger,
        )
        self._connections.add(connection)
        return connection

    def _call_later(self, callback: Callable[[], None]) -> None:
        self._timers.once(delay_seconds=0.0, callback=callback)

    def _check_place(self) -> None:
        self._checks_place = False
        self._sockets.resume_accepting()

    def _linger(self, connection: http_server.ServerConnection) -> None:
        connection.stream.end_writing()
        self._timers.once(
            delay_seconds=LINGER_SECONDS, callback=connection.stream.abort
        )

    def _refused(self, reason: str) -> None:
        self._counters.add("requests_refused", reason)


__all__ = [
    "CallersFace",
    "LINGER_SECONDS",
    "QUIET_SECONDS",
    "SLOW_CHECK_SECONDS",
]
