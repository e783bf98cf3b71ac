"""Sends the outcome of attempts to registers until they acknowledge it."""

from __future__ import annotations

from boragefold.coordination import link as links
from boragefold.coordination.once import register as registers
from boragefold.protocol import ids
from boragefold.protocol import once_messages
from boragefold.timing import timers as timing

# Retries until acknowledged, for longer than most partitions last.
RETRY_SECONDS = 2.0
MAX_RETRIES = 15

OutcomeMessage = once_messages.Release | once_messages.Store


class OutcomeSender:
    """Retries release and store messages, which are both idempotent."""

    def __init__(
        self,
        *,
        link: links.PeerLink,
        timers: timing.TimerService,
        register: registers.Register,
    ) -> None:
        self._link = link
        self._timers = timers
        self._register = register
        self._unacknowledged: dict[
            tuple[ids.InstanceId, once_messages.Attempt], OutcomeMessage
        ] = {}
        link.subscribe(once_messages.Released, self._on_acknowledged)
        link.subscribe(once_messages.Stored, self._on_acknowledged)

    def send(self, register: ids.InstanceId, message: OutcomeMessage) -> None:
        """Start sending an outcome to a register.

        :param register: the instance that holds it, possibly this one
        :param message: the outcome of an attempt
        """
        if register == self._link.self_id:
            self._apply_locally(message)
        else:
            self._unacknowledged[(register, message.attempt)] = message
            self._send(register, message, MAX_RETRIES)

    def _send(
        self,
        register: ids.InstanceId,
        message: OutcomeMessage,
        retries_left: int,
    ) -> None:
        self._link.send(to=register, body=message)
        if retries_left > 0:
            self._timers.once(
                delay_seconds=RETRY_SECONDS,
                callback=lambda: self._resend(register, message, retries_left),
            )
        else:
            del self._unacknowledged[(register, message.attempt)]

    def _resend(
        self,
        register: ids.InstanceId,
        message: OutcomeMessage,
        retries_left: int,
    ) -> None:
        if self._unacknowledged.get((register, message.attempt)) is message:
            self._send(register, message, retries_left - 1)

    def _apply_locally(self, message: OutcomeMessage) -> None:
        if isinstance(message, once_messages.Store):
            self._register.store(message)
        else:
            self._register.release(message)

    def _on_acknowledged(
        self,
        sender: ids.InstanceId,
        message: once_messages.Released | once_messages.Stored,
    ) -> None:
        self._unacknowledged.pop((sender, message.attempt), None)


__all__ = [
    "OutcomeSender",
]
