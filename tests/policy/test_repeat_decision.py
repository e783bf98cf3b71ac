from __future__ import annotations

import pytest

from boragefold.policy import repeat_decision

BROKEN = repeat_decision.RepeatInputs(
    setback=repeat_decision.Setback.BROKEN,
    may_have_run=True,
    repeatable=True,
    resumable=True,
    earlier_crashes=0,
    has_endpoint=True,
    remaining_seconds=1.0,
)
Obstacle = repeat_decision.Obstacle


def obstacle(**changes):
    inputs = BROKEN._replace(**changes)
    return repeat_decision.find_obstacle(inputs, min_seconds=0.02)


def test_a_request_that_broke_is_sent_once_more() -> None:
    assert obstacle() is None


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({"repeatable": False}, Obstacle.NOT_IDEMPOTENT),
        ({"resumable": False}, Obstacle.ANSWER_BEGUN),
        ({"earlier_crashes": 1}, Obstacle.CRASHES),
        ({"has_endpoint": False}, Obstacle.NO_ENDPOINT),
        ({"remaining_seconds": 0.01}, Obstacle.NO_TIME),
    ],
)
def test_what_speaks_against_it(changes, expected) -> None:
    assert obstacle(**changes) is expected


@pytest.mark.parametrize(
    "changes", [{"repeatable": False}, {"earlier_crashes": 2}]
)
def test_what_certainly_didnt_run_may_run_elsewhere(changes) -> None:
    assert obstacle(may_have_run=False, **changes) is None
