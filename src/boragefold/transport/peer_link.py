"""The link between entry instances, over ZeroMQ."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import functools
from typing import Any
from typing import NamedTuple

import circuits
from circuits.core import pollers
import zmq

from boragefold.coordination import link as links
from boragefold.protocol import envelope
from boragefold.protocol import ids
from boragefold.telemetry import counters as telemetry
from boragefold.timing import timers as timing
from boragefold.transport import peer_keys

# A peer this far behind is as good as silent.
SEND_QUEUE_MESSAGES = 1_000
# Finds connections that a middlebox has forgotten. Large fleets do without and
# reconnect when an answer doesn't come.
HEARTBEAT_MILLISECONDS = 1_000
HEARTBEAT_TIMEOUT_MILLISECONDS = 3_000
# The kernel closes a connection whose other end has vanished.
KEEPALIVE_IDLE_SECONDS = 10
RECONNECT_MILLISECONDS = 100
RECONNECT_MAX_MILLISECONDS = 1_000
# Sockets to addresses that are no longer used are closed.
IDLE_SECONDS = 60.0
MAX_MESSAGE_BYTES = 2_097_152


class Route(NamedTuple):
    """The socket to one address, and when it was last used."""

    socket: zmq.Socket[bytes]
    used_at_seconds: float


class ZmqPeerLink(
    circuits.BaseComponent,  # type: ignore[misc]
    links.PeerLink,
):
    """Receives on one PULL socket, sends on one PUSH socket per peer."""

    channel = "peers"

    def __init__(
        self,
        *,
        poller: pollers.BasePoller,
        timers: timing.TimerService,
        self_id: ids.InstanceId,
        codec: envelope.Codec,
        counters: telemetry.Counters,
        keys: peer_keys.PeerKeys | None = None,
        heartbeats: bool = True,
        run: timing.Run = lambda callback: callback(),
    ) -> None:
        """Bind the address that peers send to.

        :param poller: of the loop
        :param timers: the process clock
        :param self_id: who we are, and where we listen
        :param codec: of the messages
        :param counters: of this process
        :param keys: for encrypted links, or None
        :param heartbeats: whether ZeroMQ looks after idle connections; if
            not, users of the link reconnect to peers that don't answer
        :param run: handles one message, and may keep its errors within it; by
            default the rest of the inbox stays unread
        """
        super().__init__()
        self._run = run
        self._heartbeats = heartbeats
        self._poller = poller
        self._self_id = self_id
        self._timers = timers
        self._codec = codec
        self._counters = counters
        self._keys = keys
        # Not "_handlers": circuits keeps the event handlers under that name.
        self._subscribers: dict[
            type, Callable[[ids.InstanceId, Any], None]
        ] = {}
        self._routes: dict[str, Route] = {}
        self.is_cut: Callable[[ids.InstanceId], bool] = lambda peer: False
        self._context = zmq.Context()
        self._gate = (
            None
            if keys is None
            else peer_keys.Gate(context=self._context, keys=keys)
        )
        self._inbox = self._bind(self_id.address)
        self._descriptors = self._watch(poller)
        timers.every(
            period_seconds=IDLE_SECONDS / 2, callback=self._close_idle
        )

    @property
    def self_id(self) -> ids.InstanceId:
        """Tell who we are.

        :return: our identity
        """
        return self._self_id

    def send(self, *, to: ids.InstanceId, body: Any) -> None:
        """Send a message, or drop it when the peer takes none.

        :param to: the receiver
        :param body: an object of a registered message kind
        """
        self.send_all(to=(to,), body=body)

    def send_all(self, *, to: Iterable[ids.InstanceId], body: Any) -> None:
        """Send one message to several peers; it is encoded once.

        :param to: the receivers
        :param body: an object of a registered message kind
        """
        data = self._codec.encode(sender=self._self_id, body=body)
        for peer in to:
            self._send_data(peer, data, type(body).__name__)

    def _send_data(self, to: ids.InstanceId, data: bytes, kind: str) -> None:
        if self.is_cut(to):
            return
        frames = [to.incarnation.encode(), data]
        try:
            self._route(to.address).send_multipart(frames, zmq.NOBLOCK)
        except zmq.Again:
            self._counters.add("peer_messages_dropped", "queue_full")
            return
        self._counters.add("peer_messages_sent", kind)
        self._counters.add("peer_bytes_sent", "", sum(map(len, frames)))

    def subscribe(self, kind: Any, handler: Any) -> None:
        """Receive one kind of message.

        :param kind: the message type
        :param handler: called with the sender and the message
        """
        self._subscribers[kind] = handler

    def reconnect(self, peer: ids.InstanceId) -> None:
        """Replace the socket to a peer that has gone silent.

        A connection that a device in between has forgotten looks open. Before
        the peer is blamed it is tried on a new one.

        :param peer: the silent peer
        """
        route = self._routes.pop(peer.address, None)
        if route is not None:
            route.socket.close(linger=0)
            self._counters.add("peer_sockets_replaced", "silent")

    def close(self) -> None:
        """Close every socket; unsent messages are dropped."""
        for route in self._routes.values():
            route.socket.close(linger=0)
        self._routes.clear()
        for descriptor in self._descriptors:
            # The poller would report the closed socket once more.
            self._poller.discard(descriptor)
        self._inbox.close(linger=0)
        if self._gate is not None:
            self._gate.close()

    @circuits.handler("_read")  # type: ignore[untyped-decorator]
    def _on_read(self, descriptor: int) -> None:
        if self._inbox.closed:
            return
        if self._gate is not None:
            self._gate.answer()
        # A ZeroMQ descriptor is edge-triggered: all must be read now.
        while True:
            try:
                frames = self._inbox.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            self._run(functools.partial(self._take, frames))

    def _take(self, frames: list[bytes]) -> None:
        if len(frames) != 2:
            self._counters.add("peer_messages_refused", "frames")
            return
        incarnation, data = frames
        if incarnation not in (b"", self._self_id.incarnation.encode()):
            # It was meant for an earlier incarnation at this address.
            self._counters.add("peer_messages_refused", "incarnation")
            return
        received = self._codec.decode(data)
        if isinstance(received, envelope.Malformed):
            self._counters.add("peer_messages_refused", received.reason)
            return
        if self.is_cut(received.sender):
            return
        handler = self._subscribers.get(type(received.body))
        if handler is not None:
            self._counters.add("peer_bytes_received", "", len(data))
            handler(received.sender, received.body)

    def _bind(self, address: str) -> zmq.Socket[bytes]:
        inbox = self._context.socket(zmq.PULL)
        inbox.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
        self._set_heartbeat(inbox)
        if self._keys is not None:
            self._keys.guard(inbox)
        inbox.bind(f"tcp://{address}")
        return inbox

    def _watch(self, poller: pollers.BasePoller) -> list[int]:
        descriptors = [int(self._inbox.getsockopt(zmq.FD))]
        if self._gate is not None:
            descriptors.append(self._gate.descriptor)
        for descriptor in descriptors:
            poller.addReader(self, descriptor)
        return descriptors

    def _route(self, address: str) -> zmq.Socket[bytes]:
        route = self._routes.get(address)
        socket = self._connect(address) if route is None else route.socket
        self._routes[address] = Route(socket, self._timers.now_seconds())
        return socket

    def _connect(self, address: str) -> zmq.Socket[bytes]:
        socket = self._context.socket(zmq.PUSH)
        socket.setsockopt(zmq.SNDHWM, SEND_QUEUE_MESSAGES)
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MILLISECONDS)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MILLISECONDS)
        self._set_heartbeat(socket)
        if self._keys is not None:
            self._keys.introduce(socket)
        socket.connect(f"tcp://{address}")
        return socket

    def _set_heartbeat(self, socket: zmq.Socket[bytes]) -> None:
        if not self._heartbeats:
            socket.setsockopt(zmq.TCP_KEEPALIVE, 1)
            socket.setsockopt(zmq.TCP_KEEPALIVE_IDLE, KEEPALIVE_IDLE_SECONDS)
            return
        socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_MILLISECONDS)
        socket.setsockopt(
            zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MILLISECONDS
        )

    def _close_idle(self) -> None:
        oldest_seconds = self._timers.now_seconds() - IDLE_SECONDS
        idle = [
            address
            for address, route in self._routes.items()
            if route.used_at_seconds < oldest_seconds
        ]
        for address in idle:
            self._routes.pop(address).socket.close(linger=0)


__all__ = [
    "ZmqPeerLink",
]
