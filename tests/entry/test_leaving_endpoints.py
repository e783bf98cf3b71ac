"""Nothing reaches an endpoint that says that it leaves after it was chosen."""

from __future__ import annotations

import pytest

from tests.entry import test_evacuation
from tests.fakes import crash_walk


@pytest.fixture
def case(monkeypatch):
    monkeypatch.setattr(crash_walk, "SHORT_RUN_SECONDS", (1.0, 1.0))
    monkeypatch.setattr(crash_walk, "LONG_RUN_SECONDS", (1.0, 1.0))
    return test_evacuation.Case()


def leave(case, name):
    record = case.fleet.endpoint(name)
    case.fleet.set_endpoint(record._replace(leaving=True))


def drop(case, name):
    case.fleet.drop_endpoint(name)


@pytest.mark.parametrize("withdraw", [leave, drop])
@pytest.mark.parametrize("service", ["desk", "llm"])
def test_a_connection_to_an_endpoint_that_leaves_isnt_used(
    case, service, withdraw
):
    case.add(service, 3)
    forwarding = case.forward(service=service)
    if service == "llm":
        (asked,) = case.link.asked()
        case.grant(asked)
    (chosen,) = forwarding._sent_to
    withdraw(case, chosen)
    case.walk.run(test_evacuation.SEND_SECONDS)
    if service == "llm":
        case.grant(case.link.asked()[-1])
        case.walk.run(test_evacuation.SEND_SECONDS)
    (used,) = case.ran()
    assert used != chosen
    choice = case.instance.context.choice
    assert choice.health(chosen, now_seconds=case.walk.now()) == 1.0
    case.walk.run(2.0)
    assert [status for status, _ in case.answers] == [200]


def test_the_last_endpoint_that_leaves_is_told_to_the_caller(case):
    case.add("desk", 1)
    forwarding = case.forward()
    (chosen,) = forwarding._sent_to
    leave(case, chosen)
    case.walk.run(test_evacuation.SEND_SECONDS)
    assert [status for status, _ in case.answers] == [503]
    assert not case.ran()
