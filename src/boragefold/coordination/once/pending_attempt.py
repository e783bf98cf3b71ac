"""One run-once attempt, or status query, at the registers of its ticket."""

from __future__ import annotations

from boragefold.coordination.once import attempt_handler
from boragefold.protocol import ids
from boragefold.protocol import once_messages
from boragefold.timing import timers as timing

TRIES_PER_REGISTER = 2


class PendingAttempt:
    """The register that is queried now, and those that granted the attempt.

    ``sealing`` tells that the registers are asked to refuse the ticket from
    now on, rather than to grant it to this attempt.
    """

    def __init__(
        self,
        *,
        ticket: once_messages.Ticket,
        attempt: once_messages.Attempt,
        digest: str,
        handler: attempt_handler.AttemptHandler,
        deadline_at_seconds: float,
        sealing: bool,
    ) -> None:
        self.ticket = ticket
        self.attempt = attempt
        self.digest = digest
        self.handler = handler
        self.deadline_at_seconds = deadline_at_seconds
        self.sealing = sealing
        self.register = ticket.first
        self.tries_left = TRIES_PER_REGISTER
        self.granted_by: list[ids.InstanceId] = []
        self.timer: timing.Subscription | None = None

    def move_to(self, register: ids.InstanceId) -> None:
        """Query another register from now on.

        :param register: the instance that holds the register
        """
        self.register = register
        self.tries_left = TRIES_PER_REGISTER

    def message(self) -> once_messages.Claim | once_messages.Seal:
        """Build the message to the register.

        :return: the message
        """
        kind = once_messages.Seal if self.sealing else once_messages.Claim
        return kind(self.ticket, self.attempt, self.digest)


__all__ = [
    "PendingAttempt",
]
