"""How instances agree which of them gives an engine its orders.

Every message may be lost, doubled or late; a number tells the rounds of one
asker apart.
"""

from __future__ import annotations

from typing import NamedTuple


class LeaseAsk(NamedTuple):
    """Asks for a vote that the sender gives an engine its orders.

    ``unanswered`` are the addresses of those that are heard and gave the
    sender no vote last time: their connection to it may be dead.
    """

    number: int
    engine: str
    unanswered: tuple[str, ...] = ()


class LeaseVote(NamedTuple):
    """Answers a :class:`LeaseAsk`.

    ``refused_seconds`` is for how long the voter can't promise the engine to
    the asker; 0 is a promise. ``others_seconds`` is how long ago its promise
    to another instance ended: negative while that lasts, infinite if it
    remembers none.
    """

    number: int
    engine: str
    refused_seconds: float
    others_seconds: float


class LeaseEnd(NamedTuple):
    """Frees a voter of the promises up to ``number``."""

    number: int
    engine: str


KINDS = (LeaseAsk, LeaseEnd, LeaseVote)


__all__ = [
    "KINDS",
    "LeaseAsk",
    "LeaseEnd",
    "LeaseVote",
]
