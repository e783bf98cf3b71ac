"""Messages that elect the instance which may send orders to an engine.

Every message may be lost, duplicated or delayed; ``number`` tells the rounds
of one candidate apart.
"""

from __future__ import annotations

from typing import NamedTuple


class LeaseAsk(NamedTuple):
    """Asks a voter to promise an engine to the sender.

    ``unanswered`` are the addresses of the voters that the sender hears and
    that gave it no vote last time: their connection to it may be broken.
    """

    number: int
    engine: str
    unanswered: tuple[str, ...] = ()


class LeaseVote(NamedTuple):
    """Answers a :class:`LeaseAsk`.

    ``refused_seconds`` is how long the voter can't promise the engine to the
    candidate; 0 is a promise. ``others_seconds`` is how long ago its promise
    to another instance ended: negative while that promise lasts, infinite if
    the voter remembers none.
    """

    number: int
    engine: str
    refused_seconds: float
    others_seconds: float


class LeaseEnd(NamedTuple):
    """Releases a voter from its promises up to ``number``."""

    number: int
    engine: str


KINDS = (LeaseAsk, LeaseEnd, LeaseVote)


__all__ = [
    "KINDS",
    "LeaseAsk",
    "LeaseEnd",
    "LeaseVote",
]
