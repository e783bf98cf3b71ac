"""Creates the call that sends a request to an endpoint."""

from __future__ import annotations

from collections.abc import Callable

from boragefold.entry import answer_deadline
from boragefold.entry import dialect as dialects
from boragefold.entry import request_context
from boragefold.transport import http_client

# Makes the deadline of a request expire before the timeout of its connection.
PROGRESS_SLACK_SECONDS = 1.0


def create(
    target: dialects.EndpointTarget,
    *,
    admitted: request_context.AdmittedRequest,
    dialect: dialects.Dialect,
    may_send: Callable[[], bool],
    remaining_seconds: Callable[[], float],
    is_repeat: bool,
    connection: http_client.ClientConnection | None = None,
) -> http_client.Call:
    """Create the call of one attempt.

    :param target: the endpoint and what it is told
    :param admitted: the request
    :param dialect: writes the headers and recognises the answer
    :param may_send: checked right before the first byte is written
    :param remaining_seconds: returns the time until the request's deadline
    :param is_repeat: whether the request was sent before
    :param connection: the idle one to send it on, None for any
    :return: the call
    """
    request = admitted.request
    return http_client.Call(
        address=target.record.address,
        method=request.http.method,
        target=request.http.target,
        headers=dialect.endpoint_headers(request, target),
        body=request.http.body,
        # If a reused idle connection turned out to be dead, the outcome of a
        # non-idempotent request would be unknown, and a repeat be lost.
        fresh=is_repeat or not admitted.route.repeatable,
        progress_seconds=remaining_seconds() + PROGRESS_SLACK_SECONDS,
        may_send=may_send,
        accepts=lambda found: dialect.answers(request, found),
        endpoint=target.record.name,
        repeatable=admitted.route.repeatable,
        make_late_headers=lambda: dialect.deadline_headers(
            max(remaining_seconds(), answer_deadline.MARGIN_SECONDS)
        ),
        connection=connection,
    )


__all__ = [
    "create",
]
