"""Messages on whether instances can open connections to an endpoint."""

from __future__ import annotations

from typing import NamedTuple


class PathQuestion(NamedTuple):
    """Asks whether the receiver can connect to an endpoint now.

    ``number`` identifies the question at its sender.
    """

    number: int
    endpoint: str


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
