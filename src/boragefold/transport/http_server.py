"""HTTP/1.1 towards callers: parsed by h11, with bounds on everything."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple
from urllib import parse

import h11
import msgspec

from boragefold.transport import exchange
from boragefold.transport import streams

MAX_HEADER_BYTES = 32_768
MAX_BODY_BYTES = 4_194_304
STATUS_BAD_REQUEST = 400
STATUS_REQUEST_TIMEOUT = 408
STATUS_TOO_LARGE = 413
HTTP_1_1 = b"1.1"

Exchange = exchange.Exchange
Headers = exchange.Headers


class Request(NamedTuple):
    """One whole request; header names are in lower case.

    ``target`` and ``fields`` are the request line's target and all headers,
    repeated ones included, as they were sent.
    """

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes
    target: str = ""
    fields: tuple[tuple[str, str], ...] = ()


def bad_request_body(reason: str) -> bytes:
    """Write the body that tells a caller its bytes were no request.

    :param reason: why
    :return: JSON
    """
    error = {
        "outcome": "not_run",
        "reason": reason,
        "remedy": "send one well-formed HTTP/1.1 request within the limits",
    }
    return msgspec.json.encode({"error": error})


Application = Callable[[Request, Exchange], None]


class ServerConnection(streams.StreamHandler):
    """One caller's connection: requests one after the other."""

    stream: streams.Stream

    def __init__(
        self,
        *,
        application: Application,
        on_bad_request: Callable[[str], None],
        max_body_bytes: int = MAX_BODY_BYTES,
        last_answer: Callable[[], bool] = lambda: False,
        must_end: Callable[[], bool] | None = None,
        on_gone: Callable[[ServerConnection], None] = lambda gone: None,
        now_seconds: Callable[[], float] = lambda: 0.0,
        on_ended: Callable[[ServerConnection], None] = (
            lambda ended: ended.stream.close()
        ),
    ) -> None:
        """Wait for a request.

        :param application: handles the requests
        :param on_bad_request: told why one wasn't handled
        :param max_body_bytes: how large a request's body may be
        :param last_answer: tells whether the next answer is the last, which
            its head then says
        :param must_end: tells whether an answer is the last even if its head
            could not say so yet; by default as ``last_answer``
        :param on_gone: called when the connection is closed
        :param now_seconds: reads the process clock
        :param on_ended: called when nothing more will be answered; has to
            close the connection
        """
        self._on_ended = on_ended
        self._ended = False
        self._application = application
        self._last_answer = last_answer
        self._must_end = must_end or last_answer
        self._on_gone = on_gone
        self._on_bad_request = on_bad_request
        self._max_body_bytes = max_body_bytes
        self._now_seconds = now_seconds
        self._moved_at_seconds = now_seconds()
        self._receiving = False
        self._parser = self._new_parser()
        self._head: h11.Request | None = None
        self._body = bytearray()
        self._exchange: Exchange | None = None

    def is_idle(self, *, quiet_seconds: float) -> bool:
        """Tell whether the connection can be closed without loss.

        :param quiet_seconds: what is sent now may take so long to arrive
        :return: whether no request is answered, received, or waits unread,
            and nothing has happened for that time
        """
        if self._ended or self._receiving or self._exchange is not None:
            return False
        quiet_at_seconds = self._moved_at_seconds + quiet_seconds
        if self._now_seconds() < quiet_at_seconds:
            return False
        return not self.stream.is_readable()

    @property
    def exchange(self) -> Exchange | None:
        """Return the request that is being answered.

        :return: its exchange, None if there is none
        """
        return self._exchange

    def end(self) -> None:
        """Answer nothing more, and close once the other end has read."""
        if not self._ended:
            self._ended = True
            self._on_ended(self)

    def refuse_slow(
        self, *, idle_seconds: float, request_seconds: float
    ) -> None:
        """End a connection that idles, or sends a request too slowly.

        Callers that open connections and send nothing, or a byte a minute,
        would take all descriptors.

        :param idle_seconds: how long it may stay without a request
        :param request_seconds: how long the head of one may take to arrive;
            its body has as long as an idle connection
        """
        if self._exchange is not None or self._ended:
            return
        if self.stream.is_readable():
            # This process was late, not the caller.
            return
        waited_seconds = self._now_seconds() - self._moved_at_seconds
        limit_seconds = request_seconds if self._head is None else idle_seconds
        if self._receiving and waited_seconds > limit_seconds:
            self._refuse("request_too_slow", STATUS_REQUEST_TIMEOUT)
        elif not self._receiving and waited_seconds > idle_seconds:
            self.end()

    def connected(self) -> None:
        """Do nothing: the caller speaks first."""

    def received(self, data: bytes) -> None:
        """Parse what the caller sent.

        :param data: bytes
        """
        if self._ended:
            return
        if not self._receiving and self._exchange is None:
            self._receiving = True
            self._moved_at_seconds = self._now_seconds()
        try:
            self._parser.receive_data(data)
        except h11.RemoteProtocolError:
            self._refuse("malformed", STATUS_BAD_REQUEST)
            return
        self._parse()

    def drained(self) -> None:
        """Pass on that the caller caught up."""
        if self._exchange is not None:
            self._exchange.drained()

    def closed(self, reason: str) -> None:
        """Tell the running exchange that its caller is gone.

        :param reason: why
        """
        self._on_gone(self)
        exchange, self._exchange = self._exchange, None
        if exchange is not None and not exchange.finished:
            exchange.closed()

    def send(self, event: h11.Event) -> bool:
        """Send a part of the answer.

        :param event: head or data
        :return: whether the caller keeps up
        """
        if not self.stream.open:
            return False
        if isinstance(event, h11.Response) and self._last_answer():
            headers = [*event.headers, (b"Connection", b"close")]
            event = h11.Response(
                status_code=event.status_code, headers=headers
            )
        data = self._parser.send(event)
        if isinstance(event, h11.Response) and self._ends_at_close(event):
            self.stream.reset_unless_closed()
        return self.stream.write(data) if data else True

    def finish(self) -> None:
        """End the answer and turn to the next request, if one waits."""
        if not self.stream.open:
            return
        self.stream.write(self._parser.send(h11.EndOfMessage()) or b"")
        self._exchange = None
        self._head = None
        self._moved_at_seconds = self._now_seconds()
        if self._parser.our_state is h11.MUST_CLOSE or self._must_end():
            # This answer is the last: a request behind it would get none.
            self.end()
            return
        if self._parser.their_state is h11.DONE:
            self._parser.start_next_cycle()
            self.stream.resume_reading()
            self._parse()
            self._receiving = self._exchange is None and (
                self._head is not None or bool(self._parser.trailing_data[0])
            )

    def abort(self) -> None:
        """Cut the connection, so that the answer doesn't look whole."""
        self._exchange = None
        self.stream.abort()

    def has_ended(self) -> bool:
        """Check whether the caller closed the connection.

        :return: whether it did, also if the loop hasn't detected it yet
        """
        return self.stream.has_ended()

    def _ends_at_close(self, head: h11.Response) -> bool:
        # A caller of HTTP/1.0 knows no chunks.
        return self._parser.their_http_version != HTTP_1_1 and not any(
            name == b"content-length" for name, _ in head.headers
        )

    def _new_parser(self) -> h11.Connection:
        return h11.Connection(
            h11.SERVER, max_incomplete_event_size=MAX_HEADER_BYTES
        )

    def _parse(self) -> None:
        while self.stream.open and self._exchange is None:
            if self._ended:
                return
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as error:
                self._refuse("malformed", error.error_status_hint)
                return
            if event in (h11.NEED_DATA, h11.PAUSED):
                return
            if not self._take(event):
                return
        if self._exchange is not None and self._parser.trailing_data[0]:
            # Bounds the buffer of a caller that pipelines and never reads.
            self.stream.pause_reading()

    def _take(self, event: object) -> bool:
        if isinstance(event, h11.Request):
            return self._take_head(event)
        if isinstance(event, h11.Data):
            self._body += event.data
            if len(self._body) > self._max_body_bytes:
                self._refuse("body_too_large", STATUS_TOO_LARGE)
                return False
        elif isinstance(event, h11.EndOfMessage):
            self._dispatch()
        elif isinstance(event, h11.ConnectionClosed):
            return False
        return True

    def _take_head(self, head: h11.Request) -> bool:
        names = {name for name, _ in head.headers}
        if {b"content-length", b"transfer-encoding"} <= names:
            # Request smuggling: a proxy in front may follow the other framing.
            self._refuse("conflicting_framing", STATUS_BAD_REQUEST)
            return False
        self._head = head
        self._body = bytearray()
        expected = dict(head.headers).get(b"expect", b"")
        if expected.lower() == b"100-continue":
            self.send(h11.InformationalResponse(status_code=100, headers=[]))
        return True

    def _dispatch(self) -> None:
        head = self._head
        if head is None:
            return
        target = parse.urlsplit(head.target.decode("latin-1"))
        fields = tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in head.headers
        )
        request = Request(
            method=head.method.decode("latin-1"),
            path=parse.unquote(target.path),
            query=target.query,
            headers=dict(fields),
            body=bytes(self._body),
            target=head.target.decode("latin-1"),
            fields=fields,
        )
        self._body = bytearray()
        self._receiving = False
        self._exchange = Exchange(connection=self)
        self._application(request, self._exchange)

    def _refuse(self, reason: str, status: int) -> None:
        self._on_bad_request(reason)
        body = bad_request_body(reason)
        if self._parser.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            response = h11.Response(
                status_code=status,
                headers=[
                    ("Content-Type", "application/json"),
                    ("Content-Length", str(len(body))),
                    ("Connection", "close"),
                ],
            )
            events = (response, h11.Data(data=body), h11.EndOfMessage())
            for event in events:
                self.stream.write(self._parser.send(event) or b"")
        self.end()


__all__ = [
    "Application",
    "Exchange",
    "Headers",
    "Request",
    "ServerConnection",
]
