"""One TCP connection: reading, bounded writing, and its end."""

from __future__ import annotations

import errno
import itertools
import socket
import struct
from typing import Protocol

from boragefold.transport import stream_handler
from boragefold.transport import unsent_budget
from boragefold.transport import write_buffer

# How a connection ends that the other end closed in good order, or reset.
END_OF_INPUT = "eof"
RESET = "reset"
# An error left the code that reacts to the connection.
HANDLER_FAILED = "handler_failed"
# Linger for no time: closing sends a reset and drops what is unacknowledged.
NO_LINGER = struct.pack("ii", 1, 0)
# Closing goes on in the background with what is unsent.
DEFAULT_LINGER = struct.pack("ii", 0, 0)

READ_BYTES = stream_handler.READ_BYTES
MAX_READS_IN_A_ROW = stream_handler.MAX_READS_IN_A_ROW
StreamHandler = stream_handler.StreamHandler


class Stream:
    """One TCP connection.

    ``wants_read`` and ``wants_write`` are what its socket raises when it has
    to wait; with TLS, reading may have to wait for room to write.
    """

    wants_read: tuple[type[OSError], ...] = (BlockingIOError,)
    wants_write: tuple[type[OSError], ...] = ()

    def __init__(
        self,
        *,
        owner: StreamOwner,
        sock: socket.socket,
        handler: StreamHandler,
        connecting: bool,
    ) -> None:
        self._owner = owner
        self.sock = sock
        self.handler: StreamHandler = handler
        self.connecting = connecting
        self.open = True
        self._closing = False
        self._keeps_reading = False
        self._resets_unless_closed = False
        self._reading = False
        self._above_high_water = False
        self._unsent = write_buffer.WriteBuffer()
        self._counted_bytes = 0

    @property
    def unsent_bytes(self) -> int:
        """Tell how much waits to be sent.

        :return: bytes in the write buffer
        """
        return len(self._unsent)

    def write(self, data: write_buffer.Piece) -> bool:
        """Send bytes, buffering what the kernel doesn't take.

        :param data: what to send, which isn't changed any more; ignored once
            the connection is closed
        :return: whether the caller may go on writing at once
        """
        if not self.open or self._closing:
            return False
        if self._unsent or self.connecting:
            self._hold(data)
        else:
            sent = self._send(data)
            if sent < len(data):
                self._hold(memoryview(data)[sent:])
            if self._unsent and self.open:
                self._owner.want_write(self, True)
        if len(self._unsent) > self._owner.unsent.high_water_bytes():
            self._above_high_water = True
        return not self._above_high_water

    def is_readable(self) -> bool:
        """Tell whether bytes or the end of the connection wait to be read.

        :return: whether reading wouldn't have to wait
        """
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except self.wants_read:
            return False
        except OSError:
            return True
        return True

    def pause_reading(self) -> None:
        """Stop taking bytes from the other end."""
        self._set_reading(False)

    def resume_reading(self) -> None:
        """Take bytes from the other end again."""
        self._set_reading(True)

    def reset_unless_closed(self) -> None:
        """Let any end but that by ``close`` reset the connection.

        The kernel closes the connections of a process that ends: the other
        end must not take that for the end of what is sent here.
        """
        self._resets_unless_closed = True
        self._set_linger(NO_LINGER)

    def close(self) -> None:
        """Close once everything written has been sent."""
        self._closing = True
        if not self._unsent:
            self._close_in_good_order()

    def end_writing(self) -> None:
        """Tell the other end that nothing follows, and go on reading.

        Closing with bytes unread resets the connection, which may take what
        was written from the other end.
        """
        self._closing = self._keeps_reading = True
        self._set_reading(True)
        if not self._unsent:
            self._shut_writing()

    def abort(self, reason: str = "closed_here") -> None:
        """Close now and drop what is unsent.

        :param reason: passed on to the handler
        """
        if not self.open:
            return
        self.open = False
        self._count(-self._counted_bytes)
        self._unsent.clear()
        self._owner.forget(self)
        self.sock.close()
        # They refer to each other, and would stay until the next collection
        # of garbage.
        handler, self.handler = self.handler, stream_handler.GONE
        handler.closed(reason)

    def reset(self, reason: str = "closed_here") -> None:
        """Close now, and let nothing arrive any more that was written.

        A plain close goes on delivering what the kernel has taken, behind a
        partition for as long as that lasts.

        :param reason: passed on to the handler
        """
        if self.open:
            self._set_linger(NO_LINGER)
        self.abort(reason)

    def has_ended(self) -> bool:
        """Check whether the other end closed after the bytes read so far.

        :return: whether nothing more will come; False while unread bytes
            precede the end
        """
        try:
            return not self.sock.recv(1, socket.MSG_PEEK)
        except self.wants_read:
            return False
        except OSError:
            return True

    def on_error(self) -> None:
        """Close after an error of the socket; called by the socket set."""
        if self.connecting:
            self.abort(self._connect_failure() or "unreachable")
        else:
            self.abort(RESET)

    def on_readable(self) -> None:
        """Read what there is; called by the socket set."""
        for reads in itertools.count(1):
            if not self.open or not self._reading:
                return
            try:
                wanted_bytes = self.handler.read_bytes
                data = self.sock.recv(wanted_bytes)
            except self.wants_read:
                return
            except self.wants_write:
                self._owner.want_write(self, True)
                return
            except OSError:
                self.abort(RESET)
                return
            if not data:
                self.abort(END_OF_INPUT)
                return
            self.handler.received(data)
            if self._decrypted_bytes():
                continue
            is_last = reads >= self.handler.reads_in_a_row
            if len(data) < wanted_bytes or is_last:
                return

    def on_writable(self) -> None:
        """Finish connecting or go on sending; called by the socket set."""
        if self.connecting and not self._finish_connecting():
            return
        while self._unsent and self._send_first():
            pass
        if self.open and not self._unsent:
            self._owner.want_write(self, False)
            if self._keeps_reading:
                self._shut_writing()
            elif self._closing:
                self._close_in_good_order()
        if self._above_high_water and self._below_half():
            self._above_high_water = False
            self.handler.drained()

    def _send_first(self) -> bool:
        """Send what comes first.

        :return: whether the kernel took all of it
        """
        with self._unsent.first() as piece:
            wanted = len(piece)
            sent = self._send(piece)
        self._unsent.drop(sent)
        self._count(-min(sent, self._counted_bytes))
        return sent == wanted and self.open

    def _shut_writing(self) -> None:
        if not self.open:
            return
        if self._resets_unless_closed:
            self._set_linger(DEFAULT_LINGER)
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self._owner.fail_later(self, RESET)

    def _close_in_good_order(self) -> None:
        if self.open and self._resets_unless_closed:
            self._set_linger(DEFAULT_LINGER)
        self.abort("closed_here")

    def _set_linger(self, linger: bytes) -> None:
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    def _hold(self, data: write_buffer.Piece) -> None:
        if self.open:
            self._unsent.append(data)
            if not write_buffer.is_counted_elsewhere(data):
                self._count(len(data))

    def _count(self, count: int) -> None:
        self._counted_bytes += count
        self._owner.unsent.add(count)

    def _below_half(self) -> bool:
        half_bytes = self._owner.unsent.high_water_bytes() // 2
        return self.open and len(self._unsent) < half_bytes

    def _finish_connecting(self) -> bool:
        if reason := self._connect_failure():
            self.abort(reason)
            return False
        self.connecting = False
        self._set_reading(True)
        self.handler.connected()
        return self.open

    def _connect_failure(self) -> str:
        code = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        return connect_failure(code) if code else ""

    def _send(self, data: write_buffer.Piece) -> int:
        try:
            return self.sock.send(data)
        except (*self.wants_read, *self.wants_write):
            return 0
        except OSError:
            # The writer may be in the middle of something, so it is told
            # later.
            self._owner.fail_later(self, RESET)
            return 0

    def _decrypted_bytes(self) -> int:
        return 0

    def _set_reading(self, reading: bool) -> None:
        if self.open and reading != self._reading:
            self._reading = reading
            self._owner.want_read(self, reading)


def connect_failure(code: int) -> str:
    """Tell why a connection couldn't be opened.

    :param code: the error number
    :return: ``refused`` if nothing listens at the address, else
        ``unreachable``
    """
    return "refused" if code == errno.ECONNREFUSED else "unreachable"


class StreamOwner(Protocol):
    """What a stream needs of the component that holds its socket.

    ``unsent`` counts what all its streams hold.
    """

    unsent: unsent_budget.UnsentBudget

    def want_read(self, stream: Stream, wanted: bool) -> None:
        """Tell the poller whether to watch for bytes.

        :param stream: an open stream
        :param wanted: whether to watch
        """

    def want_write(self, stream: Stream, wanted: bool) -> None:
        """Tell the poller whether to watch for room to write.

        :param stream: an open stream
        :param wanted: whether to watch
        """

    def forget(self, stream: Stream) -> None:
        """Drop a stream that closes.

        :param stream: the stream
        """

    def fail_later(self, stream: Stream, why: str) -> None:
        """Abort a stream from the loop.

        :param stream: the stream
        :param why: the reason
        """


__all__ = [
    "END_OF_INPUT",
    "HANDLER_FAILED",
    "RESET",
    "Stream",
    "StreamHandler",
    "StreamOwner",
    "connect_failure",
]
