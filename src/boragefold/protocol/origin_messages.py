"""Messages on where streams began, for callers who take them up elsewhere.

An instance of a release without them neither keeps origins nor answers.
"""

from __future__ import annotations

from typing import NamedTuple


class StreamBegan(NamedTuple):
    """Tells a keeper which life of an endpoint sent a stream's first event.

    ``key`` is a hash of the workspace, the route and the request's ID.
    """

    key: int
    service: str
    endpoint: str
    born_milliseconds: int
    software_version: str
    keep_milliseconds: int


class StreamOriginAsked(NamedTuple):
    """Asks where a stream began that a caller takes up."""

    key: int


class StreamOriginAnswer(NamedTuple):
    """Tells where a stream began, unless that isn't ``known``."""

    key: int
    known: bool
    service: str = ""
    endpoint: str = ""
    born_milliseconds: int = 0
    software_version: str = ""


KINDS = (
    StreamBegan,
    StreamOriginAnswer,
    StreamOriginAsked,
)


__all__ = [
    "KINDS",
    "StreamBegan",
    "StreamOriginAnswer",
    "StreamOriginAsked",
]
