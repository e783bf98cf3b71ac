from __future__ import annotations

import engines
import pytest

from boragefold.entry import engine_dialect as dialects
from boragefold.policy import engine_decisions
from boragefold.state import deployment
from tests.platform import test_dialect

RECORD = test_dialect.RECORD


@pytest.fixture
def translator():
    return engines.PlatformEngines(instance_name="front-1")


def test_a_report_is_parsed(translator) -> None:
    report = translator.read_report(
        200,
        b'{"models":[{"name":"base","version":1,"adapters":["a1@2","a2"]}],'
        b'"busy":true,"sequence":7,"born":99,"coming":["base/a3@4"]}',
    )
    assert report.counted == (99, 7)
    assert report.held == {"base": {"a1": 2, "a2": 0}}
    assert report.coming == {deployment.AdapterKey("base", "a3"): 4}
    assert report.busy


@pytest.mark.parametrize(
    ("status", "body"),
    [
        (503, b"{}"),
        (200, b"nonsense"),
        (200, b'{"models": 3}'),
        (200, b"\xff"),
    ],
)
def test_an_invalid_report_is_rejected(translator, status, body) -> None:
    assert translator.read_report(status, body) is None


def test_orders(translator) -> None:
    key = deployment.AdapterKey("base", "a7")
    call = translator.order_call(
        RECORD, engine_decisions.Load(key, 2), expected=5, fence=41
    )
    assert call.fresh
    assert b'"operation":"load"' in call.body
    assert b'"version":2' in call.body
    assert b'"expected":5' in call.body
    assert b'"fence_token":41' in call.body
    assert b'"holder":"front-1"' in call.body
    call = translator.order_call(
        RECORD, engine_decisions.Unload(key), expected=5, fence=41
    )
    assert b'"operation":"unload"' in call.body
    assert b"version" not in call.body


def test_answers_to_orders(translator) -> None:
    key = deployment.AdapterKey("base", "a7")
    load, unload = engine_decisions.Load(key, 0), engine_decisions.Unload(key)
    answer = dialects.OrderOutcome
    assert translator.read_order_answer(load, 202) is answer.ACCEPTED
    assert translator.read_order_answer(load, 200) is answer.ALREADY_LOADED
    assert translator.read_order_answer(unload, 200) is answer.DONE
    assert translator.read_order_answer(load, 409) is answer.COUNT_DIFFERS
    assert translator.read_order_answer(load, 412) is answer.REFUSED
