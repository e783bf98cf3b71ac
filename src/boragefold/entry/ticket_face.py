"""Tickets towards callers: fetched, used and asked about."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from boragefold.coordination.once import runner as runners
from boragefold.coordination.once import tickets
from boragefold.entry import answers
from boragefold.entry import identity
from boragefold.entry import once_call
from boragefold.protocol import once_messages
from boragefold.protocol import outcome as outcomes
from boragefold.telemetry import counters as telemetry
from boragefold.timing import timers as timing
from boragefold.transport import http_server

STATUS_CREATED = 201
STATUS_FORBIDDEN = 403
STATUS_PRECONDITION_REQUIRED = 428
# How long a question about an outcome may take.
ASK_SECONDS = 10.0


class TicketFace:
    """Answers ``/v1/tickets`` and ``/v1/outcomes/...``, and runs tickets."""

    def __init__(
        self,
        *,
        timers: timing.TimerService,
        counters: telemetry.Counters,
        office: tickets.TicketOffice,
        runner: runners.Runner,
        new_request_id: Callable[[], str],
    ) -> None:
        self._timers = timers
        self._counters = counters
        self._office = office
        self._runner = runner
        self._new_request_id = new_request_id

    def mint(
        self, exchange: http_server.Exchange, caller: identity.Caller
    ) -> None:
        """Answer ``POST /v1/tickets``.

        :param exchange: where the answer goes
        :param caller: whose ticket it will be
        """
        request_id = self._new_request_id()
        headers = answers.outcome_headers("ran", "", request_id)
        body = {
            "ticket": self.new_ticket(caller),
            "expires_in_seconds": tickets.TICKET_LIFETIME_SECONDS,
        }
        exchange.reply(
            STATUS_CREATED, [answers.JSON, *headers], msgspec.json.encode(body)
        )

    def outcome(
        self,
        text: str,
        exchange: http_server.Exchange,
        caller: identity.Caller,
    ) -> None:
        """Answer ``GET /v1/outcomes/TICKET``.

        :param text: the ticket
        :param exchange: where the answer goes
        :param caller: who asks
        """
        request_id = self._new_request_id()
        ticket = self.read_ticket(text, caller)
        if isinstance(ticket, outcomes.NotRun):
            self._counters.add("requests_refused", ticket.reason)
            answers.refuse(exchange, ticket, request_id)
            return
        handler = self._once_call(exchange, request_id, lambda done: None)
        self._runner.ask(
            ticket=ticket,
            give_up_at_seconds=self._timers.now_seconds() + ASK_SECONDS,
            handler=handler,
        )

    def begin(
        self,
        exchange: http_server.Exchange,
        request_id: str,
        ticket: once_messages.Ticket,
        digest: str,
        deadline_seconds: float,
        start_call: once_call.StartCall,
    ) -> None:
        """Run a call under a ticket, if its registers permit.

        :param exchange: where the answer goes
        :param request_id: names the request
        :param ticket: as read
        :param digest: of the request
        :param deadline_seconds: how long the caller waits
        :param start_call: sends the call
        """
        now_seconds = self._timers.now_seconds()
        self._runner.begin(
            ticket=ticket,
            digest=digest,
            give_up_at_seconds=now_seconds + deadline_seconds,
            handler=self._once_call(exchange, request_id, start_call),
        )

    def new_ticket(self, caller: identity.Caller) -> str:
        """Mint a ticket.

        :param caller: whose it will be
        :return: the ticket as callers see it
        """
        return tickets.write(self._office.mint(caller.settings.workspace))

    def read_ticket(
        self, text: str, caller: identity.Caller
    ) -> once_messages.Ticket | outcomes.NotRun:
        """Read a ticket that a caller sent.

        :param text: as it came
        :param caller: who must be its owner
        :return: the ticket, or the refusal
        """
        ticket = tickets.read(text)
        if isinstance(ticket, tickets.Unreadable):
            return outcomes.NotRun(
                status=STATUS_PRECONDITION_REQUIRED,
                reason="ticket_required",
                remedy="repeat the call with the ticket as Idempotency-Key",
            )
        if ticket.workspace != caller.settings.workspace:
            return outcomes.NotRun(
                status=STATUS_FORBIDDEN,
                reason="ticket_of_another_workspace",
                remedy="use a ticket that was fetched with your own key",
            )
        return ticket

    def _once_call(
        self,
        exchange: http_server.Exchange,
        request_id: str,
        start_call: once_call.StartCall,
    ) -> once_call.OnceCall:
        return once_call.OnceCall(
            runner=self._runner,
            exchange=exchange,
            request_id=request_id,
            start_call=start_call,
            refused=lambda why: self._counters.add("requests_refused", why),
        )


__all__ = [
    "TicketFace",
]
