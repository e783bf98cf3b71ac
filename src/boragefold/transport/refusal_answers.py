"""Answers to callers whose requests are refused before they are handled."""

from __future__ import annotations

import h11
import msgspec

from boragefold.transport import requests

STATUS_REQUEST_TIMEOUT = 408
STATUS_NO_ROOM = 503
# Room comes back as soon as others are answered or end.
NO_ROOM_RETRY_SECONDS = 1
REMEDY = "send one well-formed HTTP/1.1 request within the limits"
NO_ROOM_REMEDY = "come back later"
# Why a connection is cut without an answer.
MADE_PLACE = "made_place"
TOO_SLOW = requests.Refused("request_too_slow", STATUS_REQUEST_TIMEOUT)
NO_ROOM = requests.Refused("no_room", STATUS_NO_ROOM)
GAVE_WAY = requests.Refused("gave_way", STATUS_NO_ROOM)


def write(refused: requests.Refused) -> list[h11.Event]:
    """Write the answer that refuses a request, and ends its connection.

    :param refused: why
    :return: head, body and end
    """
    has_room = refused.status != STATUS_NO_ROOM
    error = {
        "outcome": "not_run",
        "reason": refused.reason,
        "remedy": REMEDY if has_room else NO_ROOM_REMEDY,
    }
    body = msgspec.json.encode({"error": error})
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
        ("Connection", "close"),
    ]
    if not has_room:
        headers.append(("Retry-After", str(NO_ROOM_RETRY_SECONDS)))
    return [
        h11.Response(status_code=refused.status, headers=headers),
        h11.Data(data=body),
        h11.EndOfMessage(),
    ]


__all__ = [
    "GAVE_WAY",
    "MADE_PLACE",
    "NO_ROOM",
    "TOO_SLOW",
    "write",
]
