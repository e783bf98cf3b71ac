from __future__ import annotations

import math

import pytest

from boragefold.policy import service_rate


def test_the_rate_isnt_measured_on_an_idle_queue() -> None:
    # Guards against a burst that is refused after a time of little load: ten
    # requests a minute had passed through the idle instance when the burst
    # came, and that demand would be taken for its capacity.
    rate = service_rate.ServiceRate()
    for second in range(60):
        rate.record(100.0, now_seconds=float(second))
    assert math.isinf(rate.tokens_per_second())


def test_the_rate_is_measured_while_something_waits_for_room() -> None:
    rate = service_rate.ServiceRate()
    rate.set_waiting(True, now_seconds=0.0)
    for tick in range(1, 41):
        rate.record(50.0, now_seconds=tick / 10)
    assert rate.tokens_per_second() == pytest.approx(500.0, rel=0.05)


def test_requests_taken_while_none_waited_arent_counted() -> None:
    rate = service_rate.ServiceRate()
    for tick in range(10):
        rate.record(5000.0, now_seconds=tick / 10)
    rate.set_waiting(True, now_seconds=1.0)
    for tick in range(1, 11):
        rate.record(50.0, now_seconds=1.0 + tick / 10)
    assert rate.tokens_per_second() == pytest.approx(500.0, rel=0.1)
