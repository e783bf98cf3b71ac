"""The chat API: validates requests and submits them for scheduling."""

from __future__ import annotations

import abc
from collections.abc import Callable

from boragefold.entry import active_chat
from boragefold.entry import answers
from boragefold.entry import identity
from boragefold.policy import work as works
from boragefold.protocol import chat as chat_messages
from boragefold.protocol import outcome as outcomes
from boragefold.state import catalogue as catalogues
from boragefold.telemetry import counters as telemetry
from boragefold.timing import timers as timing
from boragefold.transport import http_client
from boragefold.transport import http_server

STATUS_BAD_REQUEST = 400
STATUS_NOT_FOUND = 404
HEADER_DEADLINE = "boragefold-deadline-seconds"
MAX_DEADLINE_SECONDS = 600.0


class ChatScheduler(abc.ABC):
    """Schedules validated chat requests."""

    @abc.abstractmethod
    def submit(self, chat: active_chat.ActiveChat) -> None:
        """Submit a chat request, which will be answered or refused.

        :param chat: the chat request
        """


class ChatHandler:
    """Handles ``POST /v1/chat/completions``."""

    def __init__(
        self,
        *,
        catalogue: catalogues.Catalogue,
        timers: timing.TimerService,
        counters: telemetry.Counters,
        client: http_client.HttpClient,
        scheduler: ChatScheduler,
        events: active_chat.ChatEvents,
        new_request_id: Callable[[], str],
    ) -> None:
        self._catalogue = catalogue
        self._timers = timers
        self._counters = counters
        self._client = client
        self._scheduler = scheduler
        self._events = events
        self._new_request_id = new_request_id

    def handle(
        self,
        request: http_server.Request,
        exchange: http_server.Exchange,
        caller: identity.Caller,
    ) -> None:
        """Handle one chat request.

        :param request: the HTTP request
        :param exchange: receives the response
        :param caller: the caller, identified by its API key
        """
        request_id = self._new_request_id()
        parsed = chat_messages.parse(request.body)
        if isinstance(parsed, chat_messages.BadChatRequest):
            refusal = outcomes.NotRun(
                status=STATUS_BAD_REQUEST,
                reason=parsed.reason,
                remedy=parsed.remedy,
            )
            self._refuse(exchange, refusal, request_id)
            return
        adapter_version = self._resolve(caller, parsed["model"])
        if isinstance(adapter_version, outcomes.NotRun):
            self._refuse(exchange, adapter_version, request_id)
            return
        work = self._work(request_id, request, parsed, caller, adapter_version)
        chat = active_chat.ActiveChat(
            work=work,
            request=parsed,
            key_digest=caller.digest,
            exchange=exchange,
            events=self._events,
            client=self._client,
        )
        self._scheduler.submit(chat)

    def _resolve(
        self, caller: identity.Caller, model: str
    ) -> works.AdapterVersion | outcomes.NotRun:
        reference = chat_messages.split_model(model)
        if self._catalogue.model(reference.name) is not None:
            return works.AdapterVersion(reference.name, "", "")
        record = self._catalogue.adapter(
            workspace=caller.settings.workspace, name=reference.name
        )
        if record is None:
            return outcomes.NotRun(
                status=STATUS_NOT_FOUND,
                reason="adapter_unknown",
                remedy="name a base model or an adapter of your workspace",
            )
        version = reference.version or record.versions[-1]
        if version not in record.versions:
            return outcomes.NotRun(
                status=STATUS_NOT_FOUND,
                reason="version_unknown",
                remedy=f"use one of: {', '.join(record.versions)}",
            )
        return works.AdapterVersion(record.model, record.qualified, version)

    def _work(
        self,
        request_id: str,
        request: http_server.Request,
        parsed: chat_messages.ChatRequest,
        caller: identity.Caller,
        adapter_version: works.AdapterVersion,
    ) -> works.Work:
        settings = caller.settings
        now_seconds = self._timers.now_seconds()
        wanted = parsed.get("max_tokens", settings.max_tokens)
        deadline = read_deadline_seconds(request, settings.deadline_seconds)
        return works.Work(
            request_id=request_id,
            workspace=settings.workspace,
            adapter_version=adapter_version,
            prompt_tokens=chat_messages.estimate_tokens(parsed),
            max_tokens=min(wanted, settings.max_tokens),
            arrived_at_seconds=now_seconds,
            deadline_at_seconds=now_seconds + deadline,
            late_sensitive=settings.late_sensitive,
            prefix=parsed["messages"][0]["content"][:64],
        )

    def _refuse(
        self,
        exchange: http_server.Exchange,
        refusal: outcomes.NotRun,
        request_id: str,
    ) -> None:
        self._counters.add("requests_refused", refusal.reason)
        answers.send_error(exchange, refusal, request_id)


def read_deadline_seconds(
    request: http_server.Request, default_seconds: float
) -> float:
    """Read the caller's timeout from the request headers.

    :param request: the HTTP request
    :param default_seconds: default timeout of the workspace
    :return: seconds; the default if the value is missing or out of range
    """
    try:
        seconds = float(request.headers.get(HEADER_DEADLINE, ""))
    except ValueError:
        return default_seconds
    if not 0 < seconds <= MAX_DEADLINE_SECONDS:
        return default_seconds
    return seconds


__all__ = [
    "ChatHandler",
    "ChatScheduler",
    "read_deadline_seconds",
]
