"""All TCP sockets of the process, held by one fixed component."""

from __future__ import annotations

import abc
from collections.abc import Callable
import errno
import os
import socket
import ssl

import circuits
from circuits.core import pollers

READ_BYTES = 65536
# A caller that reads more slowly than its answer arrives fills this much;
# then reading from the endpoint pauses until half has drained.
HIGH_WATER_BYTES = 262_144
LISTEN_BACKLOG = 1024


class StreamHandler(abc.ABC):
    """Reacts to what happens on one connection."""

    @abc.abstractmethod
    def connected(self) -> None:
        """Learn that the connection is open for writing."""

    @abc.abstractmethod
    def received(self, data: bytes) -> None:
        """Take bytes that arrived.

        :param data: at least one byte
        """

    @abc.abstractmethod
    def drained(self) -> None:
        """Learn that the write buffer fell below half its high-water mark."""

    @abc.abstractmethod
    def closed(self, reason: str) -> None:
        """Learn that the connection is gone; called once, also on failure.

        :param reason: ``eof``, ``refused``, ``timeout``, ``reset`` or
            ``closed_here``
        """


class Stream:
    """One TCP connection."""

    def __init__(
        self,
        *,
        owner: SocketSet,
        sock: socket.socket,
        handler: StreamHandler,
        connecting: bool,
    ) -> None:
        self._owner = owner
        self.sock = sock
        self.handler = handler
        self.connecting = connecting
        self.open = True
        self._closing = False
        self._reading = False
        self._above_high_water = False
        self._unsent = bytearray()

    @property
    def unsent_bytes(self) -> int:
        """Tell how much waits to be sent.

        :return: bytes in the write buffer
        """
        return len(self._unsent)

    def write(self, data: bytes) -> bool:
        """Send bytes, buffering what the kernel doesn't take.

        :param data: what to send; ignored once the connection is closed
        :return: whether the caller may go on writing at once
        """
        if not self.open or self._closing:
            return False
        if self._unsent or self.connecting:
            self._unsent += data
        else:
            sent = self._send(data)
            self._unsent += data[sent:]
            if self._unsent and self.open:
                self._owner.want_write(self, True)
        if len(self._unsent) > HIGH_WATER_BYTES:
            self._above_high_water = True
        return not self._above_high_water

    def pause_reading(self) -> None:
        """Stop taking bytes from the other end."""
        self._set_reading(False)

    def resume_reading(self) -> None:
        """Take bytes from the other end again."""
        self._set_reading(True)

    def close(self) -> None:
        """Close once everything written has been sent."""
        self._closing = True
        if not self._unsent:
            self.abort("closed_here")

    def abort(self, reason: str = "closed_here") -> None:
        """Close now and drop what is unsent.

        :param reason: passed on to the handler
        """
        if not self.open:
            return
        self.open = False
        self._owner.forget(self)
        self.sock.close()
        self.handler.closed(reason)

    def on_readable(self) -> None:
        """Read what there is; called by the socket set."""
        while self.open and self._reading:
            try:
                data = self.sock.recv(READ_BYTES)
            except (BlockingIOError, ssl.SSLWantReadError):
                return
            except ssl.SSLWantWriteError:
                self._owner.want_write(self, True)
                return
            except OSError:
                self.abort("reset")
                return
            if not data:
                self.abort("eof")
                return
            self.handler.received(data)
            if len(data) < READ_BYTES and not self._decrypted_bytes():
                return

    def on_writable(self) -> None:
        """Finish connecting or go on sending; called by the socket set."""
        if self.connecting and not self._finish_connecting():
            return
        if self._unsent:
            sent = self._send(bytes(self._unsent))
            del self._unsent[:sent]
        if self.open and not self._unsent:
            self._owner.want_write(self, False)
            if self._closing:
                self.abort("closed_here")
        if self._above_high_water and self._below_half():
            self._above_high_water = False
            self.handler.drained()

    def _below_half(self) -> bool:
        return self.open and len(self._unsent) < HIGH_WATER_BYTES // 2

    def _finish_connecting(self) -> bool:
        code = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            self.abort("refused")
            return False
        self.connecting = False
        self._set_reading(True)
        self.handler.connected()
        return self.open

    def _send(self, data: bytes) -> int:
        try:
            return self.sock.send(data)
        except (BlockingIOError, ssl.SSLWantWriteError, ssl.SSLWantReadError):
            return 0
        except OSError:
            # Whoever writes may be in the middle of something; it learns of
            # the loss from the loop, never inside its own call.
            self._owner.fail_later(self, "reset")
            return 0

    def _decrypted_bytes(self) -> int:
        # Bytes that TLS has decrypted never make the descriptor readable
        # again; without this the end of an answer could sit there for good.
        if isinstance(self.sock, ssl.SSLSocket):
            return self.sock.pending()
        return 0

    def _set_reading(self, reading: bool) -> None:
        if self.open and reading != self._reading:
            self._reading = reading
            self._owner.want_read(self, reading)


class SocketSet(circuits.BaseComponent):  # type: ignore[misc]
    """Every listening and connected TCP socket of the process.

    One component holds them all for the life of the process. A component per
    connection makes the loop rebuild its handler cache on each connect, and
    throughput collapses at a few hundred streams.
    """

    channel = "sockets"

    def __init__(self, *, poller: pollers.BasePoller) -> None:
        super().__init__()
        self._poller = poller
        self._streams: dict[socket.socket, Stream] = {}
        self._listeners: dict[
            socket.socket,
            tuple[Callable[[], StreamHandler], ssl.SSLContext | None],
        ] = {}

    def listen(
        self,
        *,
        host: str,
        port: int,
        make_handler: Callable[[], StreamHandler],
        tls: ssl.SSLContext | None = None,
    ) -> int:
        """Accept connections.

        :param host: the IP number to bind
        :param port: the port, or 0 for any
        :param make_handler: makes the handler of each new connection; its
            attribute ``stream`` is set before it is called
        :param tls: how to encrypt, if at all
        :return: the port that was bound
        :raises OSError: when the address can't be bound
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, port))
        sock.listen(LISTEN_BACKLOG)
        sock.setblocking(False)
        self._listeners[sock] = (make_handler, tls)
        self._poller.addReader(self, sock)
        return int(sock.getsockname()[1])

    def stop_listening(self) -> None:
        """Accept no further connection; open ones stay."""
        for sock in list(self._listeners):
            self._poller.discard(sock)
            sock.close()
        self._listeners.clear()

    def connect(
        self, *, host: str, port: int, handler: StreamHandler
    ) -> Stream:
        """Open a connection; the handler is told how it went.

        :param host: an IP number
        :param port: the port
        :param handler: reacts to the connection
        :return: the stream, not yet connected
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        code = sock.connect_ex((host, port))
        stream = Stream(
            owner=self, sock=sock, handler=handler, connecting=True
        )
        self._streams[sock] = stream
        if code in (0, errno.EINPROGRESS):
            self.want_write(stream, True)
        else:
            self.fail_later(stream, os.strerror(code))
        return stream

    def want_read(self, stream: Stream, wanted: bool) -> None:
        """Tell the poller whether to watch for bytes.

        :param stream: an open stream
        :param wanted: whether to watch
        """
        if wanted:
            self._poller.addReader(self, stream.sock)
        else:
            self._poller.removeReader(stream.sock)

    def want_write(self, stream: Stream, wanted: bool) -> None:
        """Tell the poller whether to watch for room in the kernel's buffer.

        :param stream: an open stream
        :param wanted: whether to watch
        """
        watched = self._poller.isWriting(stream.sock)
        if wanted and not watched:
            self._poller.addWriter(self, stream.sock)
        elif watched and not wanted:
            self._poller.removeWriter(stream.sock)

    def forget(self, stream: Stream) -> None:
        """Drop a stream that closes; called before its socket is closed.

        :param stream: the stream
        """
        self._streams.pop(stream.sock, None)
        self._poller.discard(stream.sock)

    def fail_later(self, stream: Stream, why: str) -> None:
        """Abort a stream from the loop instead of from inside a call.

        :param stream: the stream
        :param why: said in the event only
        """
        self.fire(pollers._error(stream.sock, OSError(why)))

    @circuits.handler("_read")  # type: ignore[untyped-decorator]
    def _on_read(self, sock: socket.socket) -> None:
        if sock in self._listeners:
            self._accept(sock)
        elif (stream := self._streams.get(sock)) is not None:
            stream.on_readable()

    @circuits.handler("_write")  # type: ignore[untyped-decorator]
    def _on_write(self, sock: socket.socket) -> None:
        if (stream := self._streams.get(sock)) is not None:
            stream.on_writable()

    @circuits.handler(  # type: ignore[untyped-decorator]
        "_disconnect", "_error"
    )
    def _on_disconnect(self, sock: socket.socket, *_: object) -> None:
        if (stream := self._streams.get(sock)) is not None:
            stream.abort("refused" if stream.connecting else "reset")

    def _accept(self, listener: socket.socket) -> None:
        make_handler, tls = self._listeners[listener]
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if tls is not None:
                sock = tls.wrap_socket(
                    sock, server_side=True, do_handshake_on_connect=False
                )
            handler = make_handler()
            stream = Stream(
                owner=self, sock=sock, handler=handler, connecting=False
            )
            self._streams[sock] = stream
            handler.stream = stream  # type: ignore[attr-defined]
            handler.connected()
            stream.resume_reading()


__all__ = [
    "HIGH_WATER_BYTES",
    "SocketSet",
    "Stream",
    "StreamHandler",
]
