"""Events of the most recent requests, for ``boragefold explain``."""

from __future__ import annotations

import collections
from typing import Any
from typing import NamedTuple

# Both limits bound the memory.
MAX_REQUESTS = 2_000
MAX_EVENTS = 20


class Event(NamedTuple):
    """An event of a request."""

    at_seconds: float
    what: str
    detail: str


class RequestEvents:
    """A bounded record of the events of recent requests."""

    def __init__(self, *, max_requests: int = MAX_REQUESTS) -> None:
        self._max_requests = max_requests
        self._events_by_request: collections.OrderedDict[str, list[Event]] = (
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
        events = self._events_by_request.setdefault(request_id, [])
        if len(events) < MAX_EVENTS:
            events.append(Event(now_seconds, what, detail))
        while len(self._events_by_request) > self._max_requests:
            self._events_by_request.popitem(last=False)

    def read(self, request_id: str) -> list[dict[str, Any]] | None:
        """Return the events of a request.

        :param request_id: the request
        :return: its events, oldest first; None for an unknown request
        """
        events = self._events_by_request.get(request_id)
        if events is None:
            return None
        return [event._asdict() for event in events]


__all__ = [
    "Event",
    "RequestEvents",
]
