"""The operators' HTTP port: health, readiness, metrics and status."""

from __future__ import annotations

import abc
import datetime
from typing import Any
from typing import NamedTuple
from urllib import parse

import msgspec

from boragefold.policy import caller_budget
from boragefold.settings import serve as serve_settings
from boragefold.telemetry import counters as telemetry
from boragefold.timing import timers as timing
from boragefold.transport import caller_admission
from boragefold.transport import callers
from boragefold.transport import http_server
from boragefold.transport import sockets

STATUS_OK = 200
STATUS_BAD_REQUEST = 400
STATUS_NOT_FOUND = 404
STATUS_UNAVAILABLE = 503
JSON = "application/json"
PLAIN_TEXT = "text/plain; charset=utf-8"
PROMETHEUS_TEXT = "text/plain; version=0.0.4"
# For probes and scrapes, apart from the callers.
BUDGET = caller_budget.CallerBudget(
    memory_bytes=4 * caller_budget.MEGABYTE,
    large_bytes=caller_budget.MEGABYTE,
    connections=32,
    tunnels=0,
)


class InstanceState(abc.ABC):
    """The state of an instance, as the operators' port reads it."""

    @abc.abstractmethod
    def ready(self) -> bool:
        """Tell whether the balancer should send requests to this instance.

        :return: whether it should
        """

    @abc.abstractmethod
    def status(self) -> dict[str, Any]:
        """Describe the current state of the instance.

        :return: values that can be encoded as JSON
        """

    @abc.abstractmethod
    def metrics(self) -> bytes:
        """Encode the counters in the Prometheus text format.

        :return: the encoded text
        """

    @abc.abstractmethod
    def explain(self, request_id: str) -> dict[str, Any] | None:
        """Tell why a request was served, queued, refused or retried.

        :param request_id: from the response's header
        :return: values that can be encoded as JSON, or None for a request
            without recorded events
        """

    @abc.abstractmethod
    def audit(
        self, path: str, at_seconds: float | None
    ) -> list[dict[str, Any]] | None:
        """List the configuration that was in force here, and since when.

        :param path: path of the published tree; empty for every path
        :param at_seconds: Unix time; None for now, or for the whole history
            of the path
        :return: values that can be encoded as JSON; None for a time before
            the recorded history
        """


class Page(NamedTuple):
    """What the operators' port answers."""

    content_type: str
    body: bytes
    status: int = STATUS_OK


class OperatorsHandler:
    """Handles the operators' requests on a port that needs no API key."""

    def __init__(self, *, state: InstanceState) -> None:
        """Answer from an instance.

        :param state: reads the state of the instance
        """
        self._state = state
        self._pages = {
            "/health": self._health,
            "/ready": self._ready,
            "/metrics": self._metrics,
            "/status": self._status,
            "/explain": self._explain,
            "/audit": self._audit,
        }

    def handle(
        self, request: http_server.Request, exchange: http_server.Exchange
    ) -> None:
        """Answer one request.

        :param request: names the page
        :param exchange: takes the page
        """
        make_page = self._pages.get(request.path, self._not_found)
        page = make_page(dict(parse.parse_qsl(request.query)))
        exchange.reply(
            page.status, [("Content-Type", page.content_type)], page.body
        )

    def _health(self, query: dict[str, str]) -> Page:
        return Page(PLAIN_TEXT, b"ok\n")

    def _ready(self, query: dict[str, str]) -> Page:
        if self._state.ready():
            return Page(PLAIN_TEXT, b"ready\n")
        return Page(PLAIN_TEXT, b"not ready\n", STATUS_UNAVAILABLE)

    def _metrics(self, query: dict[str, str]) -> Page:
        return Page(PROMETHEUS_TEXT, self._state.metrics())

    def _status(self, query: dict[str, str]) -> Page:
        return _json(self._state.status())

    def _explain(self, query: dict[str, str]) -> Page:
        return _json(self._state.explain(query.get("request_id", "")))

    def _audit(self, query: dict[str, str]) -> Page:
        at = query.get("at", "")
        try:
            moment = datetime.datetime.fromisoformat(at) if at else None
        except ValueError:
            remedy = {"remedy": "write at as 2026-12-01T10:00:00Z"}
            return _json(remedy, status=STATUS_BAD_REQUEST)
        at_seconds = None if moment is None else moment.timestamp()
        return _json(self._state.audit(query.get("path", ""), at_seconds))

    def _not_found(self, query: dict[str, str]) -> Page:
        remedy = {"remedy": f"ask for one of: {', '.join(self._pages)}"}
        return _json(remedy, status=STATUS_NOT_FOUND)


def _json(data: Any, *, status: int = STATUS_OK) -> Page:
    return Page(JSON, msgspec.json.encode(data), status)


def listen(
    *,
    sockets_: sockets.SocketSet,
    counters: telemetry.Counters,
    timers: timing.TimerService,
    address: str,
    application: http_server.Application,
) -> None:
    """Listen for probes and scrapes, which have bounds of their own.

    :param sockets_: holds the connections
    :param counters: of this process
    :param timers: the process clock
    :param address: IP number and port
    :param application: answers the requests
    :raises OSError: when the address can't be bound
    """
    host, port = serve_settings.split_address(address)
    face = callers.CallersFace(
        sockets_=sockets_,
        application=application,
        counters=counters,
        timers=timers,
        admission=caller_admission.CallerAdmission(
            budget=BUDGET, now_seconds=timers.now_seconds
        ),
    )
    face.listen(host=host, port=port, tls=None)


__all__ = [
    "InstanceState",
    "OperatorsHandler",
    "listen",
]
