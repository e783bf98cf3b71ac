"""The interface to plain services, tickets and outcomes."""

from __future__ import annotations

from collections.abc import Callable
import hashlib

import msgspec

from boragefold.coordination.once import runner as runners
from boragefold.coordination.once import tickets
from boragefold.entry import answers
from boragefold.entry import chat_face
from boragefold.entry import identity
from boragefold.entry import once_call
from boragefold.entry import plain_call
from boragefold.protocol import once_messages
from boragefold.protocol import outcome as outcomes
from boragefold.state import catalogue as catalogues
from boragefold.state import documents
from boragefold.state import paths
from boragefold.telemetry import counters as telemetry
from boragefold.timing import timers as timing
from boragefold.transport import http_client
from boragefold.transport import http_server
from boragefold.transport import whole_answer

STATUS_CREATED = 201
STATUS_FORBIDDEN = 403
STATUS_NOT_FOUND = 404
STATUS_PRECONDITION_REQUIRED = 428
STATUS_UNAVAILABLE = 503
# Silence of a service for longer than this is taken for a dead connection.
PROGRESS_SECONDS = 10.0


class ServiceFace:
    """Answers ``/services/...``, ``/v1/tickets`` and ``/v1/outcomes/...``."""

    def __init__(
        self,
        *,
        data_centre: str,
        catalogue: catalogues.Catalogue,
        timers: timing.TimerService,
        counters: telemetry.Counters,
        client: http_client.HttpClient,
        office: tickets.TicketOffice,
        runner: runners.Runner,
        new_request_id: Callable[[], str],
    ) -> None:
        self._data_centre = data_centre
        self._catalogue = catalogue
        self._timers = timers
        self._counters = counters
        self._client = client
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
            "ticket": self._new_ticket(caller),
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
        ticket = self._read_ticket(text, caller)
        if isinstance(ticket, outcomes.NotRun):
            self._refuse(exchange, ticket, request_id)
            return
        handler = self._once_call(exchange, request_id, lambda done: None)
        self._runner.ask(
            ticket=ticket,
            give_up_at_seconds=self._timers.now_seconds() + PROGRESS_SECONDS,
            handler=handler,
        )

    def call(
        self,
        request: http_server.Request,
        exchange: http_server.Exchange,
        caller: identity.Caller,
        service_name: str,
        path: str,
    ) -> None:
        """Answer a call of a plain service.

        :param request: as it came
        :param exchange: where the answer goes
        :param caller: whose key came with it
        :param service_name: the service
        :param path: the path at the service
        """
        request_id = self._new_request_id()
        service = self._service_for(service_name, caller)
        route = self._catalogue.route(
            service=service_name, method=request.method, path=path
        )
        if service is None or route is None:
            refusal = outcomes.NotRun(
                status=STATUS_NOT_FOUND,
                reason="service_unknown",
                remedy="use a published call of a service that your "
                "workspace may use",
            )
            self._refuse(exchange, refusal, request_id)
        elif route["idempotent"]:
            self._call_repeatable(request, exchange, request_id, service, path)
        else:
            self._call_once(
                request, exchange, request_id, caller, service, path
            )

    def _call_repeatable(
        self,
        request: http_server.Request,
        exchange: http_server.Exchange,
        request_id: str,
        service: documents.Service,
        path: str,
    ) -> None:
        def done(result: plain_call.Result) -> None:
            if isinstance(result, whole_answer.WholeAnswer):
                self._pass_on(exchange, request_id, result)
            else:
                self._refuse(exchange, _repeatable_refusal(result), request_id)

        prepared = plain_call.prepare(request, path)
        self._start(prepared, service, True, done)

    def _call_once(
        self,
        request: http_server.Request,
        exchange: http_server.Exchange,
        request_id: str,
        caller: identity.Caller,
        service: documents.Service,
        path: str,
    ) -> None:
        text = request.headers.get("idempotency-key", "")
        ticket = self._read_ticket(text, caller)
        if isinstance(ticket, outcomes.NotRun):
            self._refuse(
                exchange, ticket, request_id, ticket=self._new_ticket(caller)
            )
            return
        deadline = chat_face.read_deadline_seconds(
            request, caller.settings.deadline_seconds
        )
        prepared = plain_call.prepare(request, path, ticket.serial)
        self._runner.begin(
            ticket=ticket,
            digest=_digest(prepared, caller),
            give_up_at_seconds=self._timers.now_seconds() + deadline,
            handler=self._once_call(
                exchange,
                request_id,
                lambda done: self._start(prepared, service, False, done),
            ),
        )

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

    def _start(
        self,
        prepared: plain_call.PlainRequest,
        service: documents.Service,
        idempotent: bool,
        done: Callable[[plain_call.Result], None],
    ) -> None:
        plain_call.PlainCall(
            client=self._client,
            counters=self._counters,
            request=prepared,
            addresses=self._addresses(service),
            idempotent=idempotent,
            progress_seconds=PROGRESS_SECONDS,
            done=done,
        ).begin()

    def _addresses(self, service: documents.Service) -> list[str]:
        near = service["addresses"].get(self._data_centre, [])
        far = (
            address
            for data_centre, addresses in service["addresses"].items()
            if data_centre != self._data_centre
            for address in addresses
        )
        return [*near, *far]

    def _service_for(
        self, name: str, caller: identity.Caller
    ) -> documents.Service | None:
        service = self._catalogue.service(name)
        allowed = service is not None and any(
            paths.qualify("", workspace) == caller.settings.workspace
            for workspace in service["workspaces"]
        )
        return service if allowed else None

    def _new_ticket(self, caller: identity.Caller) -> str:
        return tickets.write(self._office.mint(caller.settings.workspace))

    def _read_ticket(
        self, text: str, caller: identity.Caller
    ) -> once_messages.Ticket | outcomes.NotRun:
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

    def _pass_on(
        self,
        exchange: http_server.Exchange,
        request_id: str,
        answer: whole_answer.WholeAnswer,
    ) -> None:
        content_type = answer.headers.get(
            "content-type", plain_call.DEFAULT_CONTENT_TYPE
        )
        headers = answers.outcome_headers("ran", "", request_id)
        exchange.reply(
            answer.status,
            [("Content-Type", content_type), *headers],
            answer.body,
        )

    def _refuse(
        self,
        exchange: http_server.Exchange,
        refusal: outcomes.NotRun | outcomes.Unknown,
        request_id: str,
        **extra: str,
    ) -> None:
        self._counters.add("requests_refused", refusal.reason)
        answers.refuse(exchange, refusal, request_id, **extra)


def _repeatable_refusal(
    result: plain_call.NotSent | plain_call.AnswerLost,
) -> outcomes.NotRun | outcomes.Unknown:
    kind = (
        outcomes.NotRun
        if isinstance(result, plain_call.NotSent)
        else outcomes.Unknown
    )
    return kind(
        status=STATUS_UNAVAILABLE,
        reason="service_unreachable",
        remedy="repeat the call; it is safe to repeat",
        retry_after_seconds=1.0,
    )


def _digest(prepared: plain_call.PlainRequest, caller: identity.Caller) -> str:
    parts = (
        caller.settings.workspace,
        prepared.method,
        prepared.target,
        hashlib.sha256(prepared.body).hexdigest(),
    )
    return hashlib.sha256("\0".join(parts).encode()).hexdigest()


__all__ = [
    "ServiceFace",
]
