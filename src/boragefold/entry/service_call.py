"""Calls a plain service, trying its addresses in order."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
from typing import NamedTuple

from boragefold.policy import retry_budget
from boragefold.telemetry import counters as telemetry
from boragefold.transport import caller_admission
from boragefold.transport import http_client
from boragefold.transport import http_server
from boragefold.transport import whole_answer

FORWARDED_HEADERS = ("accept", "accept-language", "content-type")
DEFAULT_CONTENT_TYPE = "application/octet-stream"


class ServiceRequest(NamedTuple):
    """A request to a plain service, without the caller's API key."""

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class NotSent:
    """No address accepted a connection, so no byte of the call was sent."""

    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class AnswerLost:
    """The call was sent, but no complete response was received."""

    reason: str


Result = whole_answer.WholeAnswer | NotSent | AnswerLost


class ServiceCall:
    """Tries the addresses in order as long as a retry is safe.

    A non-idempotent call uses a new connection: on a reused connection that
    is dead but not yet closed, the write succeeds and it is unknown whether
    the service received the call. Such a call proceeds to the next address
    only if no byte can have reached the service.
    """

    def __init__(
        self,
        *,
        client: http_client.HttpClient,
        counters: telemetry.Counters,
        budget: retry_budget.RetryBudget,
        request: ServiceRequest,
        addresses: list[str],
        idempotent: bool,
        progress_seconds: float,
        on_result: Callable[[Result], None],
        admission: caller_admission.CallerAdmission | None = None,
    ) -> None:
        self._client = client
        self._counters = counters
        self._budget = budget
        self._request = request
        self._addresses = list(addresses)
        self._idempotent = idempotent
        self._progress_seconds = progress_seconds
        self._on_result = on_result
        self._admission = admission
        self._address = ""
        self._broken_attempts = 0

    def begin(self) -> None:
        """Send the call to the first address."""
        if self._addresses:
            self._budget.record_first_attempt(
                self._addresses[0], now_seconds=self._client.now_seconds()
            )
        self._try_next(NotSent(reason="no_address"))

    def _try_next(self, fallback: Result) -> None:
        if not self._addresses:
            self._on_result(fallback)
            return
        self._address = self._addresses.pop(0)
        call = http_client.Call(
            address=self._address,
            method=self._request.method,
            target=self._request.target,
            headers=self._request.headers,
            body=self._request.body,
            fresh=not self._idempotent or self._broken_attempts > 0,
            progress_seconds=self._progress_seconds,
        )
        sink = whole_answer.WholeAnswerSink(
            done=self._on_response, admission=self._admission
        )
        self._client.send(call, sink)

    def _on_response(
        self, answer: whole_answer.WholeAnswer | http_client.Failure
    ) -> None:
        if isinstance(answer, whole_answer.WholeAnswer):
            self._on_result(answer)
            return
        self._counters.add("service_attempts_broken", answer.reason)
        if not answer.may_have_arrived:
            self._try_next(NotSent(reason=answer.reason))
        elif self._may_repeat():
            if answer.reused_connection:
                # The connection may have been at fault, not the endpoint.
                self._addresses.append(self._address)
            self._try_next(AnswerLost(reason=answer.reason))
        else:
            self._on_result(AnswerLost(reason=answer.reason))

    def _may_repeat(self) -> bool:
        self._broken_attempts += 1
        return (
            self._broken_attempts < retry_budget.MAX_BROKEN_ATTEMPTS
            and self._budget.try_retry(
                self._address,
                idempotent=self._idempotent,
                bytes_sent=True,
                now_seconds=self._client.now_seconds(),
            )
        )


def create_request(
    request: http_server.Request, path: str, serial: str = ""
) -> ServiceRequest:
    """Create the request that is sent to the service.

    :param request: the caller's HTTP request
    :param path: the path at the service
    :param serial: serial of the ticket, for services that also deduplicate
    :return: the request to the service
    """
    headers = [
        (name.title(), request.headers[name])
        for name in FORWARDED_HEADERS
        if name in request.headers
    ]
    if serial:
        headers.append(("Idempotency-Key", serial))
    target = f"{path}?{request.query}" if request.query else path
    return ServiceRequest(request.method, target, headers, request.body)


__all__ = [
    "AnswerLost",
    "NotSent",
    "Result",
    "ServiceCall",
    "ServiceRequest",
    "create_request",
]
