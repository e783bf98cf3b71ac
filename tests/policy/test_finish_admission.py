from __future__ import annotations

import collections

import pytest

from boragefold.policy import finish_admission
from boragefold.policy import return_times
from tests.fakes import service_replay

SEND, WAIT, REFUSE = finish_admission.Verdict
TERMS = finish_admission.Terms(
    target_seconds=0.3,
    limit_seconds=0.3,
    takes_last_chance=False,
    waited_seconds=0.0,
    remaining_seconds=1.0,
)
URGENT = finish_admission.Urgency(0, 0.13)
ORDINARY = finish_admission.Urgency(1, 0.3)


def play(**fields):
    results = [collections.Counter(), collections.Counter()]
    for seed in (1, 2):
        site = service_replay.Site(admits=True, seconds=15.0, **fields)
        replay = service_replay.Replay(site, seed=seed).run()
        for total, each in zip(results, replay.results, strict=True):
            total.update(each)
    return [
        {name: number / each["came"] for name, number in each.items()}
        for each in results
    ]


@pytest.mark.parametrize("deadline_seconds", [0.6, 2.4])
def test_an_overload_makes_few_late(deadline_seconds) -> None:
    # Sent on regardless, 37 in 100 are on time, and 33 in 100 are refused.
    urgent, ordinary = play(rate=330, deadline_seconds=deadline_seconds)
    assert urgent["on_time"] > 0.6
    assert ordinary["on_time"] > 0.37
    # The urgent are served no less often, and refused less often.
    assert urgent["on_time"] > ordinary["on_time"]
    assert urgent["refused"] < 0.2 * ordinary["refused"]


def test_nothing_is_refused_while_there_is_room() -> None:
    for each in play(rate=150):
        assert each.get("refused", 0.0) < 0.002
        assert each["on_time"] > 0.95


@pytest.mark.parametrize(
    ("changes", "finish_seconds", "verdict"),
    [
        ({}, 0.29, SEND),
        ({}, 0.31, WAIT),
        ({"waited_seconds": 0.2}, 0.15, WAIT),
        # A late request goes where it makes no other late.
        ({"waited_seconds": 0.4}, 0.1, SEND),
        ({"waited_seconds": 0.4}, 0.2, WAIT),
        ({"limit_seconds": 0.1}, 0.2, WAIT),
        ({"remaining_seconds": 0.2}, 0.25, REFUSE),
        ({"waited_seconds": 0.8, "remaining_seconds": 0.3}, 0.25, WAIT),
    ],
)
def test_what_becomes_of_a_request(changes, finish_seconds, verdict) -> None:
    terms = TERMS._replace(**changes)
    assert verdict is finish_admission.decide_turn(
        terms, finish_seconds=finish_seconds
    )


def test_the_most_urgent_take_their_last_chance() -> None:
    # Otherwise those with a short deadline are refused, and those that can
    # wait for longer are served.
    terms = TERMS._replace(
        waited_seconds=0.8, remaining_seconds=0.3, takes_last_chance=True
    )
    assert finish_admission.decide_turn(terms, finish_seconds=0.25) is SEND


def test_a_request_that_would_wait_in_vain_may_not_wait() -> None:
    for turn_seconds, allowed in ((0.3, True), (0.5, False)):
        assert allowed is finish_admission.can_wait(
            TERMS, finish_seconds=2.0, turn_seconds=turn_seconds
        )


def test_a_long_objective_finds_no_more_room_than_an_urgent_one() -> None:
    # It would fill the queues in which urgent requests are late by then.
    urgent, last_chance = finish_admission.find_limit(URGENT, [ORDINARY])
    assert (urgent, last_chance) == (0.13, True)
    ordinary, last_chance = finish_admission.find_limit(ORDINARY, [URGENT])
    assert ordinary < urgent
    assert not last_chance
    alone = finish_admission.find_limit(ORDINARY, [ORDINARY])
    assert alone == (0.3, False)


def test_refused_requests_do_not_return_together() -> None:
    returns = return_times.ReturnTimes()

    def draw(now_seconds=1.0):
        return returns.draw_seconds(
            "desk",
            until_room_seconds=0.4,
            gap_seconds=0.1,
            now_seconds=now_seconds,
        )

    assert [draw() for _ in range(4)] == pytest.approx([0.4, 0.5, 0.6, 0.7])
    assert max(draw() for _ in range(99)) == return_times.MAX_SECONDS
    assert draw(now_seconds=60.0) == pytest.approx(0.4)
