"""Parsing answers of endpoints, services and the platform."""

from __future__ import annotations

import abc
from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import enum
from typing import NoReturn

import httptools

MAX_HEADER_BYTES = 32_768
# Separator and line end of a header line.
SEPARATOR_BYTES = len(": \r\n")
# Limit for an incomplete head, or for framing beyond its share.
MAX_OVERHEAD_BYTES = 65_536
# Framing that comes with each piece of a body; tokens are chunks of a few
# bytes, and a chunk may carry a signature.
FRAMING_SHARE_BYTES = 256
# Interim answers, and those to other calls, before the one to this call.
MAX_SKIPPED_ANSWERS = 64
MAX_SKIPPED_BYTES = 1_048_576
# Statuses whose answers have no body, whatever their headers say.
BODILESS_STATUSES = frozenset({204, 304})
INTERIM_STATUSES = range(100, 200)

# Why an answer fails.
MALFORMED = "malformed_answer"
UNBOUNDED = "unbounded_answer"
TOO_LARGE = "answer_too_large"

Accepts = Callable[[Mapping[str, str]], bool]


class Framing(enum.Enum):
    """What tells where the body of an answer ends."""

    NONE = "none"
    LENGTH = "length"
    CHUNKS = "chunks"
    CLOSE = "close"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Failure:
    """No whole answer came.

    ``may_have_arrived`` is False only when no byte of the request was given
    to a connection that was open; only then is a repeat always lawful.
    ``reused_connection`` tells that an earlier call was sent on the one that
    ended: it may have been dead before, which nothing shows for certain.
    """

    reason: str
    may_have_arrived: bool
    reused_connection: bool = False


class AnswerSink(abc.ABC):
    """Receives one answer; ends with exactly one ``end`` or ``failed``.

    ``collects`` tells whether only a whole answer is of use, so that the time
    for all of it is limited. ``full`` tells whether the sink accepts no more
    data; the call then fails.
    """

    collects = False
    full = False

    def sent_through(self, peer: str) -> None:
        """Learn that the call goes through the tunnel of a peer.

        :param peer: address of the peer
        """
        return

    def written(self, *, reused: bool) -> None:
        """Learn that the call was written to an open connection.

        :param reused: whether an earlier call was sent on the connection
        """
        return

    @abc.abstractmethod
    def head(self, status: int, headers: dict[str, str]) -> None:
        """Take the head.

        :param status: the HTTP status
        :param headers: names in lower case
        """

    @abc.abstractmethod
    def data(self, data: bytes) -> None:
        """Take a piece of the body.

        :param data: at least one byte
        """

    @abc.abstractmethod
    def end(self, framing: Framing) -> None:
        """Learn that the answer has ended.

        :param framing: what showed its end; ``CLOSE`` doesn't show whether
            the answer is whole
        """

    @abc.abstractmethod
    def failed(self, failure: Failure) -> None:
        """Learn that no whole answer will come.

        :param failure: why
        """


class _Gone(AnswerSink):
    """Stands for the sink of a call that is over."""

    def head(self, status: int, headers: dict[str, str]) -> None:
        """Do nothing.

        :param status: dropped
        :param headers: dropped
        """

    def data(self, data: bytes) -> None:
        """Do nothing.

        :param data: dropped
        """

    def end(self, framing: Framing) -> None:
        """Do nothing.

        :param framing: dropped
        """

    def failed(self, failure: Failure) -> None:
        """Do nothing.

        :param failure: dropped
        """


GONE = _Gone()


class AnswerParser:
    """Parses one answer with llhttp and passes it on as it comes.

    On the way to callers each token is a chunk of its own; parsing these in
    Python took two fifths of the processor time of a streamed token.
    llhttp reports a line when it has ended, and keeps what it has of it until
    then, so what is fed without any payload is limited here. ``reason`` tells
    why an answer is refused.
    """

    def __init__(
        self,
        *,
        sink: AnswerSink,
        accepts: Accepts = lambda headers: True,
    ) -> None:
        """Begin to parse.

        :param sink: who takes the answer
        :param accepts: tells from the headers whether an answer belongs to
            the call; one that doesn't is skipped
        """
        self._sink = sink
        self._accepts = accepts
        self._headers: dict[str, str] = {}
        self._header_bytes = 0
        self._overhead_bytes = 0
        self._skipped_answers = 0
        self._skipped_bytes = 0
        self._parser = httptools.HttpResponseParser(self)
        self._skipping = False
        self.framing = Framing.NONE
        self.complete = False
        self.keeps_open = False
        self.reason = MALFORMED

    def feed(self, data: bytes) -> bool:
        """Parse bytes.

        :param data: a part of the answer
        :return: False when they are no well-formed answer, or go beyond a
            limit
        """
        self._overhead_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            return False
        if self._overhead_bytes > MAX_OVERHEAD_BYTES and not self.complete:
            self.reason = UNBOUNDED
            return False
        return True

    def close(self) -> None:
        """Let go of the library's parser, which refers to this one."""
        del self._parser

    def end_of_input(self) -> bool:
        """Learn that the other end closed the connection in good order.

        An answer without a length ends with its connection. One that was
        reset on the way is not whole, so this is not to be called then.

        :return: whether the answer has ended now
        """
        if self.framing is Framing.CLOSE and not self._skipping:
            self.complete = True
        return self.complete

    def on_message_begin(self) -> None:
        """Refuse a second answer to one call; called by the parser."""
        if self.complete:
            # Passed on, these bytes would be another caller's answer.
            raise ValueError("a second answer")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; called by the parser.

        :param name: its name
        :param value: its value
        """
        self._header_bytes += len(name) + len(value) + SEPARATOR_BYTES
        if self._header_bytes > MAX_HEADER_BYTES:
            self._refuse(UNBOUNDED)
        key = name.decode("latin-1").lower()
        text = value.decode("latin-1")
        before = self._headers.get(key)
        self._headers[key] = text if before is None else f"{before}, {text}"

    def on_headers_complete(self) -> None:
        """Pass the head on; called by the parser."""
        self._overhead_bytes = 0
        status = self._parser.get_status_code()
        # The final answer follows an interim one, and a late second answer to
        # an earlier call would reach another caller.
        self._skipping = status in INTERIM_STATUSES or not self._accepts(
            self._headers
        )
        self.framing = find_framing(status, self._headers)
        if not self._skipping:
            self._sink.head(status, self._headers)
            return
        self._skipped_answers += 1
        if self._skipped_answers > MAX_SKIPPED_ANSWERS:
            self._refuse(UNBOUNDED)

    def on_body(self, body: bytes) -> None:
        """Pass a piece of the body on; called by the parser.

        :param body: the piece
        """
        size = len(body)
        self._overhead_bytes -= size + FRAMING_SHARE_BYTES
        if self._overhead_bytes < 0:
            self._overhead_bytes = 0
        if self._skipping:
            self._skipped_bytes += size
            if self._skipped_bytes > MAX_SKIPPED_BYTES:
                self._refuse(UNBOUNDED)
            return
        self._sink.data(body)
        if self._sink.full:
            self._refuse(TOO_LARGE)

    def on_message_complete(self) -> None:
        """Note the end; called by the parser."""
        if self._skipping:
            self._headers = {}
            self._header_bytes = 0
            return
        self.complete = True
        self.keeps_open = self._parser.should_keep_alive()

    def _refuse(self, reason: str) -> NoReturn:
        # llhttp parses no further after an error of a callback.
        self.reason = reason
        raise ValueError(reason)


def find_framing(status: int, headers: Mapping[str, str]) -> Framing:
    """Find out what shows the end of an answer's body.

    :param status: the HTTP status
    :param headers: values by lower-case name
    :return: the framing
    """
    if status in BODILESS_STATUSES:
        return Framing.NONE
    if "transfer-encoding" in headers:
        return Framing.CHUNKS
    if "content-length" in headers:
        return Framing.LENGTH
    return Framing.CLOSE


__all__ = [
    "Accepts",
    "AnswerParser",
    "AnswerSink",
    "Failure",
    "Framing",
    "GONE",
    "MALFORMED",
    "TOO_LARGE",
    "UNBOUNDED",
    "find_framing",
]
