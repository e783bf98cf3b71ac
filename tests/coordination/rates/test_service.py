from __future__ import annotations

import pytest

from boragefold.coordination.rates import limits
from boragefold.policy import stock
from tests.fakes import rates as fakes

FULL_SECONDS = 10.0
TINY = 1e-3


@pytest.fixture
def fleet() -> fakes.Fleet:
    full = fakes.Fleet()
    full.run_for(FULL_SECONDS)
    return full


def test_a_request_in_each_data_centre_finds_tokens(fleet) -> None:
    for name in fakes.DATA_CENTRES:
        assert fleet.obtain(fleet.other(name), 100.0, within_seconds=0.1)
        assert fleet.obtain(fleet.holder(name), 100.0, within_seconds=0.1)
    assert fleet.excess_tokens() <= TINY


def test_the_whole_burst_in_one_data_centre(fleet) -> None:
    # All callers of a workspace sit in one data centre, and one of them sends
    # a request as large as the burst. The local part is a third of it; the
    # others must lend theirs.
    assert fleet.obtain(fleet.other("north"), 900.0, within_seconds=0.5)
    assert fleet.excess_tokens() <= TINY


def test_larger_than_the_burst_never_fits(fleet) -> None:
    result = fleet.reserve(fleet.other("north"), 901.0)
    assert result == stock.Shortfall(ready_in_seconds=None)


def test_the_whole_rate_in_one_data_centre(fleet) -> None:
    process = fleet.other("north")
    start = fleet.network.clock.now_seconds()
    while fleet.network.clock.now_seconds() < start + 30.0:
        while isinstance(fleet.reserve(process, 20.0), stock.Reservation):
            pass
        fleet.run_for(0.02)
    got = fleet.charged_tokens(start)
    whole = 900.0 + 30.0 * 300.0
    assert got > 0.95 * whole
    assert fleet.excess_tokens() <= TINY


def test_a_cut_leaves_the_own_part(fleet) -> None:
    # The regions lose each other while every data centre is asked for more
    # than the whole rate. Each goes on with its own part, and the parts
    # together stay within the rate.
    fleet.network.is_cut = lambda one, other: (
        one.data_centre != other.data_centre
    )
    start = fleet.network.clock.now_seconds()
    while fleet.network.clock.now_seconds() < start + 30.0:
        for name in fakes.DATA_CENTRES:
            fleet.reserve(fleet.other(name), 20.0)
        fleet.run_for(0.02)
    part = (900.0 + 30.0 * 300.0) / 3
    got = fleet.charged_tokens(start)
    assert 0.95 * 3 * part < got <= 3 * part + TINY
    assert fleet.excess_tokens() <= TINY


def test_a_new_holder_starts_empty(fleet) -> None:
    # The holder is killed right after it granted a whole burst, part of which
    # is not charged yet. Its successor must not grant on top of that.
    killed = fleet.holder("north")
    fleet.obtain(fleet.other("north"), 100.0, within_seconds=0.1)
    fleet.kill(killed)
    fleet.change_view("north")
    process = fleet.holder("north")
    result = fleet.reserve(process, 290.0)
    assert isinstance(result, stock.Shortfall)
    assert fleet.obtain(process, 290.0, within_seconds=6.0)
    assert fleet.excess_tokens() <= TINY


def test_a_planned_hand_over_keeps_the_level(fleet) -> None:
    former = fleet.holder("north")
    former.rates.leave()
    fleet.run_for(0.05)
    fleet.change_view("north", without=(former,))
    fleet.network.is_cut = lambda one, other: (
        one.data_centre != other.data_centre
    )
    assert fleet.obtain(fleet.holder("north"), 290.0, within_seconds=0.1)
    assert fleet.excess_tokens() <= TINY


def test_a_paused_holder_grants_nothing_when_it_wakes(fleet) -> None:
    # The holder stops for a minute; its lease ends and another takes over.
    # When it wakes, the requests that waited in its socket are handled before
    # it hears of the new view.
    paused = fleet.holder("north")
    process = fleet.other("north")
    fleet.network.pause(paused.node)
    fleet.reserve(process, 250.0)
    fleet.run_for(1.0)
    fleet.change_view("north", without=(paused,))
    fleet.run_for(59.0)
    before = paused.counters.total("rate_tenures")
    fleet.network.resume(paused.node)
    fleet.run_for(0.1)
    assert paused.counters.total("rate_tenures") >= before
    while isinstance(fleet.reserve(process, 10.0), stock.Reservation):
        fleet.run_for(0.01)
    assert fleet.excess_tokens() <= TINY


def test_unused_tokens_come_back_late(fleet) -> None:
    # Requests reserve ten times what they use and run for longer than a
    # grant lives. In any four seconds 21 of them fit into burst and refill
    # at their full size; were the remainders lost, 12 would.
    process = fleet.other("north")
    start = fleet.network.clock.now_seconds()
    running: list[tuple[float, stock.Reservation]] = []
    for step in range(3000):
        result = fleet.reserve(process, 100.0)
        if isinstance(result, stock.Reservation):
            running.append((step * 0.02 + 4.0, result))
        while running and running[0][0] <= step * 0.02:
            fleet.settle(process, running.pop(0)[1], 10.0)
        fleet.run_for(0.02)
    for _, reservation in running:
        fleet.settle(process, reservation, 10.0)
    got = fleet.charged_tokens(start)
    assert fleet.excess_tokens() <= TINY
    assert got > 0.8 * 21 * 10.0 * 60.0 / 4.0


def test_a_reservation_is_settled_once(fleet) -> None:
    process = fleet.other("north")
    assert fleet.obtain(process, 200.0, within_seconds=0.1)
    reservation = fleet.charges[-1].reservation
    for _ in range(3):
        fleet.settle(process, reservation, 50.0)
    fleet.run_for(1.0)
    level = fleet.holder("north").rates
    assert reservation.settled
    assert level is not None


def test_a_shortfall_tells_when(fleet) -> None:
    process = fleet.other("north")
    first = fleet.reserve(process, 100.0)
    assert isinstance(first, stock.Shortfall)
    assert 0 < first.ready_in_seconds <= 10 * limits.IN_FLIGHT_SECONDS
    assert fleet.obtain(process, 900.0, within_seconds=0.5)
    fleet.reserve(process, 600.0)
    fleet.run_for(0.3)
    later = fleet.reserve(process, 600.0)
    assert isinstance(later, stock.Shortfall)
    assert 1.0 < later.ready_in_seconds < 2.5
