from __future__ import annotations

import collections
import random
import statistics

import pytest

from boragefold.policy import expected_finish
from boragefold.policy import service_choice
from tests.fakes import service_replay

SEEDS = (1, 2, 3, 4)
ENDPOINTS = [("one", 6, True), ("two", 6, True), ("three", 6, True)]
SHORT_WORK = service_replay.Site(
    rate=0.0,
    speeds=(0.7, 0.7, 1.7, 1.0),
    work_seconds=0.022,
    objective_seconds=0.13,
    seconds=20.0,
)


def play(site):
    plays = [service_replay.Replay(site, seed=seed).run() for seed in SEEDS]
    return (
        statistics.mean(each.on_time for each in plays),
        statistics.mean(each.p99_seconds for each in plays),
    )


@pytest.mark.parametrize(
    ("rate", "on_time"), [(125, 0.982), (200, 0.928), (250, 0.871)]
)
def test_uneven_endpoints_serve_in_time(rate, on_time) -> None:
    # By the load alone, all instances choose the same endpoint, and the slow
    # ones get as much as the fast one.
    site = service_replay.Site(rate=rate)
    share, p99_seconds = play(site)
    assert share >= on_time
    _, by_load_seconds = play(site._replace(figures=3))
    assert p99_seconds <= by_load_seconds


@pytest.mark.parametrize(("rate", "on_time"), [(400, 0.99), (650, 0.97)])
def test_uneven_endpoints_serve_short_work_in_time(rate, on_time) -> None:
    # With short work, a report is many times as old as a request takes.
    share, _ = play(SHORT_WORK._replace(rate=rate))
    assert share >= on_time


def observe(choice, name, *, factor, took, at=0.0, busy=0):
    choice.sent(name, now_seconds=at)
    choice.reported(
        name, busy=busy, slots=6, now_seconds=at, work_factor=factor
    )
    choice.ended(name, failed=False, took_seconds=took, now_seconds=at)


def count(choice, at, number=300):
    return collections.Counter(
        choice.choose(ENDPOINTS, now_seconds=at) for _ in range(number)
    )


@pytest.fixture
def choice():
    return service_choice.ServiceChoice(rng=random.Random(1))


def test_a_momentary_factor_does_not_count_twice(choice) -> None:
    # An endpoint that was slow while it was observed would look slow later.
    for number in range(30):
        at = number / 10
        observe(choice, "one", factor=1.0, took=0.1, at=at)
        observe(choice, "two", factor=2.0, took=0.2, at=at)
        observe(choice, "three", factor=1.0, took=0.1, at=at)
    for name in ("one", "two", "three"):
        observe(choice, name, factor=1.0, took=0.1, at=3.0)
    counts = count(choice, 3.0)
    assert min(counts[name] for name, _, _ in ENDPOINTS) > 60


def test_a_slow_moment_is_avoided_and_forgotten(choice) -> None:
    for number in range(30):
        for name, _, _ in ENDPOINTS:
            observe(choice, name, factor=1.0, took=0.1, at=number / 10)
    observe(choice, "one", factor=2.5, took=0.25, at=3.0)
    assert count(choice, 3.05)["one"] == 0
    assert count(choice, 4.5)["one"] > 20


def test_the_wait_in_a_queue_is_no_slowness(choice) -> None:
    finish = choice.finish
    for number in range(50):
        observe(choice, "one", factor=1.0, took=0.3, at=number / 10, busy=17)
    seconds = finish.finish_seconds("one", slots=6, now_seconds=60.0)
    assert 0.25 < seconds < 0.35
    work_seconds = 6 / finish.served_per_second(
        "one", slots=6, now_seconds=60.0
    )
    assert 0.08 < work_seconds < 0.12


def test_an_endpoint_that_was_slow_for_long_is_tried_again(choice) -> None:
    for number in range(30):
        at = number / 10
        observe(choice, "one", factor=1.0, took=0.5, at=at)
        observe(choice, "two", factor=1.0, took=0.1, at=at)
        observe(choice, "three", factor=1.0, took=0.1, at=at)
    assert count(choice, 3.1)["one"] == 0
    for name in ("two", "three"):
        observe(choice, name, factor=1.0, took=0.1, at=60.0)
    assert count(choice, 60.5)["one"] > 30


def test_another_services_short_work_makes_no_estimate_shorter() -> None:
    # Requests would be sent on in the belief that they can be on time.
    finish = expected_finish.ExpectedFinish()
    for name, service, took in (("a", "desk", 0.3), ("b", "other", 0.02)):
        finish.record_report(
            name,
            busy=0,
            slots=6,
            factor=1.0,
            now_seconds=0.0,
            service=service,
        )
        finish.record_end(name, took_seconds=took, now_seconds=0.0)
    seconds = finish.finish_seconds("a", slots=6, now_seconds=9.0)
    assert seconds == pytest.approx(0.3)


@pytest.mark.parametrize("factor", [0.0, 1e9])
def test_an_impossible_factor_neither_attracts_nor_bans(factor, choice):
    # A factor of 0 would attract all requests, and one of millions none.
    bounded = expected_finish.clamp_factor(factor)
    observe(choice, "one", factor=factor, took=0.1, at=1.0)
    seconds = choice.finish.finish_seconds("one", slots=6, now_seconds=1.0)
    assert seconds == pytest.approx(0.1)
    assert 0.05 <= bounded <= 20


def test_a_failing_endpoint_comes_last(choice) -> None:
    for number in range(30):
        for name, _, _ in ENDPOINTS:
            observe(choice, name, factor=1.0, took=0.1, at=number / 10)
    choice.unreachable("two", now_seconds=3.0)
    assert count(choice, 3.1)["two"] == 0


def test_without_factors_the_load_decides(choice) -> None:
    # Three figures, and a factor that is no more reported.
    observe(choice, "one", factor=1.0, took=0.1, at=0.0)
    assert choice.finish.reports_factor("one", now_seconds=9.0)
    assert not choice.finish.reports_factor("one", now_seconds=11.0)
    choice.reported("one", busy=5, slots=6, now_seconds=11.0)
    assert not choice.finish.reports_factor("one", now_seconds=11.0)
