from __future__ import annotations

from boragefold.policy import retry_budget
from boragefold.telemetry import counters as telemetry


def build() -> tuple[retry_budget.RetryBudget, telemetry.Counters]:
    counters = telemetry.Counters()
    return retry_budget.RetryBudget(counters=counters), counters


def retry(
    budget: retry_budget.RetryBudget, endpoint: str, at: float = 0.0
) -> bool:
    return budget.try_retry(
        endpoint, idempotent=True, bytes_sent=True, now_seconds=at
    )


def test_a_payout_is_repeated_only_if_nothing_was_sent() -> None:
    # A connection breaks after a payout was sent. The endpoint may have paid
    # it; a second attempt would pay twice.
    budget, counters = build()
    assert not budget.try_retry(
        "e", idempotent=False, bytes_sent=True, now_seconds=0.0
    )
    assert counters.value("retries_denied", "not_idempotent") == 1
    assert budget.try_retry(
        "e", idempotent=False, bytes_sent=False, now_seconds=0.0
    )


def test_a_failing_fleet_causes_no_retry_storm() -> None:
    # Every endpoint fails every request. One retry per failure would double
    # the load on endpoints that fail because of the load.
    budget, counters = build()
    retries = 0
    for step in range(10_000):
        endpoint = f"e{step % 50}"
        budget.record_first_attempt(endpoint, now_seconds=step / 1000)
        retries += retry(budget, endpoint, step / 1000)
    assert 900 <= retries <= 1_010
    assert counters.value("retries_denied", "fleet_budget") > 0


def test_one_failing_endpoint_doesnt_use_up_everyones_retries() -> None:
    budget, counters = build()
    for step in range(1000):
        budget.record_first_attempt(f"e{step % 10}", now_seconds=step / 100)
    spent = sum(retry(budget, "e0", 10.0) for _ in range(100))
    assert 10 <= spent <= 11
    assert counters.value("retries_denied", "endpoint_budget") > 0
    assert retry(budget, "e1", 10.0)


def test_little_traffic_is_allowed_retries() -> None:
    budget, _counters = build()
    assert retry(budget, "e", 0.0)
    assert retry(budget, "e", 0.0)
    assert not retry(budget, "e", 1.0)
    assert retry(budget, "e", 12.0)
    assert not retry(budget, "e", 12.0)
