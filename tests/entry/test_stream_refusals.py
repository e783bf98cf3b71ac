"""Streams that can't be taken up, on loopback."""

from __future__ import annotations

import contextlib
import http.client
import time

import pytest

from boragefold.coordination.fleet import stream_origins
from tests.fakes import machines as machines_module
from tests.fakes import versioned_engines

# Far less than a route's time limit.
AT_ONCE_SECONDS = 1.5


@pytest.fixture(scope="module")
def machines(tmp_path_factory):
    folder = tmp_path_factory.mktemp("refusals")
    fleet = versioned_engines.VersionedMachines(folder, gateways=2, engines=2)
    try:
        fleet.start()
        # Until then, an instance doesn't take a keeper's ignorance for proof.
        time.sleep(stream_origins.JOIN_SECONDS)
        yield fleet
    finally:
        fleet.stop()


@pytest.fixture
def broken(machines):
    """Begin a stream that breaks off, and tell which engine began it."""
    request_id = f"begun-{time.monotonic_ns()}"
    for name in machines.versions:
        machines.faults(name, cut_after=3, ending="reset")
    with contextlib.suppress(OSError, http.client.HTTPException):
        ask(machines, request_id)
    for name in machines.versions:
        machines.faults(name)
    bound = machines_module.eventually(
        lambda: next(
            line
            for line in machines.lines(0)
            if line["event"] == "stream_bound"
            and line["request_id"] == request_id
        )
    )
    return request_id, bound["endpoint"]


def ask(machines, request_id, *, number=0, **headers):
    return machines.generate(
        "",
        path="/drafts/x",
        events=versioned_engines.EVENTS,
        number=number,
        headers={"Boragefold-Attempt-Id": request_id, **headers},
    )


def take_up(machines, resumes, **options):
    named = {"Resumes": resumes} if resumes else {}
    return ask(
        machines,
        f"taken-{time.monotonic_ns()}",
        **{"Last-Event-Id": "3", **named, **options},
    )


def check_refusal(reply, reason, *, retries):
    assert reply.status == 503
    error = reply.json()["error"]
    assert (error["outcome"], error["reason"]) == ("not_run", reason)
    assert ("retry-after" in reply.headers) is retries


def test_a_stream_is_taken_up_at_another_instance(machines, broken) -> None:
    request_id, engine = broken
    reply = take_up(machines, request_id, number=1)
    assert reply.status == 200
    first = reply.body.partition(b"\n\n")[0].decode()
    assert first == f"id: 4\ndata: t4 {machines.versions[engine]}"


@pytest.mark.parametrize("resumes", ["never-begun", "x" * 8_000])
def test_a_stream_that_never_began_is_refused(machines, resumes) -> None:
    reply = take_up(machines, resumes)
    check_refusal(reply, "stream_nobody", retries=False)


def test_a_stream_whose_attempt_isnt_named_is_refused(
    machines, broken
) -> None:
    check_refusal(take_up(machines, ""), "stream_unnamed", retries=False)


def test_a_stream_of_another_route_is_refused(machines, broken) -> None:
    request_id, _ = broken
    reply = machines.generate(
        "",
        path="/notes/x",
        headers={"Last-Event-Id": "3", "Resumes": request_id},
    )
    check_refusal(reply, "stream_nobody", retries=False)


def test_a_stream_of_a_version_that_is_gone_is_refused_at_once(
    machines, broken
) -> None:
    # It waited for an engine for half of its time.
    request_id, engine = broken
    machines.remove(f"servers/{engine}")
    machines_module.eventually(
        lambda: any(
            line["event"] == "fleet_changed" and engine in line["gone"]
            for line in machines.lines(1)
        )
    )
    began = time.monotonic()
    reply = take_up(machines, request_id, number=1)
    took_seconds = time.monotonic() - began
    machines.publish(engine)
    check_refusal(reply, "version_gone", retries=True)
    assert took_seconds < AT_ONCE_SECONDS
