"""What one attempt at an endpoint needs of the request that it is part of."""

from __future__ import annotations

import abc

from boragefold.entry import dialect as dialects
from boragefold.entry import refusals
from boragefold.entry import request_context
from boragefold.entry import request_sendings
from boragefold.entry import stream_continuity
from boragefold.policy import repeat_decision


class AttemptOwner(abc.ABC):
    """A request that is forwarded, in one attempt or several."""

    admitted: request_context.AdmittedRequest
    context: request_context.RequestContext
    sendings: request_sendings.RequestSendings
    continuity: stream_continuity.StreamContinuity

    @property
    @abc.abstractmethod
    def finished(self) -> bool:
        """Tell whether the request is finished or its caller disconnected.

        :return: whether no more work is to be done
        """

    @property
    @abc.abstractmethod
    def inside_event(self) -> bool:
        """Tell whether the response so far ends inside an event.

        :return: whether it has been broken off if it ends here
        """

    @property
    @abc.abstractmethod
    def resume_after(self) -> str:
        """Return the event after which the stream is to go on.

        :return: its ID, empty at the beginning
        """

    @abc.abstractmethod
    def remaining_seconds(self) -> float:
        """Return the time until the deadline of the response.

        :return: seconds
        """

    @abc.abstractmethod
    def waited_seconds(self) -> float:
        """Return the time from the caller's request to the last attempt.

        :return: seconds
        """

    @abc.abstractmethod
    def begin(self) -> None:
        """Choose an endpoint and send the request, or refuse the request."""

    @abc.abstractmethod
    def may_repeat(
        self,
        endpoint: str,
        setback: repeat_decision.Setback,
        *,
        may_have_run: bool,
    ) -> bool:
        """Decide whether the request is sent once more.

        :param endpoint: name of the endpoint that didn't serve it
        :param setback: why it didn't
        :param may_have_run: whether it may have run there
        :return: whether it is
        """

    @abc.abstractmethod
    def forward_headers(self, status: int, headers: dict[str, str]) -> bool:
        """Forward the headers of an endpoint's response.

        :param status: status of the response
        :param headers: headers of the response
        :return: whether to forward the rest of the response
        """

    @abc.abstractmethod
    def forward_data(self, data: bytes) -> None:
        """Forward a chunk of an endpoint's response.

        :param data: the chunk
        """

    @abc.abstractmethod
    def forward_end(self, status: int) -> None:
        """Finish the caller's response.

        :param status: status of the response
        """

    @abc.abstractmethod
    def refuse(
        self,
        kind: refusals.ErrorKind,
        reason: str,
        retry_after_seconds: float = refusals.RETRY_AFTER_SECONDS,
    ) -> None:
        """Send an error as the final response to the caller.

        :param kind: the kind of error
        :param reason: one of a small fixed set
        :param retry_after_seconds: when to retry, where a retry helps
        """

    @abc.abstractmethod
    def on_answer_started(self) -> None:
        """Handle the start of an endpoint's response."""

    @abc.abstractmethod
    def on_attempt_rejected(
        self, endpoint: str, facts: dialects.AnswerFacts
    ) -> None:
        """Handle an endpoint's confirmation that it didn't run the request.

        :param endpoint: name of the endpoint
        :param facts: information from its response headers
        """

    @abc.abstractmethod
    def on_attempt_failed(
        self, endpoint: str, reason: str, *, may_have_run: bool
    ) -> None:
        """Retry or fail the request after an attempt without full response.

        :param endpoint: name of the endpoint that failed
        :param reason: the cause of the failure
        :param may_have_run: whether the request may have run there
        """


__all__ = [
    "AttemptOwner",
]
