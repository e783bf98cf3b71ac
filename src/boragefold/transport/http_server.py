"""HTTP/1.1 towards callers: parsed by libraries, with bounds on everything."""

from __future__ import annotations

from collections.abc import Callable

import h11

from boragefold.transport import caller_admission
from boragefold.transport import caller_memory
from boragefold.transport import exchange
from boragefold.transport import refusal_answers
from boragefold.transport import requests
from boragefold.transport import sockets
from boragefold.transport import streams

MAX_BODY_BYTES = requests.MAX_BODY_BYTES
MAX_HEADER_BYTES = requests.MAX_HEADER_BYTES
HTTP_1_1 = b"1.1"
CONTINUE = h11.InformationalResponse(status_code=100, headers=[])
# What an open connection takes, with its parser.
CONNECTION_BYTES = 16_384
# A head is kept as bytes and as fields.
HEAD_FACTOR = 2
# Read at once of anything but a body without chunks, which costs little.
HEAD_READ_BYTES = 16_384
COSTLY_READ_BYTES = 2_048

Exchange = exchange.Exchange
Headers = exchange.Headers
Phase = caller_admission.Phase
Request = requests.Request
RequestLimits = requests.RequestLimits

Application = Callable[[Request, Exchange], None]


class ServerConnection(streams.StreamHandler, caller_admission.Caller):
    """One caller's connection: requests one after the other."""

    stream: streams.Stream

    def __init__(
        self,
        *,
        application: Application,
        on_bad_request: Callable[[str], None],
        max_body_bytes: int = MAX_BODY_BYTES,
        limits: Callable[[], RequestLimits] | None = None,
        admission: caller_admission.CallerAdmission | None = None,
        call_later: Callable[[Callable[[], None]], object] = (
            lambda callback: callback()
        ),
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
        :param limits: returns the limits of a request, which may change; by
            default ``max_body_bytes``
        :param admission: what all callers may take together; by default of
            this connection alone
        :param call_later: runs a callback in the next turn of the loop
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
        self._now_seconds = now_seconds
        self._call_later = call_later
        self._moved_at_seconds = now_seconds()
        self._receiving = False
        self._drops_rest = False
        self._admission = admission or caller_admission.for_one()
        self._held_bytes = 0
        self._unmoved_bytes = 0
        self._phase = Phase.NEW
        fixed = RequestLimits(max_body_bytes=max_body_bytes)
        self._reader = requests.RequestReader(
            limits=limits or (lambda: fixed),
            account=self._admission.memory,
        )
        self._exchange: Exchange | None = None

    @property
    def reads_in_a_row(self) -> int:
        """Return how often the connection is read in one turn of the loop.

        :return: the count; a body without chunks costs little
        """
        if self._reader.receives_plain_body:
            return streams.MAX_READS_IN_A_ROW
        return 1

    @property
    def read_bytes(self) -> int:
        """Return how much is read at once.

        :return: bytes
        """
        if self._reader.is_costly:
            return COSTLY_READ_BYTES
        if self._reader.receives_plain_body:
            return streams.READ_BYTES
        return HEAD_READ_BYTES

    @property
    def receiving_bytes(self) -> int:
        """Return how much of a body has been received.

        :return: bytes; 0 once its request runs
        """
        return self._reader.body_bytes

    def give_way(self) -> None:
        """Drop what is being received, and say that it didn't run."""
        if self._exchange is None:
            self._refuse(refusal_answers.GAVE_WAY)
            return
        self._drops_rest = True
        self._reader.drop()
        self._settle()
        self.stream.resume_reading()

    def cut(self) -> None:
        """Close at once, to make place."""
        if not self._ended:
            self._on_bad_request(refusal_answers.MADE_PLACE)
        self._ended = True
        self.stream.abort()

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
            self._reader.drop()
            if self.stream.open:
                self._move(Phase.ENDED)
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
        has_head = self._reader.has_head
        limit_seconds = idle_seconds if has_head else request_seconds
        if self._receiving and waited_seconds > limit_seconds:
            self._refuse(refusal_answers.TOO_SLOW)
        elif not self._receiving and waited_seconds > idle_seconds:
            self.end()

    def connected(self) -> None:
        """Count the connection: the caller speaks first."""
        self._move(Phase.NEW)

    def received(self, data: bytes) -> None:
        """Parse what the caller sent.

        :param data: bytes
        """
        if self._ended or self._drops_rest:
            return
        if not self._receiving and self._exchange is None:
            self._receiving = True
            self._moved_at_seconds = self._now_seconds()
        self._unmoved_bytes += len(data)
        self._reader.feed(data)
        self._parse()

    def drained(self) -> None:
        """Pass on that the caller caught up."""
        if self._exchange is not None:
            self._exchange.drained()

    def closed(self, reason: str) -> None:
        """Tell the running exchange that its caller is gone.

        :param reason: why
        """
        self._ended = True
        self._reader.drop()
        self._admission.forget(self)
        self._admission.memory.add(-self._held_bytes)
        self._held_bytes = 0
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
        is_last = self._drops_rest or self._last_answer()
        if isinstance(event, h11.Response) and is_last:
            headers = [*event.headers, (b"Connection", b"close")]
            event = h11.Response(
                status_code=event.status_code, headers=headers
            )
        data = self._reader.parser.send(event)
        if isinstance(event, h11.Response) and self._ends_at_close(event):
            self.stream.reset_unless_closed()
        return self.stream.write(data) if data else True

    def finish(self) -> None:
        """End the answer and turn to the next request, if one waits."""
        if not self.stream.open:
            return
        parser = self._reader.parser
        self.stream.write(parser.send(h11.EndOfMessage()) or b"")
        self._exchange = None
        self._moved_at_seconds = self._now_seconds()
        must_end = self._drops_rest or self._must_end()
        if parser.our_state is h11.MUST_CLOSE or must_end:
            # This answer is the last: a request behind it would get none.
            self.end()
        elif parser.their_state is h11.DONE:
            self._reader.next_request()
            self._receiving = self._reader.unparsed_bytes > 0
            if self._receiving:
                # Many short requests in a row mustn't occupy the loop.
                self._call_later(self._go_on)
            else:
                self.stream.resume_reading()
            self._settle()

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
        version = self._reader.parser.their_http_version
        return version != HTTP_1_1 and not any(
            name == b"content-length" for name, _ in head.headers
        )

    def _go_on(self) -> None:
        if self._ended or self._exchange is not None:
            return
        self.stream.resume_reading()
        self._parse()

    def _parse(self) -> None:
        if self._exchange is None:
            outcome = self._reader.read()
            self._settle()
            if isinstance(outcome, requests.Refused):
                self._refuse(outcome)
                return
            if not self._has_room(outcome):
                self._refuse(refusal_answers.NO_ROOM)
                return
            if self._reader.take_awaits_continue() and outcome is None:
                self.send(CONTINUE)
            if outcome is not None:
                self._dispatch(outcome)
        if self._exchange is not None and self._reader.unparsed_bytes:
            # Bounds the buffer of a caller that pipelines and never reads.
            self.stream.pause_reading()
        if self._exchange is not None and self.stream.open:
            self._settle()

    def _dispatch(self, request: Request) -> None:
        self._receiving = False
        self._exchange = Exchange(connection=self, body=request.body)
        self._move(Phase.RUNNING)
        self._application(request, self._exchange)

    def _has_room(self, request: Request | None) -> bool:
        announced_bytes = self._reader.take_announced_bytes()
        if not self._admission.could_hold(announced_bytes):
            return False
        large = self._reader.is_large
        if request is not None:
            large = caller_memory.is_large(request.body)
        return self._admission.make_room(self, large=large)

    def _settle(self) -> None:
        """Count what the connection holds, and record what it does."""
        if self._ended:
            return
        held_bytes = CONNECTION_BYTES
        held_bytes += HEAD_FACTOR * self._reader.unparsed_bytes
        phase = self._phase_now()
        if phase is Phase.PIPELINING:
            held_bytes += sockets.RECEIVE_BUFFER_BYTES
        self._admission.memory.add(held_bytes - self._held_bytes)
        self._held_bytes = held_bytes
        if (
            phase is not self._phase
            or self._unmoved_bytes >= caller_admission.PROGRESS_BYTES
        ):
            self._move(phase)

    def _phase_now(self) -> Phase:
        if self._exchange is not None:
            is_ahead = self._reader.unparsed_bytes and not self._drops_rest
            return Phase.PIPELINING if is_ahead else Phase.RUNNING
        if not self._receiving:
            return Phase.NEW if self._phase is Phase.NEW else Phase.IDLE
        return (
            Phase.RECEIVING_LARGE if self._reader.is_large else Phase.RECEIVING
        )

    def _move(self, phase: Phase) -> None:
        self._phase = phase
        self._unmoved_bytes = 0
        self._admission.move(self, phase)

    def _refuse(self, refused: requests.Refused) -> None:
        self._on_bad_request(refused.reason)
        self._reader.drop()
        parser = self._reader.parser
        if parser.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            for event in refusal_answers.write(refused):
                self.stream.write(parser.send(event) or b"")
        self.end()


__all__ = [
    "Application",
    "Exchange",
    "Headers",
    "MAX_BODY_BYTES",
    "MAX_HEADER_BYTES",
    "Request",
    "RequestLimits",
    "ServerConnection",
]
