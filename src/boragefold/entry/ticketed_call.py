"""A non-idempotent call of a plain service, identified by a ticket."""

from __future__ import annotations

from collections.abc import Callable

from boragefold.coordination.once import attempt_handler
from boragefold.coordination.once import runner as runners
from boragefold.entry import answers
from boragefold.entry import service_call
from boragefold.protocol import once_messages
from boragefold.protocol import outcome as outcomes
from boragefold.transport import http_server
from boragefold.transport import whole_answer

STATUS_CONFLICT = 409
STATUS_GONE = 410
STATUS_UNPROCESSABLE = 422
STATUS_BAD_GATEWAY = 502
STATUS_UNAVAILABLE = 503
STATUS_GATEWAY_TIMEOUT = 504
OUTCOME_RETRY_SECONDS = 2.0

REFUSALS = {
    "ticket_sealed": (STATUS_GONE, "fetch a new ticket and repeat the call"),
    "ticket_expired": (STATUS_GONE, "fetch a new ticket and repeat the call"),
    "ticket_foreign": (STATUS_GONE, "fetch a new ticket and repeat the call"),
    "request_differs": (
        STATUS_UNPROCESSABLE,
        "use one ticket for one request; fetch a new one for another",
    ),
    "register_full": (STATUS_UNAVAILABLE, "repeat the call later"),
    "register_unreachable": (
        STATUS_UNAVAILABLE,
        "fetch a new ticket and repeat the call",
    ),
    "deadline": (STATUS_GATEWAY_TIMEOUT, "repeat the call"),
    "service_unreachable": (STATUS_UNAVAILABLE, "repeat the call later"),
}

StartCall = Callable[[Callable[[service_call.Result], None]], None]


class TicketedCall(attempt_handler.AttemptHandler):
    """Runs a call if the registers of its ticket permit it.

    The response states whether the call ran, did not run, or has an unknown
    outcome. A disconnection of the caller cancels nothing: the caller can
    query the outcome by the ticket.
    """

    def __init__(
        self,
        *,
        runner: runners.Runner,
        exchange: http_server.Exchange,
        request_id: str,
        start_call: StartCall,
        on_refused: Callable[[str], None],
    ) -> None:
        self._runner = runner
        self._exchange = exchange
        self._request_id = request_id
        self._start_call = start_call
        self._on_refused = on_refused

    def on_granted(self, attempt: once_messages.Attempt) -> None:
        """Send the call to the service.

        :param attempt: the attempt, which both registers have recorded
        """
        self._start_call(lambda result: self._on_result(attempt, result))

    def on_replay(self, answer: once_messages.StoredAnswer) -> None:
        """Respond with the stored result of an earlier attempt.

        :param answer: the stored response
        """
        headers = answers.outcome_headers("ran", "replayed", self._request_id)
        body = answer.body
        if body is None:
            body = b'{"outcome": "ran", "reason": "answer_not_kept"}'
        content_type = ("Content-Type", answer.content_type)
        self._exchange.reply(answer.status, [content_type, *headers], body)

    def on_not_run(self, reason: str) -> None:
        """Respond that the call did not run.

        :param reason: why it did not run
        """
        status, remedy = REFUSALS[reason]
        waits = status == STATUS_UNAVAILABLE
        self._on_refused(reason)
        refusal = outcomes.NotRun(
            status=status,
            reason=reason,
            remedy=remedy,
            retry_after_seconds=1.0 if waits else None,
        )
        answers.send_error(self._exchange, refusal, self._request_id)

    def on_unknown(self, reason: str) -> None:
        """Respond that it is unknown whether the call ran.

        :param reason: why it is unknown
        """
        self._on_refused(reason)
        refusal = outcomes.Unknown(
            status=STATUS_CONFLICT,
            reason=reason,
            remedy="ask GET /v1/outcomes/TICKET; don't use a new ticket "
            "before you know",
            retry_after_seconds=OUTCOME_RETRY_SECONDS,
        )
        answers.send_error(self._exchange, refusal, self._request_id)

    def _on_result(
        self, attempt: once_messages.Attempt, result: service_call.Result
    ) -> None:
        if isinstance(result, service_call.NotSent):
            self._runner.release(attempt)
            self.on_not_run("service_unreachable")
        elif isinstance(result, service_call.AnswerLost):
            self._runner.abandon(attempt)
            self.on_unknown("answer_lost")
        else:
            self._finish(attempt, result)

    def _finish(
        self,
        attempt: once_messages.Attempt,
        answer: whole_answer.WholeAnswer,
    ) -> None:
        content_type = answer.headers.get(
            "content-type", service_call.DEFAULT_CONTENT_TYPE
        )
        stored = once_messages.StoredAnswer(
            answer.status, content_type, bytes(answer.body)
        )
        self._runner.store_answer(attempt, stored)
        headers = answers.outcome_headers("ran", "", self._request_id)
        self._exchange.reply(
            answer.status,
            [("Content-Type", content_type), *headers],
            answer.body,
        )


__all__ = [
    "TicketedCall",
]
