from __future__ import annotations

import pytest

from boragefold.policy import fleet_part

WINDOW_SECONDS = 10.0


def part_of(part, *, at):
    return fleet_part.compute_part(part.inputs(now_seconds=at))


def update(part, *, at, heard=(), seeds=(), leaving=()):
    part.update(
        seeds=seeds,
        heard=heard,
        leaving=leaving,
        window_seconds=WINDOW_SECONDS,
        now_seconds=at,
    )


@pytest.fixture
def part():
    return fleet_part.FleetPart(started_at_seconds=0.0)


def test_an_instance_that_knows_nobody_has_no_part(part) -> None:
    # Each of a fleet that was started at once took the whole.
    assert part_of(part, at=5.0) == 0.0
    update(part, at=5.0, heard=["a", "b", "c"])
    assert part_of(part, at=5.0) == 1 / 4


def test_a_seed_that_was_never_heard_may_be_behind_a_cut(part) -> None:
    update(part, at=1.0, heard=["a"], seeds=["a", "b"])
    assert part_of(part, at=1.0) == 0.0
    update(part, at=2.0, heard=["a", "b"], seeds=["a", "b"])
    assert part_of(part, at=2.0) == 1 / 3


def test_whoever_is_cut_off_keeps_a_part(part) -> None:
    # Both sides of a cut would use the whole.
    update(part, at=1.0, heard=["a", "b", "c"])
    update(part, at=600.0, heard=["a"])
    assert part_of(part, at=600.0) == 1 / 4


def test_a_planned_stop_gives_its_part_to_the_others(part) -> None:
    update(part, at=1.0, heard=["a", "b", "c"])
    update(part, at=100.0, heard=["a", "b", "c"], leaving=["c"])
    assert part_of(part, at=105.0) == 1 / 4
    update(part, at=120.0, heard=["a", "b"])
    assert part_of(part, at=120.0) == 1 / 3


def test_a_seed_that_is_outdated_costs_nobody_a_part_for_ever(part) -> None:
    at = fleet_part.MEMORY_SECONDS + 1.0
    update(part, at=at, heard=["a"], seeds=["a", "gone"])
    assert part_of(part, at=at) == 1 / 2
