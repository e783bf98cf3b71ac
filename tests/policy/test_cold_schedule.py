"""One engine that becomes cold under load."""

from __future__ import annotations

import pytest

from boragefold.policy import engine_decisions
from boragefold.policy import engine_schedule
from tests.fakes import engine_loads

PER_SECOND = 9.2
COLD_AT_SECONDS = 1.05
WARM_AT_SECONDS = 12.0


class Bench(engine_loads.Bench):
    """Lists when requests are granted."""

    def __init__(self):
        super().__init__()
        self.grants = []
        self.set_cold(-1.0)

    def set_cold(self, until, *, at=0.0):
        self.schedule.cold.update(
            per_second=PER_SECOND, until_seconds=until, now_seconds=at
        )

    def _serve(self, one, now):
        self.grants.append(now)
        super()._serve(one, now)


def request(request_id, at, **terms):
    return engine_loads.make_request(
        request_id, "a1", at=at, prompt=200, **terms
    )


def warm_bench():
    bench = Bench()
    bench.submit(0.0, request("first", 0.0))
    bench.run(0.9)
    return bench


def full_bench():
    """Fill the queue of a warm engine, which then becomes cold."""
    bench = warm_bench()
    for number in range(60):
        bench.submit(1.0, request(f"queued{number}", 1.0, target=2.0))
    bench.run(COLD_AT_SECONDS)
    assert bench.schedule.queued > 30
    bench.set_cold(WARM_AT_SECONDS, at=COLD_AT_SECONDS)
    bench._advance(COLD_AT_SECONDS)
    return bench


def test_what_waits_at_an_engine_that_becomes_cold_is_refused_soon() -> None:
    # A request that waits for nothing has no time left for another engine.
    bench = full_bench()
    refused = [
        outcome.refused_seconds
        for outcome in bench.outcomes.values()
        if outcome.refused == "queue_too_long"
    ]
    assert len(refused) > 10
    assert max(refused) == COLD_AT_SECONDS
    bench.run(WARM_AT_SECONDS - 0.1)
    reasons = {outcome.refused for outcome in bench.outcomes.values()}
    assert reasons == {"", "queue_too_long"}


def test_a_cold_engine_gets_its_rate_and_no_more() -> None:
    # It crashes well above the rate, and is of no use without it.
    bench = full_bench()
    for number in range(300):
        at = COLD_AT_SECONDS + number / 30
        bench.submit(at, request(f"more{number}", at))
    bench.run(WARM_AT_SECONDS - 0.01)
    grants = [at for at in bench.grants if at >= COLD_AT_SECONDS]
    span = [at for at in grants if 3.0 <= at < 11.0]
    assert len(span) >= 0.85 * PER_SECOND * 8
    for first in grants:
        within = [at for at in grants if first <= at <= first + 1.0]
        assert len(within) <= PER_SECOND


def test_refused_requests_leave_the_rate_to_those_behind() -> None:
    # The engine would get nothing while requests that can wait are refused.
    bench = warm_bench()
    for number in range(60):
        hasty = request(f"hasty{number}", 1.0, priority=0, target=2.0)
        bench.submit(1.0, hasty)
    for number in range(5):
        patient = request(f"patient{number}", 1.0, target=4.2, patience=4.2)
        bench.submit(1.0, patient)
    bench.run(COLD_AT_SECONDS)
    bench.set_cold(WARM_AT_SECONDS, at=COLD_AT_SECONDS)
    bench.run(6.0)
    refused = [
        name for name, outcome in bench.outcomes.items() if outcome.refused
    ]
    assert len(refused) > 2 * PER_SECOND
    assert all(name.startswith("hasty") for name in refused)


def test_an_eager_request_learns_that_the_rate_is_used_up() -> None:
    # Its sender can use an engine that isn't cold.
    bench = full_bench()
    bench.run(COLD_AT_SECONDS + 0.1)
    now = COLD_AT_SECONDS + 0.1
    refusal = bench.schedule.submit(
        request("eager", now, target=0.3)._replace(eager=True),
        now_seconds=now,
    )
    assert isinstance(refusal, engine_decisions.Refusal)
    assert refusal.reason == engine_schedule.WOULD_BE_LATE
    assert refusal.wait_seconds > 0.3


def test_a_request_is_granted_as_soon_as_the_rate_allows() -> None:
    # Without a due time, it would wait for the next event.
    bench = warm_bench()
    bench.set_cold(WARM_AT_SECONDS, at=1.0)
    for number in range(12):
        bench.submit(2.5, request(f"r{number}", 2.5, target=2.0))
    bench.run(4.0)
    first, *_, last = bench.grants[1:11]
    assert first == 2.5
    assert last == pytest.approx(first + 1.05)
    assert bench.schedule.cold.take_held() >= 1


def test_the_end_of_the_cold_time_releases_what_waits() -> None:
    # A request behind the rate must not wait for a window that is over.
    bench = warm_bench()
    bench.set_cold(2.0, at=1.0)
    for number in range(30):
        bench.submit(1.9, request(f"r{number}", 1.9))
    bench.run(2.0)
    assert bench.grants.count(2.0) >= 1
