"""Takes each attempt to run a ticket through the ticket's registers."""

from __future__ import annotations

import itertools

from boragefold.coordination import link as links
from boragefold.coordination.once import asking as askings
from boragefold.coordination.once import attempt_handler
from boragefold.coordination.once import reach as reaches
from boragefold.coordination.once import register as registers
from boragefold.coordination.once import telling
from boragefold.protocol import ids
from boragefold.protocol import once_messages
from boragefold.telemetry import counters as telemetry
from boragefold.timing import timers as timing

# Covers a round trip between data centres to a busy peer.
ASK_TIMEOUT_SECONDS = 0.4
# Maps a register's verdict to the reason why the ticket hasn't run.
NOT_RUN_REASONS = {
    "sealed": "ticket_sealed",
    "foreign": "ticket_foreign",
    "expired": "ticket_expired",
    "full": "register_full",
    "mismatch": "request_differs",
}


class Runner:
    """Runs the attempts of this instance, each with a number of its own."""

    def __init__(
        self,
        *,
        link: links.PeerLink,
        timers: timing.TimerService,
        register: registers.Register,
        counters: telemetry.Counters,
        reach: reaches.Reach | None = None,
    ) -> None:
        self._link = link
        self._timers = timers
        self._register = register
        self._reach = reach or reaches.Reach(timers=timers)
        self._counters = counters
        self._numbers = itertools.count(1)
        self._asking: dict[once_messages.Attempt, askings.Asking] = {}
        self._tickets: dict[once_messages.Attempt, once_messages.Ticket] = {}
        self._teller = telling.Teller(
            link=link, timers=timers, register=register
        )
        link.subscribe(once_messages.ClaimReply, self._on_reply)

    @property
    def open_attempts(self) -> int:
        """Count the attempts whose outcome isn't known yet.

        :return: attempts that wait for a register or an endpoint
        """
        return len(self._asking) + len(self._tickets)

    def begin(
        self,
        *,
        ticket: once_messages.Ticket,
        digest: str,
        give_up_at_seconds: float,
        handler: attempt_handler.AttemptHandler,
    ) -> None:
        """Try to run a ticket.

        :param ticket: as the caller sent it
        :param digest: of the request, so that a ticket runs one request only
        :param give_up_at_seconds: the clock time after which not to send
        :param handler: receives the decision
        """
        self._start(ticket, digest, give_up_at_seconds, handler, sealing=False)

    def ask(
        self,
        *,
        ticket: once_messages.Ticket,
        give_up_at_seconds: float,
        handler: attempt_handler.AttemptHandler,
    ) -> None:
        """Find out the outcome of a ticket without running it.

        A ticket that was never claimed is sealed, so that "not run" remains
        true even if a delayed attempt arrives later.

        :param ticket: as the caller sent it
        :param give_up_at_seconds: the clock time after which to stop
        :param handler: receives the outcome; its ``go`` is never called
        """
        self._start(ticket, "", give_up_at_seconds, handler, sealing=True)

    def finished(
        self,
        attempt: once_messages.Attempt,
        answer: once_messages.StoredAnswer,
    ) -> None:
        """Store the answer of an attempt at its registers.

        :param attempt: from ``go``
        :param answer: the complete answer of the endpoint
        """
        ticket = self._tickets.pop(attempt)
        store = once_messages.Store(ticket.serial, attempt, answer)
        for register in ticket.registers:
            self._teller.tell(register, store)

    def release(self, attempt: once_messages.Attempt) -> None:
        """Release an attempt of which no byte was sent.

        This instance forgets the attempt first, so nothing can send it later.

        :param attempt: from ``go``
        """
        ticket = self._tickets.pop(attempt)
        release = once_messages.Release(ticket.serial, attempt)
        for register in ticket.registers:
            self._teller.tell(register, release)

    def lost(self, attempt: once_messages.Attempt) -> None:
        """Keep the record of an attempt whose outcome can't be determined.

        :param attempt: from ``go``
        """
        self._tickets.pop(attempt, None)

    def _start(
        self,
        ticket: once_messages.Ticket,
        digest: str,
        give_up_at_seconds: float,
        handler: attempt_handler.AttemptHandler,
        *,
        sealing: bool,
    ) -> None:
        attempt = once_messages.Attempt(
            self._link.self_id, next(self._numbers)
        )
        asking = askings.Asking(
            ticket=ticket,
            attempt=attempt,
            digest=digest,
            handler=handler,
            give_up_at_seconds=give_up_at_seconds,
            sealing=sealing,
        )
        self._asking[attempt] = asking
        self._ask_register(asking)

    def _ask_register(self, asking: askings.Asking) -> None:
        asking.asks_left -= 1
        message = asking.message()
        if asking.register == self._link.self_id:
            self._ask_own_register(message)
            return
        asking.timer = self._timers.once(
            delay_seconds=ASK_TIMEOUT_SECONDS,
            callback=lambda: self._on_timeout(asking),
        )
        self._link.send(to=asking.register, body=message)

    def _ask_own_register(
        self, message: once_messages.Claim | once_messages.Seal
    ) -> None:
        if isinstance(message, once_messages.Seal):
            reply = self._register.seal(message)
        else:
            reply = self._register.claim(message)
        self._on_reply(self._link.self_id, reply)

    def _on_reply(
        self, sender: ids.InstanceId, reply: once_messages.ClaimReply
    ) -> None:
        asking = self._asking.get(reply.attempt)
        if asking is None or sender != asking.register:
            return
        if asking.timer is not None:
            asking.timer.cancel()
        self._reach.note_heard(sender)
        if reply.verdict == "granted":
            self._granted(asking)
        else:
            self._refused(asking, reply)

    def _granted(self, asking: askings.Asking) -> None:
        asking.claimed_at.append(asking.register)
        second = asking.ticket.second
        if asking.register == asking.ticket.first and second is not None:
            asking.move_to(second)
            self._ask_register(asking)
            return
        del self._asking[asking.attempt]
        self._tickets[asking.attempt] = asking.ticket
        # The process may have been suspended until after the deadline, when
        # the caller has already had another outcome.
        if self._timers.now_seconds() > asking.give_up_at_seconds:
            self.release(asking.attempt)
            self._end_not_run(asking, "deadline")
            return
        asking.handler.go(asking.attempt)

    def _refused(
        self, asking: askings.Asking, reply: once_messages.ClaimReply
    ) -> None:
        self._release_claims(asking)
        del self._asking[asking.attempt]
        if reply.answer is not None and reply.verdict != "mismatch":
            self._counters.add("once_outcomes", "replayed")
            asking.handler.replay(reply.answer)
        elif reply.verdict == "taken":
            self._end_unknown(asking, "already_sent")
        else:
            self._end_not_run(asking, NOT_RUN_REASONS[reply.verdict])

    def _on_timeout(self, asking: askings.Asking) -> None:
        if asking.attempt not in self._asking:
            return
        if asking.asks_left > 0:
            self._counters.add("once_asks_repeated", "silence")
            self._ask_register(asking)
            return
        self._reach.note_silent(asking.register)
        if asking.register == asking.ticket.first:
            self._first_timed_out(asking)
        else:
            self._second_timed_out(asking)

    def _first_timed_out(self, asking: askings.Asking) -> None:
        second = asking.ticket.second
        if second is None:
            del self._asking[asking.attempt]
            self._end_unknown(asking, "registers_unreachable")
            return
        # Nothing can run without the second register, so sealing the ticket
        # there guarantees that it won't run.
        asking.sealing = True
        asking.move_to(second)
        self._ask_register(asking)

    def _second_timed_out(self, asking: askings.Asking) -> None:
        del self._asking[asking.attempt]
        if asking.claimed_at:
            self._release_claims(asking)
            self._end_not_run(asking, "register_unreachable")
        else:
            self._end_unknown(asking, "registers_unreachable")

    def _release_claims(self, asking: askings.Asking) -> None:
        # The second register is released too, because it may have granted the
        # attempt in a reply that was lost, and would then refuse a repeat.
        if not asking.claimed_at:
            return
        release = once_messages.Release(asking.ticket.serial, asking.attempt)
        for register in asking.ticket.registers:
            self._teller.tell(register, release)

    def _end_not_run(self, asking: askings.Asking, reason: str) -> None:
        self._counters.add("once_outcomes", reason)
        asking.handler.not_run(reason)

    def _end_unknown(self, asking: askings.Asking, reason: str) -> None:
        self._counters.add("once_outcomes", reason)
        asking.handler.unknown(reason)


__all__ = [
    "Runner",
]
