"""Sends the outcome of attempts to registers until they acknowledge it."""

from __future__ import annotations

from boragefold.coordination import link as links
from boragefold.coordination.once import register as registers
from boragefold.protocol import ids
from boragefold.protocol import once_messages
from boragefold.timing import timers as timing

# Retries until acknowledged, for longer than most partitions last.
RETELL_SECONDS = 2.0
RETELLS = 15

Told = once_messages.Release | once_messages.Store


class Teller:
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
        self._telling: dict[
            tuple[ids.InstanceId, once_messages.Attempt], Told
        ] = {}
        link.subscribe(once_messages.Released, self._on_told)
        link.subscribe(once_messages.Stored, self._on_told)

    def tell(self, register: ids.InstanceId, told: Told) -> None:
        """Start sending an outcome to a register.

        :param register: the instance that holds it, possibly this one
        :param told: the outcome of an attempt
        """
        if register == self._link.self_id:
            self._tell_ourselves(told)
        else:
            self._telling[(register, told.attempt)] = told
            self._send(register, told, RETELLS)

    def _send(
        self, register: ids.InstanceId, told: Told, retells_left: int
    ) -> None:
        self._link.send(to=register, body=told)
        if retells_left > 0:
            self._timers.once(
                delay_seconds=RETELL_SECONDS,
                callback=lambda: self._resend(register, told, retells_left),
            )
        else:
            del self._telling[(register, told.attempt)]

    def _resend(
        self, register: ids.InstanceId, told: Told, retells_left: int
    ) -> None:
        if self._telling.get((register, told.attempt)) is told:
            self._send(register, told, retells_left - 1)

    def _tell_ourselves(self, told: Told) -> None:
        if isinstance(told, once_messages.Store):
            self._register.store(told)
        else:
            self._register.release(told)

    def _on_told(
        self,
        sender: ids.InstanceId,
        told: once_messages.Released | once_messages.Stored,
    ) -> None:
        self._telling.pop((sender, told.attempt), None)


__all__ = [
    "Teller",
]
