"""Schedules for the owners of one engine, checked by its record of orders."""

from __future__ import annotations

import pytest

from tests.fakes import order_plans
from tests.fakes import order_walk

Step = order_walk.Step

SEEDS = range(10)


def ask(at_seconds, adapter, seconds=0.1):
    return Step(at_seconds, "ask", seconds=seconds, adapter=adapter)


def claim(at_seconds, instance):
    return Step(at_seconds, "claim", instance)


def release(at_seconds, instance):
    return Step(at_seconds, "release", instance)


# Instance 0 owns the engine and fills it.
FILLED = [
    claim(0.0, 0),
    *(ask(0.6 + number / 50, f"a{number}") for number in range(5)),
]


def breaches(steps, seeds=SEEDS):
    return {
        seed: found
        for seed in seeds
        if (found := order_walk.OrderWalk(seed=seed, steps=steps).run())
    }


@pytest.mark.parametrize("profile", order_plans.PROFILES)
def test_no_schedule_has_two_givers_at_once(profile) -> None:
    # A breach: two instances alternate on one engine, or a fencing number
    # decreases.
    broken = {}
    for seed in SEEDS:
        steps = order_plans.draw(seed=seed, profile=profile)
        if found := order_walk.OrderWalk(seed=seed, steps=steps).run():
            broken[seed] = found
    assert not broken


def test_the_next_owner_repeats_no_unload_in_progress() -> None:
    # An adapter is being unloaded while a request of a former owner runs on
    # it. The next owner unloaded it again, which isn't counted, and the third
    # one reused the order count.
    steps = [
        claim(0.0, 0),
        ask(0.9, "a5", 4.0),
        ask(1.0, "a3"),
        ask(1.3, "a7"),
        release(1.7, 0),
        claim(2.2, 0),
        ask(2.85, "a2"),
        ask(2.87, "a1"),
        ask(3.0, "a0"),
        release(3.06, 0),
        claim(3.2, 1),
        ask(3.4, "a0"),
        release(4.5, 1),
        claim(6.5, 0),
        ask(6.6, "a0"),
    ]
    assert not breaches(steps)


def test_a_late_order_finds_no_repetition_of_itself() -> None:
    # The response to an order is lost and the order is repeated. The first
    # copy arrives after the second, with a fencing number that is too low.
    asked = [
        ask(0.8 + number / 10, f"a{number % 8}", 0.2) for number in range(30)
    ]
    steps = [*FILLED, Step(0.7, "bad", 0, 3.0), *asked]
    assert not breaches(steps, seeds=(12, 46, 53, 92, 124, 125))


def test_two_that_take_a_full_engine_up_at_once_dont_share_a_count() -> None:
    # Both unloaded the first adapter of the report for their first load.
    steps = [
        *FILLED,
        release(2.0, 0),
        claim(2.1, 1),
        claim(2.17, 2),
        *(
            ask(2.2 + number / 20, f"a{5 + number % 4}")
            for number in range(16)
        ),
    ]
    assert not breaches(steps)


def test_two_that_wait_for_one_lease_dont_share_a_count() -> None:
    # Both saw the former owner's last order and began when its lease expired.
    steps = [
        *FILLED,
        claim(1.0, 1),
        claim(1.1, 2),
        ask(2.0, "a6"),
        release(2.3, 0),
        *(ask(2.5 + number / 8, f"a{5 + number % 4}") for number in range(32)),
    ]
    assert not breaches(steps)


def test_what_was_dropped_and_loaded_again_is_not_dropped_early() -> None:
    # A report from before the unload was taken as the end of the new load.
    # The second unload isn't counted, and the next owner reused its count.
    steps = [
        claim(0.0, 2),
        ask(4.0, "a0"),
        ask(4.1, "a1"),
        ask(9.46, "a2", 0.7),
        ask(9.52, "a8", 0.4),
        ask(9.63, "a4", 0.6),
        ask(9.767, "a7", 0.4),
        ask(9.832, "a0", 0.6),
        ask(9.88, "a3", 0.4),
        release(9.96, 2),
        claim(11.2, 1),
        ask(13.7, "a1"),
    ]
    assert not breaches(steps)


def test_a_model_isnt_ordered_again_when_the_record_tells_of_the_restart() -> (
    None
):
    # Applying the new record of a restarted engine discarded the load that
    # had been ordered since the restart.
    steps = [
        claim(0.0, 0),
        Step(1.0, "restart", seconds=0.4),
        release(1.2, 0),
        claim(1.4, 1),
        *(ask(1.6 + number / 8, f"a{number % 4}") for number in range(16)),
    ]
    walks = [order_walk.OrderWalk(seed=seed, steps=steps) for seed in SEEDS]
    assert not any(walk.run() for walk in walks)
    orders = [order for walk in walks for order in walk.engine.orders]
    assert all(order.counted for order in orders if order.status == 202)


def test_an_owner_that_is_cut_off_orders_nothing() -> None:
    # It considers the others gone, and would give orders beside the owner
    # that the others see.
    for cut_off in (0, 1):
        steps = [
            claim(0.0, 0),
            Step(0.1, "cut", cut_off, 20.0),
            claim(1.3, 1),
            *(ask(4.0 + number / 100, "a0", 0.5) for number in range(6)),
            ask(4.3, "a1"),
            ask(4.4, "a2"),
        ]
        walks = [
            order_walk.OrderWalk(seed=seed, steps=steps) for seed in SEEDS
        ]
        assert not any(walk.run() for walk in walks)
        givers = {
            order.giver for walk in walks for order in walk.engine.orders
        }
        assert givers == {f"instance-{1 - cut_off}"}


def test_a_new_holder_relies_on_no_report_of_the_time_before() -> None:
    # It had counted quiet time from before it got the lease, while another
    # instance held it, and began at once.
    steps = order_plans.draw(seed=1317, profile="badsplit")
    assert not order_walk.OrderWalk(seed=1317, steps=steps).run()


def test_an_order_lost_before_a_handover_hides_no_other_owners() -> None:
    # The order never arrived. One by the owner in between was mistaken for
    # it, so the first owner resumed without waiting for a lease.
    steps = order_plans.draw(seed=2182, profile="badhand")
    assert not breaches(steps, seeds=(2182,))


def test_two_that_own_an_idle_engine_dont_load_the_same_adapter() -> None:
    # Two owners that can't reach each other load the same adapter within the
    # delay of a report. The engine accepts the second order without checking
    # the order count.
    steps = [
        claim(0.0, 0),
        claim(0.2, 1),
        *(ask(3.0 + number / 100, "a0", 0.5) for number in range(6)),
        ask(3.3, "a1"),
        ask(3.4, "a2"),
    ]
    assert not breaches(steps)


def test_no_order_of_a_former_life_is_given_to_an_engine_that_is_back() -> (
    None
):
    # The first report after a restart counts no orders, and was taken as a
    # confirmation of the count from before the restart.
    broken = {}
    for seed in (1175, 1335, 1436):
        steps = order_plans.draw(seed=seed, profile="all")
        if found := order_walk.OrderWalk(seed=seed, steps=steps).run():
            broken[seed] = found
    assert not broken


@pytest.mark.parametrize("profile", ["restart", "all"])
def test_no_schedule_has_two_givers_where_engines_tell_their_start(
    profile,
) -> None:
    # With start times, an unload that reaches the engine after a restart
    # lowers no fencing number.
    broken = {}
    for seed in (50026, 51194, *SEEDS):
        steps = order_plans.draw(seed=seed, profile=profile)
        walk = order_walk.OrderWalk(seed=seed, steps=steps, tells_start=True)
        if found := walk.run():
            broken[seed] = found
    assert not broken


def test_an_unload_that_meets_the_next_life_lowers_no_number() -> None:
    # Without start times, the engine restarted and didn't count the unload.
    broken = {}
    for seed in (50026, 51194):
        steps = order_plans.draw(seed=seed, profile="restart")
        if found := order_walk.OrderWalk(seed=seed, steps=steps).run():
            broken[seed] = found
    assert not broken
