from __future__ import annotations

import pytest

from boragefold.coordination.fleet import removal_grace
from boragefold.timing import clock as clocks
from boragefold.timing import timers as timing


class Harness:
    def __init__(self):
        self.clock = clocks.VirtualClock()
        self.timers = timing.TimerService(clock=self.clock)
        self.dropped = []
        self.grace = removal_grace.RemovalGrace(
            timers=self.timers, drop=self.dropped.append
        )

    def pass_time(self, seconds):
        self.clock.move_to(self.clock.now_seconds() + seconds)
        self.timers.run_due()


@pytest.fixture
def harness():
    return Harness()


def test_a_removal_applies_at_once_while_the_store_is_up(harness) -> None:
    harness.grace.remove("e1")
    assert harness.dropped == ["e1"]


def test_an_endpoint_that_registers_again_isnt_dropped(harness) -> None:
    # A registration that expired in a store outage isn't a removal.
    harness.grace.store_recovered()
    harness.grace.remove("e1")
    harness.grace.remove("e2")
    harness.pass_time(1.0)
    harness.grace.cancel("e1")
    harness.pass_time(2.0)
    assert harness.dropped == ["e2"]


def test_an_endpoint_still_missing_later_is_dropped(harness) -> None:
    harness.grace.store_recovered()
    harness.pass_time(1.5)
    harness.grace.remove("e1")
    assert not harness.dropped
    harness.pass_time(1.0)
    assert harness.dropped == ["e1"]
    harness.grace.remove("e2")
    assert harness.dropped == ["e1", "e2"]


def test_a_peers_remaining_grace_period_applies(harness) -> None:
    harness.grace.store_recovered(0.5)
    harness.grace.remove("e1")
    harness.pass_time(0.6)
    assert harness.dropped == ["e1"]


def test_a_removal_counts_at_once_where_only_we_lost_the_store(
    harness,
) -> None:
    # If a peer kept its connection to the store, no registration expired.
    grace = removal_grace.RemovalGrace(
        timers=harness.timers,
        drop=harness.dropped.append,
        peer_had_store=lambda: True,
    )
    grace.store_recovered()
    grace.remove("e1")
    assert harness.dropped == ["e1"]
