"""The API for calls of plain services."""

from __future__ import annotations

from collections.abc import Callable
import hashlib
from typing import NamedTuple

from boragefold.entry import answers
from boragefold.entry import chat_handler
from boragefold.entry import identity
from boragefold.entry import service_call
from boragefold.entry import ticket_handler
from boragefold.policy import retry_budget
from boragefold.protocol import outcome as outcomes
from boragefold.state import catalogue as catalogues
from boragefold.state import documents
from boragefold.state import paths
from boragefold.telemetry import counters as telemetry
from boragefold.transport import caller_admission
from boragefold.transport import http_client
from boragefold.transport import http_server
from boragefold.transport import whole_answer

STATUS_NOT_FOUND = 404
STATUS_BAD_GATEWAY = 502
STATUS_UNAVAILABLE = 503
RETRY_SECONDS = 1.0
# A connection without any progress for longer than this is considered dead.
PROGRESS_SECONDS = 10.0


class Target(NamedTuple):
    """A service that the caller may use, and its published document."""

    name: str
    document: documents.Service


class ServiceHandler:
    """Handles ``/services/...``."""

    def __init__(
        self,
        *,
        data_centre: str,
        catalogue: catalogues.Catalogue,
        counters: telemetry.Counters,
        client: http_client.HttpClient,
        tickets: ticket_handler.TicketHandler,
        new_request_id: Callable[[], str],
        admission: caller_admission.CallerAdmission | None = None,
    ) -> None:
        self._admission = admission
        self._data_centre = data_centre
        self._catalogue = catalogue
        self._counters = counters
        self._client = client
        self._budgets: dict[str, retry_budget.RetryBudget] = {}
        self._tickets = tickets
        self._new_request_id = new_request_id

    def handle(
        self,
        request: http_server.Request,
        exchange: http_server.Exchange,
        caller: identity.Caller,
        service_name: str,
        path: str,
    ) -> None:
        """Handle a call of a plain service.

        :param request: the HTTP request
        :param exchange: receives the response
        :param caller: the caller, identified by its API key
        :param service_name: name of the service
        :param path: the path at the service
        """
        request_id = self._new_request_id()
        target = self._allowed_target(service_name, caller)
        route = self._catalogue.route(
            service=service_name, method=request.method, path=path
        )
        if target is None or route is None:
            refusal = outcomes.NotRun(
                status=STATUS_NOT_FOUND,
                reason="service_unknown",
                remedy="use a published call of a service that your "
                "workspace may use",
            )
            self._refuse(exchange, refusal, request_id)
        elif route["idempotent"]:
            self._call_idempotent(request, exchange, request_id, target, path)
        else:
            self._call_non_idempotent(
                request, exchange, request_id, caller, target, path
            )

    def _call_idempotent(
        self,
        request: http_server.Request,
        exchange: http_server.Exchange,
        request_id: str,
        target: Target,
        path: str,
    ) -> None:
        def done(result: service_call.Result) -> None:
            if isinstance(result, whole_answer.WholeAnswer):
                self._forward(exchange, request_id, result)
            else:
                self._refuse(exchange, refuse_idempotent(result), request_id)

        prepared = service_call.create_request(request, path)
        self._start(prepared, target, True, done)

    def _call_non_idempotent(
        self,
        request: http_server.Request,
        exchange: http_server.Exchange,
        request_id: str,
        caller: identity.Caller,
        target: Target,
        path: str,
    ) -> None:
        text = request.headers.get("idempotency-key", "")
        ticket = self._tickets.read_ticket(text, caller)
        if isinstance(ticket, outcomes.NotRun):
            self._refuse(
                exchange,
                ticket,
                request_id,
                ticket=self._tickets.new_ticket(caller),
            )
            return
        deadline = chat_handler.read_deadline_seconds(
            request, caller.settings.deadline_seconds
        )
        prepared = service_call.create_request(request, path, ticket.serial)
        self._tickets.begin(
            exchange,
            request_id,
            ticket,
            _digest(prepared, caller),
            deadline,
            lambda done: self._start(prepared, target, False, done),
        )

    def _start(
        self,
        prepared: service_call.ServiceRequest,
        target: Target,
        idempotent: bool,
        done: Callable[[service_call.Result], None],
    ) -> None:
        service_call.ServiceCall(
            client=self._client,
            counters=self._counters,
            budget=self._budget(target.name),
            request=prepared,
            addresses=self._addresses(target.document),
            idempotent=idempotent,
            progress_seconds=PROGRESS_SECONDS,
            on_result=done,
            admission=self._admission,
        ).begin()

    def _budget(self, service: str) -> retry_budget.RetryBudget:
        return self._budgets.setdefault(
            service, retry_budget.RetryBudget(counters=self._counters)
        )

    def _addresses(self, service: documents.Service) -> list[str]:
        local = service["addresses"].get(self._data_centre, [])
        remote = (
            address
            for data_centre, addresses in service["addresses"].items()
            if data_centre != self._data_centre
            for address in addresses
        )
        return [*local, *remote]

    def _allowed_target(
        self, name: str, caller: identity.Caller
    ) -> Target | None:
        service = self._catalogue.service(name)
        allowed = service is not None and any(
            paths.qualify("", workspace) == caller.settings.workspace
            for workspace in service["workspaces"]
        )
        return Target(name, service) if service and allowed else None

    def _forward(
        self,
        exchange: http_server.Exchange,
        request_id: str,
        answer: whole_answer.WholeAnswer,
    ) -> None:
        content_type = answer.headers.get(
            "content-type", service_call.DEFAULT_CONTENT_TYPE
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
        answers.send_error(exchange, refusal, request_id, **extra)


def refuse_idempotent(
    result: service_call.NotSent | service_call.AnswerLost,
) -> outcomes.NotRun | outcomes.Unknown:
    """Create the refusal of an idempotent call without an answer.

    :param result: how the call ended
    :return: 503 only if the call didn't run
    """
    remedy = "repeat the call; it is safe to repeat"
    if isinstance(result, service_call.NotSent):
        return outcomes.NotRun(
            status=STATUS_UNAVAILABLE,
            reason="service_unreachable",
            remedy=remedy,
            retry_after_seconds=RETRY_SECONDS,
        )
    return outcomes.Unknown(
        status=STATUS_BAD_GATEWAY,
        reason="answer_lost",
        remedy=remedy,
        retry_after_seconds=RETRY_SECONDS,
    )


def _digest(
    prepared: service_call.ServiceRequest, caller: identity.Caller
) -> str:
    parts = (
        caller.settings.workspace,
        prepared.method,
        prepared.target,
        hashlib.sha256(prepared.body).hexdigest(),
    )
    return hashlib.sha256("\0".join(parts).encode()).hexdigest()


__all__ = [
    "ServiceHandler",
    "refuse_idempotent",
]
