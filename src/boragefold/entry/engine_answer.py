"""Parsing and validation of an engine's streamed response."""

from __future__ import annotations

import abc

import msgspec

from boragefold.policy import work as works
from boragefold.protocol import chat
from boragefold.protocol import decoding
from boragefold.transport import http_client

STATUS_OK = 200
STATUS_CONFLICT = 409
STATUS_UNAVAILABLE = 503
EVENT_END = b"\n\n"
EVENT_PREFIX = b"data: "
DONE_PAYLOAD = b"[DONE]"
MAX_EVENT_BYTES = 1_048_576


class AttemptObserver(abc.ABC):
    """Receives the validated tokens of one attempt."""

    @abc.abstractmethod
    def on_accepted(self, incarnation: str) -> None:
        """Record that the engine accepted the request.

        :param incarnation: of the engine
        """

    @abc.abstractmethod
    def on_tokens(self, texts: list[str]) -> None:
        """Process tokens that arrived together, in order and without a gap.

        :param texts: at least one
        """

    @abc.abstractmethod
    def on_complete(self, usage: dict[str, int]) -> None:
        """Record that the response is complete.

        :param usage: token counts as reported by the engine
        """

    @abc.abstractmethod
    def on_failed(self, reason: str, *, may_have_run: bool) -> None:
        """Record that this attempt failed.

        :param reason: ``adapter_not_resident``, ``wrong_adapter``,
            ``crossed``, ``cut``, ``refused``, ``timeout``, ``reset``,
            ``engine_error`` or ``malformed_answer``
        :param may_have_run: whether the engine may have processed the request
        """


class EngineAnswer(http_client.AnswerSink):
    """Validates each event of a response before passing it on.

    An engine that lost its slots between its load report and this request
    could respond with another adapter, and a connection that was mixed up
    could carry the response to another request. Both would look well-formed
    to the caller. Every event names its adapter, version and token index, so
    each is compared with the request.
    """

    def __init__(
        self,
        *,
        adapter: works.AdapterVersion,
        next_token: int,
        observer: AttemptObserver,
    ) -> None:
        self._adapter = adapter
        self._next_token = next_token
        self._observer = observer
        self._buffer = b""
        self._usage: dict[str, int] | None = None
        self._done = False
        self._ended = False
        self.pending: http_client.Pending | None = None

    def head(self, status: int, headers: dict[str, str]) -> None:
        """Process the status and the headers.

        :param status: the HTTP status
        :param headers: the engine's headers
        """
        if status == STATUS_CONFLICT:
            self._fail("adapter_not_resident", may_have_run=False)
        elif status == STATUS_UNAVAILABLE:
            self._fail("engine_busy", may_have_run=False)
        elif status != STATUS_OK:
            self._fail("engine_error", may_have_run=True)
        else:
            self._observer.on_accepted(headers.get("engine-incarnation", ""))

    def data(self, data: bytes) -> None:
        """Validate the events that are complete and pass their tokens on.

        :param data: a chunk of the body
        """
        if self._ended:
            return
        *events, self._buffer = (self._buffer + data).split(EVENT_END)
        if len(self._buffer) > MAX_EVENT_BYTES:
            self._fail("malformed_answer", may_have_run=True)
            return
        texts: list[str] = []
        fault = next(
            filter(None, (self._read_event(e, texts) for e in events)), ""
        )
        if texts:
            self._observer.on_tokens(texts)
        if fault:
            self._fail(fault, may_have_run=True)

    def end(self, framing: http_client.Framing) -> None:
        """Complete the response if the terminator and the usage arrived.

        :param framing: what showed its end
        """
        if self._ended:
            return
        if not self._done or self._usage is None:
            # The connection was closed early: the response is truncated.
            self._fail("cut", may_have_run=True)
            return
        self._ended = True
        self._observer.on_complete(self._usage)

    def failed(self, failure: http_client.Failure) -> None:
        """Report a failed connection as a failed attempt.

        :param failure: the cause
        """
        if not self._ended:
            self._fail(failure.reason, may_have_run=failure.may_have_arrived)

    def _read_event(self, event: bytes, texts: list[str]) -> str:
        payload = event.removeprefix(EVENT_PREFIX)
        if payload == DONE_PAYLOAD:
            self._done = True
            return ""
        try:
            decoded = _DECODER.decode(payload)
        except decoding.ERRORS:
            return "malformed_answer"
        if decoded.usage is not None:
            self._usage = decoded.usage
            return ""
        return self._read_token(decoded, texts)

    def _read_token(self, event: chat.EngineEvent, texts: list[str]) -> str:
        received = (event.adapter, event.version)
        if received != (self._adapter.adapter, self._adapter.version):
            return "wrong_adapter"
        if event.index != self._next_token:
            return "crossed"
        self._next_token += 1
        texts.append(event.choices[0]["delta"]["content"])
        return ""

    def _fail(self, reason: str, *, may_have_run: bool) -> None:
        self._ended = True
        if self.pending is not None:
            self.pending.cancel()
        self._observer.on_failed(reason, may_have_run=may_have_run)


_DECODER = msgspec.json.Decoder(chat.EngineEvent)

__all__ = [
    "AttemptObserver",
    "EngineAnswer",
]
