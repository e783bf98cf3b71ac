"""Parts of a rate while the published weights change several times."""

from __future__ import annotations

import pytest

from tests.fakes import rates as fakes

FIRST = {"north": 4.0, "south": 2.0, "west": 1.0}
SECOND = {"north": 2.0, "south": 1.0, "west": 1.0}


def bursts_tokens(fleet: fakes.Fleet) -> float:
    now_seconds = fleet.network.clock.now_seconds()
    return sum(
        ledger.limit.burst_tokens
        for processes in fleet.processes.values()
        for process in processes
        for ledger in process.rates.buckets(now_seconds)
    )


def read(
    fleet: fakes.Fleet, name: str, revision: int, weights: dict[str, float]
) -> None:
    for process in fleet.processes[name]:
        process.rates.update_data_centres(revision=revision, weights=weights)


def test_newer_weights_elsewhere_do_not_allow_an_older_raise() -> None:
    # A caller got 964 tokens out of a burst of 900. The weights change twice:
    # one data centre reads the first change, which increases its part; the
    # others miss it and read the second one, which takes less from them.
    # Their reply with a newer revision was counted as a confirmation.
    fleet = fakes.Fleet()
    fleet.run_for(3.0)
    read(fleet, "north", 2, FIRST)
    read(fleet, "south", 3, SECOND)
    read(fleet, "west", 3, SECOND)
    fleet.run_for(10.0)
    assert bursts_tokens(fleet) <= fleet.limit.burst_tokens + 1e-6
    read(fleet, "north", 3, SECOND)
    fleet.run_for(10.0)
    assert bursts_tokens(fleet) == pytest.approx(fleet.limit.burst_tokens)


def test_a_revision_that_was_missed_may_have_raised_anybody() -> None:
    # Like the test above, but the increase by the first change was already in
    # force: it took nothing from west, which misses it and sees only that the
    # part of south shrinks. West must not increase its part before north has
    # read the second change as well.
    fleet = fakes.Fleet()
    for name in fakes.DATA_CENTRES:
        read(fleet, name, 2, {"north": 11.0, "south": 16.0, "west": 3.0})
    fleet.run_for(10.0)
    for name in ("north", "south"):
        read(fleet, name, 3, {"north": 20.0, "south": 7.0, "west": 3.0})
    fleet.run_for(10.0)
    for name in ("south", "west"):
        read(fleet, name, 4, {"north": 18.0, "south": 4.0, "west": 8.0})
    fleet.run_for(10.0)
    assert bursts_tokens(fleet) <= fleet.limit.burst_tokens + 1e-6
    read(fleet, "north", 4, {"north": 18.0, "south": 4.0, "west": 8.0})
    fleet.run_for(10.0)
    assert bursts_tokens(fleet) == pytest.approx(fleet.limit.burst_tokens)


def test_a_fresh_process_without_an_answer_does_not_raise() -> None:
    # A caller got up to 1,200 tokens out of a burst of 900. The part of south
    # is to grow, but the others have not read the change. One process of south
    # restarts while the other one there is paused, so nobody tells the new
    # process that the increase waits, and it used the published part at once.
    fleet = fakes.Fleet(seed=2)
    fleet.run_for(3.0)
    weights = {"north": 1.0, "south": 4.0, "west": 1.0}
    read(fleet, "south", 2, weights)
    lost, paused = fleet.processes["south"]
    fleet.network.pause(paused.node)
    fleet.kill(lost)
    fleet.weights, fleet.revision = weights, 2
    fresh = fleet.start("south")
    fleet.change_view("south")
    assert fleet.holder("south") is fresh
    fleet.run_for(10.0)
    assert bursts_tokens(fleet) <= fleet.limit.burst_tokens + 1e-6
