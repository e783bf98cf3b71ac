"""Takes each attempt to run a ticket through the ticket's registers."""

from __future__ import annotations

import itertools

from boragefold.coordination import link as links
from boragefold.coordination.once import attempt_handler
from boragefold.coordination.once import outcome_sender
from boragefold.coordination.once import pending_attempt as pending_attempts
from boragefold.coordination.once import reachability as reachabilities
from boragefold.coordination.once import register as registers
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
        reachability: reachabilities.Reachability | None = None,
    ) -> None:
        self._link = link
        self._timers = timers
        self._register = register
        self._reachability = reachability or reachabilities.Reachability(
            timers=timers
        )
        self._counters = counters
        self._numbers = itertools.count(1)
        self._pending: dict[
            once_messages.Attempt, pending_attempts.PendingAttempt
        ] = {}
        self._tickets: dict[once_messages.Attempt, once_messages.Ticket] = {}
        self._outcome_sender = outcome_sender.OutcomeSender(
            link=link, timers=timers, register=register
        )
        link.subscribe(once_messages.ClaimReply, self._on_reply)

    @property
    def open_attempts(self) -> int:
        """Count the attempts whose outcome isn't known yet.

        :return: attempts that wait for a register or an endpoint
        """
        return len(self._pending) + len(self._tickets)

    def begin(
        self,
        *,
        ticket: once_messages.Ticket,
        digest: str,
        deadline_at_seconds: float,
        handler: attempt_handler.AttemptHandler,
    ) -> None:
        """Try to run a ticket.

        :param ticket: as the caller sent it
        :param digest: of the request, so that a ticket runs one request only
        :param deadline_at_seconds: the clock time after which not to send
        :param handler: receives the decision
        """
        self._start(
            ticket, digest, deadline_at_seconds, handler, sealing=False
        )

    def query(
        self,
        *,
        ticket: once_messages.Ticket,
        deadline_at_seconds: float,
        handler: attempt_handler.AttemptHandler,
    ) -> None:
        """Find out the outcome of a ticket without running it.

        A ticket that was never claimed is sealed, so that "not run" remains
        true even if a delayed attempt arrives later.

        :param ticket: as the caller sent it
        :param deadline_at_seconds: the clock time after which to stop
        :param handler: receives the outcome, never with ``on_granted``
        """
        self._start(ticket, "", deadline_at_seconds, handler, sealing=True)

    def store_answer(
        self,
        attempt: once_messages.Attempt,
        answer: once_messages.StoredAnswer,
    ) -> None:
        """Store the answer of an attempt at its registers.

        :param attempt: from ``on_granted``
        :param answer: the complete answer of the endpoint
        """
        ticket = self._tickets.pop(attempt)
        store = once_messages.Store(ticket.serial, attempt, answer)
        for register in ticket.registers:
            self._outcome_sender.send(register, store)

    def release(self, attempt: once_messages.Attempt) -> None:
        """Release an attempt of which no byte was sent.

        This instance forgets the attempt first, so nothing can send it later.

        :param attempt: from ``on_granted``
        """
        ticket = self._tickets.pop(attempt)
        release = once_messages.Release(ticket.serial, attempt)
        for register in ticket.registers:
            self._outcome_sender.send(register, release)

    def abandon(self, attempt: once_messages.Attempt) -> None:
        """Keep the record of an attempt whose outcome can't be determined.

        :param attempt: from ``on_granted``
        """
        self._tickets.pop(attempt, None)

    def _start(
        self,
        ticket: once_messages.Ticket,
        digest: str,
        deadline_at_seconds: float,
        handler: attempt_handler.AttemptHandler,
        *,
        sealing: bool,
    ) -> None:
        attempt = once_messages.Attempt(
            self._link.self_id, next(self._numbers)
        )
        pending = pending_attempts.PendingAttempt(
            ticket=ticket,
            attempt=attempt,
            digest=digest,
            handler=handler,
            deadline_at_seconds=deadline_at_seconds,
            sealing=sealing,
        )
        self._pending[attempt] = pending
        self._ask_register(pending)

    def _ask_register(self, pending: pending_attempts.PendingAttempt) -> None:
        pending.tries_left -= 1
        message = pending.message()
        if pending.register == self._link.self_id:
            self._ask_own_register(message)
            return
        pending.timer = self._timers.once(
            delay_seconds=ASK_TIMEOUT_SECONDS,
            callback=lambda: self._on_timeout(pending),
        )
        self._link.send(to=pending.register, body=message)

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
        pending = self._pending.get(reply.attempt)
        if pending is None or sender != pending.register:
            return
        if pending.timer is not None:
            pending.timer.cancel()
        self._reachability.record_answer(sender)
        if reply.verdict == "granted":
            self._granted(pending)
        else:
            self._refused(pending, reply)

    def _granted(self, pending: pending_attempts.PendingAttempt) -> None:
        pending.granted_by.append(pending.register)
        second = pending.ticket.second
        if pending.register == pending.ticket.first and second is not None:
            pending.move_to(second)
            self._ask_register(pending)
            return
        del self._pending[pending.attempt]
        self._tickets[pending.attempt] = pending.ticket
        # The process may have been suspended until after the deadline, when
        # the caller has already had another outcome.
        if self._timers.now_seconds() > pending.deadline_at_seconds:
            self.release(pending.attempt)
            self._end_not_run(pending, "deadline")
            return
        pending.handler.on_granted(pending.attempt)

    def _refused(
        self,
        pending: pending_attempts.PendingAttempt,
        reply: once_messages.ClaimReply,
    ) -> None:
        self._release_claims(pending)
        del self._pending[pending.attempt]
        if reply.answer is not None and reply.verdict != "mismatch":
            self._counters.add("once_outcomes", "replayed")
            pending.handler.on_replay(reply.answer)
        elif reply.verdict == "taken":
            self._end_unknown(pending, "already_sent")
        else:
            self._end_not_run(pending, NOT_RUN_REASONS[reply.verdict])

    def _on_timeout(self, pending: pending_attempts.PendingAttempt) -> None:
        if pending.attempt not in self._pending:
            return
        if pending.tries_left > 0:
            self._counters.add("once_asks_repeated", "silence")
            self._ask_register(pending)
            return
        self._reachability.record_timeout(pending.register)
        if pending.register == pending.ticket.first:
            self._first_timed_out(pending)
        else:
            self._second_timed_out(pending)

    def _first_timed_out(
        self, pending: pending_attempts.PendingAttempt
    ) -> None:
        second = pending.ticket.second
        if second is None:
            del self._pending[pending.attempt]
            self._end_unknown(pending, "registers_unreachable")
            return
        # Nothing can run without the second register, so sealing the ticket
        # there guarantees that it won't run.
        pending.sealing = True
        pending.move_to(second)
        self._ask_register(pending)

    def _second_timed_out(
        self, pending: pending_attempts.PendingAttempt
    ) -> None:
        del self._pending[pending.attempt]
        if pending.granted_by:
            self._release_claims(pending)
            self._end_not_run(pending, "register_unreachable")
        else:
            self._end_unknown(pending, "registers_unreachable")

    def _release_claims(
        self, pending: pending_attempts.PendingAttempt
    ) -> None:
        # The second register is released too, because it may have granted the
        # attempt in a reply that was lost, and would then refuse a repeat.
        if not pending.granted_by:
            return
        release = once_messages.Release(pending.ticket.serial, pending.attempt)
        for register in pending.ticket.registers:
            self._outcome_sender.send(register, release)

    def _end_not_run(
        self, pending: pending_attempts.PendingAttempt, reason: str
    ) -> None:
        self._counters.add("once_outcomes", reason)
        pending.handler.on_not_run(reason)

    def _end_unknown(
        self, pending: pending_attempts.PendingAttempt, reason: str
    ) -> None:
        self._counters.add("once_outcomes", reason)
        pending.handler.on_unknown(reason)


__all__ = [
    "Runner",
]
