from __future__ import annotations

import pytest

from boragefold.coordination import load_budget
from boragefold.policy import token_balance
from boragefold.state import documents
from tests.fakes import rates as fakes

STORE = documents.Store(loads_per_second=4.0, loads_in_flight=8)
LOAD_SECONDS = 0.25
SETTLED_SECONDS = 15.0


class Loaders:
    """A fleet in which every instance loads as often as permitted."""

    def __init__(self, *, load_seconds: float, store=STORE) -> None:
        self.fleet = fakes.Fleet(per_data_centre=2)
        self.load_seconds = load_seconds
        self.running: dict[int, tuple[float, str]] = {}
        self.load_starts: list[float] = []
        self.max_in_flight = 0
        self.budgets = {
            process.node.self_id: load_budget.LeasedLoadBudget(
                rates=process.rates, counters=process.counters
            )
            for processes in self.fleet.processes.values()
            for process in processes
        }
        for budget in self.budgets.values():
            budget.update(store)
        self.fleet.run_for(SETTLED_SECONDS)

    def run(self, seconds: float, loading_in=None) -> None:
        timers = self.fleet.network
        end = timers.clock.now_seconds() + seconds
        loads: list[tuple[float, object, load_budget.Load]] = []
        while (now := timers.clock.now_seconds()) < end:
            for ends_at, budget, load in list(loads):
                if now >= ends_at:
                    budget.release(load)
                    budget.release(load)
                    loads.remove((ends_at, budget, load))
            for self_id, budget in self.budgets.items():
                if (
                    loading_in is not None
                    and self_id.data_centre != loading_in
                ):
                    continue
                result = budget.try_acquire()
                if isinstance(result, load_budget.Load):
                    self.load_starts.append(now)
                    loads.append((now + self.load_seconds, budget, result))
                else:
                    assert result.ready_in_seconds is not None
            self.max_in_flight = max(self.max_in_flight, len(loads))
            self.fleet.run_for(0.01)

    def worst_window(self, rate: float) -> float:
        return max(
            last
            + 1
            - first
            - rate * (self.load_starts[last] - self.load_starts[first])
            for first in range(len(self.load_starts))
            for last in range(first, len(self.load_starts))
        )


def test_loads_keep_to_the_rate_of_the_store() -> None:
    loaders = Loaders(load_seconds=LOAD_SECONDS)
    loaders.run(20.0)
    assert loaders.worst_window(4.0) <= 4.0 + 1e-3
    assert len(loaders.load_starts) > 0.9 * 4.0 * 20.0


def test_one_data_centre_may_use_the_whole_store() -> None:
    loaders = Loaders(load_seconds=LOAD_SECONDS)
    loaders.run(20.0, loading_in="north")
    assert loaders.worst_window(4.0) <= 4.0 + 1e-3
    assert len(loaders.load_starts) > 0.9 * 4.0 * 20.0


@pytest.mark.parametrize("loading_in", [None, "north"])
def test_slow_loads_keep_to_the_limit_in_flight(loading_in) -> None:
    # Slow loads overlap more, and a store slows down further with each load
    # beyond its limit.
    store = documents.Store(loads_per_second=100.0, loads_in_flight=8)
    loaders = Loaders(load_seconds=3.0, store=store)
    loaders.run(15.0, loading_in=loading_in)
    assert loaders.max_in_flight == 8
    assert len(loaders.load_starts) > 0.7 * 8 * 15.0 / 3.0


def test_places_of_a_dead_instance_come_back() -> None:
    # An instance dies with all eight loads in flight and never releases them.
    # Their slots must return, but not before the loads have certainly ended.
    store = documents.Store(loads_per_second=100.0, loads_in_flight=8)
    loaders = Loaders(load_seconds=1000.0, store=store)
    fleet = loaders.fleet
    process = fleet.other("north")
    loaders.budgets = {
        process.node.self_id: loaders.budgets[process.node.self_id]
    }
    loaders.run(2.0)
    assert loaders.max_in_flight == 8
    fleet.kill(process)
    fleet.change_view("north")
    last = fleet.holder("south")
    budget = load_budget.LeasedLoadBudget(
        rates=last.rates, counters=last.counters
    )
    fleet.run_for(6.0)
    assert isinstance(budget.try_acquire(), token_balance.Shortfall)
    fleet.run_for(load_budget.MAX_LOAD_SECONDS)
    budget.try_acquire()
    fleet.run_for(0.5)
    assert isinstance(budget.try_acquire(), load_budget.Load)
