from __future__ import annotations

import random

import pytest

from boragefold.bench import store as stores
from boragefold.timing import clock
from boragefold.timing import timers


def ends(count: int, *, per_second: float, failing: float = 0.0):
    moving = clock.VirtualClock()
    service = timers.TimerService(clock=moving)
    store = stores.Store(
        service=service, loads_per_second=per_second, rng=random.Random(1)
    )
    store.failure_share = failing
    done: list[tuple[float, bool]] = []
    for _ in range(count):
        store.load(lambda ok: done.append((moving.now_seconds(), ok)))
    while (due := service.next_due_seconds()) is not None:
        moving.move_to(due)
        service.run_due()
    return done


def test_loads_beyond_the_rate_wait() -> None:
    at = [seconds for seconds, _ in ends(12, per_second=4.0)]
    assert at[:4] == [pytest.approx(0.25)] * 4
    assert at[11] == pytest.approx(2.25)


def test_loads_take_longer_when_more_than_eight_are_in_flight() -> None:
    at = [seconds for seconds, _ in ends(16, per_second=100.0)]
    assert at[0] == pytest.approx(0.25)
    assert at[-1] == pytest.approx(0.5)


def test_failed_loads_are_told() -> None:
    assert not any(ok for _, ok in ends(5, per_second=4.0, failing=1.0))
