"""Random schedules for the owners of one engine, judged by its record."""

from __future__ import annotations

import pytest

from tests.fakes import order_plans
from tests.fakes import order_walk

SEEDS = 6


def breaches(*, seed, profile):
    steps = order_plans.draw(seed=seed, profile=profile)
    return order_walk.OrderWalk(seed=seed, steps=steps).run()


@pytest.mark.parametrize("profile", order_plans.PROFILES)
def test_no_schedule_has_two_givers_at_once(profile) -> None:
    # Two instances take turns at one engine, or a fencing number falls.
    broken = {
        seed: found
        for seed in range(SEEDS)
        if (found := breaches(seed=seed, profile=profile))
    }
    assert not broken
