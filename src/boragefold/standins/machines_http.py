"""What the stand-ins for the users' machines have in common."""

from __future__ import annotations

from typing import Any
from urllib import parse

import msgspec

from boragefold.transport import http_server

JSON = [("Content-Type", "application/json")]
STATUS_OK = 200
STATUS_NOT_FOUND = 404


def reply_json(exchange: http_server.Exchange, status: int, body: Any) -> None:
    """Answer with JSON.

    :param exchange: whose
    :param status: the HTTP status
    :param body: what to write
    """
    exchange.reply(status, JSON, msgspec.json.encode(body))


def query_of(request: http_server.Request) -> dict[str, str]:
    """Read the query of a request.

    :param request: as it came
    :return: the last value of each name
    """
    return dict(parse.parse_qsl(request.query, keep_blank_values=True))


__all__ = [
    "JSON",
    "STATUS_NOT_FOUND",
    "STATUS_OK",
    "query_of",
    "reply_json",
]
