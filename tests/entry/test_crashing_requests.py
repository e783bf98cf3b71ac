"""Requests that crash the engines that run them, on loopback."""

from __future__ import annotations

import http.client
import threading

import pytest

from tests.fakes import crashing_engines
from tests.fakes import machines as machines_module

CRASH_BODY = "crashes its engine"
# A request of its own: the instances remember the crashes of all tests.
OTHER_CRASH_BODY = "crashes one engine"
ENGINES = 4
PLAY_SECONDS = 12.0
PAUSE_SECONDS = 0.2


@pytest.fixture
def engines(machines):
    engines = crashing_engines.Engines(machines, crash_body=CRASH_BODY)
    engines.fill(ENGINES)
    engines.start()
    try:
        yield engines
    finally:
        engines.over.set()
        engines.join()


def _play(machines, path, other_events) -> list[crashing_engines.Caller]:
    over = threading.Event()
    callers = [
        crashing_engines.Caller(
            machines=machines,
            path=path,
            body=body,
            events=5 if body == CRASH_BODY else other_events,
            over=over,
            pause_seconds=PAUSE_SECONDS,
        )
        for body in (CRASH_BODY, "one", "two", "three")
    ]
    crashing_engines.play(callers, over, seconds=PLAY_SECONDS)
    return callers


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
    [
        ("/notes/x", 60, crashing_engines.RESTART_SECONDS),
        ("/drafts/x", 3, 3.0),
    ],
)
def test_a_request_that_crashes_its_engines_isnt_sent_on_for_ever(
    machines, engines, path, other_events, restart_seconds
) -> None:
    # A caller's repeats of one request crash engine after engine, at any
    # instance, also where they meet connections that others used.
    engines.restart_seconds = restart_seconds
    culprit, *others = _play(machines, path, other_events)
    sent = crashing_engines.list_sent(machines, culprit)
    crashes = sorted(each.at_seconds for each in engines.ended)
    assert len(crashes) >= crashing_engines.CRASHES_UNTIL_KNOWN
    known_at_seconds = (
        crashes[crashing_engines.CRASHES_UNTIL_KNOWN - 1]
        + crashing_engines.CONTACT_SECONDS
    )
    late = [each for each in sent if each.at_seconds > known_at_seconds]
    assert len(late) <= crashing_engines.MAX_LATE_SENDS, (len(crashes), sent)
    late_crashes = [at for at in crashes if at > known_at_seconds]
    assert len(late_crashes) <= crashing_engines.MAX_LATE_SENDS, crashes
    served = [status for caller in others for _, status in caller.statuses]
    assert served.count(200) > len(served) / 2
