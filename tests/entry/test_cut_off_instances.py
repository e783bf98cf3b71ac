"""Gateways that are partitioned from all endpoints, on loopback."""

from __future__ import annotations

import collections
import concurrent.futures
import contextlib
import http.client
import os
import signal
import threading
import time
from typing import NamedTuple

import pytest

from tests.fakes import cut_machines
from tests.fakes import machines as machines_module

GATEWAYS = 3
# What a cut changed must be known by then.
CONTACT_SECONDS = 3.0
ROUNDS = 6
PAUSE_SECONDS = 0.15
LONG_STREAM_EVENTS = 300
SILENT_SECONDS = 1.1
# Far more than it takes on a busy machine, far less than any deadline.
AT_ONCE_SECONDS = 0.8
# Longer than the balancer needs to notice, shorter than a planned stop.
STOP_SECONDS = 7.0
# Of the share of first tries that the other instances serve.
MIN_SHARE = 2 / 3
MAX_FAILED = 10
MAX_FAILED_SHARE = 1 / 50
ROUTES = ("notes", "drafts", "orders", "reads")

REFUSED = cut_machines.NewConnections.REFUSED
HANG = cut_machines.NewConnections.HANG
LIVE = cut_machines.OpenConnections.LIVE
SILENT = cut_machines.OpenConnections.SILENT
RESET = cut_machines.OpenConnections.RESET
WAYS = ((REFUSED, LIVE), (REFUSED, RESET), (HANG, LIVE), (HANG, SILENT))


class Try(NamedTuple):
    """A caller's first try and how it ended."""

    gateway: int
    route: str
    request_id: str
    status: int
    seconds: float


@pytest.fixture(scope="module")
def machines(tmp_path_factory):
    machines = cut_machines.CutMachines(
        tmp_path_factory.mktemp("machines"), gateways=GATEWAYS
    )
    try:
        yield machines.start()
    finally:
        machines.stop()


def _ask(machines, gateway: int, route: str) -> Try:
    request_id = os.urandom(8).hex()
    headers = {"Boragefold-Attempt-Id": request_id}
    began = time.monotonic()
    try:
        if route in ("notes", "drafts"):
            reply = machines.generate(
                "", path=f"/{route}/x", number=gateway, headers=headers
            )
        else:
            reply = machines.ask(
                f"/{route}/x", number=gateway, headers=headers, body=b"x"
            )
        status = reply.status
    except (OSError, http.client.HTTPException):
        status = 0
    seconds = time.monotonic() - began
    return Try(gateway, route, request_id, status, seconds)


def _play(machines, *, rounds: int) -> list[Try]:
    with concurrent.futures.ThreadPoolExecutor(64) as pool:
        begun = []
        for _ in range(rounds):
            begun += [
                pool.submit(_ask, machines, gateway, route)
                for gateway in range(GATEWAYS)
                for route in ROUTES
            ]
            time.sleep(PAUSE_SECONDS)
        return [each.result() for each in begun]


def _share(tries: list[Try]) -> float:
    return sum(each.status == 200 for each in tries) / len(tries)


def _crash_verdicts(machines) -> list[str]:
    return [
        line["endpoint"]
        for number in range(GATEWAYS)
        for line in machines.lines(number)
        if line["event"] == "endpoint_broke" and line["verdict"] == "crashed"
    ]


def _ran_twice(machines) -> list[tuple[str, int]]:
    runs = collections.Counter(
        run["headers"]["boragefold-attempt-id"]
        for run in machines.runs("desk")
        if run["target"].startswith("/orders/")
    )
    return [each for each in runs.items() if each[1] > 1]


def _problems(machines, tries: list[Try], cut: list[int]) -> list[str]:
    at_cut = [each for each in tries if each.gateway in cut]
    failed = sum(each.status != 200 for each in at_cut)
    found = []
    if failed > MAX_FAILED + MAX_FAILED_SHARE * len(at_cut):
        found.append(f"{failed} of {len(at_cut)} first tries failed")
    for route in ROUTES:
        of_route = [each for each in tries if each.route == route]
        cut_off = [each for each in of_route if each.gateway in cut]
        others = [each for each in of_route if each.gateway not in cut]
        if _share(cut_off) < MIN_SHARE * (_share(others) if others else 1.0):
            found.append(f"{route}: {_share(cut_off):.2f} served")
    found += [f"{name}: called crashed" for name in _crash_verdicts(machines)]
    found += [f"{name} ran {n} times" for name, n in _ran_twice(machines)]
    return found


def _stream(machines, gateway: int) -> None:
    with contextlib.suppress(OSError, http.client.HTTPException):
        machines.generate("", number=gateway, events=LONG_STREAM_EVENTS)


def _play_cut(machines, cut, new, opened) -> list[Try]:
    _play(machines, rounds=2)
    running = [
        threading.Thread(target=_stream, args=(machines, number))
        for number in cut
    ]
    for thread in running:
        thread.start()
    time.sleep(PAUSE_SECONDS)
    for number in cut:
        machines.cut(number, new, opened)
    try:
        _play(machines, rounds=int(CONTACT_SECONDS / PAUSE_SECONDS))
        return _play(machines, rounds=ROUNDS)
    finally:
        for number in cut:
            machines.heal(number)
        for thread in running:
            thread.join()


def test_callers_of_cut_off_instances_are_served(machines) -> None:
    # An instance that can't reach the endpoints must use a peer that can.
    cut = [0, 1]
    found = [
        f"{new.value}, {opened.value}: {problem}"
        for new, opened in WAYS
        for problem in _problems(
            machines, _play_cut(machines, cut, new, opened), cut
        )
    ]
    assert not found, "\n".join(found)


def test_what_nobody_reaches_is_refused_at_once(machines) -> None:
    # A request that can't be served must not wait for its deadline.
    for number in range(GATEWAYS):
        machines.cut(number, HANG, SILENT)
    try:
        _play(machines, rounds=int(CONTACT_SECONDS / PAUSE_SECONDS))
        tries = [
            each
            for each in _play(machines, rounds=ROUNDS)
            if each.route in ("orders", "reads")
        ]
    finally:
        for number in range(GATEWAYS):
            machines.heal(number)
    assert {each.status for each in tries} == {503}
    assert max(each.seconds for each in tries) < AT_ONCE_SECONDS
    machines_module.eventually(
        lambda: _share(_play(machines, rounds=1)) == 1.0
    )


def test_a_planned_stop_of_a_peer_with_tunnels_cuts_nothing(machines) -> None:
    # A stopping instance must pass on what it carries for its peers.
    machines.cut(0, REFUSED, LIVE)
    machines.cut(1, REFUSED, LIVE)
    try:
        _play(machines, rounds=int(CONTACT_SECONDS / PAUSE_SECONDS))
        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            begun = [
                pool.submit(
                    machines.generate, "", number=n, events=LONG_STREAM_EVENTS
                )
                for n in (0, 1)
                for _ in range(3)
            ]
            time.sleep(PAUSE_SECONDS)
            machines.signal(2, signal.SIGTERM)
            replies = [each.result() for each in begun]
        assert {reply.status for reply in replies} == {200}
        counts = {reply.body.count(b"id: ") for reply in replies}
        assert counts == {LONG_STREAM_EVENTS}
        assert machines.wait(2, STOP_SECONDS) == 0
    finally:
        for number in (0, 1):
            machines.heal(number)
        machines.start_gateway(2)
        machines_module.eventually(lambda: machines.is_ready(2))


def test_a_silent_second_of_an_endpoint_is_no_fault(machines) -> None:
    # Nothing may be cut, sent twice or called crashed for it.
    machines_module.eventually(
        lambda: _share(_play(machines, rounds=1)) == 1.0
    )
    begun_at = time.time()
    before = len(_ran_twice(machines))
    machines.faults("desk-0", delay_seconds=SILENT_SECONDS)
    tries = _play(machines, rounds=2 * ROUNDS)
    machines.faults("desk-0")
    assert _share(tries) == 1.0
    assert len(_ran_twice(machines)) == before
    changes = [
        line["event"]
        for number in range(GATEWAYS)
        for line in machines.lines(number)
        if line["time_seconds"] > begun_at
        and line["event"] in ("path_lost", "endpoint_unreached")
    ]
    assert not changes
