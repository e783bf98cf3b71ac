"""What operators can read of a running instance."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from boragefold.entry import desk as desks
from boragefold.entry import operators
from boragefold.entry import together as togethers
from boragefold.telemetry import counters as telemetry
from boragefold.telemetry import exposition
from boragefold.telemetry import stories as telemetry_stories


class Inspection(operators.Inside):
    """Reads the parts of one instance, and changes nothing."""

    def __init__(
        self,
        *,
        together: togethers.Together,
        desk: desks.Desk,
        counters: telemetry.Counters,
        stories: telemetry_stories.Stories,
        is_ready: Callable[[], bool],
        is_stopping: Callable[[], bool],
    ) -> None:
        self._together = together
        self._desk = desk
        self._counters = counters
        self._stories = stories
        self._is_ready = is_ready
        self._is_stopping = is_stopping

    def ready(self) -> bool:
        """Tell whether the balancer should send requests here.

        :return: whether it should
        """
        return self._is_ready()

    def status(self) -> dict[str, Any]:
        """Describe what the instance holds.

        :return: plain data
        """
        view = self._together.views.valid_view()
        configuration = self._together.configuration.status()
        return {
            "instance": self._together.link.self_id,
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
            "view_valid_for_seconds": self._together.views.valid_for_seconds(),
            "is_steward": self._together.views.is_leader,
            "adapters": len(self._together.catalogue.adapters),
            "open_chats": self._desk.open_chats,
            "tickets_recorded": len(self._together.register),
        }

    def metrics(self) -> bytes:
        """Write the counters.

        :return: text
        """
        return exposition.write(self._counters)

    def explain(self, request_id: str) -> dict[str, Any] | None:
        """Tell a request's story.

        :param request_id: from the answer's header
        :return: plain data, or None
        """
        events = self._stories.read(request_id)
        return None if events is None else {"events": events}

    def audit(
        self, path: str, at_seconds: float | None
    ) -> list[dict[str, Any]] | None:
        """Tell what was in force, on this instance, and from when.

        :param path: of the published tree; empty for every path
        :param at_seconds: a moment of the calendar, or None
        :return: plain data; None for a moment older than what is kept
        """
        history = self._together.history
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
    "Inspection",
]
