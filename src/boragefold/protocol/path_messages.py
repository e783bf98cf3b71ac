"""Messages on whether instances can open connections to an endpoint."""

from __future__ import annotations

from typing import NamedTuple


class PathQuestion(NamedTuple):
    """Asks whether the receiver can connect to an endpoint.

    ``number`` identifies the question at its sender. A ``fresh`` one asks for
    a connection that is opened now; otherwise a recent one will do.
    """

    number: int
    endpoint: str
    fresh: bool


class PathAnswer(NamedTuple):
    """Tells whether the sender can connect to an endpoint.

    ``tunnel_port`` is the port at which the sender opens connections for its
    peers, 0 if it doesn't, and ``tunnel_token`` what they must present.
    """

    number: int
    reached: bool
    tunnel_port: int
    tunnel_token: str


KINDS = (PathAnswer, PathQuestion)


__all__ = [
    "KINDS",
    "PathAnswer",
    "PathQuestion",
]
