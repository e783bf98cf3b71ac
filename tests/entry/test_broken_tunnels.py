"""Answers that end with their connection, through the tunnel of a peer."""

from __future__ import annotations

import concurrent.futures
import itertools
import threading

import pytest

from boragefold.standins import endpoint_connection
from tests.fakes import cut_machines
from tests.fakes import endpoints
from tests.fakes import machines as machines_module
from tests.fakes import raw_caller

GATEWAYS = 3
CUT_OFF = 0
CLOSE = endpoint_connection.Framing.CLOSE.value
EXIT = endpoint_connection.Ending.EXIT.value
GOOD_ORDER = endpoint_connection.Ending.CLOSE.value
LONG_EVENTS = 200
BEGIN_SECONDS = 10.0
CLOSED_SECONDS = 2.0


@pytest.fixture(scope="module")
def machines(tmp_path_factory):
    machines = cut_machines.CutMachines(
        tmp_path_factory.mktemp("machines"), gateways=GATEWAYS, direct=True
    )
    try:
        yield machines.start()
    finally:
        machines.stop()


@pytest.fixture
def cut_off(machines):
    endpoints.replace_ended(machines)
    machines.cut(
        CUT_OFF,
        cut_machines.NewConnections.REFUSED,
        cut_machines.OpenConnections.LIVE,
    )
    for name in machines.endpoints:
        machines.faults(name, framing=CLOSE)
    for route in ("notes", "orders"):
        machines_module.eventually(
            lambda route=route: _ask(machines, route).status == 200
        )
    yield machines


def _ask(machines, route, **options) -> raw_caller.Seen:
    return raw_caller.ask(machines, f"/{route}/x", number=CUT_OFF, **options)


def _set(machines, **faults) -> None:
    for name in machines.endpoints:
        machines.faults(name, framing=CLOSE, **faults)


def _peers_of(machines, request_id) -> list[str]:
    return [
        line["peer"]
        for line in machines.lines(CUT_OFF)
        if line["event"] == "request_tunnelled"
        and line["request_id"] == request_id
    ]


def test_sound_answers_through_a_peer_are_whole(cut_off) -> None:
    for route, version in itertools.product(
        ("notes", "drafts", "orders", "reads"), ("1.0", "1.1")
    ):
        seen = _ask(cut_off, route, version=version)
        assert (seen.status, seen.complete) == (200, True), seen
        assert _peers_of(cut_off, seen.request_id)


@pytest.mark.parametrize(
    ("ending", "cut_between"),
    [(GOOD_ORDER, False), (EXIT, False), (EXIT, True)],
)
def test_broken_answers_through_a_peer_arent_complete(
    cut_off, ending, cut_between
) -> None:
    # Only the peer can see why the endpoint closed the connection.
    body = f"{ending} {cut_between}"
    _set(
        cut_off,
        ending=ending,
        cut_after=2,
        cut_between=cut_between,
        cut_body=body,
    )
    seen = _ask(cut_off, "notes", body=body.encode())
    assert _peers_of(cut_off, seen.request_id)
    assert (seen.status, seen.complete) == (200, False)


def test_an_answer_without_end_through_a_peer_is_given_up(cut_off) -> None:
    # Whatever a peer passes on is limited where it is parsed.
    cut_off.faults("desk-0", endless="header_value")
    sent = machines_module.eventually(
        lambda: (
            (seen := _ask(cut_off, "reads")).status == 200
            and _answers_without_end(cut_off)
            and seen
        )
    )
    assert _peers_of(cut_off, sent.request_id)
    machines_module.eventually(
        lambda: (
            not any(each["open"] for each in _answers_without_end(cut_off))
        ),
        seconds=CLOSED_SECONDS,
    )


def _answers_without_end(machines) -> list[dict[str, object]]:
    return machines.seen("desk-0")["endless"]


def test_an_answer_whose_peer_is_killed_isnt_complete(cut_off) -> None:
    # The kernel closes the tunnels of a killed peer in good order.
    request_id = "00112233445566aa"
    begun = threading.Event()
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        running = pool.submit(
            _ask,
            cut_off,
            "notes",
            events=LONG_EVENTS,
            request_id=request_id,
            begun=begun,
        )
        (peer,) = machines_module.eventually(
            lambda: _peers_of(cut_off, request_id)
        )
        assert begun.wait(BEGIN_SECONDS)
        (number,) = [
            number
            for number, each in enumerate(cut_off.gateways)
            if each["control"] == peer
        ]
        cut_off.processes[f"gateway-{number}"].kill()
        seen = running.result()
    assert (seen.status, seen.complete) == (200, False)
