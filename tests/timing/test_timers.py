from __future__ import annotations

import gc
import weakref

from boragefold.timing import clock as clocks
from boragefold.timing import timers


def test_a_paused_process_catches_up_once() -> None:
    # Guards against a burst: a process paused for a minute missed sixty
    # heartbeats, and must not send them all at once when it continues.
    clock = clocks.VirtualClock()
    service = timers.TimerService(clock=clock)
    calls: list[float] = []
    service.every(
        period_seconds=1.0,
        callback=lambda: calls.append(clock.now_seconds()),
    )
    clock.move_to(60.0)
    service.run_due()
    assert calls == [60.0]
    assert service.next_due_seconds() == 61.0


def test_a_cancelled_subscription_is_never_called() -> None:
    clock = clocks.VirtualClock()
    service = timers.TimerService(clock=clock)
    calls: list[int] = []
    subscription = service.once(
        delay_seconds=1.0, callback=lambda: calls.append(1)
    )
    subscription.cancel()
    clock.move_to(2.0)
    assert service.run_due() == 0
    assert not calls


def test_what_was_cancelled_holds_nothing_until_it_would_be_due() -> None:
    # Finished requests stayed in memory, body included, until their time-out.
    class Request:
        def time_out(self) -> None:
            raise AssertionError

    service = timers.TimerService(clock=clocks.VirtualClock())
    request = Request()
    subscription = service.once(delay_seconds=15.0, callback=request.time_out)
    held = weakref.ref(request)
    gc.disable()
    try:
        subscription.cancel()
        del request
        assert held() is None
    finally:
        gc.enable()
