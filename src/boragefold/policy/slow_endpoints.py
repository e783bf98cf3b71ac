"""Lowers the share of endpoints that are slower than their peers.

Load pattern: one endpoint becomes slow (a throttled accelerator, a failing
link) but still answers. Without a comparison it keeps its share of the
requests until it fails, and the callers of that share wait.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable
import statistics

from boragefold.policy import endpoint_state

# More than differences in fill and random variation explain.
SLOW_RATIO = 3.0
# Leaves a few probes, which show when the endpoint has recovered.
MIN_WEIGHT = 0.02
# Fewer endpoints have no majority to compare with.
MIN_PEERS = 3
# A bad measurement decays when no answers follow.
DECAY_AFTER_SECONDS = 10.0
FAILURE_FACTOR = 0.5
RECOVERY_PER_REFRESH = 0.1


def reduce_weight(state: endpoint_state.EndpointState) -> None:
    """Halve the share of an endpoint that failed a request.

    :param state: the endpoint
    """
    state.health = max(state.health * FAILURE_FACTOR, MIN_WEIGHT)
    state.weight = max(state.weight * FAILURE_FACTOR, MIN_WEIGHT)


def update_weights(
    states: Iterable[endpoint_state.EndpointState], *, now_seconds: float
) -> None:
    """Set each endpoint's weight from its latency and its failures.

    :param states: all endpoints
    :param now_seconds: reading of the process clock
    """
    pools = collections.defaultdict(list)
    for state in states:
        state.health = min(1.0, state.health + RECOVERY_PER_REFRESH)
        pools[state.spec.model, state.spec.role].append(state)
    for pool in pools.values():
        _update_pool(pool, now_seconds)


def _update_pool(
    pool: list[endpoint_state.EndpointState], now_seconds: float
) -> None:
    latencies = {
        state.spec.name: latency
        for state in pool
        if (latency := state.current_latency(now_seconds=now_seconds))
    }
    enough = len(latencies) >= MIN_PEERS
    median = statistics.median(latencies.values()) if enough else 0.0
    for state in pool:
        if enough:
            _decay_latency(state, median, now_seconds)
        latency = latencies.get(state.spec.name, 0.0)
        state.weight = state.health * _latency_weight(latency, median)
        state.weight = max(state.weight, MIN_WEIGHT)


def _latency_weight(latency: float, median: float) -> float:
    # The share falls gradually beyond the limit.
    if median <= 0 or latency <= SLOW_RATIO * median:
        return 1.0
    ratio = SLOW_RATIO * median / latency
    return ratio * ratio


def _decay_latency(
    state: endpoint_state.EndpointState, median: float, now_seconds: float
) -> None:
    # Otherwise an endpoint that gets no probe would count as slow forever.
    idle = now_seconds - state.answered_at_seconds > DECAY_AFTER_SECONDS
    if idle and state.latency is not None and not state.unanswered:
        state.latency += (median - state.latency) / 2


__all__ = [
    "MIN_WEIGHT",
    "SLOW_RATIO",
    "reduce_weight",
    "update_weights",
]
