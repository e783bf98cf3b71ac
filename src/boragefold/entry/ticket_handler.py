"""The API for tickets: issues them, runs calls and reports outcomes."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from boragefold.coordination.once import runner as runners
from boragefold.coordination.once import tickets
from boragefold.entry import answers
from boragefold.entry import identity
from boragefold.entry import ticketed_call
from boragefold.protocol import once_messages
from boragefold.protocol import outcome as outcomes
from boragefold.telemetry import counters as telemetry
from boragefold.timing import timers as timing
from boragefold.transport import http_server

STATUS_CREATED = 201
STATUS_FORBIDDEN = 403
STATUS_PRECONDITION_REQUIRED = 428
# Timeout of a query for an outcome.
QUERY_TIMEOUT_SECONDS = 10.0


class TicketHandler:
    """Handles ``/v1/tickets`` and ``/v1/outcomes/...``, and ticketed calls."""

    def __init__(
        self,
        *,
        timers: timing.TimerService,
        counters: telemetry.Counters,
        ticket_issuer: tickets.TicketIssuer,
        runner: runners.Runner,
        new_request_id: Callable[[], str],
    ) -> None:
        self._timers = timers
        self._counters = counters
        self._ticket_issuer = ticket_issuer
        self._runner = runner
        self._new_request_id = new_request_id

    def issue(
        self, exchange: http_server.Exchange, caller: identity.Caller
    ) -> None:
        """Handle ``POST /v1/tickets``.

        :param exchange: receives the response
        :param caller: owner of the new ticket
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
        """Handle ``GET /v1/outcomes/TICKET``.

        :param text: the ticket in its text form
        :param exchange: receives the response
        :param caller: the caller, who must own the ticket
        """
        request_id = self._new_request_id()
        ticket = self.read_ticket(text, caller)
        if isinstance(ticket, outcomes.NotRun):
            self._counters.add("requests_refused", ticket.reason)
            answers.send_error(exchange, ticket, request_id)
            return
        handler = self._once_call(exchange, request_id, lambda done: None)
        self._runner.query(
            ticket=ticket,
            deadline_at_seconds=self._timers.now_seconds()
            + QUERY_TIMEOUT_SECONDS,
            handler=handler,
        )

    def begin(
        self,
        exchange: http_server.Exchange,
        request_id: str,
        ticket: once_messages.Ticket,
        digest: str,
        timeout_seconds: float,
        start_call: ticketed_call.StartCall,
    ) -> None:
        """Run a call if the registers of its ticket permit it.

        :param exchange: receives the response
        :param request_id: ID of the request
        :param ticket: the parsed ticket
        :param digest: digest of the request
        :param timeout_seconds: the caller's timeout
        :param start_call: sends the call to the service
        """
        now_seconds = self._timers.now_seconds()
        self._runner.begin(
            ticket=ticket,
            digest=digest,
            deadline_at_seconds=now_seconds + timeout_seconds,
            handler=self._once_call(exchange, request_id, start_call),
        )

    def new_ticket(self, caller: identity.Caller) -> str:
        """Create a ticket.

        :param caller: owner of the new ticket
        :return: the ticket in its text form
        """
        return tickets.encode(
            self._ticket_issuer.issue(caller.settings.workspace)
        )

    def read_ticket(
        self, text: str, caller: identity.Caller
    ) -> once_messages.Ticket | outcomes.NotRun:
        """Parse a caller's ticket and check its owner.

        :param text: the ticket in its text form
        :param caller: the caller, who must own the ticket
        :return: the ticket, or the error response
        """
        ticket = tickets.decode(text)
        if isinstance(ticket, tickets.InvalidTicket):
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
        start_call: ticketed_call.StartCall,
    ) -> ticketed_call.TicketedCall:
        return ticketed_call.TicketedCall(
            runner=self._runner,
            exchange=exchange,
            request_id=request_id,
            start_call=start_call,
            on_refused=lambda reason: self._counters.add(
                "requests_refused", reason
            ),
        )


__all__ = [
    "TicketHandler",
]
