"""Events of the most recent requests, for ``boragefold explain``."""

from __future__ import annotations

import collections
from typing import Any
from typing import NamedTuple

# Both limits bound the memory.
MAX_STORIES = 2_000
MAX_EVENTS = 20


class Event(NamedTuple):
    """An event of a request."""

    at_seconds: float
    what: str
    detail: str


class Stories:
    """A bounded record of the events of recent requests."""

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
        """Record an event.

        :param request_id: the request
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
        """Return the events of a request.

        :param request_id: the request
        :return: its events, oldest first; None for an unknown request
        """
        events = self._stories.get(request_id)
        if events is None:
            return None
        return [event._asdict() for event in events]


__all__ = [
    "Event",
    "Stories",
]
