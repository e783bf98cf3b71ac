"""Messages between a run-once attempt and the registers of its ticket."""

from __future__ import annotations

from typing import NamedTuple

from boragefold.protocol import ids


class Ticket(NamedTuple):
    """An idempotency key issued by the system.

    ``issued_at_seconds`` is a reading of the first register's own clock.
    ``second`` is None if no other instance was known.
    """

    serial: str
    workspace: str
    first: ids.InstanceId
    second: ids.InstanceId | None
    issued_at_seconds: float
    seal: bytes

    @property
    def registers(self) -> list[ids.InstanceId]:
        """List the registers that have to grant the ticket.

        :return: one or two
        """
        if self.second is None:
            return [self.first]
        return [self.first, self.second]


class Attempt(NamedTuple):
    """Identifies one attempt of one incarnation; never reused."""

    runner: ids.InstanceId
    number: int


class StoredAnswer(NamedTuple):
    """The endpoint's answer; ``body`` is None if it was too large."""

    status: int
    content_type: str
    body: bytes | None


class Claim(NamedTuple):
    """Asks a register to record an attempt before it is sent."""

    ticket: Ticket
    attempt: Attempt
    digest: str


class ClaimReply(NamedTuple):
    """Answers a :class:`Claim` or :class:`Seal` with the register's decision.

    ``verdict`` is ``granted``, ``taken``, ``sealed``, ``foreign``,
    ``expired``, ``mismatch`` or ``full``.
    """

    serial: str
    attempt: Attempt
    verdict: str
    answer: StoredAnswer | None


class Seal(NamedTuple):
    """Asks a register never to grant a ticket that it hasn't granted yet."""

    ticket: Ticket
    attempt: Attempt
    digest: str


class Release(NamedTuple):
    """Tells a register that an attempt sent nothing and never will."""

    serial: str
    attempt: Attempt


class Released(NamedTuple):
    """Acknowledges a release."""

    serial: str
    attempt: Attempt


class Store(NamedTuple):
    """Sends the endpoint's answer to a register."""

    serial: str
    attempt: Attempt
    answer: StoredAnswer


class Stored(NamedTuple):
    """Acknowledges a stored answer."""

    serial: str
    attempt: Attempt


KINDS = (Claim, ClaimReply, Release, Released, Seal, Store, Stored)

__all__ = [
    "KINDS",
    "Attempt",
    "Claim",
    "ClaimReply",
    "Release",
    "Released",
    "Seal",
    "Store",
    "Stored",
    "StoredAnswer",
    "Ticket",
]
