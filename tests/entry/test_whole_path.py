"""Requests over HTTP, with every part as a process of its own."""

from __future__ import annotations

import json

import pytest

from tests.fakes import processes


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    fleet = processes.Fleet(tmp_path_factory.mktemp("fleet"))
    try:
        yield fleet.start()
    finally:
        fleet.stop()


def test_a_chat_is_answered_by_the_adapter_it_named(fleet):
    name = fleet.adapter()
    reply = fleet.chat(fleet.entries[0], name)
    assert reply.status == 200, reply.body
    content = reply.json()["choices"][0]["message"]["content"]
    assert content.split() == [f"quadro/{name}:{n}" for n in range(5)]
    assert reply.headers["Boragefold-Outcome"] == "ran"


def test_a_stream_ends_with_its_terminator(fleet):
    reply = fleet.chat(fleet.entries[1], fleet.adapter(1), stream=True)
    *events, done, rest = reply.body.decode().split("\n\n")
    assert (done, rest) == ("data: [DONE]", "")
    texts = [
        json.loads(event.removeprefix("data: "))["choices"][0]["delta"]
        for event in events
    ]
    joined = "".join(text["content"] for text in texts)
    assert len(joined.split()) == 5


@pytest.mark.parametrize(
    ("key", "model", "status", "reason"),
    [
        ("", "base-0", 401, "key_missing"),
        ("guess", "base-0", 401, "key_not_granted"),
        (None, "nobody", 404, "adapter_unknown"),
        (None, "base-0", 200, None),
    ],
)
def test_refusals_name_their_reason(fleet, key, model, status, reason):
    body = {
        "model": model,
        "messages": [{"role": "user", "content": "hello"}],
        "max_tokens": 2,
    }
    reply = processes.call(
        fleet.entries[0].address,
        "/v1/chat/completions",
        key=fleet.key if key is None else key,
        body=body,
    )
    assert reply.status == status
    assert reply.headers["Boragefold-Reason"] == reason
    if reason:
        assert reply.json()["error"]["outcome"] == "not_run"


def test_a_payout_runs_once_through_two_instances(fleet):
    # A request repeated with the same ticket at another instance must run
    # only once.
    first, other = fleet.entries[0], fleet.entries[2]
    minted = processes.call(
        first.address, "/v1/tickets", key=fleet.key, method="POST"
    )
    ticket = minted.json()["ticket"]
    replies = [
        processes.call(
            entry.address,
            "/services/rights/payouts",
            key=fleet.key,
            body={"euro": 10},
            headers={"Idempotency-Key": ticket},
        )
        for entry in (first, other)
    ]
    assert [reply.status for reply in replies] == [200, 200]
    assert replies[0].body == replies[1].body
    counted = processes.call(fleet.services[0], "/control/runs").json()
    assert list(counted["runs"].values()) == [1]
    assert counted["keys_seen"] == 0


def test_a_payout_without_a_ticket_gets_one(fleet):
    reply = processes.call(
        fleet.entries[0].address,
        "/services/rights/payouts",
        key=fleet.key,
        body={"euro": 10},
    )
    assert reply.status == 428
    assert reply.json()["error"]["ticket"].startswith("bf1.")
