from __future__ import annotations

import collections
import random

from boragefold.policy import service_choice

ENDPOINTS = [("one", 6, True), ("two", 6, True), ("three", 6, True)]


def send_requests(
    choice, *, failing=(), slow=(), seconds=10.0, rate=20.0, start=0.0
):
    counts = collections.Counter()
    running = []
    for number in range(int(seconds * rate)):
        now = start + number / rate
        for each in [each for each in running if each[0] <= now]:
            running.remove(each)
            at, name, took = each
            choice.ended(
                name,
                failed=name in failing,
                took_seconds=took,
                now_seconds=at,
            )
        name = choice.choose(ENDPOINTS, now_seconds=now)
        counts[name] += 1
        choice.sent(name)
        took = 0.9 if name in slow else 0.09
        running.append((now + took, name, took))
    return counts


def test_equal_endpoints_share_the_requests() -> None:
    choice = service_choice.ServiceChoice(rng=random.Random(1))
    counts = send_requests(choice)
    assert max(counts.values()) < 1.4 * min(counts.values())


def test_a_failing_endpoint_loses_its_share_and_regains_it() -> None:
    # One endpoint fails every request while its health check passes. It must
    # lose nearly all of its share within a second, and regain it some seconds
    # after its recovery.
    choice = service_choice.ServiceChoice(rng=random.Random(2))
    during = send_requests(choice, failing={"two"})
    assert during["two"] < 0.12 * sum(during.values())
    after = send_requests(choice, start=20.0)
    assert after["two"] > 0.2 * sum(after.values())


def test_an_endpoint_that_fails_fast_makes_no_other_look_slow() -> None:
    # Of three lookups, a sound endpoint of another data centre must get the
    # last one at the latest: retries are few at the start.
    failing, sound = ("near", 8, True), ("far", 8, False)
    for seed in range(500):
        choice = service_choice.ServiceChoice(rng=random.Random(seed))
        first = []
        for number in range(3):
            name = choice.choose([failing, sound], now_seconds=number / 10)
            first.append(name)
            for each in dict.fromkeys([name, "far"]):
                choice.sent(each)
                choice.ended(
                    each,
                    failed=each == "near",
                    took_seconds=0.004 if each == "near" else 0.02,
                    now_seconds=number / 10,
                )
        assert first.count("near") <= 2, seed


def test_an_endpoint_that_fails_slowly_counts_as_slow() -> None:
    choice = service_choice.ServiceChoice(rng=random.Random(3))
    for at in (0.0, 0.1):
        choice.ended("one", failed=False, took_seconds=0.09, now_seconds=at)
    choice.ended("two", failed=True, took_seconds=4.0, now_seconds=0.1)
    assert {
        choice.choose(ENDPOINTS[:2], now_seconds=9.0) for _ in range(50)
    } == {"one"}


def test_a_slow_endpoint_gets_less() -> None:
    choice = service_choice.ServiceChoice(rng=random.Random(3))
    counts = send_requests(choice, slow={"three"})
    assert counts["three"] < 0.15 * sum(counts.values())


def test_failures_that_are_common_to_all_change_nothing() -> None:
    choice = service_choice.ServiceChoice(rng=random.Random(4))
    for name, _, _ in ENDPOINTS:
        for number in range(20):
            choice.ended(
                name,
                failed=number % 7 == 0,
                took_seconds=0.09,
                now_seconds=number / 10,
            )
    counts = send_requests(choice, start=2.0)
    assert max(counts.values()) < 1.6 * min(counts.values())


def test_a_reported_load_counts_for_a_moment() -> None:
    choice = service_choice.ServiceChoice(rng=random.Random(5))
    choice.reported("one", busy=12, slots=6, now_seconds=1.0)
    choice.reported("two", busy=12, slots=6, now_seconds=1.0)
    assert choice.choose(ENDPOINTS, now_seconds=1.1) == "three"


def test_without_endpoints_none_is_chosen() -> None:
    choice = service_choice.ServiceChoice(rng=random.Random(6))
    assert choice.choose([], now_seconds=0.0) is None


def test_an_endpoint_that_takes_no_connection_is_left_at_once() -> None:
    choice = service_choice.ServiceChoice(rng=random.Random(7))
    choice.unreachable("one", now_seconds=1.0)
    chosen = {choice.choose(ENDPOINTS, now_seconds=1.1) for _ in range(20)}
    assert "one" not in chosen
    assert choice.health("one", now_seconds=1.0) == 0.0
    later = [choice.choose(ENDPOINTS, now_seconds=21.0) for _ in range(30)]
    assert "one" in later
