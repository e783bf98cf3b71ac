"""Gateways that are partitioned from all endpoints, on loopback."""

from __future__ import annotations

import collections
import concurrent.futures
import contextlib
import http.client
import os
import threading
import time
from typing import NamedTuple

import pytest

from tests.fakes import cut_machines

GATEWAYS = 3
# What a cut changed must be known by then.
CONTACT_SECONDS = 3.0
ROUNDS = 6
PAUSE_SECONDS = 0.15
LONG_STREAM_EVENTS = 300
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
