from __future__ import annotations

import pytest

from boragefold.coordination.rates import limits
from boragefold.policy import token_balance
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
    # All callers of a workspace are in one data centre, and one of them sends
    # a request as large as the burst. The local part is a third of it, so the
    # other data centres must lend theirs.
    assert fleet.obtain(fleet.other("north"), 900.0, within_seconds=0.5)
    assert fleet.excess_tokens() <= TINY


def test_larger_than_the_burst_never_fits(fleet) -> None:
    result = fleet.reserve(fleet.other("north"), 901.0)
    assert result == token_balance.Shortfall(ready_in_seconds=None)


def test_the_whole_rate_in_one_data_centre(fleet) -> None:
    process = fleet.other("north")
    start = fleet.network.clock.now_seconds()
    while fleet.network.clock.now_seconds() < start + 30.0:
        while isinstance(
            fleet.reserve(process, 20.0), token_balance.Reservation
        ):
            pass
        fleet.run_for(0.02)
    got = fleet.charged_tokens(start)
    whole = 900.0 + 30.0 * 300.0
    assert got > 0.95 * whole
    assert fleet.excess_tokens() <= TINY


def test_a_cut_leaves_the_own_part(fleet) -> None:
    # The data centres are partitioned while each is asked for more than the
    # whole rate. Each continues with its own part, and the parts together stay
    # within the rate.
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
    # is not charged yet. The next holder must not grant more on top of that.
    killed = fleet.holder("north")
    fleet.obtain(fleet.other("north"), 100.0, within_seconds=0.1)
    fleet.kill(killed)
    fleet.change_view("north")
    process = fleet.holder("north")
    result = fleet.reserve(process, 290.0)
    assert isinstance(result, token_balance.Shortfall)
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
    # The holder is paused for a minute; its lease expires and another instance
    # becomes the holder. After the pause the process handles the requests in
    # its socket buffer before it learns of the new view.
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
    while isinstance(fleet.reserve(process, 10.0), token_balance.Reservation):
        fleet.run_for(0.01)
    assert fleet.excess_tokens() <= TINY


def test_a_holder_again_after_a_gap_starts_empty(fleet) -> None:
    # A holder with a full bucket is paused. Another instance becomes the
    # holder and grants the whole refill. Then the first one is the holder
    # again and resumes with its old bucket.
    paused = fleet.holder("north")
    fleet.network.is_cut = lambda one, other: (
        one.data_centre != other.data_centre
    )
    fleet.network.pause(paused.node)
    fleet.change_view("north", without=(paused,))
    fleet.run_for(8.0)
    assert fleet.obtain(fleet.holder("north"), 300.0, within_seconds=0.1)
    fleet.change_view("north")
    fleet.network.resume(paused.node)
    fleet.views.learn(paused.rights)
    assert fleet.holder("north") is paused
    assert isinstance(fleet.reserve(paused, 290.0), token_balance.Shortfall)
    fleet.run_for(4.0)
    assert fleet.obtain(paused, 100.0, within_seconds=0.1)
    assert fleet.excess_tokens() <= TINY


def test_a_right_that_ends_within_a_handler(fleet) -> None:
    # The process is paused between the start of a handler and the debit, and
    # its lease expires meanwhile. The grant must not be sent.
    holder = fleet.holder("north")
    process = fleet.other("north")
    bucket = holder.rates.buckets(FULL_SECONDS)[0]
    advance = bucket.advance

    def advance_slowly(now_seconds: float) -> None:
        advance(now_seconds)
        fleet.views.end("north")

    bucket.advance = advance_slowly
    fleet.reserve(process, 100.0)
    fleet.run_for(0.1)
    assert isinstance(fleet.reserve(process, 100.0), token_balance.Shortfall)


def test_a_raised_weight_waits_for_those_that_fall(fleet) -> None:
    # The weight of one data centre is increased while another one is
    # partitioned and has not read the change. If the first used its new part
    # at once, both together would grant more than the rate.
    weights = {"north": 4.0, "south": 1.0, "west": 1.0}
    fleet.network.is_cut = lambda one, other: (
        (one.data_centre == "south") != (other.data_centre == "south")
    )
    for name in ("north", "west"):
        for process in fleet.processes[name]:
            process.rates.update_data_centres(revision=2, weights=weights)
    fleet.run_for(10.0)
    holder = fleet.holder("north").rates
    now_seconds = fleet.network.clock.now_seconds()
    assert holder.buckets(now_seconds)[0].limit == fleet.limit.part(1 / 3)
    fleet.network.is_cut = lambda one, other: False
    for process in fleet.processes["south"]:
        process.rates.update_data_centres(revision=2, weights=weights)
    fleet.run_for(10.0)
    now_seconds = fleet.network.clock.now_seconds()
    assert holder.buckets(now_seconds)[0].limit == fleet.limit.part(2 / 3)


def test_a_restart_does_not_cut_the_wait_for_a_raise_short(fleet) -> None:
    # While an increase waits for a partitioned data centre, the instances of
    # the gaining data centre restart. The new ones know only the new weights.
    weights = {"north": 4.0, "south": 1.0, "west": 1.0}
    fleet.network.is_cut = lambda one, other: (
        (one.data_centre == "south") != (other.data_centre == "south")
    )
    for name in ("north", "west"):
        for process in fleet.processes[name]:
            process.rates.update_data_centres(revision=2, weights=weights)
    fleet.weights, fleet.revision = weights, 2
    fleet.run_for(2.0)
    for process in list(fleet.processes["north"]):
        fleet.start("north")
        fleet.change_view("north", without=(process,))
        fleet.run_for(5.0)
        fleet.kill(process)
    now_seconds = fleet.network.clock.now_seconds()
    bucket = fleet.holder("north").rates.buckets(now_seconds)[0]
    assert bucket.limit == fleet.limit.part(1 / 3)


def test_a_data_centre_taken_out_gives_its_part_to_the_others(fleet) -> None:
    for process in fleet.processes["north"] + fleet.processes["west"]:
        process.rates.update_data_centres(
            revision=2, weights={"north": 1.0, "west": 1.0}
        )
    fleet.run_for(4.0)
    now_seconds = fleet.network.clock.now_seconds()
    bucket = fleet.holder("north").rates.buckets(now_seconds)[0]
    assert bucket.limit == fleet.limit.part(1 / 2)


def test_unused_tokens_come_back_late(fleet) -> None:
    # Requests reserve ten times what they use and run longer than a grant is
    # valid. In any four seconds 21 of them fit into burst and refill at their
    # full size; without the return of unused tokens, 12 would.
    process = fleet.other("north")
    start = fleet.network.clock.now_seconds()
    running: list[tuple[float, token_balance.Reservation]] = []
    for step in range(3000):
        result = fleet.reserve(process, 100.0)
        if isinstance(result, token_balance.Reservation):
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
    # A caller disconnects as its response ends, and both code paths settle.
    fleet.network.is_cut = lambda one, other: (
        one.data_centre != other.data_centre
    )
    process = fleet.other("north")
    assert fleet.obtain(process, 200.0, within_seconds=0.1)
    reservation = fleet.charges[-1].reservation
    for _ in range(3):
        fleet.settle(process, reservation, 150.0)
    assert fleet.obtain(process, 140.0, within_seconds=0.1)
    assert not fleet.obtain(process, 100.0, within_seconds=0.1)


def test_a_shortfall_tells_when(fleet) -> None:
    process = fleet.other("north")
    first = fleet.reserve(process, 100.0)
    assert isinstance(first, token_balance.Shortfall)
    assert 0 < first.ready_in_seconds <= 10 * limits.IN_FLIGHT_SECONDS
    assert fleet.obtain(process, 900.0, within_seconds=0.5)
    fleet.reserve(process, 600.0)
    fleet.run_for(0.3)
    later = fleet.reserve(process, 600.0)
    assert isinstance(later, token_balance.Shortfall)
    assert 1.0 < later.ready_in_seconds < 2.5


def test_an_unresponsive_holder_lengthens_the_retry_delay(fleet) -> None:
    # The holder has died but is still in the view. Callers were told to retry
    # almost immediately, again and again, and kept their connections open.
    process = fleet.other("north")
    fleet.kill(fleet.holder("north"))
    for _ in range(20):
        result = fleet.reserve(process, 250.0)
        fleet.run_for(0.1)
    assert isinstance(result, token_balance.Shortfall)
    assert result.ready_in_seconds >= limits.RETRY_SECONDS
    assert process.counters.value("rate_shortfalls", "unanswered") > 0
