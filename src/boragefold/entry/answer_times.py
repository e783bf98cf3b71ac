"""Measures the delays within one streamed response."""

from __future__ import annotations

import enum

from boragefold.state import deployment


class Lateness(enum.Enum):
    """What made a streamed response exceed the time limits of its route."""

    NONE = ""
    FIRST_EVENT = "first_event"
    PAUSE = "pause"


class AnswerTimes:
    """Measures the times at which the chunks of a response are forwarded.

    ``first_event_seconds`` is the time from the arrival of the request to the
    first chunk, None until then; ``longest_pause_seconds`` is the longest time
    between two successive chunks.
    """

    def __init__(self, *, arrived_at_seconds: float) -> None:
        self._arrived_at_seconds = arrived_at_seconds
        self._last_chunk_at_seconds: float | None = None
        self.first_event_seconds: float | None = None
        self.longest_pause_seconds = 0.0

    def record_chunk(self, *, now_seconds: float) -> None:
        """Record that a chunk was forwarded.

        :param now_seconds: reading of the process clock
        """
        if self._last_chunk_at_seconds is None:
            self.first_event_seconds = now_seconds - self._arrived_at_seconds
        else:
            pause_seconds = now_seconds - self._last_chunk_at_seconds
            self.longest_pause_seconds = max(
                self.longest_pause_seconds, pause_seconds
            )
        self._last_chunk_at_seconds = now_seconds

    def lateness(self, route: deployment.Route) -> Lateness:
        """Check the measured times against the limits of the route.

        :param route: the route
        :return: the limit that was exceeded; the first event takes precedence
        """
        first_seconds = self.first_event_seconds
        if first_seconds is not None and first_seconds > route.target_seconds:
            return Lateness.FIRST_EVENT
        gap_seconds = route.event_gap_seconds
        if gap_seconds and self.longest_pause_seconds > gap_seconds:
            return Lateness.PAUSE
        return Lateness.NONE


__all__ = [
    "AnswerTimes",
    "Lateness",
]
