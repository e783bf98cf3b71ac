"""Requests that crash the engines that run them, on loopback."""

from __future__ import annotations

import http.client
import itertools
import os
import threading
import time

import pytest

from tests.fakes import machines as machines_module

CRASH_BODY = "crashes its engine"
# A request of its own: the instances remember the crashes of all tests.
OTHER_CRASH_BODY = "crashes one engine"
RESTART_SECONDS = 0.5
ENGINES = 4
# What is known of a crash must be known everywhere by then.
CONTACT_SECONDS = 3.0
CRASHES_UNTIL_KNOWN = 3
# Sends that may still follow a request known to crash its engines.
MAX_LATE_SENDS = 3
PLAY_SECONDS = 12.0
PAUSE_SECONDS = 0.2


class Engines(threading.Thread):
    """Starts a new engine some time after one has ended."""

    def __init__(self, machines) -> None:
        super().__init__(daemon=True)
        self._machines = machines
        self.over = threading.Event()
        self.restart_seconds = RESTART_SECONDS
        self.ended_at_seconds: list[float] = []
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

    def replace_ended(self) -> None:
        for name in self._take_ended():
            self._replace(name)

    def _take_ended(self) -> list[str]:
        ended = [
            name
            for name in self._machines.endpoints
            if self._machines.processes[name].poll() is not None
        ]
        for name in ended:
            self.ended_at_seconds.append(time.time())
            del self._machines.endpoints[name]
        return ended

    def add(self) -> None:
        # Unique among the processes, also where several start at once.
        name = f"engine-r{next(self._names)}-{len(self._machines.processes)}"
        self._machines.start_endpoint(name, "--model", "base", "--places", "2")
        machines_module.eventually(lambda: self._machines.seen(name))
        self._machines.faults(name, crash_body=CRASH_BODY)
        self._machines.publish(name)

    def _replace(self, name: str) -> None:
        self._machines.remove(f"servers/{name}")
        self.add()


class Caller(threading.Thread):
    """Sends one body again and again, at each gateway in turn."""

    def __init__(self, *, machines, path, body, events, over) -> None:
        super().__init__(daemon=True)
        self._machines = machines
        self._path = path
        self._body = body
        self._events = events
        self._over = over
        self.statuses: list[tuple[str, int]] = []

    def run(self) -> None:
        gateways = itertools.cycle(range(len(self._machines.gateways)))
        while not self._over.wait(PAUSE_SECONDS):
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
                body=self._body.encode(),
            ).status
        except (OSError, http.client.HTTPException):
            return 0


@pytest.fixture
def engines(machines):
    engines = Engines(machines)
    engines.replace_ended()
    running = [name for name in machines.endpoints if "engine" in name]
    for name in running:
        machines.faults(name, crash_body=CRASH_BODY)
    for _ in range(ENGINES - len(running)):
        engines.add()
    engines.start()
    try:
        yield engines
    finally:
        engines.over.set()
        engines.join()


def _play(machines, path, other_events, over) -> list[Caller]:
    bodies = (CRASH_BODY, "one", "two", "three")
    callers = [
        Caller(
            machines=machines,
            path=path,
            body=body,
            events=5 if body == CRASH_BODY else other_events,
            over=over,
        )
        for body in bodies
    ]
    for caller in callers:
        caller.start()
    over.wait(PLAY_SECONDS)
    over.set()
    for caller in callers:
        caller.join()
    return callers


def _sent(machines, request_ids) -> list[float]:
    return sorted(
        line["time_seconds"]
        for number in range(len(machines.gateways))
        for line in machines.lines(number)
        if line["event"] == "request_sent"
        and line["request_id"] in request_ids
    )


def _verdicts(machines) -> list[str]:
    return [
        line["verdict"]
        for number in range(len(machines.gateways))
        for line in machines.lines(number)
        if line["event"] == "endpoint_broke"
    ]


def test_a_crash_is_told_from_a_connection_that_an_endpoint_closes(
    machines, engines
) -> None:
    # Whoever was cut off by an endpoint that lives must not be suspected of
    # having crashed it.
    for name in machines.endpoints:
        machines.faults(name, cut_after=2)
    with pytest.raises((ConnectionError, http.client.IncompleteRead)):
        machines.generate("", events=6)
    machines_module.eventually(lambda: _verdicts(machines))
    assert set(_verdicts(machines)) == {"alive"}
    for name in machines.endpoints:
        machines.faults(name, crash_body=OTHER_CRASH_BODY)
    reply = machines.generate("", body=OTHER_CRASH_BODY.encode())
    assert reply.status == 502
    machines_module.eventually(lambda: "crashed" in _verdicts(machines))


@pytest.mark.parametrize(
    ("path", "other_events", "restart_seconds"),
    [("/notes/x", 60, RESTART_SECONDS), ("/drafts/x", 3, 3.0)],
)
def test_a_request_that_crashes_its_engines_isnt_sent_on_for_ever(
    machines, engines, path, other_events, restart_seconds
) -> None:
    # A caller's repeats of one request crash engine after engine, at any
    # instance, also where they meet connections that others used.
    engines.restart_seconds = restart_seconds
    over = threading.Event()
    culprit, *others = _play(machines, path, other_events, over)
    sent = _sent(machines, {request_id for request_id, _ in culprit.statuses})
    crashes = sorted(engines.ended_at_seconds)
    assert len(crashes) >= CRASHES_UNTIL_KNOWN
    known_at_seconds = crashes[CRASHES_UNTIL_KNOWN - 1] + CONTACT_SECONDS
    late = [at for at in sent if at > known_at_seconds]
    assert len(late) <= MAX_LATE_SENDS, (len(crashes), sent)
    late_crashes = [at for at in crashes if at > known_at_seconds]
    assert len(late_crashes) <= MAX_LATE_SENDS, crashes
    served = [status for caller in others for _, status in caller.statuses]
    assert served.count(200) > len(served) / 2
