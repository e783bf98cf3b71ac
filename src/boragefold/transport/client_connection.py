"""One connection to one address, for one call at a time."""

from __future__ import annotations

from collections.abc import Callable
import math
from typing import NamedTuple
from typing import Protocol

import h11

from boragefold.protocol import paths
from boragefold.transport import answer_parser
from boragefold.transport import header_bytes
from boragefold.transport import streams

# These usually have no body and then carry no length either.
BODILESS_METHODS = frozenset({"GET", "HEAD", "DELETE", "OPTIONS"})
# Limits an answer that is collected, whose other end may send single bytes
# without ever being silent for long.
COLLECTING_FACTOR = 4
JOINED_BODY_BYTES = 16_384
# Why a call fails that HTTP can't express.
UNSENDABLE = "unsendable_call"


class Call(NamedTuple):
    """One request to send.

    ``fresh`` asks for a new connection. ``progress_seconds`` is how long the
    other end may be silent, not how long the whole answer may take; one that
    its sink collects may take ``COLLECTING_FACTOR`` times as long.
    ``may_send`` is asked right before the first byte is written, after any
    connecting; when it says no, nothing is sent. ``accepts`` tells whether an
    answer with these headers is the one to this call. ``expires`` lets nothing
    arrive any more once the call is given up. A ``Host`` among the
    headers goes before the address. ``endpoint`` is the name by which peers
    know the address; without it, connections are only opened directly. A
    ``repeatable`` call may be given up and sent again at any time.
    ``make_late_headers`` makes the headers that depend on when the call is
    written. ``connection`` is the idle one to send it on; without it, nothing
    is sent.
    """

    address: str
    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes
    fresh: bool
    progress_seconds: float
    may_send: Callable[[], bool] = lambda: True
    accepts: answer_parser.Accepts = lambda headers: True
    expires: bool = False
    endpoint: str = ""
    repeatable: bool = False
    make_late_headers: Callable[[], list[tuple[str, str]]] = list
    connection: ClientConnection | None = None


class Pending:
    """A call whose answer has not ended.

    ``last_connection`` is the one it was last given to, also after its end.
    ``tried`` are the peers of the paths that couldn't be opened for it, and
    ``peer`` is that of the path in use, empty for a direct one.
    """

    def __init__(self, *, call: Call, sink: answer_parser.AnswerSink) -> None:
        self.call = call
        self.sink = sink
        self.connection: ClientConnection | None = None
        self.last_connection: ClientConnection | None = None
        self.tried: tuple[str, ...] = ()
        self.peer = ""
        self.may_have_arrived = False
        self.cancelled = False

    def take_sink(self) -> answer_parser.AnswerSink:
        """Let go of the sink, which refers to this call in turn.

        With it, a whole request would stay until the next collection of
        garbage.

        :return: the sink, to be told how the call ended
        """
        sink, self.sink = self.sink, answer_parser.GONE
        return sink

    def cancel(self) -> None:
        """Give the call up; its sink hears nothing more."""
        self.cancelled = True
        self.take_sink()
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.cancel()

    def pause(self) -> None:
        """Stop reading the answer, because its reader is slow."""
        if self.connection is not None:
            self.connection.pause()

    def resume(self) -> None:
        """Read the answer again."""
        if self.connection is not None:
            self.connection.resume()


class ClientConnection(streams.StreamHandler):
    """One connection to one address, for one call at a time."""

    stream: streams.Stream

    def __init__(
        self,
        *,
        client: ConnectionOwner,
        address: str,
        endpoint: str = "",
        path: paths.Path = paths.DIRECT,
    ) -> None:
        self._client = client
        self.address = address
        self.endpoint = endpoint
        self.path = path
        self.opened = False
        self.pending: Pending | None = None
        self.paused = False
        self.used_before = False
        self.opened_at_seconds = math.inf
        self.begun_at_seconds = 0.0
        self.progressed_at_seconds = 0.0
        self.received_at_seconds = 0.0
        self._parser: answer_parser.AnswerParser | None = None

    def begin(self, pending: Pending) -> None:
        """Send a call, at once or when the connection opens.

        :param pending: the call and who takes its answer
        """
        self.pending = pending
        pending.connection = pending.last_connection = self
        self.begun_at_seconds = self._client.now_seconds()
        self.progressed_at_seconds = self.begun_at_seconds
        if self.opened:
            self._send_call()

    def connected(self) -> None:
        """Send the call that waited for the connection."""
        self.opened = True
        self.opened_at_seconds = self._client.now_seconds()
        self.progressed_at_seconds = self.opened_at_seconds
        self.received_at_seconds = self.opened_at_seconds
        self._client.connection_opened(self)
        self._send_call()

    def received(self, data: bytes) -> None:
        """Parse a part of the answer.

        :param data: bytes
        """
        self.progressed_at_seconds = self._client.now_seconds()
        self.received_at_seconds = self.progressed_at_seconds
        parser = self._parser
        if parser is None:
            self.stream.abort("unasked_answer")
            return
        parsed = parser.feed(data)
        if self.pending is None:
            # The call was given up by what came of its answer.
            return
        if parser.complete:
            # The answer is whole, but the connection isn't reused.
            self._end(parser, clean=parsed)
        elif not parsed:
            self.stream.abort(parser.reason)

    def drained(self) -> None:
        """Do nothing: a call is written at once."""

    def closed(self, reason: str) -> None:
        """End or fail the running call.

        :param reason: why the connection is gone
        """
        self._client.forget(self)
        if self.pending is None:
            return
        parser = self._parser
        if (
            reason == streams.END_OF_INPUT
            and parser is not None
            and parser.end_of_input()
        ):
            self._end(parser, clean=False)
        else:
            self._fail(reason)

    def cancel(self) -> None:
        """Give up the running call; the sink hears nothing more."""
        self._client.call_given_up(self)
        self._take_pending()
        self.stream.abort()

    def is_overdue(self, *, now_seconds: float) -> bool:
        """Return whether an answer that is collected takes too long.

        :param now_seconds: reading of the clock
        :return: whether it does
        """
        pending = self.pending
        if pending is None or not pending.sink.collects:
            return False
        allowed = pending.call.progress_seconds * COLLECTING_FACTOR
        return now_seconds - self.begun_at_seconds > allowed

    def give_up(self, reason: str) -> None:
        """Fail the running call and close.

        :param reason: passed on to the sink
        """
        if self.pending is not None and self.pending.call.expires:
            self.stream.reset(reason)
        else:
            self.stream.abort(reason)

    def pause(self) -> None:
        """Stop reading; a paused connection has no progress timeout."""
        self.paused = True
        self.stream.pause_reading()

    def resume(self) -> None:
        """Read again."""
        self.paused = False
        self.progressed_at_seconds = self._client.now_seconds()
        self.stream.resume_reading()

    def _fail(self, reason: str) -> None:
        pending = self._take_pending()
        if pending is None:
            return
        failure = answer_parser.Failure(
            reason=reason,
            may_have_arrived=pending.may_have_arrived,
            reused_connection=self.used_before,
        )
        self._client.call_failed(self, pending, failure)

    def _take_pending(self) -> Pending | None:
        pending, self.pending = self.pending, None
        parser, self._parser = self._parser, None
        if parser is not None:
            parser.close()
        if pending is not None:
            pending.connection = None
        return pending

    def _send_call(self) -> None:
        if self.pending is None:
            self.stream.close()
            return
        if not self.pending.call.may_send():
            # The right to send ended while connecting, or while the process
            # slept.
            self._client.fail_later(self, "right_ended")
            return
        try:
            head = _write_head(self.pending.call)
        except (h11.LocalProtocolError, UnicodeEncodeError):
            self._client.fail_later(self, UNSENDABLE)
            return
        self.pending.may_have_arrived = True
        self._parser = answer_parser.AnswerParser(
            sink=self.pending.sink, accepts=self.pending.call.accepts
        )
        for piece in _pieces(head, self.pending.call.body):
            self.stream.write(piece)
        self.pending.sink.written(reused=self.used_before)

    def _end(self, parser: answer_parser.AnswerParser, *, clean: bool) -> None:
        pending = self._take_pending()
        # The unsent rest of the body would be taken for the next request.
        all_sent = self.stream.unsent_bytes == 0
        if clean and parser.keeps_open and all_sent:
            self.used_before = True
            self._client.release(self)
        else:
            self.stream.close()
        if pending is not None:
            pending.take_sink().end(parser.framing)


class ConnectionOwner(Protocol):
    """What a connection needs of the client that holds it."""

    def now_seconds(self) -> float:
        """Read the clock.

        :return: seconds
        """

    def release(self, connection: ClientConnection) -> None:
        """Keep a connection for a later call.

        :param connection: one whose call is over
        """

    def forget(self, connection: ClientConnection) -> None:
        """Drop a connection that is gone.

        :param connection: which
        """

    def fail_later(self, connection: ClientConnection, reason: str) -> None:
        """Fail a connection's call from the loop.

        :param connection: whose call was not sent
        :param reason: passed on to the sink
        """

    def call_given_up(self, connection: ClientConnection) -> None:
        """Learn that nobody waits for the answer to a call any more.

        :param connection: the one that it was sent on
        """

    def connection_opened(self, connection: ClientConnection) -> None:
        """Learn that a new connection is open.

        :param connection: which
        """

    def call_failed(
        self,
        connection: ClientConnection,
        pending: Pending,
        failure: answer_parser.Failure,
    ) -> None:
        """Try another path if the connection didn't open, or tell the sink.

        :param connection: the one that is gone
        :param pending: the call
        :param failure: what went wrong
        """


def _write_head(call: Call) -> bytes:
    writer = h11.Connection(h11.CLIENT)
    headers = [*call.headers, *call.make_late_headers()]
    if not any(name.lower() == "host" for name, _ in headers):
        headers.insert(0, ("Host", call.address))
    if call.body or call.method not in BODILESS_METHODS:
        headers.append(("Content-Length", str(len(call.body))))
    head = h11.Request(
        method=call.method,
        target=call.target,
        headers=header_bytes.encode(headers),
    )
    return writer.send(head) or b""


def _pieces(head: bytes, body: bytes) -> list[bytes]:
    # A large body isn't copied; a small one leaves with its head.
    if len(body) > JOINED_BODY_BYTES:
        return [head, body]
    return [head + body]


__all__ = [
    "Call",
    "ClientConnection",
    "ConnectionOwner",
    "Pending",
]
