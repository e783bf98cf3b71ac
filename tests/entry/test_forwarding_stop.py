"""Requests that still wait when the time of a planned stop is over."""

from __future__ import annotations

import pytest

from tests.entry import test_evacuation
from tests.fakes import crash_walk


@pytest.fixture
def case(monkeypatch):
    monkeypatch.setattr(crash_walk, "SHORT_RUN_SECONDS", (1.0, 1.0))
    monkeypatch.setattr(crash_walk, "LONG_RUN_SECONDS", (1.0, 1.0))
    return test_evacuation.Case()


def stop(case, forwarding):
    exchange = forwarding._answer._exchange
    exchange.give_up()
    exchange.give_up()
    return case.answers


def test_one_that_was_not_sent_is_refused_as_not_run(case):
    case.add("llm", 2)
    forwarding = case.forward(service="llm")
    ((status, body),) = stop(case, forwarding)
    assert status == 503
    assert '"reason":"stopping"' in body
    assert not case.ran()


def test_one_that_runs_is_told_that_it_may_have_run(case):
    case.add("desk", 1)
    forwarding = case.forward()
    case.walk.run(test_evacuation.SEND_SECONDS)
    assert case.ran() == ["desk-0"]
    ((status, _),) = stop(case, forwarding)
    assert status == 504
    choice = case.instance.context.choice
    assert choice.health("desk-0", now_seconds=case.walk.now()) == 1.0
