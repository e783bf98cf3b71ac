"""The end of one attempt, where only its endpoint can show it."""

from __future__ import annotations

import types
from typing import Any

import pytest

from boragefold.entry import attempt as attempts
from boragefold.entry import break_evidence
from boragefold.entry import dialect as dialects
from boragefold.policy import crash_causes
from boragefold.transport import http_client
from tests.fakes import gateways

CRASHED = break_evidence.ClosingEvidence(
    break_evidence.BreakCause.CRASHED, False, False
)
ALIVE = break_evidence.ClosingEvidence(
    break_evidence.BreakCause.ALIVE, True, False
)
FACTS = dialects.AnswerFacts(
    status=200,
    not_run=False,
    not_held=False,
    signed=True,
    leaving=False,
    busy=None,
    slots=None,
)


class Forwarding:
    """A request whose answer is forwarded."""

    def __init__(self) -> None:
        self.finished = self.inside_event = False
        self.resume_after = ""
        self.ends: list[str] = []
        self.now = 1.0
        self.progress: list[float] = []
        self.waiting: list[Any] = []
        nothing = types.SimpleNamespace()
        self.admitted = types.SimpleNamespace(
            guard=types.SimpleNamespace(
                causes=crash_causes.RequestCauses(1),
                record_progress=lambda: self.progress.append(self.now),
            ),
            request=types.SimpleNamespace(
                request_id="r", http=types.SimpleNamespace(method="POST")
            ),
            route=types.SimpleNamespace(repeatable=False),
            service=types.SimpleNamespace(name="desk"),
        )
        self.context = types.SimpleNamespace(
            timers=types.SimpleNamespace(now_seconds=lambda: self.now),
            dialect=types.SimpleNamespace(read_answer=lambda *_: FACTS),
            choice=types.SimpleNamespace(
                ended=lambda *_, **fields: None,
                limits=types.SimpleNamespace(
                    record_answer=lambda *_, **fields: None
                ),
            ),
            counters=types.SimpleNamespace(add=lambda *_: None),
            log=types.SimpleNamespace(
                write=lambda *_, **fields: None,
                write_ordinary=lambda *_, **fields: None,
            ),
            crashes=types.SimpleNamespace(detector=self),
            reach=nothing,
        )

    def check_closing(self, record, *, on_evidence, **fields) -> None:
        self.waiting.append(on_evidence)

    def forward_headers(self, status, headers) -> bool:
        return True

    def on_answer_started(self) -> None:
        pass

    def forward_data(self, data) -> None:
        pass

    def forward_end(self, status) -> None:
        self.ends.append("whole")

    def on_attempt_failed(self, endpoint, reason, *, may_have_run) -> None:
        self.ends.append(reason)


@pytest.fixture
def forwarding():
    return Forwarding()


@pytest.fixture
def attempt(forwarding):
    attempt = attempts.Attempt(
        forwarding=forwarding, record=gateways.engine("e1"), version=0
    )
    attempt.head(200, {})
    attempt.data(b"all of it")
    attempt.end(http_client.Framing.CLOSE)
    return attempt


@pytest.mark.parametrize(
    ("evidence", "end"), [(ALIVE, "whole"), (CRASHED, "closed_by_crash")]
)
def test_the_evidence_ends_the_answer(
    attempt, forwarding, evidence, end
) -> None:
    assert attempt.running and not forwarding.ends
    forwarding.waiting[0](evidence)
    assert forwarding.ends == [end]
    assert not attempt.running


@pytest.mark.parametrize(
    ("method", "resume_after"), [("HEAD", ""), ("POST", "7")]
)
def test_an_answer_that_may_be_empty_is_judged_by_evidence(
    forwarding, method, resume_after
) -> None:
    # Any success without framing and body counted as broken off.
    forwarding.admitted.request.http.method = method
    forwarding.resume_after = resume_after
    attempt = attempts.Attempt(
        forwarding=forwarding, record=gateways.engine("e1"), version=0
    )
    attempt.head(200, {})
    attempt.end(http_client.Framing.CLOSE)
    forwarding.waiting[0](ALIVE)
    assert forwarding.ends == ["whole"]


def test_an_end_without_evidence_proves_no_innocence(
    attempt, forwarding
) -> None:
    # A request that crashes its endpoints counted as one that had completed.
    forwarding.waiting[0](break_evidence.NO_EVIDENCE)
    assert forwarding.ends == ["whole"]
    assert not attempt.proven


def test_an_answer_is_whole_at_its_deadline(attempt, forwarding) -> None:
    # All of it has come, and nothing speaks against it.
    assert attempt.end_without_evidence()
    forwarding.waiting[0](CRASHED)
    assert forwarding.ends == ["whole"]


def test_a_request_that_was_broken_off_still_times_out(
    attempt, forwarding
) -> None:
    # It waited for another engine, and its deadline passed unnoticed.
    forwarding.waiting[0](CRASHED)
    assert not attempt.end_without_evidence()


def test_evidence_for_an_attempt_that_was_cancelled_is_ignored(
    attempt, forwarding
) -> None:
    attempt.cancel()
    forwarding.waiting[0](CRASHED)
    assert not forwarding.ends
    assert not attempt.end_without_evidence()


def test_an_answer_that_goes_on_clears_the_parts_of_its_prompt(
    forwarding,
) -> None:
    # Streams of minutes kept their first part convicted until their end.
    attempt = attempts.Attempt(
        forwarding=forwarding, record=gateways.engine("e1"), version=0
    )
    attempt.head(200, {})
    for at_seconds in (5.0, 6.9, 7.0):
        assert not forwarding.progress
        forwarding.now = at_seconds
        attempt.data(b"data: x")
    assert forwarding.progress == [5.0 + attempts.PROGRESS_SECONDS]


@pytest.mark.parametrize("stated", [None, 0.0, 5.0])
def test_a_response_tells_how_long_its_endpoint_stays_cold(
    forwarding, stated
) -> None:
    # The entry that tells it comes later, through the store.
    told = []
    forwarding.context.cold = types.SimpleNamespace(
        record_answer=lambda record, seconds: told.append(seconds)
    )
    facts = FACTS._replace(cold_seconds=stated)
    forwarding.context.dialect.read_answer = lambda *_: facts
    record = gateways.engine("e1")
    sent = attempts.Attempt(forwarding=forwarding, record=record, version=0)
    sent.head(200, {})
    assert told == ([] if stated is None else [stated])


@pytest.mark.parametrize(("factor", "failures"), [(1.0, 0), (None, 1)])
def test_a_rejection_for_want_of_room_is_no_failure_of_a_known_load(
    forwarding, factor, failures
) -> None:
    # A full endpoint would rank behind slower ones for seconds after.
    calls = []
    choice = forwarding.context.choice
    choice.sent = choice.reported = lambda *_, **fields: None
    choice.withdrawn = lambda endpoint: calls.append("withdrawn")
    choice.ended = lambda endpoint, *, failed, **fields: calls.append(failed)
    facts = FACTS._replace(
        status=503, not_run=True, busy=30, slots=6, work_factor=factor
    )
    forwarding.context.dialect.read_answer = lambda *_: facts
    forwarding.context.rejections = types.SimpleNamespace(
        record=lambda *_: None
    )
    attempts.Attempt(
        forwarding=forwarding, record=gateways.engine("e1"), version=0
    ).head(503, {})
    assert calls == ([True] if failures else ["withdrawn"])
