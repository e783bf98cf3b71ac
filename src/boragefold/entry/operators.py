"""The operators' HTTP port: health, readiness, metrics and status."""

from __future__ import annotations

import abc
import datetime
from typing import Any

import circuits
from circuits import web
import msgspec

STATUS_BAD_REQUEST = 400
STATUS_UNAVAILABLE = 503
CHANNEL = "operators"
JSON = "application/json"
PROMETHEUS_TEXT = "text/plain; version=0.0.4"


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


class OperatorsController(web.Controller):  # type: ignore[misc]
    """Handles the operators' requests on a port that needs no API key."""

    channel = "/"

    def __init__(self, *, state: InstanceState) -> None:
        super().__init__()
        self._state = state

    def health(self) -> str:
        """Answer the liveness probe.

        :return: plain text
        """
        return "ok\n"

    def ready(self) -> str:
        """Answer the balancer's readiness probe.

        :return: plain text
        """
        if self._state.ready():
            return "ready\n"
        self.response.status = STATUS_UNAVAILABLE
        return "not ready\n"

    def metrics(self) -> str:
        """Return the counters.

        :return: Prometheus text
        """
        self.response.headers["Content-Type"] = PROMETHEUS_TEXT
        return self._state.metrics().decode()

    def status(self) -> str:
        """Return the current state of the instance.

        :return: JSON
        """
        return self._json(self._state.status())

    def explain(self, request_id: str = "") -> str:
        """Return the recorded events of one request.

        :param request_id: from the response's header
        :return: JSON
        """
        return self._json(self._state.explain(request_id))

    def audit(self, path: str = "", at: str = "") -> str:
        """Return the configuration that was in force.

        :param path: path of the published tree
        :param at: time, such as ``2026-12-01T10:00:00Z``
        :return: JSON
        """
        try:
            moment = datetime.datetime.fromisoformat(at) if at else None
        except ValueError:
            self.response.status = STATUS_BAD_REQUEST
            return self._json({"remedy": "write at as 2026-12-01T10:00:00Z"})
        at_seconds = None if moment is None else moment.timestamp()
        return self._json(self._state.audit(path, at_seconds))

    def _json(self, data: Any) -> str:
        self.response.headers["Content-Type"] = JSON
        return msgspec.json.encode(data).decode()


def serve(
    *,
    root: circuits.BaseComponent,
    host: str,
    port: int,
    state: InstanceState,
) -> None:
    """Start the operators' HTTP server on the event loop.

    :param root: the event loop
    :param host: the IP number to bind
    :param port: the port
    :param state: reads the state of the instance
    """
    server = web.Server((host, port), channel=CHANNEL, display_banner=False)
    server.register(root)
    OperatorsController(state=state).register(server)


__all__ = [
    "InstanceState",
    "OperatorsController",
    "serve",
]
