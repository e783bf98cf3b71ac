"""Ranks the engines that may run a request.

Load pattern: thousands of adapters, a few of them popular, share a handful of
engines with few adapter slots each. If requests go wherever there is capacity,
each adapter is loaded again and again all over the fleet, and the copies in an
engine's host memory go unused. Rendezvous hashing therefore gives each adapter
its own order of engines, which all instances compute alike without
communicating. A request leaves the first engine of that order only while
waiting there would cost more.
"""

from __future__ import annotations

from collections.abc import Iterable
import functools
import heapq
from typing import NamedTuple

import xxhash

from boragefold.policy import adapter_digests
from boragefold.policy import load_times
from boragefold.state import deployment

# Backlog that is accepted before the next engine in an adapter's order.
ORDER_STEP_SECONDS = 0.08
# Engines further down the order all cost the same.
MAX_COSTED_POSITIONS = 4
REMOTE_SECONDS = 0.01
# Multiplied by the fraction of requests that an engine fails.
UNHEALTHY_SECONDS = 2.0

# Engines compared for a request that the first of its adapter's order refused.
# Two remove most imbalance; two more make up for full ones.
RANDOM_CHOICES = 4

# Sized for the adapters that are requested again and again.
RANK_CACHE_SIZE = 256
# The backlog of an engine that no instance schedules is unknown.
UNSCHEDULED_SECONDS = 0.1
# An engine without the model has to load it first.
MODEL_LOAD_SECONDS = 2.0


class EngineView(NamedTuple):
    """What an instance knows about an engine.

    ``health`` is 1 if no request failed lately and 0 if all did. An engine
    that no instance is known to schedule loads nothing; a scheduled one loads
    nothing for the next ``orders_in_seconds``. ``host_memory_digests`` are
    those of the adapters that it can load from its host memory.
    """

    name: str
    is_local: bool
    held: frozenset[deployment.AdapterKey]
    models: frozenset[str]
    backlog_seconds: float
    slot_wait_seconds: float
    health: float
    scheduled: bool = True
    orders_in_seconds: float = 0.0
    host_memory_digests: frozenset[int] = frozenset()


def rank(
    key: deployment.AdapterKey, engines: Iterable[EngineView]
) -> list[EngineView]:
    """Order engines by how soon a request would start there.

    :param key: the adapter that the request needs
    :param engines: the candidates
    :return: the engines that can run the request, best first
    """
    by_name = {engine.name: engine for engine in engines}
    ordered = [
        by_name[name] for name in _rendezvous_order(key, tuple(by_name))
    ]
    capable = [engine for engine in ordered if _can_serve(key, engine)]
    costs = _costs(key, capable)
    # A stable sort: engines of equal cost stay in the adapter's order.
    order = sorted(range(len(capable)), key=costs.__getitem__)
    return [capable[position] for position in order]


def choose_outside(
    key: deployment.AdapterKey,
    ranked: Iterable[EngineView],
    *,
    request_id: str,
) -> EngineView | None:
    """Choose an engine when those ranked first have refused a request.

    Load pattern: many requests of one adapter at once. All instances ask the
    same few engines of its order, which refuse while others are idle. A hash
    of the request spreads them, so that no other engine takes them all.

    :param key: the adapter that the request needs
    :param ranked: the engines that may still be asked
    :param request_id: id of the request
    :return: the engine with the shortest wait of a few; None without engines
    """
    few = heapq.nsmallest(
        RANDOM_CHOICES,
        ranked,
        key=lambda engine: xxhash.xxh3_64_intdigest(
            "\0".join((request_id, engine.name)).encode()
        ),
    )
    costs = _costs(key, few)
    best = min(range(len(few)), key=costs.__getitem__, default=None)
    return None if best is None else few[best]


def _can_serve(key: deployment.AdapterKey, engine: EngineView) -> bool:
    if key.model not in engine.models and engine.models:
        return False
    if engine.scheduled:
        return True
    return key in engine.held if key.adapter else bool(engine.models)


def _costs(
    key: deployment.AdapterKey, ordered: list[EngineView]
) -> list[float]:
    # One expression over unpacked fields: it is evaluated for each engine on
    # each ranking.
    model = key.model
    digest = adapter_digests.digest(key)
    needs_adapter = bool(key.adapter)
    position_costs = _position_costs(len(ordered), needs_adapter)
    return [
        backlog_seconds
        + (0.0 if is_local else REMOTE_SECONDS)
        + UNHEALTHY_SECONDS * (1.0 - health)
        + (0.0 if scheduled else UNSCHEDULED_SECONDS)
        + (0.0 if model in models else MODEL_LOAD_SECONDS)
        + step_seconds
        + (
            0.0
            if key in held or not needs_adapter
            else (
                load_times.WARM_LOAD_SECONDS
                if digest in copies
                else load_times.COLD_LOAD_SECONDS
            )
            + slot_wait_seconds
        )
        + (0.0 if key in held or not needs_adapter else orders_in_seconds)
        for step_seconds, (
            _,
            is_local,
            held,
            models,
            backlog_seconds,
            slot_wait_seconds,
            health,
            scheduled,
            orders_in_seconds,
            copies,
        ) in zip(position_costs, ordered, strict=True)
    ]


@functools.lru_cache
def _position_costs(count: int, has_order: bool) -> tuple[float, ...]:
    step_seconds = ORDER_STEP_SECONDS if has_order else 0.0
    return tuple(
        step_seconds * min(position, MAX_COSTED_POSITIONS)
        for position in range(count)
    )


@functools.lru_cache(maxsize=RANK_CACHE_SIZE)
def _rendezvous_order(
    key: deployment.AdapterKey, names: tuple[str, ...]
) -> tuple[str, ...]:
    prefix = "\0".join((*key, "")).encode()
    return tuple(
        sorted(
            names,
            key=lambda name: xxhash.xxh3_64_intdigest(prefix + name.encode()),
        )
    )


__all__ = [
    "EngineView",
    "choose_outside",
    "rank",
]
