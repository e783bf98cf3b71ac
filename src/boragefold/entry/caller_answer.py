"""Forwards the response to one request to its caller."""

from __future__ import annotations

from collections.abc import Mapping

from boragefold.entry import answer_times
from boragefold.entry import event_stream
from boragefold.entry import refusals
from boragefold.entry import request_context
from boragefold.transport import http_server

SUCCESSES = range(200, 300)


class CallerAnswer:
    """Forwards one response, whose parts may come from several endpoints.

    ``has_events`` tells whether the caller was sent any part of a stream.
    """

    def __init__(
        self,
        *,
        admitted: request_context.AdmittedRequest,
        exchange: http_server.Exchange,
        context: request_context.RequestContext,
    ) -> None:
        self._admitted = admitted
        self._exchange = exchange
        self._context = context
        self._events: event_stream.EventStream | None = None
        self._status = 0
        self._accepted = True
        self.has_events = False
        self.times = answer_times.AnswerTimes(
            arrived_at_seconds=admitted.arrived_at_seconds
        )

    @property
    def started(self) -> bool:
        """Tell whether the response to the caller has begun.

        :return: whether its headers were sent
        """
        return self._exchange.started

    @property
    def resumable(self) -> bool:
        """Tell whether another endpoint could supply the rest.

        :return: whether nothing was sent yet, or only complete events of a
            stream that may be resumed
        """
        if self._events is None:
            return not self.started
        return self._events.resumable

    @property
    def inside_event(self) -> bool:
        """Tell whether the response so far ends inside an event.

        :return: whether it has been broken off if it ends here
        """
        return self._events is not None and self._events.inside_event

    @property
    def last_event_id(self) -> str:
        """Return the last event of the stream that the caller received.

        :return: its ID, at first the one in the caller's request
        """
        if self._events is None or not self._events.last_event_id:
            return self._admitted.request.last_event_id
        return self._events.last_event_id

    def forward_headers(self, status: int, headers: dict[str, str]) -> bool:
        """Forward the response headers unless headers were already sent.

        :param status: status of the endpoint's response
        :param headers: headers of the endpoint's response
        :return: whether to forward the response; a continuation whose status
            differs from the first one is a failure and is discarded
        """
        if self.started:
            self._accepted = status == self._status
            return self._accepted
        self._status = status
        forwarded = self._context.dialect.caller_headers(headers)
        if self._is_event_stream(status, headers):
            self._events = event_stream.EventStream(
                resumable=self._admitted.route.resumable
            )
        if self._events is not None:
            # The rest may come from an endpoint that states another length,
            # and one that ends inside an event must not look complete.
            forwarded = [
                (name, value)
                for name, value in forwarded
                if name.lower() != "content-length"
            ]
        self._exchange.start(status, forwarded)
        return True

    def forward_data(self, data: bytes) -> bool:
        """Forward a chunk of an endpoint's response.

        :param data: the chunk
        :return: whether the caller reads fast enough
        """
        if not self._accepted:
            return True
        if self._events is not None:
            data = self._events.feed(data)
        if data:
            self.has_events = self._events is not None
            self.times.record_chunk(
                now_seconds=self._context.timers.now_seconds()
            )
        keeps_up = self._exchange.send(data)
        return keeps_up or self._exchange.finished or not data

    def forward_end(self) -> None:
        """Finish the caller's response, or abort it if it is incomplete."""
        if not self._accepted:
            self.abort()
            return
        if self._events is not None:
            self._exchange.send(self._events.take_partial())
        self._exchange.finish()

    def discard_partial_event(self) -> None:
        """Discard a partially received event."""
        if self._events is not None and self.started:
            self._events.discard_partial()

    def abort(self) -> None:
        """Abort the connection, so that the caller sees a truncated response.

        After a normal close the response would look complete.
        """
        self._exchange.abort()

    def refuse(
        self, kind: refusals.ErrorKind, reason: str, retry_after_seconds: float
    ) -> None:
        """Send an error response, or abort a response that has begun.

        :param kind: the kind of error
        :param reason: one of a small fixed set
        :param retry_after_seconds: when to retry, where a retry helps
        """
        if self.started:
            self.abort()
            return
        refusals.send_error(
            self._exchange,
            kind,
            reason,
            retry_after_seconds=retry_after_seconds,
            headers=self._context.dialect.refusal_headers(
                self._admitted.request
            ),
        )

    def _is_event_stream(
        self, status: int, headers: Mapping[str, str]
    ) -> bool:
        return event_stream.is_event_stream(
            headers,
            expected=self._admitted.route.streams and status in SUCCESSES,
        )


__all__ = [
    "CallerAnswer",
]
