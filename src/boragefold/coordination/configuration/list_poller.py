"""Polls the platform's list of instances and finds leaving endpoints."""

from __future__ import annotations

from collections.abc import Callable

from boragefold.coordination.configuration import reader as readers
from boragefold.protocol import config_messages as messages
from boragefold.protocol import platform_api
from boragefold.state import endpoints
from boragefold.telemetry import counters as telemetry
from boragefold.timing import timers as timing

# Keeps the calls of all instances together below the platform's rate limit.
PERIOD_SECONDS = 1.0
ANSWER_LIMIT_SECONDS = 5.0


class ListPoller:
    """Polls the list periodically for all subscribers of the process."""

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
        """Call back with each list that was read, changed or not.

        :param callback: called with the list
        """
        self._subscribers.append(callback)

    def start(self, *, delay_seconds: float = 0.0) -> None:
        """Start polling.

        :param delay_seconds: the delay before the first call
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


def find_leaving_marks(
    listing: platform_api.Listing, index: endpoints.EndpointIndex
) -> list[messages.LeavingMark]:
    """Find the endpoints of a list that are, or no longer are, leaving.

    :param listing: the platform's list
    :param index: the marks known so far
    :return: marks, some of which may be known already
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
    "find_leaving_marks",
]
