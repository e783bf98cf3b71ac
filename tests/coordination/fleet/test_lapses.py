from __future__ import annotations

import pytest

from boragefold.coordination.fleet import lapses as lapses_module
from boragefold.timing import clock as clocks
from boragefold.timing import timers as timing


class Side:
    def __init__(self):
        self.clock = clocks.VirtualClock()
        self.timers = timing.TimerService(clock=self.clock)
        self.dropped = []
        self.lapses = lapses_module.Lapses(
            timers=self.timers, drop=self.dropped.append
        )

    def pass_time(self, seconds):
        self.clock.move_to(self.clock.now_seconds() + seconds)
        self.timers.run_due()


@pytest.fixture
def side():
    return Side()


def test_a_removal_counts_at_once_while_the_store_is_sound(side) -> None:
    side.lapses.removed("e1")
    assert side.dropped == ["e1"]


def test_an_endpoint_that_comes_back_never_went(side) -> None:
    # A registration that expired in a store outage isn't a removal.
    side.lapses.store_returned()
    side.lapses.removed("e1")
    side.lapses.removed("e2")
    side.pass_time(1.0)
    side.lapses.present("e1")
    side.pass_time(2.0)
    assert side.dropped == ["e2"]


def test_what_is_still_missing_is_taken_as_gone(side) -> None:
    side.lapses.store_returned()
    side.pass_time(1.5)
    side.lapses.removed("e1")
    assert not side.dropped
    side.pass_time(1.0)
    assert side.dropped == ["e1"]
    side.lapses.removed("e2")
    assert side.dropped == ["e1", "e2"]


def test_a_peers_word_counts_for_the_rest_of_its_time(side) -> None:
    side.lapses.store_returned(0.5)
    side.lapses.removed("e1")
    side.pass_time(0.6)
    assert side.dropped == ["e1"]


def test_a_removal_counts_at_once_where_only_we_lost_the_store(side) -> None:
    # If a peer kept its connection to the store, no registration expired.
    lapses = lapses_module.Lapses(
        timers=side.timers, drop=side.dropped.append, store_was_up=lambda: True
    )
    lapses.store_returned()
    lapses.removed("e1")
    assert side.dropped == ["e1"]
