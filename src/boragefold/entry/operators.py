"""The operators' face: health, readiness, metrics and status."""

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
PLAIN = "text/plain; version=0.0.4"


class Inside(abc.ABC):
    """What the operators' face can read."""

    @abc.abstractmethod
    def ready(self) -> bool:
        """Tell whether the balancer should send requests here.

        :return: whether it should
        """

    @abc.abstractmethod
    def status(self) -> dict[str, Any]:
        """Describe what the instance holds.

        :return: plain data
        """

    @abc.abstractmethod
    def metrics(self) -> bytes:
        """Write the counters in the Prometheus text format.

        :return: text
        """

    @abc.abstractmethod
    def explain(self, request_id: str) -> dict[str, Any] | None:
        """Tell why a request was served, queued, refused or retried.

        :param request_id: from the answer's header
        :return: plain data, or None for an unknown or forgotten request
        """

    @abc.abstractmethod
    def audit(
        self, path: str, at_seconds: float | None
    ) -> list[dict[str, Any]] | None:
        """Tell what was in force, on this instance, and from when.

        :param path: of the published tree; empty for every path
        :param at_seconds: a moment of the calendar; None for now, or for
            everything that happened at the path
        :return: plain data; None for a moment older than what is kept
        """


class OperatorsFace(web.Controller):  # type: ignore[misc]
    """A controller on its own port, where no caller's key opens anything."""

    channel = "/"

    def __init__(self, *, inside: Inside) -> None:
        super().__init__()
        self._inside = inside

    def health(self) -> str:
        """Answer while the loop runs.

        :return: text
        """
        return "ok\n"

    def ready(self) -> str:
        """Answer whether the balancer should send requests here.

        :return: text
        """
        if self._inside.ready():
            return "ready\n"
        self.response.status = STATUS_UNAVAILABLE
        return "not ready\n"

    def metrics(self) -> str:
        """Answer with the counters.

        :return: text
        """
        self.response.headers["Content-Type"] = PLAIN
        return self._inside.metrics().decode()

    def status(self) -> str:
        """Answer with what the instance holds.

        :return: JSON
        """
        return self._json(self._inside.status())

    def explain(self, request_id: str = "") -> str:
        """Answer with the story of one request.

        :param request_id: from the answer's header
        :return: JSON
        """
        return self._json(self._inside.explain(request_id))

    def audit(self, path: str = "", at: str = "") -> str:
        """Answer with what was in force.

        :param path: of the published tree
        :param at: a moment, such as ``2026-12-01T10:00:00Z``
        :return: JSON
        """
        try:
            moment = datetime.datetime.fromisoformat(at) if at else None
        except ValueError:
            self.response.status = STATUS_BAD_REQUEST
            return self._json({"remedy": "write at as 2026-12-01T10:00:00Z"})
        at_seconds = None if moment is None else moment.timestamp()
        return self._json(self._inside.audit(path, at_seconds))

    def _json(self, data: Any) -> str:
        self.response.headers["Content-Type"] = JSON
        return msgspec.json.encode(data).decode()


def serve(
    *, root: circuits.BaseComponent, host: str, port: int, inside: Inside
) -> None:
    """Register the face and its server.

    :param root: the loop
    :param host: the IP number to bind
    :param port: the port
    :param inside: what it can read
    """
    server = web.Server((host, port), channel=CHANNEL, display_banner=False)
    server.register(root)
    OperatorsFace(inside=inside).register(server)


__all__ = [
    "Inside",
    "OperatorsFace",
    "serve",
]
