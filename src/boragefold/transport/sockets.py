"""All TCP sockets of the process, held by one fixed component."""

from __future__ import annotations

from collections.abc import Callable
import contextlib
import errno
import functools
import socket
from typing import TYPE_CHECKING

import circuits
from circuits.core import pollers

from boragefold.transport import accept_gate
from boragefold.transport import streams
from boragefold.transport import unsent_budget

if TYPE_CHECKING:
    import ssl

LISTEN_BACKLOG = 1024

# Bounds how long accepting occupies the loop.
ACCEPTS_IN_A_ROW = 64
# What the kernel keeps for a connection that isn't read.
RECEIVE_BUFFER_BYTES = 65_536
NO_DESCRIPTORS = (errno.EMFILE, errno.ENFILE)

Run = Callable[[Callable[[], None]], bool]


def _run_unguarded(callback: Callable[[], None]) -> bool:
    callback()
    return True


class SocketSet(circuits.BaseComponent):  # type: ignore[misc]
    """Every listening and connected TCP socket of the process.

    One component holds them all for the life of the process. A component per
    connection makes the loop rebuild its handler cache on each connect, and
    throughput collapses at a few hundred streams.
    """

    channel = "sockets"

    def __init__(
        self,
        *,
        poller: pollers.BasePoller,
        run: Run = _run_unguarded,
        channel: str = channel,
    ) -> None:
        """Begin without sockets.

        :param poller: of the loop
        :param run: runs what reacts to a connection, keeps its errors within
            it, and returns whether there were none
        :param channel: on which the poller tells this set of its sockets
        """
        super().__init__(channel=channel)
        self._run = run
        self._poller = poller
        self.unsent = unsent_budget.UnsentBudget()
        self._streams: dict[socket.socket, streams.Stream] = {}
        self._listeners: dict[socket.socket, accept_gate.Listener] = {}
        self._paused: set[socket.socket] = set()

    def listen(
        self,
        *,
        host: str,
        port: int,
        make_handler: Callable[[], streams.StreamHandler],
        tls: ssl.SSLContext | None = None,
        gate: accept_gate.AcceptGate | None = None,
    ) -> int:
        """Accept connections.

        :param host: the IP number to bind
        :param port: the port, or 0 for any
        :param make_handler: makes the handler of each new connection; its
            attribute ``stream`` is set before it is called
        :param tls: how to encrypt, if at all
        :param gate: bounds the connections; without it, all are accepted
        :return: the port that was bound
        :raises OSError: when the address can't be bound
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        with contextlib.suppress(OSError):
            # Inherited by the connections; without it, they have the
            # kernel's default.
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
        sock.bind((host, port))
        sock.listen(LISTEN_BACKLOG)
        sock.setblocking(False)
        self._listeners[sock] = accept_gate.Listener(
            make_handler, tls, gate or accept_gate.OpenGate()
        )
        self._poller.addReader(self, sock)
        return int(sock.getsockname()[1])

    def stop_listening(self) -> None:
        """Accept what has come so far and nothing after it.

        The kernel resets the connections that wait when a listener closes.
        Open connections stay.
        """
        for sock in list(self._listeners):
            self._run(functools.partial(self._accept_all, sock))
            self._poller.discard(sock)
            sock.close()
        self._listeners.clear()
        self._paused.clear()

    def resume_accepting(self) -> None:
        """Watch the listeners again that had no place."""
        paused, self._paused = self._paused, set()
        for sock in paused:
            self._poller.addReader(self, sock)

    def connect(
        self, *, host: str, port: int, handler: streams.StreamHandler
    ) -> streams.Stream:
        """Open a connection; the handler is told how it went.

        :param host: an IP number
        :param port: the port
        :param handler: reacts to the connection
        :return: the stream, not yet connected
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        code = _begin_connecting(sock, host, port)
        stream = streams.Stream(
            owner=self, sock=sock, handler=handler, connecting=True
        )
        self._streams[sock] = stream
        if code in (0, errno.EINPROGRESS):
            self.want_write(stream, True)
        else:
            self.fail_later(stream, streams.connect_failure(code))
        return stream

    def want_read(self, stream: streams.Stream, wanted: bool) -> None:
        """Tell the poller whether to watch for bytes.

        :param stream: an open stream
        :param wanted: whether to watch
        """
        if wanted:
            self._poller.addReader(self, stream.sock)
        else:
            self._poller.removeReader(stream.sock)

    def want_write(self, stream: streams.Stream, wanted: bool) -> None:
        """Tell the poller whether to watch for room in the kernel's buffer.

        :param stream: an open stream
        :param wanted: whether to watch
        """
        watched = self._poller.isWriting(stream.sock)
        if wanted and not watched:
            self._poller.addWriter(self, stream.sock)
        elif watched and not wanted:
            self._poller.removeWriter(stream.sock)

    def forget(self, stream: streams.Stream) -> None:
        """Drop a stream that closes; called before its socket is closed.

        :param stream: the stream
        """
        self._streams.pop(stream.sock, None)
        self._poller.discard(stream.sock)
        if self._paused:
            self.resume_accepting()

    def fail_later(self, stream: streams.Stream, why: str) -> None:
        """Abort a stream from the loop instead of from inside a call.

        :param stream: the stream
        :param why: said in the event only
        """
        self.fire(pollers._error(stream.sock, OSError(why)))

    @circuits.handler("_read")  # type: ignore[untyped-decorator]
    def _on_read(self, sock: socket.socket) -> None:
        if sock in self._listeners:
            self._run(lambda: self._accept(sock))
        elif (stream := self._streams.get(sock)) is not None:
            self._react(stream, stream.on_readable)

    @circuits.handler("_write")  # type: ignore[untyped-decorator]
    def _on_write(self, sock: socket.socket) -> None:
        if (stream := self._streams.get(sock)) is not None:
            self._react(stream, stream.on_writable)

    @circuits.handler(  # type: ignore[untyped-decorator]
        "_disconnect", "_error"
    )
    def _on_disconnect(self, sock: socket.socket, *_: object) -> None:
        if (stream := self._streams.get(sock)) is not None:
            self._react(stream, stream.on_error)

    def _react(
        self, stream: streams.Stream, callback: Callable[[], None]
    ) -> None:
        if not self._run(callback):
            # What the other end is owed isn't known any more.
            self._run(lambda: stream.abort(streams.HANDLER_FAILED))

    def _accepted(
        self,
        sock: socket.socket,
        handler: streams.StreamHandler,
        tls: ssl.SSLContext | None,
    ) -> streams.Stream:
        if tls is None:
            return streams.Stream(
                owner=self, sock=sock, handler=handler, connecting=False
            )
        # Imported here to spare instances without TLS its memory.
        from boragefold.transport import tls_streams

        wrapped = tls.wrap_socket(
            sock, server_side=True, do_handshake_on_connect=False
        )
        return tls_streams.TlsStream(
            owner=self, sock=wrapped, handler=handler, connecting=False
        )

    def _accept_all(self, listener: socket.socket) -> None:
        while self._accept_one(listener):
            pass

    def _accept(self, listener: socket.socket) -> None:
        for _ in range(ACCEPTS_IN_A_ROW):
            if not self._accept_one(listener):
                return

    def _accept_one(self, listener: socket.socket) -> bool:
        """Accept a connection if one waits and there is place.

        :return: whether one was accepted
        """
        make_handler, tls, gate = self._listeners[listener]
        if not gate.may_accept():
            self._pause_accepting(listener)
            return False
        try:
            sock, _ = listener.accept()
        except OSError as error:
            if error.errno in NO_DESCRIPTORS:
                self._pause_accepting(listener)
            return False
        self._open(sock, make_handler(), tls)
        return True

    def _open(
        self,
        sock: socket.socket,
        handler: streams.StreamHandler,
        tls: ssl.SSLContext | None,
    ) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = self._accepted(sock, handler, tls)
        self._streams[stream.sock] = stream
        handler.stream = stream  # type: ignore[attr-defined]
        handler.connected()
        stream.resume_reading()

    def _pause_accepting(self, listener: socket.socket) -> None:
        # A listener that stays readable would keep the loop spinning.
        self._poller.removeReader(listener)
        self._paused.add(listener)


def _begin_connecting(sock: socket.socket, host: str, port: int) -> int:
    try:
        return sock.connect_ex((host, port))
    except (OSError, OverflowError, TypeError, ValueError):
        # No address at all; connecting is told to have failed as any other.
        return errno.EADDRNOTAVAIL


__all__ = [
    "RECEIVE_BUFFER_BYTES",
    "SocketSet",
]
