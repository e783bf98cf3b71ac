"""Minting, writing and reading tickets."""

from __future__ import annotations

import base64
import binascii
from collections.abc import Callable
import dataclasses
import hashlib
import hmac
import secrets

import msgspec
import xxhash

from boragefold.coordination.once import reach as reaches
from boragefold.protocol import ids
from boragefold.protocol import once_messages
from boragefold.timing import timers as timing

PREFIX = "bf1."
SERIAL_BYTES = 16
SEAL_BYTES = 16
# Covers a caller that restarts.
TICKET_LIFETIME_SECONDS = 600.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unreadable:
    """A text that is no ticket of ours."""

    remedy: str = "fetch a ticket with POST /v1/tickets and send it unchanged"


class TicketOffice:
    """Mints the tickets whose first register is this instance."""

    def __init__(
        self,
        *,
        self_id: ids.InstanceId,
        timers: timing.TimerService,
        others: Callable[[], list[ids.InstanceId]],
        reach: reaches.Reach | None = None,
        new_serial: Callable[[], str] = lambda: secrets.token_hex(
            SERIAL_BYTES
        ),
    ) -> None:
        self._self_id = self_id
        self._timers = timers
        self._others = others
        self._reach = reach or reaches.Reach(timers=timers)
        self._new_serial = new_serial
        # New in each process: no ticket of a predecessor is taken for ours.
        self._secret = secrets.token_bytes(SEAL_BYTES)

    def mint(self, workspace: str) -> once_messages.Ticket:
        """Make a ticket.

        :param workspace: the only workspace that may use it
        :return: a ticket that names this instance and one more
        """
        serial = self._new_serial()
        ticket = once_messages.Ticket(
            serial=serial,
            workspace=workspace,
            first=self._self_id,
            second=self._pick_second(serial),
            issued_at_seconds=self._timers.now_seconds(),
            seal=b"",
        )
        return ticket._replace(seal=self._seal(ticket))

    def minted(self, ticket: once_messages.Ticket) -> bool:
        """Tell whether this process minted a ticket.

        :param ticket: as it came back
        :return: whether it is ours and unchanged
        """
        expected = self._seal(ticket._replace(seal=b""))
        return hmac.compare_digest(expected, ticket.seal)

    def expired(self, ticket: once_messages.Ticket) -> bool:
        """Tell whether one of our tickets is too old to be run.

        :param ticket: a ticket that we minted
        :return: whether its lifetime is over
        """
        age_seconds = self._timers.now_seconds() - ticket.issued_at_seconds
        return age_seconds > TICKET_LIFETIME_SECONDS

    def _pick_second(self, serial: str) -> ids.InstanceId | None:
        here = self._self_id.data_centre
        others = self._others()
        answering = [
            other for other in others if not self._reach.is_suspect(other)
        ]
        # Both registers must not be lost with one data centre.
        elsewhere = [each for each in answering if each.data_centre != here]
        candidates = elsewhere or answering or others
        return max(
            candidates,
            default=None,
            key=lambda other: xxhash.xxh3_64_intdigest(
                f"{other.incarnation}\0{serial}".encode()
            ),
        )

    def _seal(self, ticket: once_messages.Ticket) -> bytes:
        return hashlib.blake2b(
            msgspec.msgpack.encode(ticket),
            key=self._secret,
            digest_size=SEAL_BYTES,
        ).digest()


def write(ticket: once_messages.Ticket) -> str:
    """Write a ticket as callers see it.

    :param ticket: the ticket
    :return: an opaque text that fits in a header
    """
    data = msgspec.msgpack.encode(ticket)
    return PREFIX + base64.urlsafe_b64encode(data).decode().rstrip("=")


def read(text: str) -> once_messages.Ticket | Unreadable:
    """Read a ticket that a caller sent.

    :param text: the value of ``Idempotency-Key``
    :return: the ticket, unverified, or that the text is none
    """
    if not text.startswith(PREFIX):
        return Unreadable()
    encoded = text[len(PREFIX) :]
    padding = "=" * (-len(encoded) % 4)
    try:
        data = base64.urlsafe_b64decode(encoded + padding)
        return msgspec.msgpack.decode(data, type=once_messages.Ticket)
    except (binascii.Error, ValueError, msgspec.MsgspecError):
        return Unreadable()


__all__ = [
    "TICKET_LIFETIME_SECONDS",
    "TicketOffice",
    "Unreadable",
    "read",
    "write",
]
