"""Writes the outcome of a request into the response headers and body."""

from __future__ import annotations

import math
from typing import Any

import msgspec

from boragefold.protocol import outcome as outcomes
from boragefold.transport import http_server

JSON = ("Content-Type", "application/json")
HEADER_REQUEST_ID = "Boragefold-Request-Id"


def outcome_headers(
    tag: str, reason: str, request_id: str
) -> http_server.Headers:
    """Create the headers that every response carries.

    :param tag: ``ran``, ``not_run`` or ``unknown``
    :param reason: empty if the request ran normally
    :param request_id: ID of the request, for ``boragefold explain``
    :return: names and values
    """
    headers = [
        (outcomes.HEADER_OUTCOME, tag),
        (HEADER_REQUEST_ID, request_id),
    ]
    return [*headers, (outcomes.HEADER_REASON, reason)] if reason else headers


def error_body(
    refusal: outcomes.NotRun | outcomes.Unknown, extra: dict[str, Any]
) -> bytes:
    """Create the JSON body of an error response.

    :param refusal: the outcome and the remedy
    :param extra: additional members of the error object
    :return: the encoded JSON
    """
    error = {
        "outcome": refusal.tag,
        "reason": refusal.reason,
        "remedy": refusal.remedy,
        "retry_after_seconds": refusal.retry_after_seconds,
        **extra,
    }
    return msgspec.json.encode({"error": error})


def send_error(
    exchange: http_server.Exchange,
    refusal: outcomes.NotRun | outcomes.Unknown,
    request_id: str,
    **extra: Any,
) -> None:
    """Send the complete error response.

    :param exchange: the HTTP exchange with the caller
    :param refusal: the outcome and the remedy
    :param request_id: ID of the request
    :param extra: additional members of the error object
    """
    headers = [
        JSON,
        *outcome_headers(refusal.tag, refusal.reason, request_id),
    ]
    if refusal.retry_after_seconds is not None:
        whole_seconds = max(1, math.ceil(refusal.retry_after_seconds))
        headers.append(("Retry-After", str(whole_seconds)))
    exchange.reply(refusal.status, headers, error_body(refusal, extra))


__all__ = [
    "HEADER_REQUEST_ID",
    "JSON",
    "error_body",
    "outcome_headers",
    "send_error",
]
