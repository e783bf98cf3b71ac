from __future__ import annotations

import hypothesis
from hypothesis import strategies

from boragefold.coordination.rates import ledger as ledgers
from boragefold.coordination.rates import limits
from boragefold.protocol import ids

LIMIT = limits.Limit(100.0, 300.0)
ASKER = ids.InstanceId("north", "127.0.0.1:1", "a")
TINY = 1e-6


def full() -> ledgers.Ledger:
    ledger = ledgers.Ledger(limit=LIMIT, now_seconds=0.0, wait_seconds=0.0)
    ledger.advance(10.0)
    return ledger


def give(ledger: ledgers.Ledger, number: int, tokens: float, at: float):
    ledger.advance(at)
    ledger.debit(asker=ASKER, number=number, tokens=tokens, now_seconds=at)


def report(ledger, number: int, charged: float, at: float, final=True):
    ledger.advance(at)
    ledger.report(
        asker=ASKER,
        number=number,
        charged_tokens=charged,
        final=final,
        now_seconds=at,
    )
    ledger.replay()


def test_a_late_remainder_can_not_exceed_the_burst() -> None:
    # A request reserves the whole burst and runs for a minute, while the
    # bucket refills. If its unused tokens were added to the level, two bursts
    # could be charged at the same time.
    ledger = full()
    give(ledger, 0, 300.0, 10.0)
    report(ledger, 0, 300.0, 10.1, final=False)
    ledger.advance(70.0)
    assert ledger.level_tokens == 300.0
    report(ledger, 0, 0.0, 70.0)
    assert ledger.level_tokens == 300.0


def test_a_remainder_comes_back_if_the_bucket_was_not_full() -> None:
    ledger = full()
    give(ledger, 0, 300.0, 10.0)
    report(ledger, 0, 300.0, 10.0, final=False)
    ledger.advance(11.0)
    assert abs(ledger.level_tokens - 100.0) < TINY
    report(ledger, 0, 150.0, 11.0)
    assert abs(ledger.level_tokens - 250.0) < TINY


def test_tokens_that_may_still_be_charged_stop_the_refill() -> None:
    ledger = full()
    give(ledger, 0, 200.0, 10.0)
    ledger.advance(11.9)
    assert abs(ledger.level_tokens - 100.0) < TINY
    ledger.advance(13.0)
    assert ledger.level_tokens > 100.0


def test_an_unreported_grant_counts_as_charged() -> None:
    ledger = full()
    give(ledger, 0, 300.0, 10.0)
    ledger.advance(12.5)
    assert 44.0 < ledger.level_tokens < 46.0


def test_held_tokens_occupy_the_bucket_until_settled() -> None:
    # A limit on running requests: their tokens do not refill.
    limit = limits.Limit(1e6, 8.0, 10.0)
    ledger = ledgers.Ledger(limit=limit, now_seconds=0.0, wait_seconds=0.0)
    ledger.advance(1.0)
    give(ledger, 0, 8.0, 1.0)
    report(ledger, 0, 8.0, 1.1, final=False)
    ledger.advance(8.0)
    assert ledger.level_tokens == 0.0
    report(ledger, 0, 8.0, 8.0)
    ledger.advance(8.1)
    assert ledger.level_tokens == 8.0


def test_a_lower_rate_holds_at_once() -> None:
    ledger = full()
    ledger.change_limit(limits.Limit(10.0, 30.0), now_seconds=10.0)
    assert ledger.level_tokens == 30.0


STEP = strategies.tuples(
    strategies.sampled_from((0.0, 0.01, 0.3, 1.0, 2.5)),
    strategies.sampled_from((0.05, 0.5, 1.0)),
    strategies.integers(0, 6),
    strategies.sampled_from((0.0, 0.2, 1.0)),
    strategies.booleans(),
)


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(strategies.lists(STEP, min_size=5, max_size=60))
def test_no_window_exceeds_burst_and_rate(steps) -> None:
    ledger = full()
    now = 10.0
    charges: list[list[float]] = []
    for wait, part, back, used, final in steps:
        now += wait
        ledger.advance(now)
        assert ledger.level_tokens + ledger.occupied_tokens <= 300.0 + TINY
        tokens = ledger.level_tokens * part
        give(ledger, len(charges), tokens, now)
        charges.append([now, tokens])
        number = len(charges) - 1 - back
        if number >= 0:
            charges[number][1] = min(
                charges[number][1], charges[number][1] * used
            )
            report(ledger, number, charges[number][1], now, final)
    total = 0.0
    lowest = 0.0
    for at, tokens in charges:
        lowest = min(lowest, total - 100.0 * at)
        total += tokens
        assert total - 100.0 * at - lowest <= 300.0 + TINY


def test_a_changed_rate_keeps_valid_grants_occupying_the_bucket() -> None:
    # The rate changes while granted tokens may still be charged. If they
    # stopped occupying the bucket, the refill would be granted on top of them.
    ledger = full()
    give(ledger, 0, 250.0, 10.0)
    ledger.change_limit(limits.Limit(110.0, 300.0), now_seconds=10.5)
    ledger.advance(11.9)
    assert ledger.occupied_tokens == 250.0
    assert ledger.level_tokens <= 50.0 + TINY
    ledger.advance(12.5)
    assert ledger.occupied_tokens == 0.0
