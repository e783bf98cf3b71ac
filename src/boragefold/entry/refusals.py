"""The error responses that the gateway generates itself."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from boragefold.transport import http_server

# The default where no better estimate exists.
RETRY_AFTER_SECONDS = 0.3
JSON = ("Content-Type", "application/json")


class ErrorKind(NamedTuple):
    """A kind of error response.

    ``outcome`` is ``not_run`` if the request certainly didn't run, and
    ``unknown`` if it may have run. ``retryable`` tells whether a retry helps.
    """

    status: int
    outcome: str
    remedy: str
    retryable: bool


MALFORMED = ErrorKind(400, "not_run", "send a well-formed request", False)
NO_KEY = ErrorKind(401, "not_run", "send a key that is granted", False)
NO_ROUTE = ErrorKind(404, "not_run", "use a published route", False)
OVER_RATE = ErrorKind(429, "not_run", "come back later, or ask for more", True)
NOT_RUN = ErrorKind(503, "not_run", "come back later", True)
QUARANTINED = ErrorKind(
    503,
    "not_run",
    "don't repeat the request: endpoints crashed while they ran it",
    True,
)
STREAM_UNKNOWN = ErrorKind(
    503,
    "not_run",
    "begin the stream anew: nobody knows which software version began it",
    False,
)
STREAM_UNNAMED = ErrorKind(
    503,
    "not_run",
    "name the request that brought the first event, or begin anew",
    False,
)
VERSION_GONE = ErrorKind(
    503,
    "not_run",
    "come back later, or begin anew: no endpoint of its software version",
    True,
)
# For a request that may run twice.
MAY_HAVE_RUN = ErrorKind(502, "unknown", "send it again later", True)
UNKNOWN = ErrorKind(502, "unknown", "ask the service whether it ran", False)
TIMED_OUT = ErrorKind(504, "unknown", "allow more time", False)


def send_error(
    exchange: http_server.Exchange,
    kind: ErrorKind,
    reason: str,
    *,
    retry_after_seconds: float,
    headers: list[tuple[str, str]],
) -> None:
    """Send an error response.

    :param exchange: the HTTP exchange with the caller
    :param kind: the kind of error
    :param reason: one of a small fixed set
    :param retry_after_seconds: when to retry, where a retry helps
    :param headers: additional headers
    """
    error: dict[str, object] = {
        "outcome": kind.outcome,
        "reason": reason,
        "remedy": kind.remedy,
    }
    all_headers = [JSON, *headers]
    if kind.retryable:
        error["retry_after_seconds"] = retry_after_seconds
        all_headers.append(("Retry-After", f"{retry_after_seconds:.3f}"))
    body = msgspec.json.encode({"error": error})
    exchange.reply(kind.status, all_headers, body)


__all__ = [
    "ErrorKind",
    "MALFORMED",
    "MAY_HAVE_RUN",
    "NOT_RUN",
    "NO_KEY",
    "NO_ROUTE",
    "OVER_RATE",
    "QUARANTINED",
    "RETRY_AFTER_SECONDS",
    "STREAM_UNKNOWN",
    "STREAM_UNNAMED",
    "TIMED_OUT",
    "UNKNOWN",
    "VERSION_GONE",
    "send_error",
]
