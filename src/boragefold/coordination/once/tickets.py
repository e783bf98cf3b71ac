"""Issues, encodes and decodes the tickets of run-once requests."""

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

from boragefold.coordination.once import reachability as reachabilities
from boragefold.protocol import decoding
from boragefold.protocol import ids
from boragefold.protocol import once_messages
from boragefold.timing import timers as timing

PREFIX = "bf1."
SERIAL_BYTES = 16
SEAL_BYTES = 16
# Long enough for a caller to restart and repeat its request.
TICKET_LIFETIME_SECONDS = 600.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class InvalidTicket:
    """The text isn't a ticket that this system issues."""

    remedy: str = "fetch a ticket with POST /v1/tickets and send it unchanged"


class TicketIssuer:
    """Issues the tickets whose first register is this instance."""

    def __init__(
        self,
        *,
        self_id: ids.InstanceId,
        timers: timing.TimerService,
        others: Callable[[], list[ids.InstanceId]],
        reachability: reachabilities.Reachability | None = None,
        new_serial: Callable[[], str] = lambda: secrets.token_hex(
            SERIAL_BYTES
        ),
    ) -> None:
        self._self_id = self_id
        self._timers = timers
        self._others = others
        self._reachability = reachability or reachabilities.Reachability(
            timers=timers
        )
        self._new_serial = new_serial
        # New in each process, so tickets of an earlier process aren't valid.
        self._secret = secrets.token_bytes(SEAL_BYTES)

    def issue(self, workspace: str) -> once_messages.Ticket:
        """Issue a ticket.

        :param workspace: the only workspace that may use it
        :return: a ticket that names this instance and one other, if any
        """
        serial = self._new_serial()
        ticket = once_messages.Ticket(
            serial=serial,
            workspace=workspace,
            first=self._self_id,
            second=self._choose_second(serial),
            issued_at_seconds=self._timers.now_seconds(),
            seal=b"",
        )
        return ticket._replace(seal=self._seal(ticket))

    def is_own(self, ticket: once_messages.Ticket) -> bool:
        """Return whether this process issued a ticket.

        :param ticket: as the caller sent it
        :return: whether this process issued it and it is unchanged
        """
        expected = self._seal(ticket._replace(seal=b""))
        return hmac.compare_digest(expected, ticket.seal)

    def is_expired(self, ticket: once_messages.Ticket) -> bool:
        """Return whether a ticket of this process is too old to run.

        :param ticket: a ticket that this process issued
        :return: whether its lifetime is over
        """
        age_seconds = self._timers.now_seconds() - ticket.issued_at_seconds
        return age_seconds > TICKET_LIFETIME_SECONDS

    def _choose_second(self, serial: str) -> ids.InstanceId | None:
        here = self._self_id.data_centre
        others = self._others()
        answering = [
            other
            for other in others
            if not self._reachability.is_suspect(other)
        ]
        # The loss of one data centre must not take both registers.
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


def encode(ticket: once_messages.Ticket) -> str:
    """Encode a ticket for callers.

    :param ticket: the ticket
    :return: an opaque text that fits in a header
    """
    data = msgspec.msgpack.encode(ticket)
    return PREFIX + base64.urlsafe_b64encode(data).decode().rstrip("=")


def decode(text: str) -> once_messages.Ticket | InvalidTicket:
    """Decode a ticket that a caller sent.

    :param text: the value of ``Idempotency-Key``
    :return: the unverified ticket, or ``InvalidTicket`` if the text is none
    """
    if not text.startswith(PREFIX):
        return InvalidTicket()
    encoded = text[len(PREFIX) :]
    padding = "=" * (-len(encoded) % 4)
    try:
        data = base64.urlsafe_b64decode(encoded + padding)
        return msgspec.msgpack.decode(data, type=once_messages.Ticket)
    except (binascii.Error, ValueError, *decoding.ERRORS):
        return InvalidTicket()


__all__ = [
    "InvalidTicket",
    "TICKET_LIFETIME_SECONDS",
    "TicketIssuer",
    "decode",
    "encode",
]
