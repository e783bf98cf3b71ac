"""Reads the platform's list, and learns from it which endpoints leave."""

from __future__ import annotations

from collections.abc import Callable

from boragefold.coordination.configuration import reader as readers
from boragefold.protocol import config_messages as messages
from boragefold.protocol import platform_api
from boragefold.state import endpoints
from boragefold.telemetry import counters as telemetry
from boragefold.timing import timers as timing

# All instances together stay below the platform's limit of calls.
PERIOD_SECONDS = 1.0
ANSWER_LIMIT_SECONDS = 5.0


class ListPoller:
    """Reads the list again and again, for everyone in the process."""

    def __init__(
        self,
        *,
        reader: readers.PlatformReader,
        timers: timing.TimerService,
        counters: telemetry.Counters,
        period_seconds: float = PERIOD_SECONDS,
    ) -> None:
        self._reader = reader
        self._timers = timers
        self._counters = counters
        self._period_seconds = period_seconds
        self._asked_seconds: float | None = None
        self._subscribers: list[Callable[[platform_api.Listing], None]] = []

    def subscribe(
        self, callback: Callable[[platform_api.Listing], None]
    ) -> None:
        """Be told of each list that was read, changed or not.

        :param callback: called with the list
        """
        self._subscribers.append(callback)

    def start(self, *, delay_seconds: float = 0.0) -> None:
        """Begin to read.

        :param delay_seconds: how long to wait before the first call
        """
        self._timers.every(
            period_seconds=self._period_seconds,
            callback=self._poll,
            first_delay_seconds=delay_seconds,
        )

    def _poll(self) -> None:
        now_seconds = self._timers.now_seconds()
        asked_seconds = self._asked_seconds
        if asked_seconds is not None:
            if now_seconds - asked_seconds < ANSWER_LIMIT_SECONDS:
                return
            self._counters.add("platform_failures", "silent_list")
        self._asked_seconds = now_seconds
        self._counters.add("platform_calls", "list")
        self._reader.read_list(callback=self._answered)

    def _answered(
        self, answer: platform_api.Listing | platform_api.PlatformFailed
    ) -> None:
        self._asked_seconds = None
        if isinstance(answer, platform_api.PlatformFailed):
            self._counters.add("platform_failures", answer.reason)
            return
        for callback in self._subscribers:
            callback(answer)


def marks_of(
    listing: platform_api.Listing, index: endpoints.EndpointIndex
) -> list[messages.LeavingMark]:
    """Find what a list says of endpoints that leave or have left off leaving.

    :param listing: the platform's list
    :param index: what is known so far
    :return: marks that may be news
    """
    known_leaving = {mark.address for mark in index.marks() if mark.leaving}
    return [
        messages.LeavingMark(
            instance.address, listing.revision, instance.state == "leaving"
        )
        for instance in listing.instances
        if instance.kind == "endpoint"
        and (instance.state == "leaving" or instance.address in known_leaving)
    ]


__all__ = [
    "ListPoller",
    "marks_of",
]
