from __future__ import annotations

import pytest

from tests.fakes import walk as walks

STEPS = 100


@pytest.mark.parametrize("seed", range(16))
def test_no_walk_of_faults_makes_two_holders(seed: int) -> None:
    # Kills, restarts, pauses with either order of resumption, partitions of
    # all kinds, isolation, leaves, platform outages, loss, duplication and
    # delay occur in any order, several at once, and lists differ between
    # readers. At every delivery and after every timer all valid views must be
    # the same one, and after the faults everyone must be in it.
    walk = walks.Walk(seed=seed, count=2 + seed % 6)
    for _ in range(STEPS):
        walk.step()
    assert walk.heal() < walks.HEALED_SECONDS
    assert walk.covered_steps > 0
