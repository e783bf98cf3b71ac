"""Callers whose prompts share parts, of which some crash engines."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
import http.client
import itertools
import os
import threading
import time
from typing import NamedTuple

from tests.fakes import crashing_engines

# Crashes under one part until it must be known everywhere.
CRASHES_UNTIL_KNOWN = 5
MAX_LATE_SENDS = 3
# Sound requests have to be served again by then, behind the last of these.
SERVED_SECONDS = 2 * crashing_engines.CONTACT_SECONDS
# Of the share that was served before.
MIN_SERVED_PART = 0.5


class Asked(NamedTuple):
    """A request of a caller, when it was sent, and how it ended."""

    request_id: str
    at_seconds: float
    status: int


class Caller(threading.Thread):
    """Sends requests of which no two are alike, at each gateway in turn."""

    def __init__(
        self,
        *,
        machines,
        over: threading.Event,
        prompts: Iterator[tuple[str, ...]],
        pause_seconds: float,
        delay_seconds: float = 0.0,
        events: int = 5,
    ) -> None:
        """Prepare the caller.

        :param machines: the fleet
        :param over: ends the caller
        :param prompts: the shared parts of each request
        :param pause_seconds: between two requests
        :param delay_seconds: until the first
        :param events: in each answer
        """
        super().__init__(daemon=True)
        self._machines = machines
        self._over = over
        self._prompts = prompts
        self._pause_seconds = pause_seconds
        self._delay_seconds = delay_seconds
        self._events = events
        self.asked: list[Asked] = []

    @property
    def statuses(self) -> list[tuple[str, int]]:
        return [(each.request_id, each.status) for each in self.asked]

    def run(self) -> None:
        self._over.wait(self._delay_seconds)
        gateways = itertools.cycle(range(len(self._machines.gateways)))
        while not self._over.wait(self._pause_seconds):
            request_id = os.urandom(8).hex()
            at_seconds = time.time()
            status = self._ask(request_id, next(gateways))
            self.asked.append(Asked(request_id, at_seconds, status))

    def _ask(self, request_id: str, gateway: int) -> int:
        own = f"{request_id}:40"
        headers = {
            "Boragefold-Attempt-Id": request_id,
            "Boragefold-Model": "base",
            "Boragefold-Token-Usage": f"100,{self._events}",
            "Boragefold-Prompt-Prefix": ",".join(
                [*(f"{part}:30" for part in next(self._prompts)), own]
            ),
        }
        try:
            return self._machines.ask(
                "/notes/x",
                number=gateway,
                headers=headers,
                body=request_id.encode(),
            ).status
        except (OSError, http.client.HTTPException):
            return 0


def served_share(
    callers: Iterable[Caller], *, since_seconds: float, until_seconds: float
) -> float:
    """Compute which share of the requests of some callers was served.

    :param callers: the callers
    :param since_seconds: a time
    :param until_seconds: a later one
    :return: from 0 to 1, of those sent in between
    """
    statuses = [
        each.status
        for caller in callers
        for each in caller.asked
        if since_seconds <= each.at_seconds < until_seconds
    ]
    return statuses.count(200) / max(1, len(statuses))


__all__ = [
    "Asked",
    "CRASHES_UNTIL_KNOWN",
    "Caller",
    "MAX_LATE_SENDS",
    "MIN_SERVED_PART",
    "SERVED_SECONDS",
    "served_share",
]
