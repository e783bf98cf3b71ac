from __future__ import annotations

import random

import pytest

from boragefold.policy import repeat_budget
from tests.fakes import repeat_rule

LIMIT = repeat_rule.LIMIT
LARGE = repeat_budget.FleetLimit(ratio=0.2, slack=430.0, window_seconds=10.0)


def take(budget, *, part=0.25, at, limit=LIMIT):
    state = budget.state(limit, slack_part=part, now_seconds=at)
    return budget.take(state, limit, now_seconds=at)


def fleet_repeats(*, instances, failing):
    """Simulate 30 s in which each instance gets a request every 4 s.

    :param instances: number of instances
    :param failing: part of the requests that fail
    :return: the times of the requests, and of the repeats
    """
    budgets = [
        repeat_budget.RepeatBudget(started_at_seconds=-20.0)
        for _ in range(instances)
    ]
    rng = random.Random(1)
    asked, repeated = [], []
    for step in range(round(30 * instances / 4)):
        at = 4 * step / instances
        asked.append(at)
        budget = rng.choice(budgets)
        budget.record_request(LARGE, now_seconds=at)
        if rng.random() < failing and take(
            budget, part=1 / instances, at=at, limit=LARGE
        ):
            repeated.append(at)
    return asked, repeated


def test_one_of_hundreds_may_repeat_too() -> None:
    # An instance's part of the slack is a few repeats: without what its own
    # requests earn, hardly any failed request would be sent again.
    failed = 0.14 * 30 * 195 / 4
    _asked, repeated = fleet_repeats(instances=195, failing=0.14)
    assert len(repeated) > failed / 2


def test_hundreds_keep_to_the_limit_of_all() -> None:
    # Every request fails at every instance.
    asked, repeated = fleet_repeats(instances=195, failing=1.0)
    worst = repeat_rule.worst_window(LARGE, asked=asked, beyond=repeated)
    assert worst.beyond_first <= worst.allowed


def test_failures_that_last_leave_the_allowance_of_each_window() -> None:
    # A budget that is earned slowly leaves callers without the repeats that
    # the limit allows.
    budget = repeat_budget.RepeatBudget(started_at_seconds=-20.0)
    asked, repeated = [], []
    for step in range(600):
        at = step / 10
        asked.append(at)
        budget.record_request(LIMIT, now_seconds=at)
        if take(budget, at=at):
            repeated.append(at)
    assert len(repeated) > 0.9 * (0.2 * 600 + 6 * 50.0 / 4)
    own = LIMIT._replace(slack=LIMIT.slack / 4)
    worst = repeat_rule.worst_window(own, asked=asked, beyond=repeated)
    assert worst.beyond_first <= worst.allowed


def test_a_successor_has_no_second_burst() -> None:
    # Instances that are killed beside failing endpoints must not begin with
    # what their predecessors spent a moment before.
    spent = 0
    predecessor = repeat_budget.RepeatBudget(started_at_seconds=-60.0)
    for _ in range(100):
        spent += take(predecessor, at=0.0) is not None
    assert spent >= 3
    for start in (0.0, 2.0, 4.0, 6.0, 8.0):
        successor = repeat_budget.RepeatBudget(started_at_seconds=start)
        for step in range(20):
            spent += take(successor, at=start + step / 10) is not None
    assert spent <= 50.0 / 4


def test_a_part_that_is_unknown_at_first_is_earned_from_then_on() -> None:
    budget = repeat_budget.RepeatBudget(started_at_seconds=0.0)
    assert take(budget, part=0.0, at=1000.0) is None
    assert take(budget, part=0.25, at=1001.0) is None
    assert take(budget, part=0.25, at=1011.0) is not None


def test_a_permit_that_wasnt_used_is_there_for_others() -> None:
    budget = repeat_budget.RepeatBudget(started_at_seconds=0.0)
    for _ in range(6):
        budget.record_request(LIMIT, now_seconds=0.0)
    permit = take(budget, part=0.0, at=1.0)
    assert permit is not None
    assert take(budget, part=0.0, at=1.0) is None
    budget.give_back(permit)
    assert take(budget, part=0.0, at=1.0) is not None


def test_a_repeat_counts_from_when_it_is_sent() -> None:
    # One that waited for an engine would be forgotten before its window ends.
    budget = repeat_budget.RepeatBudget(started_at_seconds=0.0)
    for step in range(200):
        budget.record_request(LIMIT, now_seconds=step / 10)
    permits = [take(budget, part=0.0, at=20.0) for _ in range(19)]
    assert all(permits)
    for step in range(200, 250):
        budget.record_request(LIMIT, now_seconds=step / 10)
    for permit in permits:
        budget.use(permit, LIMIT, now_seconds=25.0)
    for step in range(250, 320):
        budget.record_request(LIMIT, now_seconds=step / 10)
    assert take(budget, part=0.0, at=32.0) is None


def test_a_longer_window_is_counted_anew() -> None:
    # Slices of a shorter window have higher numbers, and would never end.
    budget = repeat_budget.RepeatBudget(started_at_seconds=0.0)
    longer = LIMIT._replace(window_seconds=40.0)
    for step in range(100):
        budget.record_request(LIMIT, now_seconds=1000.0 + step / 10)
    for step in range(400):
        budget.record_request(longer, now_seconds=1010.0 + step / 10)
    state = budget.state(longer, slack_part=0.0, now_seconds=1050.0)
    assert 390 <= state.requests <= 400


@pytest.mark.parametrize("count", [1, 7, 100])
def test_memory_is_bounded(count) -> None:
    budget = repeat_budget.RepeatBudget(started_at_seconds=0.0)
    for step in range(100 * count):
        budget.record_request(LIMIT, now_seconds=step / count)
    assert len(budget._slices) <= repeat_budget.SLICES + 1
