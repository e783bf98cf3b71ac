"""When an evacuation comes into force, adapter by adapter."""

from __future__ import annotations

from boragefold.state import deployment
from boragefold.state import evacuations as evacuations_module
from boragefold.state import fleet as fleets
from boragefold.timing import clock as clocks

LIMIT_SECONDS = 5.0
ADAPTERS = [deployment.AdapterKey("base", f"a{n}") for n in range(1000)]


def make(clock=None):
    return evacuations_module.Evacuations(
        now_seconds=(clock or clocks.VirtualClock()).now_seconds,
        limit_seconds=LIMIT_SECONDS,
    )


def count_moved(evacuations):
    return sum(evacuations.includes("dc-a", key) for key in ADAPTERS)


def test_adapters_move_evenly_and_well_before_the_limit() -> None:
    # All adapters of a data centre would be loaded elsewhere at once.
    clock = clocks.VirtualClock()
    evacuations = make(clock)
    clock.move_to(100.0)
    assert evacuations.set("dc-a", True, 100.0)
    assert count_moved(evacuations) < 10
    clock.move_to(101.0)
    assert 400 < count_moved(evacuations) < 600
    clock.move_to(100.0 + LIMIT_SECONDS * 0.4)
    assert count_moved(evacuations) == len(ADAPTERS)


def test_what_needs_no_adapter_moves_at_once() -> None:
    # A plain service, or a base model, needs no load elsewhere.
    evacuations = make()
    evacuations.set("dc-a", True, 0.0)
    assert evacuations.includes("dc-a")
    assert evacuations.includes("dc-a", deployment.AdapterKey("base", ""))
    assert not evacuations.includes("dc-b")


def test_an_evacuation_of_unknown_age_is_in_force_at_once() -> None:
    # Whoever starts or learns late would go on sending beyond the limit.
    evacuations = make()
    evacuations.set("dc-a", True, None)
    assert count_moved(evacuations) == len(ADAPTERS)


def test_a_key_that_is_written_again_begins_no_second_hand_over() -> None:
    # Adapters that have moved would return to the evacuated data centre.
    clock = clocks.VirtualClock()
    evacuations = make(clock)
    evacuations.set("dc-a", True, 0.0)
    clock.move_to(LIMIT_SECONDS)
    assert not evacuations.set("dc-a", True, LIMIT_SECONDS)
    assert count_moved(evacuations) == len(ADAPTERS)


def test_a_removal_ends_the_evacuation_at_once() -> None:
    evacuations = make()
    evacuations.set("dc-a", True, None)
    assert evacuations.set("dc-a", False, None)
    assert not evacuations
    assert not evacuations.includes("dc-a", ADAPTERS[0])


def test_a_fleet_keeps_the_evacuations_that_it_is_given() -> None:
    # None are in force at first, and an empty collection is false: others
    # without clock and limit took their place, and no adapter ever moved.
    evacuations = make()
    assert fleets.Fleet(evacuations=evacuations).evacuations is evacuations
