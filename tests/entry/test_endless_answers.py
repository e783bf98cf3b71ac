"""Answers that go on until their connection is closed, on loopback."""

from __future__ import annotations

import concurrent.futures
import itertools
import json
import os
import pathlib
import time

import pytest

from boragefold.standins import endless_answers
from tests.fakes import machines as machines_module
from tests.fakes import raw_caller

Form = endless_answers.Form
# Nothing of these reaches a caller.
UNUSED_FORMS = (
    Form.HEADER_NAME,
    Form.HEADER_VALUE,
    Form.INTERIM,
    Form.OTHER_ANSWER,
    Form.REFUSAL,
)
CALLERS = 8
ROUNDS = 4
# Repeats are a fifth of what the fleet is sent, and all callers may need one.
EARNING_ROUNDS = 8
# Well below the callers' deadline of four seconds.
SERVED_SECONDS = 2.0
CLOSED_SECONDS = 1.0
# A small instance has 160 MB for everything.
MAX_GROWN_KILOBYTES = 32_768
DEADLINE_SECONDS = 1.5

pytestmark = pytest.mark.usefixtures("clear_faults")


def _seen(machines, name) -> list[dict[str, object]]:
    return machines.seen(name)["endless"]


def _are_closed(machines, *names) -> None:
    machines_module.eventually(
        lambda: (
            not any(
                each["open"]
                for name in names
                for each in _seen(machines, name)
            )
        ),
        seconds=CLOSED_SECONDS,
    )


def _kilobytes(machines, number) -> int:
    process = machines.processes[f"gateway-{number}"]
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    fields = dict(line.split(":", 1) for line in status.splitlines())
    return int(fields["VmHWM"].split()[0])


def _ask_many(machines, path, rounds=ROUNDS) -> list[raw_caller.Seen]:
    with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
        return list(
            pool.map(
                lambda _: raw_caller.ask(machines, path),
                range(CALLERS * rounds),
            )
        )


def _use(machines, name) -> None:
    # What failed before gets little until it has served again.
    before = len(machines.seen(name)["runs"])

    def is_used() -> bool:
        _ask_many(machines, "/reads/x", rounds=EARNING_ROUNDS)
        return len(machines.seen(name)["runs"]) > before + CALLERS

    machines_module.eventually(is_used)


def _reason(seen) -> str:
    return json.loads(seen.body)["error"]["reason"]


@pytest.mark.parametrize("form", UNUSED_FORMS)
def test_callers_are_served_elsewhere_meanwhile(machines, form) -> None:
    # One endpoint's bytes took the loop, and the memory, of all callers.
    before = len(_seen(machines, "desk-0"))
    _use(machines, "desk-0")
    kilobytes = _kilobytes(machines, 0)
    machines.faults("desk-0", endless=form.value)
    answers = _ask_many(machines, "/reads/x")
    assert {(each.status, each.complete) for each in answers} == {(200, True)}
    assert max(each.seconds for each in answers) < SERVED_SECONDS
    sent = _seen(machines, "desk-0")[before:]
    assert sent
    _are_closed(machines, "desk-0")
    assert max(each["seconds"] for each in sent) < CLOSED_SECONDS
    assert _kilobytes(machines, 0) - kilobytes < MAX_GROWN_KILOBYTES


@pytest.mark.parametrize("path", ["/orders/x", "/reads/x"])
def test_a_request_that_cant_be_repeated_learns_the_reason(
    machines, path
) -> None:
    # It may have run, and what came back was no answer.
    for name in ("desk-0", "desk-1"):
        machines.faults(name, endless=Form.HEADER_VALUE.value)
    seen = raw_caller.ask(machines, path)
    assert (seen.status, seen.complete) == (502, True)
    assert _reason(seen) == "unbounded_answer"
    assert seen.seconds < SERVED_SECONDS
    _are_closed(machines, "desk-0", "desk-1")


def test_framing_without_end_breaks_an_answer_off(machines) -> None:
    # What was begun can't be repeated, and must not look whole.
    for name in ("desk-0", "desk-1"):
        machines.faults(name, endless=Form.CHUNK_EXTENSION.value)
    seen = raw_caller.ask(machines, "/reads/x")
    assert not seen.complete
    assert seen.seconds < SERVED_SECONDS
    _are_closed(machines, "desk-0", "desk-1")


@pytest.mark.parametrize("form", [Form.HEADER_VALUE, Form.INTERIM, Form.BODY])
def test_engines_are_owned_and_served_beside_endless_reports(
    machines, form
) -> None:
    # A report without end must cost no more than a report that failed.
    machines.faults("engine-0", endless_calls=form.value)
    before = len(_seen(machines, "engine-0"))
    numbers = itertools.count()

    def is_served(adapter) -> bool:
        seen = raw_caller.ask(machines, "/notes/x", model=f"base/{adapter}")
        return (seen.status, seen.complete) == (200, True)

    def are_served_beside() -> bool:
        # An adapter that nobody has takes orders, and reports.
        adapter = f"{form.value}-{next(numbers)}"
        machines_module.eventually(lambda: is_served(adapter))
        return len(_seen(machines, "engine-0")) > before + 2

    machines_module.eventually(are_served_beside)
    ended = [each for each in _seen(machines, "engine-0") if not each["open"]]
    assert max(each["seconds"] for each in ended) < CLOSED_SECONDS
    machines.faults("engine-0")
    _are_closed(machines, "engine-0")


def _read_for(machines, path, seconds) -> tuple[float, int]:
    began = time.monotonic()
    got = 0
    deadline = {"Boragefold-Deadline-Ms": str(int(DEADLINE_SECONDS * 1000))}
    sent = raw_caller.compose(path, os.urandom(8).hex(), headers=deadline)
    with raw_caller.connect(machines, 0) as sock:
        sock.sendall(sent)
        while time.monotonic() - began < seconds:
            try:
                data = sock.recv(65536)
            except ConnectionResetError:
                break
            got += len(data)
            if not data:
                break
    return time.monotonic() - began, got


def _send_bodies(machines) -> None:
    for name in ("desk-0", "desk-1"):
        machines.faults(name, endless=Form.BODY.value)


@pytest.mark.parametrize("path", ["/orders/x", "/reads/x"])
def test_the_deadline_ends_a_body_without_end(machines, path) -> None:
    # A body has no limit of its own, and this one is never silent.
    _send_bodies(machines)
    seconds, got = _read_for(machines, path, seconds=DEADLINE_SECONDS * 3)
    assert got
    assert seconds < DEADLINE_SECONDS + CLOSED_SECONDS
    _are_closed(machines, "desk-0", "desk-1")


def test_a_caller_that_leaves_ends_a_body_without_end(machines) -> None:
    # Nobody reads the rest of it.
    _send_bodies(machines)
    _read_for(machines, "/reads/x", seconds=0.3)
    _are_closed(machines, "desk-0", "desk-1")


def test_a_request_that_runs_to_its_end_has_an_end(machines) -> None:
    # Without its caller, a request that runs once had no deadline any more.
    _send_bodies(machines)
    _read_for(machines, "/orders/x", seconds=0.3)
    time.sleep(DEADLINE_SECONDS)
    _are_closed(machines, "desk-0", "desk-1")
