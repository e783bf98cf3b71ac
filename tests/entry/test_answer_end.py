"""Whether an answer that has ended is whole."""

from __future__ import annotations

import pytest

from boragefold.entry import answer_end
from boragefold.entry import break_evidence
from boragefold.transport import http_client

FRAMING = http_client.Framing
CAUSE = break_evidence.BreakCause
VERDICT = answer_end.Verdict


@pytest.mark.parametrize("framing", FRAMING)
def test_no_framing_completes_an_event(framing) -> None:
    # An engine that crashes inside an event may end its chunks properly.
    verdict = answer_end.judge_end(
        framing, is_empty_success=False, inside_event=True, confirmed=True
    )
    assert verdict is VERDICT.BROKEN


@pytest.mark.parametrize(
    ("framing", "confirmed", "verdict"),
    [
        (FRAMING.LENGTH, False, VERDICT.WHOLE),
        (FRAMING.CHUNKS, False, VERDICT.WHOLE),
        (FRAMING.NONE, False, VERDICT.WHOLE),
        (FRAMING.CLOSE, True, VERDICT.WHOLE),
        (FRAMING.CLOSE, False, VERDICT.UNPROVEN),
    ],
)
def test_a_close_alone_proves_nothing(framing, confirmed, verdict) -> None:
    # The kernel closes the connections of a crashed process in good order.
    found = answer_end.judge_end(
        framing,
        is_empty_success=False,
        inside_event=False,
        confirmed=confirmed,
    )
    assert found is verdict


@pytest.mark.parametrize("confirmed", [False, True])
def test_a_success_without_framing_and_body_isnt_whole(confirmed) -> None:
    # An endpoint that stopped behind its head closes in good order.
    found = answer_end.judge_end(
        FRAMING.CLOSE,
        is_empty_success=True,
        inside_event=False,
        confirmed=confirmed,
    )
    assert found is VERDICT.BROKEN


@pytest.mark.parametrize(
    ("cause", "listens", "others_broke", "verdict"),
    [
        (CAUSE.ALIVE, True, False, VERDICT.WHOLE),
        (CAUSE.ALIVE, True, True, VERDICT.WHOLE),
        (CAUSE.CRASHED, False, False, VERDICT.BROKEN),
        # It answered its last request and ended.
        (CAUSE.LEFT, False, False, VERDICT.WHOLE),
        (CAUSE.LEFT, True, True, VERDICT.WHOLE),
        (CAUSE.LEFT, False, True, VERDICT.BROKEN),
        (CAUSE.UNKNOWN, False, False, VERDICT.UNPROVEN),
        (CAUSE.UNKNOWN, False, True, VERDICT.BROKEN),
        (CAUSE.PENDING, False, False, VERDICT.UNPROVEN),
        (CAUSE.PENDING, False, True, VERDICT.BROKEN),
    ],
)
def test_the_endpoint_tells_what_its_close_means(
    cause, listens, others_broke, verdict
) -> None:
    # An engine that leaves after its last answer must not break it.
    evidence = break_evidence.ClosingEvidence(cause, listens, others_broke)
    assert answer_end.judge_closing(evidence) is verdict
