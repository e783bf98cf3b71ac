"""Moves endpoints between pools, by a change of their model or role.

Load pattern: over the day, demand shifts between models or between roles.
Without moves, one pool would refuse requests while another idles. Without the
hysteresis, an endpoint would move back and forth between two pools and serve
neither.
"""

from __future__ import annotations

import collections
from collections.abc import Collection
from collections.abc import Mapping
import math
from typing import NamedTuple

from boragefold.policy import endpoints as fleet
from boragefold.telemetry import counters as telemetry

# Below the fill at which requests start to queue.
HIGH_FILL = 0.9
TARGET_FILL = 0.75
# The difference to the high fill is the hysteresis.
DONOR_FILL = 0.6
# Longer than a burst of requests.
CONFIRM_SECONDS = 3.0
# Several times the load time of a model.
MIN_STAY_SECONDS = 600.0
# A move that isn't published within this time has failed.
MOVE_TIMEOUT_SECONDS = 300.0
# Limits the damage when the estimate of the pool's demand is wrong.
MAX_DONATED_SHARE = 0.25
# A pool that once had demand must stay able to answer.
MIN_ENDPOINTS = 1


class Pool(NamedTuple):
    """The endpoints of one model in one role."""

    model: str
    role: str


class PoolChange(NamedTuple):
    """An order to an endpoint to join another pool after it is drained."""

    endpoint: str
    pool: Pool


class Move(NamedTuple):
    """The target pool of an order, and the time it was sent."""

    pool: Pool
    at_seconds: float


class PoolBalancer:
    """Moves endpoints from pools with low load to pools with high load."""

    def __init__(
        self,
        *,
        endpoints: fleet.Endpoints,
        counters: telemetry.Counters,
    ) -> None:
        self._endpoints = endpoints
        self._counters = counters
        self._moves: dict[str, Move] = {}
        self._overloaded_since: dict[Pool, float] = {}

    def decide(
        self,
        *,
        requests_by_pool: Mapping[Pool, float],
        held_endpoints: Collection[str],
        now_seconds: float,
    ) -> list[PoolChange]:
        """Decide which moves to start now; call about once a second.

        :param requests_by_pool: running and waiting requests by pool
        :param held_endpoints: the endpoints that this instance may send
            orders to
        :param now_seconds: reading of the process clock
        :return: the orders
        """
        self._expire_moves(now_seconds)
        members = self._members()
        orders: list[PoolChange] = []
        for pool in self._overloaded_pools(
            requests_by_pool, members, now_seconds
        ):
            shortage = _shortage(requests_by_pool[pool], members[pool])
            donors = self._donors(
                pool, requests_by_pool, members, held_endpoints, now_seconds
            )
            for state in donors[:shortage]:
                self._moves[state.spec.name] = Move(pool, now_seconds)
                orders.append(PoolChange(state.spec.name, pool))
                self._counters.add("role_changes", pool.role)
            members = self._members()
        return orders

    def failed(self, order: PoolChange) -> None:
        """Record that an endpoint refused or did not receive an order.

        :param order: from :meth:`decide`
        """
        self._moves.pop(order.endpoint, None)
        self._counters.add("role_changes_failed", order.pool.role)

    def _members(self) -> dict[Pool, list[fleet.EndpointState]]:
        # A moving endpoint counts in its target pool; otherwise each decision
        # would move another one.
        members = collections.defaultdict(list)
        for state in self._endpoints:
            if not state.spec.leaving:
                members[self._pool_of(state)].append(state)
        return members

    def _pool_of(self, state: fleet.EndpointState) -> Pool:
        move = self._moves.get(state.spec.name)
        published = Pool(state.spec.model, state.spec.role)
        return published if move is None else move.pool

    def _overloaded_pools(
        self,
        requests_by_pool: Mapping[Pool, float],
        members: Mapping[Pool, list[fleet.EndpointState]],
        now_seconds: float,
    ) -> list[Pool]:
        overloaded = {
            pool
            for pool, requests in requests_by_pool.items()
            if requests > HIGH_FILL * _capacity(members[pool])
        }
        self._overloaded_since = {
            pool: self._overloaded_since.get(pool, now_seconds)
            for pool in overloaded
        }
        confirmed = (
            pool
            for pool, since_seconds in self._overloaded_since.items()
            if now_seconds - since_seconds >= CONFIRM_SECONDS
        )
        return sorted(
            confirmed,
            key=lambda pool: (
                -requests_by_pool[pool] / max(_capacity(members[pool]), 1)
            ),
        )

    def _donors(
        self,
        recipient: Pool,
        requests_by_pool: Mapping[Pool, float],
        members: Mapping[Pool, list[fleet.EndpointState]],
        held_endpoints: Collection[str],
        now_seconds: float,
    ) -> list[fleet.EndpointState]:
        donors: list[fleet.EndpointState] = []
        for pool, states in members.items():
            if pool == recipient or not states:
                continue
            movable = [
                state
                for state in states
                if state.spec.name in held_endpoints
                and self._is_settled(state)
            ]
            movable.sort(key=lambda state: (state.fill(), state.spec.name))
            donors.extend(
                movable[: _surplus(requests_by_pool.get(pool, 0.0), states)]
            )
        return sorted(donors, key=lambda state: state.fill())

    def _is_settled(self, state: fleet.EndpointState) -> bool:
        return state.spec.name not in self._moves

    def _expire_moves(self, now_seconds: float) -> None:
        remaining = {}
        for name, move in self._moves.items():
            state = self._endpoints.get(name)
            age_seconds = now_seconds - move.at_seconds
            if state is None:
                continue
            arrived = move.pool == Pool(state.spec.model, state.spec.role)
            limit_seconds = (
                MIN_STAY_SECONDS if arrived else MOVE_TIMEOUT_SECONDS
            )
            if age_seconds < limit_seconds:
                remaining[name] = move
        self._moves = remaining


def _capacity(states: Collection[fleet.EndpointState]) -> int:
    return sum(state.spec.batch_size for state in states)


def _shortage(requests: float, states: Collection[fleet.EndpointState]) -> int:
    if not states:
        return 1
    batch_size = _capacity(states) / len(states)
    needed = math.ceil(requests / (TARGET_FILL * batch_size))
    return max(needed - len(states), 0)


def _surplus(requests: float, states: Collection[fleet.EndpointState]) -> int:
    batch_size = _capacity(states) / len(states)
    needed = math.ceil(requests / (DONOR_FILL * batch_size))
    limit = math.ceil(MAX_DONATED_SHARE * len(states))
    return max(min(len(states) - max(needed, MIN_ENDPOINTS), limit), 0)


__all__ = [
    "Pool",
    "PoolBalancer",
    "PoolChange",
]
