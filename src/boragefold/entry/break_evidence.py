"""What broken connections tell of their endpoint."""

from __future__ import annotations

import enum
from typing import NamedTuple

import xxhash

from boragefold.protocol import crash_messages
from boragefold.state import deployment
from boragefold.transport import connect_probe

# How a stream is broken off that seems to end in good order.
INSIDE_EVENT = "inside_event"
BEHIND_HEAD = "behind_head"


class BreakCause(enum.Enum):
    """Why the connections to an endpoint broke."""

    PENDING = "pending"
    CRASHED = "crashed"
    LEFT = "left"
    ALIVE = "alive"
    UNKNOWN = "unknown"


class EndpointLife(NamedTuple):
    """One run of an endpoint's process."""

    name: str
    born_milliseconds: int

    @property
    def crash(self) -> int:
        """Identify the crash that ends this life.

        :return: a 64-bit hash, the same at all instances
        """
        text = f"{self.name}\0{self.born_milliseconds}"
        return xxhash.xxh3_64_intdigest(text.encode())


class ClosingEvidence(NamedTuple):
    """What is known of an endpoint that closed a connection in good order.

    ``listens`` tells that its address accepts connections, ``others_broke``
    that other answers broke there at the same moment. ``cause`` is pending
    while it doesn't answer.
    """

    cause: BreakCause
    listens: bool
    others_broke: bool


# Where nothing is known in time.
NO_EVIDENCE = ClosingEvidence(BreakCause.PENDING, False, False)


class DetectedCrash(NamedTuple):
    """A crash, and the requests that ran there for this instance."""

    life: EndpointLife
    suspects: tuple[crash_messages.Suspect, ...]


def find_cause(
    result: connect_probe.ProbeResult,
    listed: deployment.EndpointRecord | None,
) -> BreakCause:
    """Judge why the connections to an endpoint broke.

    :param result: how its address reacts to a new connection
    :param listed: the endpoint as published now, None if it isn't any more
    :return: the cause
    """
    if listed is None or listed.leaving:
        return BreakCause.LEFT
    return {
        connect_probe.ProbeResult.REFUSED: BreakCause.CRASHED,
        connect_probe.ProbeResult.ACCEPTED: BreakCause.ALIVE,
        connect_probe.ProbeResult.DROPPED: BreakCause.UNKNOWN,
        connect_probe.ProbeResult.NO_ANSWER: BreakCause.UNKNOWN,
    }[result]


__all__ = [
    "BEHIND_HEAD",
    "BreakCause",
    "ClosingEvidence",
    "DetectedCrash",
    "EndpointLife",
    "INSIDE_EVENT",
    "NO_EVIDENCE",
    "find_cause",
]
