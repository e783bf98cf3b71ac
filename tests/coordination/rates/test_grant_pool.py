from __future__ import annotations

import itertools

import pytest

from boragefold.coordination.rates import grant_pool as grant_pools
from boragefold.coordination.rates import limits
from boragefold.protocol import rate_messages
from boragefold.timing import clock as clocks


class Source:
    """A grant pool that records the requests it sends."""

    def __init__(self) -> None:
        self.clock = clocks.VirtualClock()
        self.sent: list[rate_messages.TokensAsked] = []
        self.grant_pool = grant_pools.GrantPool(
            workspace="w",
            now_seconds=self.clock.now_seconds,
            send=self.sent.append,
            numbers=itertools.count(),
        )

    def give(self, tokens: float, *, number: int = 0) -> bool:
        return self.grant_pool.receive(
            rate_messages.TokensGiven(
                "w", number, tokens, limits.GRANT_VALID_SECONDS, 0.0, False
            )
        )

    def usages(self) -> tuple[rate_messages.Usage, ...]:
        """Return the reports that a request carries now."""
        self.grant_pool.tick()
        self.grant_pool.request_tokens(needed_tokens=1.0, ahead_tokens=0.0)
        return self.sent[-1].usages


@pytest.fixture
def source() -> Source:
    made = Source()
    made.grant_pool.request_tokens(needed_tokens=100.0, ahead_tokens=0.0)
    return made


def test_a_doubled_grant_counts_once(source) -> None:
    # The network delivers a grant twice, but the holder debited it once.
    assert source.give(100.0)
    source.grant_pool.charge(60.0)
    assert not source.give(100.0)
    assert source.grant_pool.available_tokens() == 40.0


def test_a_grant_ends_counted_from_its_request(source) -> None:
    # The response takes most of a grant's validity. The holder refills the
    # tokens one validity period after it debited them, so the receiver must
    # not count from the arrival of the response.
    source.clock.move_to(limits.GRANT_VALID_SECONDS - 0.1)
    assert source.give(100.0)
    source.clock.move_to(limits.GRANT_VALID_SECONDS + 0.1)
    assert source.grant_pool.available_tokens() == 0.0


def test_an_answer_after_the_end_is_worthless(source) -> None:
    # The grant was reported as unused, so the holder already took it back.
    source.clock.move_to(limits.GRANT_VALID_SECONDS)
    assert source.usages() == (rate_messages.Usage(0, 0.0, True),)
    assert not source.give(100.0)
    assert source.grant_pool.available_tokens() == 0.0


def test_what_was_granted_on_is_not_reported_as_charged(source) -> None:
    # A borrower grants a loan on to an instance, which may still charge it.
    # If the lender counted it as charged, it would stop occupying the bucket
    # at once, and refill and loan could both be charged at the same time.
    source.give(100.0)
    charge = source.grant_pool.charge(100.0, regranted=True)
    assert source.usages() == ()
    source.grant_pool.finalize(charge, kept_tokens=70.0)
    assert source.usages()[-1] == rate_messages.Usage(0, 70.0, False)
    source.grant_pool.settle(charge, used_tokens=10.0)
    assert source.usages()[-1] == rate_messages.Usage(0, 10.0, True)


def test_a_remainder_is_local_while_the_grant_lives(source) -> None:
    source.give(100.0)
    charge = source.grant_pool.charge(80.0)
    source.grant_pool.settle(charge, used_tokens=30.0)
    source.grant_pool.settle(charge, used_tokens=0.0)
    assert source.grant_pool.available_tokens() == 70.0


def test_reports_are_repeated_until_acknowledged(source) -> None:
    # The message that returns tokens is lost.
    source.give(100.0)
    charge = source.grant_pool.charge(100.0)
    assert source.grant_pool.due_reports(after_seconds=0.0) == ()
    source.grant_pool.settle(charge, used_tokens=20.0)
    final = (rate_messages.Usage(0, 20.0, True),)
    assert source.grant_pool.due_reports(after_seconds=0.0) == final
    assert source.usages() == final
    assert source.usages() == final
    source.give(1.0, number=source.sent[-1].number)
    assert source.grant_pool.due_reports(after_seconds=0.0) == ()


def test_noted_reports_are_forgotten(source) -> None:
    source.give(100.0)
    source.grant_pool.settle(source.grant_pool.charge(100.0), used_tokens=20.0)
    source.grant_pool.acknowledge(
        source.grant_pool.due_reports(after_seconds=0.0)
    )
    assert source.grant_pool.idle
