"""HTTP/1.1 towards endpoints, services and the platform."""

from __future__ import annotations

import collections
from collections.abc import Callable
import itertools

from boragefold.protocol import paths
from boragefold.timing import timers as timing
from boragefold.transport import answer_parser
from boragefold.transport import client_connection
from boragefold.transport import connect_probe
from boragefold.transport import path_finder
from boragefold.transport import sockets
from boragefold.transport import tunnel_client

CONNECT_TIMEOUT_SECONDS = 1.0
# Through a tunnel, two connections open one after the other.
TUNNEL_CONNECTIONS = 2
# Sound endpoints fall silent for a second; before that is over, a new
# connection shows whether the path is at fault.
SILENT_SECONDS = 0.75
# Why a call fails that waited in silence on a path that is cut.
PATH_LOST = "path_lost"
# Why a call fails that was to be sent on a connection that isn't idle.
CONNECTION_GONE = "connection_gone"
SWEEP_SECONDS = 0.1
# The longer a connection idled, the likelier it is dead without a sign.
MAX_IDLE_SECONDS = 15.0
MAX_IDLE_PER_ADDRESS = 32
# A tunnel takes two descriptors of the peer, which has them for all others.
MAX_IDLE_THROUGH_PEER = 1

AnswerSink = answer_parser.AnswerSink
Call = client_connection.Call
ClientConnection = client_connection.ClientConnection
Failure = answer_parser.Failure
Framing = answer_parser.Framing
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
        self.path_finder: path_finder.PathFinder = path_finder.DirectPaths()
        self._idle: dict[
            tuple[str, paths.Path], collections.deque[ClientConnection]
        ] = collections.defaultdict(collections.deque)
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
        *,
        settle_seconds: float = 0.0,
    ) -> None:
        """Check whether anything listens at an address.

        :param address: IP number and port
        :param on_result: called once, never inside this call
        :param settle_seconds: how long the connection has to last
        """
        connect_probe.ConnectProbe(
            sockets_=self._sockets,
            timers=self._timers,
            address=address,
            timeout_seconds=self._connect_seconds,
            on_result=on_result,
            settle_seconds=settle_seconds,
        )

    def fail_later(self, connection: ClientConnection, reason: str) -> None:
        """Fail a connection's call from the loop.

        :param connection: whose call was not sent
        :param reason: passed on to the sink
        """
        self._timers.once(
            delay_seconds=0.0, callback=lambda: connection.stream.abort(reason)
        )

    def connection_opened(self, connection: ClientConnection) -> None:
        """Tell the path finder that a path works.

        :param connection: a new connection
        """
        if connection.endpoint:
            self.path_finder.record_opened(
                connection.endpoint, connection.path
            )

    def call_failed(
        self,
        connection: ClientConnection,
        pending: Pending,
        failure: Failure,
    ) -> None:
        """Try another path if the connection didn't open, or tell the sink.

        :param connection: the one that is gone
        :param pending: the call
        :param failure: what went wrong
        """
        if connection.endpoint and not connection.opened:
            pending.tried += (connection.path.peer,)
            self.path_finder.record_failed(
                connection.endpoint, connection.path, failure.reason
            )
            self._dispatch(pending, fresh=True, reason=failure.reason)
        else:
            pending.take_sink().failed(failure)

    def call_given_up(self, connection: ClientConnection) -> None:
        """Check the path of a call that is given up without an answer.

        :param connection: the one that the call was sent on
        """
        if self._is_silent(connection) and not self._hears_any():
            self.path_finder.record_silent(connection.endpoint)

    def drop_idle(
        self, is_unusable: Callable[[str, paths.Path], bool]
    ) -> None:
        """Close idle connections over paths that aren't to be used any more.

        :param is_unusable: tells so of an endpoint's name and a path
        """
        for idle in list(self._idle.values()):
            for connection in list(idle):
                if is_unusable(connection.endpoint, connection.path):
                    connection.stream.abort()

    def abandon_silent(self, endpoint: str) -> None:
        """Give up the repeatable calls that wait on a path that is cut.

        :param endpoint: name of the endpoint
        """
        for connection in list(self._busy):
            if connection.endpoint == endpoint and self._is_silent(connection):
                # Otherwise the call could still arrive after the cut.
                connection.stream.reset(PATH_LOST)

    def is_idle(self, connection: ClientConnection) -> bool:
        """Tell whether a call can be sent on a connection now.

        :param connection: which
        :return: whether it is open and no call runs on it
        """
        return connection in self._idle.get(
            (connection.address, connection.path), ()
        )

    def release(self, connection: ClientConnection) -> None:
        """Keep a connection for a later call.

        :param connection: one whose call is over
        """
        self._busy.discard(connection)
        idle = self._idle[connection.address, connection.path]
        is_direct = not connection.path.peer
        if len(idle) >= (
            MAX_IDLE_PER_ADDRESS if is_direct else MAX_IDLE_THROUGH_PEER
        ):
            connection.stream.close()
        else:
            idle.append(connection)

    def forget(self, connection: ClientConnection) -> None:
        """Drop a connection that is gone.

        :param connection: which
        """
        self._busy.discard(connection)
        key = (connection.address, connection.path)
        idle = self._idle.get(key)
        if idle is not None and connection in idle:
            idle.remove(connection)
        if idle is not None and not idle:
            del self._idle[key]

    def _dispatch(
        self, pending: Pending, *, fresh: bool, reason: str = ""
    ) -> None:
        if pending.call.connection is not None:
            self._begin_on(pending, pending.call.connection)
            return
        if not pending.call.endpoint:
            self._begin(pending, paths.DIRECT, fresh=fresh)
            return
        self.path_finder.find(
            pending.call.endpoint,
            tried=pending.tried,
            on_path=lambda path: self._take_path(
                pending, path, fresh=fresh, reason=reason
            ),
        )

    def _take_path(
        self,
        pending: Pending,
        path: paths.Path | None,
        *,
        fresh: bool,
        reason: str,
    ) -> None:
        if pending.cancelled:
            return
        if path is not None:
            self._begin(pending, path, fresh=fresh)
            return
        self._fail_later(pending, reason or "unreachable")

    def _fail_later(self, pending: Pending, reason: str) -> None:
        failure = Failure(
            reason=reason, may_have_arrived=pending.may_have_arrived
        )
        # A sink isn't called inside the call that sends.
        self._timers.once(
            delay_seconds=0.0,
            callback=lambda: self._tell_failed(pending, failure),
        )

    def _tell_failed(self, pending: Pending, failure: Failure) -> None:
        pending.take_sink().failed(failure)

    def _begin(
        self, pending: Pending, path: paths.Path, *, fresh: bool
    ) -> None:
        call = pending.call
        connection = None if fresh else self._take_idle(call.address, path)
        if connection is None:
            connection = self._open(call, path)
        self._use(pending, connection)

    def _begin_on(
        self, pending: Pending, connection: ClientConnection
    ) -> None:
        if self.is_idle(connection) and not connection.stream.is_readable():
            self._idle[connection.address, connection.path].remove(connection)
            self._use(pending, connection)
        else:
            self._fail_later(pending, CONNECTION_GONE)

    def _use(self, pending: Pending, connection: ClientConnection) -> None:
        self._busy.add(connection)
        pending.peer = connection.path.peer
        if pending.peer:
            pending.sink.sent_through(pending.peer)
        connection.begin(pending)

    def _take_idle(
        self, address: str, path: paths.Path
    ) -> ClientConnection | None:
        idle = self._idle.get((address, path))
        while idle:
            connection = idle.pop()
            if connection.stream.open and not connection.stream.is_readable():
                return connection
            # The other end has closed it, or sent what nobody asked for.
            connection.stream.abort()
        return None

    def _open(self, call: Call, path: paths.Path) -> ClientConnection:
        connection = ClientConnection(
            client=self,
            address=call.address,
            endpoint=call.endpoint,
            path=path,
        )
        if path.peer:
            self._open_tunnel(connection, path)
        else:
            host, _, port = call.address.rpartition(":")
            connection.stream = self._sockets.connect(
                host=host, port=int(port), handler=connection
            )
        return connection

    def _open_tunnel(
        self, connection: ClientConnection, path: paths.Path
    ) -> None:
        port = connection.address.rpartition(":")[2]
        handshake = tunnel_client.TunnelHandshake(
            path=path,
            target=f"{connection.endpoint}:{port}",
            handler=connection,
        )
        tunnel_host, _, tunnel_port = path.tunnel.rpartition(":")
        handshake.stream = connection.stream = self._sockets.connect(
            host=tunnel_host, port=int(tunnel_port), handler=handshake
        )

    def _sweep(self) -> None:
        now_seconds = self.now_seconds()
        for connection in list(self._busy):
            silent = now_seconds - connection.progressed_at_seconds
            allowed = self._allowed_seconds(connection)
            overdue = connection.is_overdue(now_seconds=now_seconds)
            if overdue or (silent > allowed and not connection.paused):
                connection.give_up("timeout")
        self._report_silence()
        for idle in list(self._idle.values()):
            while idle and (
                now_seconds - idle[0].progressed_at_seconds > MAX_IDLE_SECONDS
            ):
                idle[0].stream.abort()

    def _allowed_seconds(self, connection: ClientConnection) -> float:
        if not connection.opened and connection.path.peer:
            return TUNNEL_CONNECTIONS * self._connect_seconds
        if not connection.opened or connection.pending is None:
            return self._connect_seconds
        return connection.pending.call.progress_seconds

    def _report_silence(self) -> None:
        silent = {
            connection.endpoint
            for connection in self._busy
            if self._is_silent(connection)
        }
        if silent and not self._hears_any():
            for endpoint in silent:
                self.path_finder.record_silent(endpoint)

    def _hears_any(self) -> bool:
        # One endpoint may have nothing to send yet; if none has, the path of
        # this instance may be at fault.
        oldest_seconds = self.now_seconds() - SILENT_SECONDS
        return any(
            connection.received_at_seconds > oldest_seconds
            for connection in itertools.chain(self._busy, *self._idle.values())
            if connection.endpoint and not connection.path.peer
        )

    def _is_silent(self, connection: ClientConnection) -> bool:
        # Only a repeatable call could be sent again. Others are sent on new
        # connections, which show by themselves that a path is cut.
        pending = connection.pending
        if pending is None or not pending.call.repeatable:
            return False
        waited_seconds = self.now_seconds() - connection.progressed_at_seconds
        return (
            connection.opened
            and bool(connection.endpoint)
            and not connection.path.peer
            and not connection.paused
            and waited_seconds > SILENT_SECONDS
        )


__all__ = [
    "AnswerSink",
    "CONNECTION_GONE",
    "Call",
    "ClientConnection",
    "Failure",
    "Framing",
    "HttpClient",
    "Pending",
]
