from __future__ import annotations

import base64
import json

import pytest
import store

from boragefold.entry import store_dialect
from boragefold.state import published_items
from boragefold.transport import whole_answer


@pytest.fixture
def translator():
    return store.PlatformStore(address="10.0.0.1:80")


def answer(status, body):
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    return whole_answer.WholeAnswer(status, {}, data)


def item(key, revision, value=b"v"):
    return {
        "key": key,
        "revision": revision,
        "created": 1,
        "lease": 0,
        "value": base64.b64encode(value).decode(),
    }


def test_calls(translator) -> None:
    assert (
        translator.list_call("op/", "").target == "/v1/kv-range?prefix=op%2F"
    )
    assert "after=op%2Fx" in translator.list_call("op/", "op/x").target
    watch = translator.watch_call("op/", 41, 2.0)
    assert watch.target == "/v1/kv-watch?prefix=op%2F&after=41&wait_ms=2000"
    assert watch.progress_seconds > 2.0


def test_a_page(translator) -> None:
    body = {
        "items": [item("op/a", 3), item("op/b", 4)],
        "has_more": True,
        "store_revision": 9,
    }
    page = translator.read_page(answer(200, body))
    assert page.items[0] == published_items.Item("op/a", 3, b"v")
    assert (page.revision, page.last_key, page.more) == (9, "op/b", True)


def test_events(translator) -> None:
    gone = {"key": "op/b", "revision": 6, "removed": True}
    body = {"events": [item("op/a", 5), gone], "store_revision": 6}
    events = translator.read_events(answer(200, body))
    assert events.items[1] == published_items.Item("op/b", 6, None)
    assert events.revision == 6


def test_a_lost_history(translator) -> None:
    found = translator.read_events(answer(410, {}))
    assert found == store_dialect.HistoryLost()


@pytest.mark.parametrize(
    ("status", "body", "reason"),
    [
        (503, {}, "status_503"),
        (429, {}, "status_429"),
        (200, b"nonsense", "unreadable"),
        (200, {"items": [{}], "events": [{}]}, "unreadable"),
        (
            200,
            {
                "items": [{**item("k", 1), "value": "%"}],
                "events": [{**item("k", 1), "value": "%"}],
                "has_more": False,
                "store_revision": 1,
            },
            "unreadable",
        ),
    ],
)
def test_failures(translator, status, body, reason) -> None:
    failed = store_dialect.StoreFailed(reason)
    assert translator.read_page(answer(status, body)) == failed
    assert translator.read_events(answer(status, body)) == failed
