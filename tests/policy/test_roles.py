from __future__ import annotations

from boragefold.policy import endpoints as fleet
from boragefold.policy import pool_balancer
from boragefold.telemetry import counters as telemetry
from tests.fakes import workloads

X = pool_balancer.Pool("x", "serve")
Y = pool_balancer.Pool("y", "serve")


class Mover:
    """Two pools of engines with a batch size of ten that follow orders."""

    def __init__(self, *, x: int, y: int) -> None:
        self.endpoints = fleet.Endpoints()
        self.names = [f"e{number}" for number in range(x + y)]
        for number, name in enumerate(self.names):
            model = "x" if number < x else "y"
            self.endpoints.put(
                workloads.spec(name, model=model, batch_size=10)
            )
        self.roles = pool_balancer.PoolBalancer(
            endpoints=self.endpoints, counters=telemetry.Counters()
        )

    def run(
        self, x: float, y: float, *, start: float, seconds: int, execute: bool
    ) -> list[tuple[float, pool_balancer.PoolChange]]:
        given = []
        for second in range(seconds):
            at = start + second
            for order in self.roles.decide(
                requests_by_pool={X: x, Y: y},
                held_endpoints=self.names,
                now_seconds=at,
            ):
                given.append((at, order))
                state = self.endpoints.get(order.endpoint)
                assert state is not None
                if execute:
                    self.endpoints.put(
                        state.spec._replace(model=order.pool.model)
                    )
        return given


def test_a_shift_of_demand_moves_enough_endpoints_at_once() -> None:
    # Late in the day the demand shifts from one model to the other. Without
    # a move one pool would refuse requests while the other idles.
    mover = Mover(x=10, y=10)
    assert not mover.run(50, 50, start=0, seconds=60, execute=True)
    moves = mover.run(20, 95, start=60, seconds=60, execute=True)
    assert moves[0][0] <= 64
    assert 2 <= len(moves) <= 3
    assert all(order.pool == Y for _at, order in moves)


def test_a_burst_moves_nothing() -> None:
    mover = Mover(x=10, y=10)
    for start in range(0, 60, 4):
        assert not mover.run(20, 120, start=start, seconds=2, execute=True)
        assert not mover.run(20, 50, start=start + 2, seconds=2, execute=True)


def test_endpoints_dont_oscillate_between_two_full_pools() -> None:
    # Both pools are nearly full, and the fuller one alternates.
    mover = Mover(x=10, y=10)
    moves = []
    for start in range(0, 600, 20):
        moves += mover.run(95, 75, start=start, seconds=10, execute=True)
        moves += mover.run(75, 95, start=start + 10, seconds=10, execute=True)
    assert not moves


def test_an_endpoint_that_moved_stays() -> None:
    mover = Mover(x=4, y=4)
    there = mover.run(5, 60, start=0, seconds=30, execute=True)
    back = mover.run(60, 5, start=30, seconds=60, execute=True)
    moved = {order.endpoint for _at, order in there}
    assert moved
    assert moved.isdisjoint(order.endpoint for _at, order in back)


def test_a_slow_move_isnt_ordered_twice() -> None:
    # Loading a model takes minutes, during which the published model doesn't
    # change. Another endpoint moved every second would empty the source pool.
    mover = Mover(x=10, y=10)
    moves = mover.run(20, 95, start=0, seconds=120, execute=False)
    assert len(moves) <= 3
    # After the timeout the moves count as failed and are ordered again.
    assert mover.run(20, 95, start=310, seconds=10, execute=False)


def test_a_pool_keeps_an_endpoint_and_an_empty_one_gets_one() -> None:
    mover = Mover(x=3, y=0)
    moves = mover.run(0, 95, start=0, seconds=100, execute=True)
    assert len(moves) == 2
    assert sum(each.spec.model == "x" for each in mover.endpoints) >= 1
