"""Crowds that hold much and end nothing, against real processes."""

from __future__ import annotations

import os
import resource
import socket
import subprocess
import sys
import time

import pytest

from tests.fakes import machines as machines_module
from tests.fakes import processes
from tests.fakes import unruly_callers as unruly

MEMORY_MB = 96
MAX_FDS = 400
BODY_BYTES = 1_048_576
HEAD_BYTES = 12_000
PATIENCE_SECONDS = 10.0
# Longer than an ordinary caller waits.
HEADER_TIMEOUT_MS = 15_000
# How long a crowd stays, for the process to read what it sent.
STAY_SECONDS = 3.0
POLL_SECONDS = 0.1
SHORT = b"x" * (BODY_BYTES - 1)
ANNOUNCED = unruly.head("/reads/x", unruly.length(BODY_BYTES))
CHUNKED = unruly.head("/reads/x", unruly.CHUNKED)
HALF = unruly.head("/reads/x", unruly.length(BODY_BYTES // 2))
TINY = unruly.chunks(262_144, 1)
FILLER = "X-Filler: " + "f" * HEAD_BYTES

CROWDS = {
    "announced": (120, unruly.say(ANNOUNCED, SHORT)),
    "no-key": (
        120,
        unruly.say(
            unruly.head("/reads/x", unruly.length(BODY_BYTES), key="none"),
            SHORT,
        ),
    ),
    "in-pieces": (120, unruly.say_in_pieces(ANNOUNCED, BODY_BYTES - 1)),
    "chunked": (120, unruly.say(CHUNKED, unruly.chunks(BODY_BYTES - 1))),
    "tiny-chunks": (60, unruly.say(CHUNKED, TINY)),
    "tiny-chunks-extended": (
        60,
        unruly.say(CHUNKED, b"1;a=b\r\nx\r\n" * 200_000),
    ),
    "trickled": (
        120,
        unruly.say_slowly(ANNOUNCED + SHORT[:-100], [b"x"] * 20, 0.1),
    ),
    "over-announced": (
        60,
        unruly.say(
            unruly.head("/reads/x", unruly.length(10 * BODY_BYTES)),
            b"x" * (10 * BODY_BYTES),
        ),
    ),
    "over-just-sent": (
        120,
        unruly.say_without_end(
            CHUNKED, unruly.chunks(65_536), 10 * BODY_BYTES
        ),
    ),
    "reset": (240, unruly.say_and_reset(ANNOUNCED + SHORT, 8)),
    "whole-to-a-service": (100, unruly.say(ANNOUNCED, SHORT + b"x")),
    "whole-to-engines": (
        100,
        unruly.say(
            unruly.head(
                "/notes/x",
                unruly.length(BODY_BYTES),
                "Boragefold-Model: base",
                "Boragefold-Token-Usage: 10,3",
            ),
            SHORT + b"x",
        ),
    ),
    "unread": (
        160,
        unruly.say(*[HALF, b"x" * (BODY_BYTES // 2)] * 8),
    ),
    "heads": (
        800,
        unruly.say(unruly.head("/reads/x", FILLER)[:-4]),
    ),
    "connections": (800, unruly.say()),
}
SLOW = ("whole-to-a-service", "whole-to-engines", "unread")


class LimitedMachines(machines_module.Machines):
    def __init__(self, folder):
        super().__init__(folder, gateways=1)

    def start(self):
        super().start()
        limits = {
            **machines_module.deployment()["limits"],
            "max_body_bytes": BODY_BYTES,
            "header_timeout_ms": HEADER_TIMEOUT_MS,
        }
        self.put("op/config", machines_module.deployment(2, limits=limits))
        return self

    def _settings(self, number):
        limits = {"memory_mb": MEMORY_MB, "max_fds": MAX_FDS}
        return {**super()._settings(number), "limits": limits}

    def restart_gateway(self):
        process = self.processes.get("gateway-0")
        if process is not None:
            process.kill()
            process.wait()
        self.start_gateway(0)
        pid = self.processes["gateway-0"].pid
        resource.prlimit(pid, resource.RLIMIT_NOFILE, (MAX_FDS, MAX_FDS))
        machines_module.eventually(lambda: self.is_ready(0))
        machines_module.eventually(lambda: self.serves_ordinary_caller())
        return pid

    def serves_ordinary_caller(self, **options):
        options = {"path": "/reads/ordinary", "body": b"ordinary", **options}
        return self.ask(seconds=PATIENCE_SECONDS, **options).status == 200


@pytest.fixture(scope="module")
def limited(tmp_path_factory):
    started = LimitedMachines(tmp_path_factory.mktemp("unruly"))
    try:
        yield started.start()
    finally:
        started.stop()


@pytest.fixture
def front(limited):
    pid = limited.restart_gateway()
    yield limited.gateways[0]["front"], pid
    for name in limited.endpoints:
        limited.faults(name)


def watch_bounds(pid):
    end = time.monotonic() + STAY_SECONDS
    while time.monotonic() < end:
        check_bounds(pid)
        time.sleep(POLL_SECONDS)


def check_bounds(pid):
    assert os.path.exists(f"/proc/{pid}/fd")
    assert unruly.open_descriptors(pid) <= MAX_FDS
    assert unruly.peak_memory_mb(pid) <= MEMORY_MB


@pytest.mark.parametrize("form", CROWDS)
def test_a_crowd_takes_neither_memory_nor_service(limited, front, form):
    # Such crowds ended a process, which ran out of memory, or hung it.
    address, pid = front
    count, script = CROWDS[form]
    if form in SLOW:
        for name in limited.endpoints:
            limited.faults(name, delay_seconds=6)
    with unruly.Crowd(address) as crowd:
        crowd.play(count, script)
        watch_bounds(pid)
        if form not in SLOW:
            assert limited.serves_ordinary_caller()
    for name in limited.endpoints:
        limited.faults(name)
    machines_module.eventually(limited.serves_ordinary_caller)
    check_bounds(pid)
    assert limited.processes["gateway-0"].poll() is None


FULL = b"y" * BODY_BYTES
FULL_TINY = unruly.chunks(BODY_BYTES, 1) + b"0\r\n\r\n"
LEGAL = {
    "announced": ANNOUNCED + FULL,
    "chunked": CHUNKED + unruly.chunks(BODY_BYTES) + b"0\r\n\r\n",
    "chunks-of-a-byte": CHUNKED + FULL_TINY,
    "extensions-and-trailers": CHUNKED
    + b"3;name=value\r\nabc\r\n0\r\nX-Sum: 1\r\n\r\n",
    "expecting": unruly.head(
        "/reads/x", unruly.length(BODY_BYTES), "Expect: 100-continue"
    )
    + FULL,
    "two-in-a-row": (ANNOUNCED + FULL) * 2,
    "long-head": unruly.head("/reads/x", unruly.length(0), FILLER),
    "http-1-0": ANNOUNCED.replace(b"HTTP/1.1", b"HTTP/1.0") + FULL,
}


@pytest.mark.parametrize("form", LEGAL)
def test_a_request_inside_the_limits_is_served_in_calm(front, form):
    # A bound against crowds must refuse nobody who comes alone.
    host, _, port = front[0].rpartition(":")
    with socket.create_connection((host, int(port)), 60.0) as sock:
        sock.sendall(LEGAL[form])
        answer = b""
        while answer.count(b"HTTP/1.1 200") < LEGAL[form].count(b" HTTP/1."):
            part = sock.recv(65_536)
            assert part, answer[-400:]
            answer += part
    assert b" 503 " not in answer


class LimitedFleet(processes.Fleet):
    def run(self, module, *options):
        environment = {
            **os.environ,
            "BORAGEFOLD_SERVE_MEMORY_MB": str(MEMORY_MB),
            "BORAGEFOLD_SERVE_MAX_FDS": str(MAX_FDS),
            "BORAGEFOLD_SERVE_HEADER_TIMEOUT_SECONDS": str(PATIENCE_SECONDS),
        }
        process = subprocess.Popen(
            [sys.executable, "-m", module, *options], env=environment
        )
        self.processes.append(process)
        return process


@pytest.fixture
def serving(tmp_path_factory):
    fleet = LimitedFleet(
        tmp_path_factory.mktemp("serving"), data_centres=("dc-a",), engines=1
    )
    try:
        yield fleet.start()
    finally:
        for process in fleet.processes:
            process.kill()
            process.wait()


SERVED_CROWDS = {
    "announced": (120, unruly.say(ANNOUNCED, SHORT)),
    "tiny-chunks": (60, unruly.say(CHUNKED, TINY)),
    "over-just-sent": (
        120,
        unruly.say_without_end(
            CHUNKED, unruly.chunks(65_536), 10 * BODY_BYTES
        ),
    ),
    "connections": (800, unruly.say()),
}


@pytest.mark.parametrize("form", SERVED_CROWDS)
def test_a_crowd_takes_nothing_from_an_entry_instance(serving, form):
    # The product's own interface never ended slow callers.
    entry = serving.entries[0]
    pid = entry.process.pid
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (MAX_FDS, MAX_FDS))
    count, script = SERVED_CROWDS[form]
    with unruly.Crowd(entry.address) as crowd:
        crowd.play(count, script)
        watch_bounds(pid)
        ordinary = serving.chat(
            entry, "base-0", timeout_seconds=PATIENCE_SECONDS
        )
        assert ordinary.status == 200
    assert entry.process.poll() is None


@pytest.mark.parametrize(
    "script",
    [unruly.say(), unruly.say(ANNOUNCED, SHORT)],
    ids=["idle", "body"],
)
def test_a_crowd_at_the_operators_port_takes_nothing(serving, script):
    # The port had no bound: it took all descriptors.
    entry = serving.entries[0]
    pid = entry.process.pid
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (MAX_FDS, MAX_FDS))
    with unruly.Crowd(entry.operators) as crowd:
        crowd.play(800, script)
        watch_bounds(pid)
        ordinary = serving.chat(
            entry, "base-0", timeout_seconds=PATIENCE_SECONDS
        )
        assert ordinary.status == 200
        assert entry.status()["ready"]
    assert entry.process.poll() is None


def test_an_entry_instance_ends_a_head_that_stops(serving):
    # Nothing ended it, however long it stayed.
    host, _, port = serving.entries[0].address.rpartition(":")
    patience = machines_module.PATIENCE_SECONDS
    with socket.create_connection((host, int(port)), patience) as sock:
        sock.sendall(ANNOUNCED[:40])
        assert sock.recv(65_536).startswith(b"HTTP/1.1 408")


class LargeAnswersFleet(LimitedFleet):
    def run(self, module, *options):
        if module.endswith(".service"):
            options = (*options, "--answer-bytes", str(2 * BODY_BYTES))
        return super().run(module, *options)


@pytest.fixture
def serving_large_answers(tmp_path_factory):
    fleet = LargeAnswersFleet(
        tmp_path_factory.mktemp("large"), data_centres=("dc-a",), engines=1
    )
    try:
        yield fleet.start()
    finally:
        fleet.stop()


def test_answers_that_nobody_reads_take_no_memory(serving_large_answers):
    # Each answer that is collected was bounded, their sum was not.
    fleet = serving_large_answers
    entry = fleet.entries[0]
    asking = unruly.head(
        "/services/rights/catalogue",
        f"Authorization: Bearer {fleet.key}",
        unruly.length(0),
    )
    with unruly.Crowd(entry.address) as crowd:
        crowd.play(120, unruly.say(asking))
        watch_bounds(entry.process.pid)
        ordinary = fleet.chat(
            entry, "base-0", timeout_seconds=PATIENCE_SECONDS
        )
        assert ordinary.status == 200
    answer = processes.call(
        entry.address, "/services/rights/catalogue", key=fleet.key, body={}
    )
    assert answer.status == 200 and len(answer.body) > 2 * BODY_BYTES
