"""The steps of a planned stop."""

from __future__ import annotations

from boragefold.entry import shutdown
from boragefold.timing import clock as clocks
from boragefold.timing import timers as timing

NOTICE_SECONDS = 2.5
LIMIT_SECONDS = 7.5


class Case:
    def __init__(self):
        self.clock = clocks.VirtualClock()
        self.timers = timing.TimerService(clock=self.clock)
        self.steps = []
        self.finished = False
        self.shutdown = shutdown.GracefulShutdown(
            timers=self.timers,
            notice_seconds=NOTICE_SECONDS,
            announce=lambda: self.steps.append("announce"),
            hand_over=lambda: self.steps.append("hand_over"),
            is_finished=lambda: self.finished,
            stop=lambda: self.steps.append("stop"),
            log_step=lambda step: None,
            limit_seconds=LIMIT_SECONDS,
            give_up=lambda: self.steps.append("give_up"),
        )

    def pass_time(self, seconds):
        end = self.clock.now_seconds() + seconds
        while (due := self.timers.next_due_seconds()) is not None:
            if due > end or "stop" in self.steps:
                break
            self.clock.move_to(due)
            self.timers.run_due()
        self.clock.move_to(end)


def test_callers_are_told_before_connections_are_refused():
    case = Case()
    case.shutdown.begin()
    case.shutdown.begin()
    assert case.steps == ["announce"]
    case.pass_time(NOTICE_SECONDS)
    assert case.steps == ["announce", "hand_over"]
    case.finished = True
    case.pass_time(1.0)
    assert case.steps == ["announce", "hand_over", "stop"]


def test_whoever_waits_at_the_limit_is_answered_before_the_end():
    case = Case()
    case.shutdown.begin()
    case.pass_time(LIMIT_SECONDS + 2 * shutdown.CHECK_SECONDS)
    assert case.steps == ["announce", "hand_over", "give_up", "stop"]
