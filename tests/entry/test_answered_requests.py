"""What requests leave behind in a process once they are answered."""

from __future__ import annotations

import pytest

from tests.fakes import machines as machines_module

BODY = b"x" * 200_000
REQUESTS = 20
METRICS_PORT = 9464


@pytest.fixture(scope="module")
def machines(tmp_path_factory):
    folder = tmp_path_factory.mktemp("answered")
    started = machines_module.Machines(folder, gateways=1)
    try:
        yield started.start()
    finally:
        started.stop()


def held_bytes(machines):
    address = f"{machines.network}.2:{METRICS_PORT}"
    answer = machines_module.call(address, "GET", "/status")
    return answer.json()["callers"]["large_bytes"]


@pytest.mark.parametrize("path", ["/reads/x", "/orders/x", "/notes/x"])
def test_an_answered_request_holds_its_body_no_longer(machines, path):
    # It stayed until the next collection of garbage.
    for _ in range(REQUESTS):
        answer = machines.generate("", path=path, body=BODY)
        assert answer.status == 200
    assert held_bytes(machines) == 0


def test_a_request_that_was_repeated_holds_its_body_no_longer(machines):
    # Each further try referred to the request as well.
    for name in ("desk-0", "desk-1"):
        machines.faults(name, share=0.5, lose_answers=True)
    answers = [
        machines.generate("", path="/reads/x", body=BODY)
        for _ in range(REQUESTS)
    ]
    for name in ("desk-0", "desk-1"):
        machines.faults(name)
    assert any(answer.status == 200 for answer in answers)
    assert held_bytes(machines) == 0
