"""Reads the state of a running instance for operators."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from boragefold.entry import chat_controller
from boragefold.entry import cluster_services
from boragefold.entry import operators
from boragefold.telemetry import counters as telemetry
from boragefold.telemetry import exposition
from boragefold.telemetry import request_events as recorded_events


class InstanceStatus(operators.InstanceState):
    """Reads the state of one instance without changing it."""

    def __init__(
        self,
        *,
        cluster: cluster_services.ClusterServices,
        chats: chat_controller.ChatController,
        counters: telemetry.Counters,
        request_events: recorded_events.RequestEvents,
        is_ready: Callable[[], bool],
        is_stopping: Callable[[], bool],
    ) -> None:
        self._cluster = cluster
        self._chats = chats
        self._counters = counters
        self._request_events = request_events
        self._is_ready = is_ready
        self._is_stopping = is_stopping

    def ready(self) -> bool:
        """Tell whether the balancer should send requests to this instance.

        :return: whether it should
        """
        return self._is_ready()

    def status(self) -> dict[str, Any]:
        """Describe the current state of the instance.

        :return: values that can be encoded as JSON
        """
        view = self._cluster.views.valid_view()
        configuration = self._cluster.configuration.status()
        return {
            "instance": self._cluster.link.self_id,
            "ready": self._is_ready(),
            "readiness": configuration.readiness,
            "stopping": self._is_stopping(),
            "configuration": {
                "role": configuration.role.name,
                "newest_revision": configuration.newest_revision,
                "paths": configuration.paths,
                "heard_seconds_ago": configuration.heard_seconds_ago,
                "rejections": {
                    path: [rejection.revision, rejection.rejected]
                    for path, rejection in configuration.rejections.items()
                },
            },
            "view": view,
            "view_valid_for_seconds": self._cluster.views.valid_for_seconds(),
            "is_steward": self._cluster.views.is_leader,
            "adapters": len(self._cluster.catalogue.adapters),
            "open_chats": self._chats.open_chats,
            "tickets_recorded": len(self._cluster.register),
        }

    def metrics(self) -> bytes:
        """Encode the counters in the Prometheus text format.

        :return: the encoded text
        """
        return exposition.write(self._counters)

    def explain(self, request_id: str) -> dict[str, Any] | None:
        """List the recorded events of a request.

        :param request_id: from the response's header
        :return: values that can be encoded as JSON, or None for a request
            without recorded events
        """
        events = self._request_events.read(request_id)
        return None if events is None else {"events": events}

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
        history = self._cluster.history
        if at_seconds is not None:
            records = history.at(at_seconds)
        else:
            records = history.of_path(path) if path else history.in_force()
        if records is None:
            return None
        return [
            record._asdict() for record in records if path in ("", record.path)
        ]


__all__ = [
    "InstanceStatus",
]
