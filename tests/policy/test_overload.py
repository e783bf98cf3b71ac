from __future__ import annotations

from boragefold.policy import overload
from boragefold.telemetry import counters as telemetry
from tests.fakes import workloads

TIMEOUT_SECONDS = 10.0


class Controller:
    """An overload controller that observes a constant delay for some time."""

    def __init__(self) -> None:
        self.overload = overload.Overload(counters=telemetry.Counters())
        self.check()
        self.now = 0.0

    def see(self, delay: float, seconds: float) -> overload.Level:
        for _ in range(round(seconds * 10)):
            self.now += 0.1
            self.overload.observe(
                queue_delay_seconds=delay, now_seconds=self.now
            )
        return self.overload.level

    def check(
        self, *, late: bool = False, above: bool = False, cold: bool = False
    ) -> str:
        request = workloads.work(late_sensitive=late, patience=TIMEOUT_SECONDS)
        refused = self.overload.check(request, above_share=above, cold=cold)
        return refused.reason if refused is not None else ""


def test_a_burst_sheds_nothing() -> None:
    controller = Controller()
    assert controller.see(9.0, 0.4) == overload.Level.NORMAL
    assert controller.see(0.0, 0.1) == overload.Level.NORMAL
    assert controller.see(9.0, 0.4) == overload.Level.NORMAL


def test_levels_rise_in_order_and_fall_slowly() -> None:
    controller = Controller()
    assert controller.see(0.5, 5.0) == overload.Level.NO_EXTRAS
    assert controller.check(above=True) == ""
    assert controller.see(1.5, 5.0) == overload.Level.ABOVE_SHARE
    assert controller.check(above=True) == "overload_above_share"
    assert controller.check(cold=True) == ""
    assert controller.see(2.5, 5.0) == overload.Level.ORDINARY_COLD
    assert controller.check(cold=True) == "overload_cold"
    assert controller.check() == ""
    assert controller.see(3.5, 5.0) == overload.Level.ORDINARY
    assert controller.check() == "overload_ordinary"
    assert controller.check(late=True) == ""
    assert controller.check(late=True, cold=True) == ""
    assert controller.check(late=True, above=True) == "overload_above_share"
    # One level per two seconds, and only below half of the raising delay.
    assert controller.see(1.6, 5.0) == overload.Level.ORDINARY
    assert controller.see(0.0, 2.2) == overload.Level.ORDINARY_COLD
    assert controller.see(0.0, 10.0) == overload.Level.NORMAL


def test_a_falling_delay_raises_nothing_further() -> None:
    # The present level sheds enough, but the queue takes time to drain. A
    # higher level would refuse callers that didn't cause the overload.
    controller = Controller()
    controller.see(4.0, 1.3)
    assert controller.overload.level == overload.Level.ABOVE_SHARE
    for step in range(30):
        controller.see(4.0 - 0.02 * step, 0.1)
    assert controller.overload.level == overload.Level.ABOVE_SHARE


def test_a_delay_around_a_limit_doesnt_make_the_level_oscillate() -> None:
    controller = Controller()
    changes = 0
    before = controller.overload.level
    for _ in range(100):
        for delay in (1.1, 0.9):
            level = controller.see(delay, 0.6)
            changes += level != before
            before = level
    assert changes <= 2


def test_a_refusal_carries_a_retry_time() -> None:
    controller = Controller()
    controller.see(6.0, 6.0)
    refused = controller.overload.check(
        workloads.work(patience=TIMEOUT_SECONDS), above_share=True, cold=False
    )
    assert refused is not None
    assert refused.status == 503
    assert refused.retry_after_seconds == 4.5
