"""Engines that end under some requests and come back, and their callers."""

from __future__ import annotations

import http.client
import itertools
import os
import threading
import time
from typing import NamedTuple

from tests.fakes import machines as machines_module

# What is known of a crash must be known everywhere by then.
CONTACT_SECONDS = 3.0
CRASHES_UNTIL_KNOWN = 3
# Sends that may still follow a request known to crash its engines.
MAX_LATE_SENDS = 3
RESTART_SECONDS = 0.5


class Ended(NamedTuple):
    """The end of an endpoint's process."""

    endpoint: str
    at_seconds: float


class Sent(NamedTuple):
    """A request that a gateway wrote to an endpoint."""

    endpoint: str
    at_seconds: float


class Engines(threading.Thread):
    """Starts a new engine some time after one has ended."""

    def __init__(self, machines, **faults) -> None:
        super().__init__(daemon=True)
        self._machines = machines
        self._faults = faults
        self.over = threading.Event()
        self.restart_seconds = RESTART_SECONDS
        self.ended: list[Ended] = []
        self._timers: list[threading.Timer] = []
        self._names = itertools.count()

    def run(self) -> None:
        while not self.over.wait(0.01):
            for name in self._take_ended():
                timer = threading.Timer(
                    self.restart_seconds, self._replace, args=[name]
                )
                self._timers.append(timer)
                timer.start()
        for timer in self._timers:
            timer.join()

    def fill(self, count: int) -> None:
        """Replace what has ended before, and add engines up to a number."""
        for name in self._take_ended():
            self._replace(name)
        running = [n for n in self._machines.endpoints if "engine" in n]
        for name in running:
            self._machines.faults(name, **self._faults)
        for _ in range(count - len(running)):
            self.add()

    def _take_ended(self) -> list[str]:
        ended = [
            name
            for name in list(self._machines.endpoints)
            if self._has_ended(name)
        ]
        for name in ended:
            self.ended.append(Ended(name, time.time()))
            del self._machines.endpoints[name]
        return ended

    def _has_ended(self, name: str) -> bool:
        # Other threads list engines before their processes.
        process = self._machines.processes.get(name)
        return process is not None and process.poll() is not None

    def add(self) -> None:
        # Unique among the processes, also where several start at once.
        name = f"engine-r{next(self._names)}-{len(self._machines.processes)}"
        self._machines.start_endpoint(name, "--model", "base", "--places", "2")
        machines_module.eventually(lambda: self._machines.seen(name))
        self._machines.faults(name, **self._faults)
        self._machines.publish(name)

    def _replace(self, name: str) -> None:
        self._machines.remove(f"servers/{name}")
        self.add()


class Caller(threading.Thread):
    """Sends one body again and again, at each gateway in turn."""

    def __init__(
        self, *, machines, path, body, events, over, pause_seconds
    ) -> None:
        super().__init__(daemon=True)
        self._machines = machines
        self._path = path
        self.body = body
        self._events = events
        self._over = over
        self._pause_seconds = pause_seconds
        self.statuses: list[tuple[str, int]] = []

    def run(self) -> None:
        gateways = itertools.cycle(range(len(self._machines.gateways)))
        while not self._over.wait(self._pause_seconds):
            request_id = os.urandom(8).hex()
            status = self._ask(request_id, next(gateways))
            self.statuses.append((request_id, status))

    def _ask(self, request_id: str, gateway: int) -> int:
        headers = {
            "Boragefold-Attempt-Id": request_id,
            "Boragefold-Model": "base",
            "Boragefold-Token-Usage": f"100,{self._events}",
        }
        try:
            return self._machines.ask(
                self._path,
                number=gateway,
                headers=headers,
                body=self.body.encode(),
            ).status
        except (OSError, http.client.HTTPException):
            return 0


def play(
    callers: list[Caller], over: threading.Event, *, seconds: float
) -> None:
    """Let callers send for some time.

    :param callers: not started yet
    :param over: ends them
    :param seconds: how long
    """
    for caller in callers:
        caller.start()
    over.wait(seconds)
    over.set()
    for caller in callers:
        caller.join()


def list_sent(machines, caller: Caller) -> list[Sent]:
    """List where and when a caller's requests were written to engines.

    :param machines: the fleet
    :param caller: whose requests
    :return: in the order of time, by the log of each gateway
    """
    request_ids = {request_id for request_id, _ in caller.statuses}
    found = [
        Sent(line["endpoint"], line["time_seconds"])
        for number in range(len(machines.gateways))
        for line in machines.lines(number)
        if line["event"] == "request_sent"
        and line["request_id"] in request_ids
    ]
    return sorted(found, key=lambda sent: sent.at_seconds)


def list_late(
    sent: list[Sent],
    ended: list[Ended],
    *,
    is_only: bool = False,
    crashes_until_known: int = CRASHES_UNTIL_KNOWN,
) -> list[Sent]:
    """List the sends that came when all gateways had to know a culprit.

    :param sent: of one request, or with one part
    :param ended: all ends of endpoints
    :param is_only: whether no other request crashes any
    :param crashes_until_known: of the culprit
    :return: those later than that crash and the time of contact
    """
    endpoints = {each.endpoint for each in sent}
    crashes = sorted(
        each.at_seconds
        for each in ended
        if is_only or each.endpoint in endpoints
    )
    if len(crashes) < crashes_until_known:
        return []
    known_at_seconds = crashes[crashes_until_known - 1] + CONTACT_SECONDS
    return [each for each in sent if each.at_seconds > known_at_seconds]


__all__ = [
    "CONTACT_SECONDS",
    "CRASHES_UNTIL_KNOWN",
    "Caller",
    "Ended",
    "Engines",
    "MAX_LATE_SENDS",
    "RESTART_SECONDS",
    "Sent",
    "list_late",
    "list_sent",
    "play",
]
