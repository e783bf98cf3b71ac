"""Opens connections to endpoints for peers that can't reach them.

A peer sends ``CONNECT`` with the name of a published endpoint, and the token
that this instance issued. Once the connection is open, bytes pass both ways
unchanged: the peer keeps the request, its checks and its deadline.
"""

from __future__ import annotations

from collections.abc import Callable
import hmac
from typing import NamedTuple

import h11

from boragefold.policy import caller_budget
from boragefold.telemetry import counters as telemetry
from boragefold.timing import timers as timing
from boragefold.transport import accept_gate
from boragefold.transport import sockets
from boragefold.transport import streams

# So many connections of peers per tunnel; the rest are told that it's full.
ASKING_FACTOR = 2
# A peer asks as soon as its connection is open.
REQUEST_SECONDS = 2.0
STATUS_OPENED = 200
STATUS_MALFORMED = 400
STATUS_DENIED = 403
STATUS_UNKNOWN = 404
STATUS_UNREACHABLE = 502
STATUS_FULL = 503

CheckCrash = Callable[[Callable[[bool], None]], None]


class Target(NamedTuple):
    """A published endpoint.

    ``check_crash`` finds out whether it has crashed when it closed a
    connection in good order.
    """

    address: str
    check_crash: CheckCrash


class TunnelServer(accept_gate.AcceptGate):
    """Accepts the tunnels of peers."""

    def __init__(
        self,
        *,
        sockets_: sockets.SocketSet,
        timers: timing.TimerService,
        counters: telemetry.Counters,
        token: str,
        resolve: Callable[[str], Target | None],
        connect_seconds: float,
        max_tunnels: int = caller_budget.MAX_TUNNELS,
    ) -> None:
        """Begin without tunnels.

        :param sockets_: holds the connections
        :param timers: the process clock
        :param counters: counts the tunnels by outcome
        :param token: what peers must present
        :param resolve: returns a published endpoint, None if there is none of
            that name or no tunnels are opened any more
        :param connect_seconds: how long a connection may take to open
        :param max_tunnels: bounds the descriptors that peers may take
        """
        self._max_tunnels = max_tunnels
        self._sockets = sockets_
        self._timers = timers
        self._counters = counters
        self._token = token
        self._resolve = resolve
        self._connect_seconds = connect_seconds
        self._tunnels: set[TunnelEntrance] = set()

    @property
    def open_count(self) -> int:
        """Tell how many peers' connections are open.

        :return: the count, with those that still ask
        """
        return len(self._tunnels)

    def listen(self, *, host: str, port: int) -> int:
        """Accept connections of peers.

        :param host: the IP number to bind
        :param port: the port, or 0 for any
        :return: the port that was bound
        :raises OSError: when the address can't be bound
        """
        return self._sockets.listen(
            host=host, port=port, make_handler=self._accept, gate=self
        )

    def may_accept(self) -> bool:
        """Tell whether a peer may ask for a tunnel.

        :return: whether it may; one that asks for too many is told so
        """
        return self.open_count < ASKING_FACTOR * self._max_tunnels

    def check(self, head: h11.Request) -> int:
        """Decide whether a connection may be opened.

        :param head: the peer's request
        :return: ``STATUS_OPENED`` if so, otherwise the status to refuse with
        """
        presented = dict(head.headers).get(b"proxy-authorization", b"")
        if head.method != b"CONNECT":
            return STATUS_MALFORMED
        if not hmac.compare_digest(
            presented, f"Bearer {self._token}".encode()
        ):
            return STATUS_DENIED
        if self.resolve(head) is None:
            return STATUS_UNKNOWN
        return (
            STATUS_FULL
            if self.open_count > self._max_tunnels
            else STATUS_OPENED
        )

    def resolve(self, head: h11.Request) -> Target | None:
        """Look up the endpoint that a request names.

        :param head: the peer's request
        :return: the endpoint, None if there is none
        """
        return self._resolve(endpoint_name(head))

    def open(self, target: Target, entrance: TunnelEntrance) -> TunnelExit:
        """Open the connection to an endpoint.

        :param target: the endpoint
        :param entrance: the peer's side
        :return: the endpoint's side, not yet connected
        """
        host, _, port = target.address.rpartition(":")
        far = TunnelExit(entrance=entrance, check_crash=target.check_crash)
        far.stream = self._sockets.connect(
            host=host, port=int(port), handler=far
        )
        far.timeout = self._timers.once(
            delay_seconds=self._connect_seconds,
            callback=lambda: far.stream.abort("timeout"),
        )
        return far

    def expect_request(self, entrance: TunnelEntrance) -> None:
        """End a tunnel unless its peer asks for an endpoint in time.

        :param entrance: the peer's side
        """
        self._timers.once(
            delay_seconds=REQUEST_SECONDS, callback=entrance.end_if_silent
        )

    def record(self, outcome: str) -> None:
        """Count a tunnel.

        :param outcome: how it was answered
        """
        self._counters.add("tunnels", outcome)

    def forget(self, entrance: TunnelEntrance) -> None:
        """Drop a tunnel that has ended.

        :param entrance: the peer's side
        """
        self._tunnels.discard(entrance)

    def _accept(self) -> TunnelEntrance:
        entrance = TunnelEntrance(server=self)
        self._tunnels.add(entrance)
        self.expect_request(entrance)
        return entrance


class TunnelEntrance(streams.StreamHandler):
    """The connection of a peer."""

    stream: streams.Stream

    def __init__(self, *, server: TunnelServer) -> None:
        self._server = server
        self._parser = h11.Connection(h11.SERVER)
        self._exit: TunnelExit | None = None

    def connected(self) -> None:
        """Do nothing: the peer speaks first."""

    def received(self, data: bytes) -> None:
        """Take the request of the peer, or bytes for the endpoint.

        :param data: bytes
        """
        if self._exit is not None:
            if not self._exit.stream.write(data):
                self.stream.pause_reading()
            return
        try:
            self._parser.receive_data(data)
            event = self._parser.next_event()
        except h11.RemoteProtocolError:
            self._refuse(STATUS_MALFORMED)
            return
        if isinstance(event, h11.Request):
            self._connect(event)

    def drained(self) -> None:
        """Read from the endpoint again."""
        if self._exit is not None:
            self._exit.stream.resume_reading()

    def closed(self, reason: str) -> None:
        """Close the endpoint's side: the peer gave the request up.

        :param reason: why the peer's side is gone
        """
        self._server.forget(self)
        far, self._exit = self._exit, None
        if far is None:
            return
        if reason == streams.END_OF_INPUT:
            far.stream.abort()
        else:
            far.stream.reset()

    def end_if_silent(self) -> None:
        """Close a connection on which the peer asked for nothing."""
        if self._exit is not None or not self.stream.open:
            return
        if self.stream.is_readable():
            # This process was late, not the peer.
            self._server.expect_request(self)
        else:
            self.stream.abort("timeout")

    def opened(self) -> None:
        """Tell the peer that bytes pass from now on."""
        self._server.record("opened")
        # The end of this process says nothing of the endpoint's answer.
        self.stream.reset_unless_closed()
        response = h11.Response(status_code=STATUS_OPENED, headers=[])
        self.stream.write(self._parser.send(response) or b"")

    def not_opened(self, reason: str) -> None:
        """Tell the peer that the endpoint can't be reached.

        :param reason: why
        """
        self._exit = None
        self._refuse(STATUS_UNREACHABLE, reason)

    def _connect(self, head: h11.Request) -> None:
        status = self._server.check(head)
        target = self._server.resolve(head)
        if status != STATUS_OPENED or target is None:
            self._refuse(status)
            return
        self._parser.next_event()
        self._exit = self._server.open(target, self)

    def _refuse(self, status: int, reason: str = "") -> None:
        self._server.record(reason or str(status))
        if self._parser.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            response = h11.Response(
                status_code=status,
                headers=[("Content-Length", "0"), ("Connection", "close")],
            )
            for event in (response, h11.EndOfMessage()):
                self.stream.write(self._parser.send(event) or b"")
        self.stream.close()


class TunnelExit(streams.StreamHandler):
    """The connection to an endpoint."""

    stream: streams.Stream
    timeout: timing.Subscription

    def __init__(
        self, *, entrance: TunnelEntrance, check_crash: CheckCrash
    ) -> None:
        self._entrance = entrance
        self._check_crash = check_crash
        self._opened = False

    def connected(self) -> None:
        """Let bytes pass."""
        self.timeout.cancel()
        self._opened = True
        self._entrance.opened()

    def received(self, data: bytes) -> None:
        """Pass on what the endpoint sent.

        :param data: bytes
        """
        if not self._entrance.stream.write(data):
            self.stream.pause_reading()

    def drained(self) -> None:
        """Read from the peer again."""
        self._entrance.stream.resume_reading()

    def closed(self, reason: str) -> None:
        """End the peer's side in the same way.

        An answer without a length ends with its connection: after a reset or
        a crash it must not look whole. The peer can't look at the endpoint.

        :param reason: why the endpoint's side is gone
        """
        self.timeout.cancel()
        if not self._opened:
            self._entrance.not_opened(reason)
        elif reason == streams.END_OF_INPUT:
            # An answer without a length that ends so may be whole.
            self._check_crash(self._end)
        else:
            self._entrance.stream.reset()

    def _end(self, crashed: bool) -> None:
        if crashed:
            self._entrance.stream.reset()
        else:
            self._entrance.stream.close()


def endpoint_name(head: h11.Request) -> str:
    """Read the name of the endpoint that a request asks for.

    :param head: the peer's request
    :return: the name
    """
    return head.target.decode("latin-1").rpartition(":")[0]


__all__ = [
    "Target",
    "TunnelServer",
]
