"""Checks the callers' API keys and routes their requests by path."""

from __future__ import annotations

from collections.abc import Callable

from boragefold.entry import answers
from boragefold.entry import chat_handler
from boragefold.entry import identity
from boragefold.entry import service_handler
from boragefold.entry import ticket_handler
from boragefold.protocol import outcome as outcomes
from boragefold.state import catalogue as catalogues
from boragefold.telemetry import counters as telemetry
from boragefold.transport import http_server

STATUS_BAD_REQUEST = 400
STATUS_NOT_FOUND = 404
STATUS_UNAVAILABLE = 503
SERVICES_PREFIX = "/services/"
OUTCOMES_PREFIX = "/v1/outcomes/"


class Router:
    """The HTTP application that serves callers."""

    def __init__(
        self,
        *,
        catalogue: catalogues.Catalogue,
        counters: telemetry.Counters,
        chats: chat_handler.ChatHandler,
        services: service_handler.ServiceHandler,
        tickets: ticket_handler.TicketHandler,
        ready: Callable[[], bool],
        new_request_id: Callable[[], str],
    ) -> None:
        self._catalogue = catalogue
        self._counters = counters
        self._chats = chats
        self._services = services
        self._tickets = tickets
        self._ready = ready
        self._new_request_id = new_request_id

    def __call__(
        self, request: http_server.Request, exchange: http_server.Exchange
    ) -> None:
        """Handle one request.

        :param request: the HTTP request
        :param exchange: receives the response
        """
        refusal = self._not_ready() or self._key_in_request(request)
        if refusal is not None:
            self._refuse(exchange, refusal)
            return
        caller = identity.identify(request, self._catalogue)
        if isinstance(caller, outcomes.NotRun):
            self._refuse(exchange, caller)
        else:
            self._route(request, exchange, caller)

    def _route(
        self,
        request: http_server.Request,
        exchange: http_server.Exchange,
        caller: identity.Caller,
    ) -> None:
        method, path = request.method, request.path
        if (method, path) == ("POST", "/v1/chat/completions"):
            self._chats.handle(request, exchange, caller)
        elif (method, path) == ("POST", "/v1/tickets"):
            self._tickets.issue(exchange, caller)
        elif method == "GET" and path.startswith(OUTCOMES_PREFIX):
            ticket = path.removeprefix(OUTCOMES_PREFIX)
            self._tickets.outcome(ticket, exchange, caller)
        elif path.startswith(SERVICES_PREFIX):
            name, _, rest = path.removeprefix(SERVICES_PREFIX).partition("/")
            self._services.handle(request, exchange, caller, name, f"/{rest}")
        else:
            self._refuse(exchange, _path_unknown())

    def _not_ready(self) -> outcomes.NotRun | None:
        if self._ready():
            return None
        return outcomes.NotRun(
            status=STATUS_UNAVAILABLE,
            reason="starting",
            remedy="repeat the request; this instance is starting",
            retry_after_seconds=1.0,
        )

    def _key_in_request(
        self, request: http_server.Request
    ) -> outcomes.NotRun | None:
        # A key in the body or query would be exposed to the endpoint operator.
        authorization = request.headers.get("authorization", "")
        key = authorization.partition(" ")[2].strip()
        if not key:
            return None
        if key not in request.query and key.encode() not in request.body:
            return None
        return outcomes.NotRun(
            status=STATUS_BAD_REQUEST,
            reason="key_in_request",
            remedy="send the key in the Authorization header only",
        )

    def _refuse(
        self, exchange: http_server.Exchange, refusal: outcomes.NotRun
    ) -> None:
        self._counters.add("requests_refused", refusal.reason)
        answers.send_error(exchange, refusal, self._new_request_id())


def _path_unknown() -> outcomes.NotRun:
    return outcomes.NotRun(
        status=STATUS_NOT_FOUND,
        reason="path_unknown",
        remedy="use a path of the callers' interface",
    )


__all__ = [
    "Router",
]
