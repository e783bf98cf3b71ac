from __future__ import annotations

import pytest

from boragefold.bench import load_shares
from boragefold.bench import shares
from boragefold.policy import token_balance
from boragefold.timing import clock
from boragefold.timing import timers


class Bed:
    """Two instances, one holder, 1 ms between them."""

    def __init__(self, *, rate: float = 100.0) -> None:
        self.clock = clock.VirtualClock()
        self.service = timers.TimerService(clock=self.clock)
        self.holder = shares.RateHolder(
            service=self.service,
            rates_tokens_per_second={"w": rate},
            instances=2,
        )
        self.balances = [
            shares.ModelBalance(
                service=self.service, holder=self.holder, delay_seconds=0.001
            )
            for _ in range(2)
        ]

    def run(self, until: float) -> None:
        while (due := self.service.next_due_seconds()) is not None:
            if due > until:
                break
            self.clock.move_to(due)
            self.service.run_due()
        self.clock.move_to(until)

    def reserve(self, number: int, tokens: float):
        return self.balances[number].reserve(workspace="w", tokens=tokens)


def test_what_two_instances_get_is_never_more_than_the_rate() -> None:
    bed = Bed(rate=100.0)
    got = 0.0
    for step in range(400):
        bed.run(step * 0.01)
        if isinstance(bed.reserve(step % 2, 50.0), token_balance.Reservation):
            got += 50.0
    burst = bed.holder.bursts["w"]
    assert burst * 0.9 <= got <= burst + 4.0 * 100.0


def test_a_shortfall_is_granted_and_told() -> None:
    bed = Bed()
    told: list[str] = []
    bed.balances[0].subscribe(told.append)
    assert isinstance(bed.reserve(0, 50.0), token_balance.Shortfall)
    bed.run(0.01)
    assert told == ["w"]
    assert isinstance(bed.reserve(0, 50.0), token_balance.Reservation)


def test_more_than_the_burst_never_fits() -> None:
    bed = Bed()
    assert bed.reserve(0, 1e6) == token_balance.Shortfall(
        ready_in_seconds=None
    )


def test_loads_are_granted_at_the_rate_and_unused_ones_come_back() -> None:
    bed = Bed()
    holder = load_shares.LoadHolder(service=bed.service, loads_per_second=4.0)
    granted: list[float] = []

    def note() -> None:
        granted.append(bed.clock.now_seconds())

    budget = load_shares.ModelLoadBudget(
        service=bed.service,
        holder=holder,
        delay_seconds=0.001,
        granted=note,
    )
    taken = 0
    for step in range(300):
        bed.run(step * 0.01)
        if budget.try_acquire(now_seconds=step * 0.01):
            taken += 1
            budget.release(now_seconds=step * 0.01)
    assert taken == pytest.approx(4 + 3.0 * 4, abs=1)
    bed.run(10.0)
    assert not budget.try_acquire(now_seconds=10.0)
