from __future__ import annotations

import json

import pytest

from boragefold.entry import engine_answer
from boragefold.policy import work as works
from boragefold.transport import http_client

NEEDS = works.AdapterVersion("base-0", "quadro/letters", "v2")
USAGE = {"usage": {"prompt_tokens": 2, "completion_tokens": 2}, "choices": []}


class Reader(engine_answer.AttemptObserver):
    def __init__(self):
        self.texts = []
        self.ended = None

    def on_accepted(self, incarnation):
        pass

    def on_tokens(self, texts):
        self.texts += texts

    def on_complete(self, usage):
        self.ended = "whole"

    def on_failed(self, reason, *, may_have_run):
        self.ended = (reason, may_have_run)


def token(index, *, adapter=NEEDS.adapter, version=NEEDS.version):
    return event(
        {
            "index": index,
            "adapter": adapter,
            "version": version,
            "choices": [{"delta": {"content": f"{index} "}}],
        }
    )


def event(body):
    return b"data: " + json.dumps(body).encode() + b"\n\n"


def read(*pieces, next_token=0):
    reader = Reader()
    answer = engine_answer.EngineAnswer(
        adapter=NEEDS, next_token=next_token, observer=reader
    )
    answer.head(200, {"engine-incarnation": "i"})
    for piece in pieces:
        answer.data(piece)
    answer.end(http_client.Framing.CHUNKS)
    return reader


DONE = b"data: [DONE]\n\n"


@pytest.mark.parametrize(
    ("pieces", "ended", "passed_on"),
    [
        ([token(0), token(1), event(USAGE), DONE], "whole", 2),
        ([token(0), token(1, adapter="other")], ("wrong_adapter", True), 1),
        ([token(0), token(1, version="v1")], ("wrong_adapter", True), 1),
        ([token(0), token(7)], ("crossed", True), 1),
        ([token(0), token(0)], ("crossed", True), 1),
        ([token(0), event(USAGE)], ("cut", True), 1),
        ([token(0), DONE], ("cut", True), 1),
        ([token(0), b"data: {nonsense\n\n"], ("malformed_answer", True), 1),
    ],
    ids=[
        "whole",
        "another adapter",
        "another version",
        "another answer's token",
        "a token again",
        "no terminator",
        "no usage",
        "no event",
    ],
)
def test_nothing_but_the_asked_answer_is_passed_on(pieces, ended, passed_on):
    # A part of a response, or the response to another request, must not be
    # returned as the caller's.
    reader = read(*pieces)
    assert (reader.ended, len(reader.texts)) == (ended, passed_on)


def test_events_may_be_split_into_any_chunks():
    data = token(0) + token(1) + event(USAGE) + DONE
    reader = read(*(data[n : n + 1] for n in range(len(data))))
    assert (reader.ended, reader.texts) == ("whole", ["0 ", "1 "])


def test_a_resumed_response_continues_at_its_token():
    assert read(token(5), next_token=5).texts == ["5 "]
    assert read(token(0), next_token=5).texts == []


def test_a_refused_connection_did_not_run():
    reader = Reader()
    answer = engine_answer.EngineAnswer(
        adapter=NEEDS, next_token=0, observer=reader
    )
    answer.failed(
        http_client.Failure(reason="refused", may_have_arrived=False)
    )
    assert reader.ended == ("refused", False)
