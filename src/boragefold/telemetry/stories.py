"""The last requests' stories, for ``boragefold explain``."""

from __future__ import annotations

import collections
from typing import Any
from typing import NamedTuple

# Bounds the memory.
MAX_STORIES = 2_000
MAX_EVENTS = 20


class Event(NamedTuple):
    """One thing that happened to a request."""

    at_seconds: float
    what: str
    detail: str


class Stories:
    """A bounded record of what happened to each request, and why."""

    def __init__(self, *, max_stories: int = MAX_STORIES) -> None:
        self._max_stories = max_stories
        self._stories: collections.OrderedDict[str, list[Event]] = (
            collections.OrderedDict()
        )

    def add(
        self,
        request_id: str,
        what: str,
        *,
        now_seconds: float,
        detail: str = "",
    ) -> None:
        """Note an event.

        :param request_id: whose
        :param what: such as ``queued``, ``sent``, ``refused`` or ``retried``
        :param now_seconds: reading of the process clock
        :param detail: the endpoint or the reason
        """
        events = self._stories.setdefault(request_id, [])
        if len(events) < MAX_EVENTS:
            events.append(Event(now_seconds, what, detail))
        while len(self._stories) > self._max_stories:
            self._stories.popitem(last=False)

    def read(self, request_id: str) -> list[dict[str, Any]] | None:
        """Read a request's story.

        :param request_id: whose
        :return: its events, oldest first, or None
        """
        events = self._stories.get(request_id)
        if events is None:
            return None
        return [event._asdict() for event in events]


__all__ = [
    "Event",
    "Stories",
]
