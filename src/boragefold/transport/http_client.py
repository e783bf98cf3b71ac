"""HTTP/1.1 towards endpoints, services and the platform."""

from __future__ import annotations

import collections
from collections.abc import Callable

from boragefold.timing import timers as timing
from boragefold.transport import answer_parser
from boragefold.transport import client_connection
from boragefold.transport import connect_probe
from boragefold.transport import sockets

CONNECT_TIMEOUT_SECONDS = 1.0
SWEEP_SECONDS = 0.1
# The longer a connection idled, the likelier it is dead without a sign.
MAX_IDLE_SECONDS = 15.0
MAX_IDLE_PER_ADDRESS = 32

AnswerSink = answer_parser.AnswerSink
Call = client_connection.Call
ClientConnection = client_connection.ClientConnection
Failure = answer_parser.Failure
Pending = client_connection.Pending


class HttpClient:
    """Sends calls over pooled or fresh connections."""

    def __init__(
        self,
        *,
        sockets_: sockets.SocketSet,
        timers: timing.TimerService,
        connect_seconds: float = CONNECT_TIMEOUT_SECONDS,
    ) -> None:
        """Begin without connections.

        :param sockets_: holds them
        :param timers: the process clock
        :param connect_seconds: how long a connection may take to open
        """
        self._connect_seconds = connect_seconds
        self._sockets = sockets_
        self._timers = timers
        self._idle: dict[str, collections.deque[ClientConnection]] = (
            collections.defaultdict(collections.deque)
        )
        self._busy: set[ClientConnection] = set()
        timers.every(period_seconds=SWEEP_SECONDS, callback=self._sweep)

    def now_seconds(self) -> float:
        """Read the clock.

        :return: seconds
        """
        return self._timers.now_seconds()

    def send(self, call: Call, sink: AnswerSink) -> Pending:
        """Send a call.

        :param call: what to send
        :param sink: who takes the answer; never called inside this call
        :return: a handle that can cancel the call
        """
        pending = Pending(call=call, sink=sink)
        self._dispatch(pending, fresh=call.fresh)
        return pending

    def probe(
        self,
        address: str,
        on_result: Callable[[connect_probe.ProbeResult], None],
    ) -> None:
        """Check whether anything listens at an address.

        :param address: IP number and port
        :param on_result: called once, never inside this call
        """
        connect_probe.ConnectProbe(
            sockets_=self._sockets,
            timers=self._timers,
            address=address,
            timeout_seconds=self._connect_seconds,
            on_result=on_result,
        )

    def fail_later(self, connection: ClientConnection, reason: str) -> None:
        """Fail a connection's call from the loop.

        :param connection: whose call was not sent
        :param reason: passed on to the sink
        """
        self._timers.once(
            delay_seconds=0.0, callback=lambda: connection.stream.abort(reason)
        )

    def call_failed(
        self, pending: Pending, failure: Failure, *, stale: bool
    ) -> None:
        """Repeat a call on a new connection, or tell its sink.

        :param pending: the call
        :param failure: what went wrong
        :param stale: whether a reused connection died before any answer
        """
        # An idle connection may be dead without a sign, which says nothing of
        # the endpoint: it is tried once more on a new one.
        if stale:
            self._dispatch(pending, fresh=True)
        else:
            pending.sink.failed(failure)

    def release(self, connection: ClientConnection) -> None:
        """Keep a connection for a later call.

        :param connection: one whose call is over
        """
        self._busy.discard(connection)
        idle = self._idle[connection.address]
        if len(idle) >= MAX_IDLE_PER_ADDRESS:
            connection.stream.close()
        else:
            idle.append(connection)

    def forget(self, connection: ClientConnection) -> None:
        """Drop a connection that is gone.

        :param connection: which
        """
        self._busy.discard(connection)
        idle = self._idle.get(connection.address)
        if idle is not None and connection in idle:
            idle.remove(connection)
        if idle is not None and not idle:
            del self._idle[connection.address]

    def _dispatch(self, pending: Pending, *, fresh: bool) -> None:
        address = pending.call.address
        connection = None if fresh else self._take_idle(address)
        if connection is None:
            connection = self._open(address)
        self._busy.add(connection)
        connection.begin(pending)

    def _take_idle(self, address: str) -> ClientConnection | None:
        idle = self._idle.get(address)
        while idle:
            connection = idle.pop()
            if connection.stream.open:
                return connection
        return None

    def _open(self, address: str) -> ClientConnection:
        host, _, port = address.rpartition(":")
        connection = ClientConnection(client=self, address=address)
        connection.stream = self._sockets.connect(
            host=host, port=int(port), handler=connection
        )
        return connection

    def _sweep(self) -> None:
        now_seconds = self.now_seconds()
        for connection in list(self._busy):
            silent = now_seconds - connection.progressed_at_seconds
            allowed = self._allowed_seconds(connection)
            if silent > allowed and not connection.paused:
                connection.give_up("timeout")
        for idle in list(self._idle.values()):
            while idle and (
                now_seconds - idle[0].progressed_at_seconds > MAX_IDLE_SECONDS
            ):
                idle[0].stream.abort()

    def _allowed_seconds(self, connection: ClientConnection) -> float:
        if connection.stream.connecting or connection.pending is None:
            return self._connect_seconds
        return connection.pending.call.progress_seconds


__all__ = [
    "AnswerSink",
    "Call",
    "Failure",
    "HttpClient",
    "Pending",
]
