"""Answers that end with their connection, whole or broken, on loopback."""

from __future__ import annotations

import concurrent.futures
import itertools
import re
import time

import pytest

from boragefold.standins import endpoint_connection
from tests.fakes import endpoints
from tests.fakes import machines as machines_module
from tests.fakes import raw_caller

LENGTH = endpoint_connection.Framing.LENGTH.value
CHUNKS = endpoint_connection.Framing.CHUNKS.value
CLOSE = endpoint_connection.Framing.CLOSE.value
GOOD_ORDER = endpoint_connection.Ending.CLOSE.value
RESET = endpoint_connection.Ending.RESET.value
EXIT = endpoint_connection.Ending.EXIT.value
FRAMINGS = (LENGTH, CHUNKS, CLOSE)
VERSIONS = ("1.0", "1.1")
SERVICE_ROUTES = ("orders", "reads")
ROUTES = ("notes", "drafts", *SERVICE_ROUTES)
LINE_ENDS = ("\n", "\r\n", "\r")
EVENTS = 4
LONG_EVENTS = 150
LAST_ID = "0123456789abcdef"
BEGIN_SECONDS = 10.0
DEADLY_BODY = b"crashes its engine"
DEADLY_SECONDS = 8.0
DEADLY_PAUSE_SECONDS = 0.4
# Three until it is known, and those on their way meanwhile.
MAX_CRASHES = 5


@pytest.fixture
def fleet(machines):
    endpoints.replace_ended(machines)
    for name in machines.endpoints:
        machines.faults(name)
    yield machines


def _set(machines, **faults) -> None:
    for name in machines.endpoints:
        machines.faults(name, **faults)


def _ask_until_begun(machines, path, **options) -> raw_caller.Seen:
    # Which engines have an owner by now isn't what these tests are about.
    return machines_module.eventually(
        lambda: (
            (seen := raw_caller.ask(machines, path, **options)).status != 503
            and seen
        ),
        seconds=BEGIN_SECONDS,
    )


def _numbers(body: bytes) -> list[int]:
    return [int(each) for each in re.findall(rb"id: (\d+)", body)]


def _is_whole(seen: raw_caller.Seen) -> bool:
    if seen.body.startswith(b"answer to "):
        return seen.body == f"answer to {seen.request_id}".encode()
    texts = [int(each) for each in re.findall(rb"data: t(\d+)", seen.body)]
    expected = list(range(1, EVENTS + 1))
    return _numbers(seen.body) == texts == expected


def _where_it_runs(machines, request_id) -> str | None:
    return next(
        (
            name
            for name in machines.endpoints
            for run in machines.seen(name)["runs"]
            if run["headers"]["boragefold-attempt-id"] == request_id
        ),
        None,
    )


def _lines(machines, event) -> list[dict[str, object]]:
    return [
        line
        for number in range(len(machines.gateways))
        for line in machines.lines(number)
        if line["event"] == event
    ]


def test_sound_answers_are_whole(fleet) -> None:
    # An answer that ends with its connection must not be called broken.
    for framing in FRAMINGS:
        _set(fleet, framing=framing)
        for route, version in itertools.product(ROUTES, VERSIONS):
            seen = _ask_until_begun(fleet, f"/{route}/x", version=version)
            assert (seen.status, seen.complete) == (200, True), seen
            assert _is_whole(seen), seen


def test_a_stream_that_ends_inside_an_event_isnt_complete(fleet) -> None:
    # A stream without a framing that broke off looked complete.
    looked_complete = []
    for framing, ending, line_end in itertools.product(
        FRAMINGS, (GOOD_ORDER, RESET), LINE_ENDS
    ):
        faults = {"framing": framing, "ending": ending, "line_end": line_end}
        _set(fleet, cut_after=2, **faults)
        for version in VERSIONS:
            seen = _ask_until_begun(fleet, "/notes/x", version=version)
            assert seen.status == 200
            if seen.complete:
                looked_complete.append((framing, ending, line_end, version))
    assert not looked_complete


def test_a_body_that_is_reset_isnt_complete(fleet) -> None:
    # To an HTTP/1.0 caller, closing in good order is the end of the body.
    looked_complete = []
    for framing in FRAMINGS:
        _set(fleet, framing=framing, ending=RESET, cut_after=0)
        for route, version in itertools.product(SERVICE_ROUTES, VERSIONS):
            seen = raw_caller.ask(fleet, f"/{route}/x", version=version)
            assert seen.status == 200
            if seen.complete:
                looked_complete.append((framing, route, version))
    assert not looked_complete


def test_a_stream_that_ends_inside_an_event_is_resumed(fleet) -> None:
    # A stream without a framing that broke off wasn't resumed.
    for framing, line_end in itertools.product(FRAMINGS, LINE_ENDS):
        _set(fleet, framing=framing, line_end=line_end, cut_after=2)
        seen = _ask_until_begun(fleet, "/drafts/x")
        assert (seen.status, seen.complete) == (200, True)
        assert _is_whole(seen), (framing, line_end, seen)


def test_answers_of_a_process_that_ends_arent_complete(fleet) -> None:
    # The kernel closes the connections of a crashed process in good order.
    looked_complete = []
    for framing, version, route, cut_between in itertools.product(
        FRAMINGS, VERSIONS, ("notes", "orders"), (False, True)
    ):
        if route == "orders" and cut_between:
            continue
        case = (framing, version, route, cut_between)
        body = str(case)
        _set(
            fleet,
            framing=framing,
            ending=EXIT,
            cut_after=2 if route == "notes" else 0,
            cut_between=cut_between,
            cut_body=body,
        )
        seen = _ask_until_begun(
            fleet, f"/{route}/x", version=version, body=body.encode()
        )
        assert seen.status == 200
        if seen.complete:
            looked_complete.append(case)
        # Its process may end a moment after its answer has.
        machines_module.eventually(lambda: endpoints.replace_ended(fleet))
    assert not looked_complete


def test_an_engine_that_ends_after_its_last_answer_broke_nothing(
    fleet,
) -> None:
    # A planned stop must not turn a whole answer into a broken one.
    _set(fleet, framing=CLOSE, exit_when_done=True)
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        running = pool.submit(
            _ask_until_begun,
            fleet,
            "/notes/x",
            events=LONG_EVENTS,
            request_id=LAST_ID,
        )
        name = machines_module.eventually(
            lambda: _where_it_runs(fleet, LAST_ID)
        )
        fleet.publish(name, state="draining")
        seen = running.result()
    assert (seen.status, seen.complete) == (200, True)
    assert _numbers(seen.body) == list(range(1, LONG_EVENTS + 1))
    machines_module.eventually(lambda: endpoints.has_ended(fleet, name))


def test_a_request_that_crashes_its_engines_in_a_stream_is_refused(
    fleet,
) -> None:
    # Crashes that looked like whole answers made nobody a suspect.
    deadly = {
        "framing": CLOSE,
        "ending": EXIT,
        "cut_after": 2,
        "cut_body": DEADLY_BODY.decode(),
    }
    crashes, ends_at = 0, time.monotonic() + DEADLY_SECONDS
    with concurrent.futures.ThreadPoolExecutor(32) as pool:
        for number in itertools.cycle(range(len(fleet.gateways))):
            if time.monotonic() > ends_at:
                break
            crashes += endpoints.replace_ended(fleet)
            _set(fleet, **deadly)
            pool.submit(
                raw_caller.ask,
                fleet,
                "/notes/x",
                number=number,
                body=DEADLY_BODY,
            )
            time.sleep(DEADLY_PAUSE_SECONDS)
    crashes += sum(
        endpoints.has_ended(fleet, name) for name in fleet.endpoints
    )
    assert 0 < crashes <= MAX_CRASHES


def test_generations_are_served_without_framed_reports_and_orders(
    fleet,
) -> None:
    # Reports and answers to orders may end with their connections, too.
    began_at_seconds = time.time()
    _set(fleet, unframed_calls=True)
    for adapter in ("u1", "u2", "u3"):
        seen = _ask_until_begun(fleet, "/notes/x", model=f"base/{adapter}")
        assert (seen.status, seen.complete) == (200, True)
        assert _is_whole(seen)
    # Engines that crashed in other tests may have got orders, too.
    outcomes = {
        line["outcome"]
        for line in _lines(fleet, "engine_order")
        if line["time_seconds"] > began_at_seconds
        and line["engine"] in fleet.endpoints
    }
    assert outcomes and outcomes <= {"accepted", "done"}
