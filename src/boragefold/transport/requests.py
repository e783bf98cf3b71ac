"""Reads callers' requests from bytes, within the published limits."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from typing import NamedTuple
from urllib import parse

import h11

from boragefold.policy import caller_budget
from boragefold.transport import caller_memory
from boragefold.transport import chunked_body
from boragefold.transport import request_body

# The limit of headers doesn't cover the request line.
REQUEST_LINE_BYTES = 8_192
MAX_HEADER_BYTES = 24_576
MAX_HEAD_BYTES = MAX_HEADER_BYTES + REQUEST_LINE_BYTES
MAX_BODY_BYTES = 4_194_304
# Of a header, beside its name and value.
FIELD_EXTRA_BYTES = 4
STATUS_BAD_REQUEST = 400
STATUS_TOO_LARGE = 413
STATUS_HEADERS_TOO_LARGE = 431
CHUNKED = (b"transfer-encoding", b"chunked")


class Request(NamedTuple):
    """One whole request; header names are in lower case.

    ``target`` and ``fields`` are the request line's target and all headers,
    repeated ones included, as they were sent. ``body`` is not to be changed.
    """

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes
    target: str = ""
    fields: tuple[tuple[str, str], ...] = ()


class RequestLimits(NamedTuple):
    """How large a request may be."""

    max_header_bytes: int = MAX_HEADER_BYTES
    max_body_bytes: int = MAX_BODY_BYTES


class Refused(NamedTuple):
    """Why bytes are no request, and the status that says so."""

    reason: str
    status: int


MALFORMED = Refused("malformed", STATUS_BAD_REQUEST)
CONFLICTING_FRAMING = Refused("conflicting_framing", STATUS_BAD_REQUEST)
BODY_TOO_LARGE = Refused("body_too_large", STATUS_TOO_LARGE)
HEAD_TOO_LARGE = Refused("head_too_large", STATUS_HEADERS_TOO_LARGE)


class RequestReader:
    """Reads the requests of one connection, one after the other.

    ``parser`` also writes the answers.
    """

    def __init__(
        self,
        *,
        limits: Callable[[], RequestLimits],
        account: caller_memory.Account,
    ) -> None:
        """Wait for a head.

        :param limits: returns those in force; read anew for each request
        :param account: counts the bodies
        """
        self._limits = limits
        self._account = account
        header_bytes = limits().max_header_bytes + REQUEST_LINE_BYTES
        self._max_event_bytes = max(MAX_HEAD_BYTES, header_bytes)
        self.parser = self._new_parser()
        self._failure: Refused | None = None
        self._head: h11.Request | None = None
        self._max_body_bytes = 0
        self._body: caller_memory.HeldBody | None = None
        # Of bodies that don't pass through the parser.
        self._content: request_body.RequestBody | None = None
        # What lies behind the request that is being answered.
        self._ahead: bytearray | None = None
        self._unparsed_bytes = 0
        self._awaits_continue = False
        self._announced_bytes = 0

    @property
    def has_head(self) -> bool:
        """Return whether the head of a request has been read.

        :return: whether it has, until the request is answered
        """
        return self._head is not None

    @property
    def unparsed_bytes(self) -> int:
        """Return how much lies behind what has been read.

        :return: bytes of a head, or of requests behind the current one
        """
        return self._unparsed_bytes

    @property
    def is_large(self) -> bool:
        """Return whether the body so far is large.

        :return: whether it is
        """
        return self._body is not None and self._body.is_large

    @property
    def body_bytes(self) -> int:
        """Return what the body so far takes.

        :return: bytes
        """
        return 0 if self._body is None else self._body.counted_bytes

    @property
    def is_costly(self) -> bool:
        """Return whether few bytes should be read at once.

        :return: whether the last ones took much work
        """
        return self._content is not None and self._content.is_costly

    @property
    def receives_plain_body(self) -> bool:
        """Return whether bytes of a body without chunks come next.

        :return: whether they do
        """
        if self._content is not None:
            return self._content.is_plain
        return self._head is not None

    def feed(self, data: bytes) -> None:
        """Take bytes that were received.

        :param data: bytes
        """
        try:
            self._feed(data)
        except (h11.RemoteProtocolError, chunked_body.BadChunks):
            self._failure = MALFORMED

    def read(self) -> Request | Refused | None:
        """Read on, to the end of one request at most.

        :return: the request, why it is refused, or None while it goes on
        """
        while self._failure is None and self._content is None:
            try:
                event = self.parser.next_event()
            except h11.RemoteProtocolError as error:
                status = error.error_status_hint
                self._failure = MALFORMED._replace(status=status)
                break
            if isinstance(event, h11.Request):
                self._take_head(event)
            elif isinstance(event, h11.Data):
                self._take_data(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return self._make_request()
            else:
                break
        self._settle()
        return self._failure

    def take_awaits_continue(self) -> bool:
        """Tell once whether the caller waits to be told to send its body.

        :return: whether it does, and wasn't told so by this call before
        """
        awaits, self._awaits_continue = self._awaits_continue, False
        return awaits

    def take_announced_bytes(self) -> int:
        """Return once how long a body was announced to be.

        :return: bytes; 0 if this was returned before, or nothing announced
        """
        announced, self._announced_bytes = self._announced_bytes, 0
        return announced

    def next_request(self) -> None:
        """Turn to the next request, once one has been answered."""
        self._head = None
        self.parser.start_next_cycle()
        ahead, self._ahead = self._ahead, None
        if ahead:
            self.parser.receive_data(bytes(ahead))

    def drop(self) -> None:
        """Let go of everything that was received."""
        self._body = None
        self._unparsed_bytes = 0
        if self._ahead is not None:
            self._ahead.clear()
        if self._content is not None:
            self._content.close()
            self._content = None

    def _new_parser(self) -> h11.Connection:
        return h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._max_event_bytes
        )

    def _feed(self, data: bytes) -> None:
        if self._ahead is not None:
            self._unparsed_bytes += len(data)
            self._ahead += data
            return
        if self._content is None:
            self._unparsed_bytes += len(data)
            self.parser.receive_data(data)
            return
        rest = self._content.feed(data)
        self._check_size()
        if rest is not None:
            self._content.close()
            self._content = None
            if rest:
                self.parser.receive_data(rest)

    def _take_head(self, head: h11.Request) -> None:
        self._head = head
        limits = self._limits()
        self._max_body_bytes = limits.max_body_bytes
        fields = dict(head.headers)
        self._announced_bytes = int(fields.get(b"content-length", 0))
        self._failure = _check_head(head, fields, limits)
        if self._failure is not None:
            return
        expected = fields.get(b"expect", b"").lower()
        self._awaits_continue = expected == b"100-continue"
        if CHUNKED in head.headers:
            body = self._begin_body()
            self._begin_content(head, chunked_body.ChunkedBody(body=body))
        elif self._announced_bytes > caller_budget.SMALL_REQUEST_BYTES:
            content = request_body.PlainBody(
                body=self._begin_body(), length_bytes=self._announced_bytes
            )
            self._begin_content(head, content)

    def _begin_body(self) -> caller_memory.HeldBody:
        self._body = caller_memory.HeldBody(account=self._account)
        return self._body

    def _begin_content(
        self, head: h11.Request, content: request_body.RequestBody
    ) -> None:
        rest = self.parser.trailing_data[0]
        self._content = content
        self._renew_parser(head)
        if rest:
            self.feed(rest)

    def _renew_parser(self, head: h11.Request) -> None:
        # What follows the head doesn't go through this parser, which still has
        # to know how the answer is framed, and whether it is the last.
        self.parser = self._new_parser()
        self.parser.receive_data(_head_for_answer(head))
        self.parser.next_event()

    def _take_data(self, data: bytes) -> None:
        body = self._begin_body() if self._body is None else self._body
        body += data
        self._check_size()

    def _check_size(self) -> None:
        if self._body is not None and len(self._body) > self._max_body_bytes:
            self._failure = BODY_TOO_LARGE

    def _settle(self) -> None:
        if self._head is not None:
            self._unparsed_bytes = 0
        if self._body is not None:
            self._body.settle()

    def _hold_ahead(self, head: h11.Request) -> None:
        # The parser would keep it until the connection is closed.
        self._ahead = bytearray(self.parser.trailing_data[0])
        self._unparsed_bytes = len(self._ahead)
        if self._ahead:
            self._renew_parser(head)
            self.parser.next_event()

    def _make_request(self) -> Request | None:
        # Used as bytes are, and never changed.
        body: Any = self._body
        head = self._head
        if head is None:
            return None
        if body is not None:
            body.settle()
        self._body = None
        self._hold_ahead(head)
        target = parse.urlsplit(head.target.decode("latin-1"))
        fields = tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in head.headers
        )
        return Request(
            method=head.method.decode("latin-1"),
            path=parse.unquote(target.path),
            query=target.query,
            headers=dict(fields),
            body=body or b"",
            target=head.target.decode("latin-1"),
            fields=fields,
        )


def _check_head(
    head: h11.Request, fields: dict[bytes, bytes], limits: RequestLimits
) -> Refused | None:
    if b"content-length" in fields and b"transfer-encoding" in fields:
        # Request smuggling: a proxy in front may follow the other framing.
        return CONFLICTING_FRAMING
    header_bytes = sum(
        len(name) + len(value) + FIELD_EXTRA_BYTES
        for name, value in head.headers
    )
    if header_bytes > limits.max_header_bytes:
        return HEAD_TOO_LARGE
    if int(fields.get(b"content-length", 0)) > limits.max_body_bytes:
        return BODY_TOO_LARGE
    return None


def _head_for_answer(head: h11.Request) -> bytes:
    kept = (
        b"%s: %s" % (name, value)
        for name, value in head.headers
        if name == b"connection"
    )
    lines = [
        b"%s / HTTP/%s" % (head.method, head.http_version),
        b"host: caller",
        *kept,
    ]
    return b"\r\n".join(lines) + b"\r\n\r\n"


__all__ = [
    "MAX_BODY_BYTES",
    "MAX_HEADER_BYTES",
    "Refused",
    "Request",
    "RequestLimits",
    "RequestReader",
]
