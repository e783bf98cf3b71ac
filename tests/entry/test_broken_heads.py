"""Answers whose heads are broken off, on loopback and through a peer."""

from __future__ import annotations

import itertools

import pytest

from boragefold.standins import endpoint_connection
from tests.fakes import cut_machines
from tests.fakes import endpoints
from tests.fakes import machines as machines_module
from tests.fakes import raw_caller

GATEWAYS = 3
CUT_OFF = 0
DIRECT = 1
LENGTH = endpoint_connection.Framing.LENGTH.value
CHUNKS = endpoint_connection.Framing.CHUNKS.value
CLOSE = endpoint_connection.Framing.CLOSE.value
GOOD_ORDER = endpoint_connection.Ending.CLOSE.value
RESET = endpoint_connection.Ending.RESET.value
EXIT = endpoint_connection.Ending.EXIT.value
# Within the first line, a name, a value, and the line ends at the end.
CUTS = (0, 5, 12, 16, 30, 60, -40, -5, -4, -3, -2, -1)
WHOLE_HEAD = 10**6
ROUTES = itertools.cycle(["orders", "notes", "reads", "drafts"])
VERSIONS = itertools.cycle(["1.1", "1.0", "1.0"])


@pytest.fixture(scope="module")
def machines(tmp_path_factory):
    machines = cut_machines.CutMachines(
        tmp_path_factory.mktemp("machines"), gateways=GATEWAYS, direct=True
    )
    try:
        machines.start()
        machines.cut(
            CUT_OFF,
            cut_machines.NewConnections.REFUSED,
            cut_machines.OpenConnections.LIVE,
        )
        yield machines
    finally:
        machines.stop()


@pytest.fixture(params=[DIRECT, CUT_OFF], ids=["direct", "through-a-peer"])
def ask(machines, request):
    endpoints.replace_ended(machines)

    def ask_one(route, **options):
        path = f"/{route}/x"
        return raw_caller.ask(machines, path, number=request.param, **options)

    for name in machines.endpoints:
        machines.faults(name)
    for route in ("notes", "orders"):
        # Leaves a connection that is kept, too.
        machines_module.eventually(
            lambda route=route: ask_one(route).status == 200
        )
    return ask_one


def break_heads(machines, **faults):
    for name in machines.endpoints:
        machines.faults(name, **faults)


def reached(machines, seen):
    wanted = {each.request_id for each in seen}
    return wanted & {
        run["headers"]["boragefold-attempt-id"] for run in machines.runs("")
    }


@pytest.mark.parametrize("ending", [GOOD_ORDER, RESET])
def test_a_head_that_is_broken_off_begins_no_answer(
    machines, ask, ending
) -> None:
    seen = []
    for cut, framing, interim in itertools.product(
        CUTS, (LENGTH, CHUNKS, CLOSE), (False, True)
    ):
        head = (cut, interim)
        break_heads(machines, cut_head=head, framing=framing, ending=ending)
        seen.append(ask(next(ROUTES), version=next(VERSIONS)))
    assert [each for each in seen if each.status in (0, 200)] == []
    assert len(reached(machines, seen)) > len(seen) / 2


def test_a_head_is_broken_off_by_the_end_of_its_process(machines, ask) -> None:
    seen = []
    for cut in (30, -2):
        head = (cut, False)
        break_heads(machines, cut_head=head, ending=EXIT)
        seen.append(ask("orders"))
        endpoints.replace_ended(machines)
    assert [each for each in seen if each.status in (0, 200)] == []


def test_a_success_that_stops_behind_its_head_isnt_whole(
    machines, ask
) -> None:
    # Callers got a 200 with an empty body, framed as whole.
    seen = []
    for route, version in itertools.product(
        ("orders", "notes", "reads", "drafts"), ("1.0", "1.1")
    ):
        head = (WHOLE_HEAD, False)
        break_heads(machines, cut_head=head, framing=CLOSE, ending=GOOD_ORDER)
        seen.append(ask(route, version=version))
    assert [
        each for each in seen if each.complete and each.status == 200
    ] == []
    assert reached(machines, seen)
