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
from typing import NamedTuple

import xxhash

from boragefold.policy import engine_copies
from boragefold.policy import load_times
from boragefold.state import deployment

# Backlog that is accepted before the next engine in an adapter's order.
STEP_SECONDS = 0.08
# Engines further down the order all cost the same.
MAX_STEPS = 4
FAR_SECONDS = 0.01
# Multiplied by the fraction of requests that an engine fails.
UNHEALTHY_SECONDS = 2.0

# Sized for the adapters that are requested again and again.
REMEMBERED_HOMES = 256
# The backlog of an engine that no instance schedules is unknown.
UNSCHEDULED_SECONDS = 0.1
# An engine without the model has to load it first.
EMPTY_SECONDS = 2.0


class EngineView(NamedTuple):
    """What an instance knows about an engine.

    ``health`` is 1 if no request failed lately and 0 if all did. An engine
    that no instance is known to schedule loads nothing; a scheduled one loads
    nothing for the next ``orders_in_seconds``. ``copies`` are digests of the
    adapters that it can load from its host memory.
    """

    name: str
    near: bool
    held: frozenset[deployment.AdapterKey]
    models: frozenset[str]
    backlog_seconds: float
    place_wait_seconds: float
    health: float
    scheduled: bool = True
    orders_in_seconds: float = 0.0
    copies: frozenset[int] = frozenset()


def rank(
    key: deployment.AdapterKey, engines: Iterable[EngineView]
) -> list[EngineView]:
    """Order engines by how soon a request would start there.

    :param key: the adapter that the request needs
    :param engines: the candidates
    :return: the engines that can run the request, best first
    """
    by_name = {engine.name: engine for engine in engines}
    homes = [by_name[name] for name in _homes(key, tuple(by_name))]
    able = [engine for engine in homes if _is_able(key, engine)]
    costs = _costs(key, able)
    # A stable sort: engines of equal cost stay in the adapter's order.
    order = sorted(range(len(able)), key=costs.__getitem__)
    return [able[place] for place in order]


def _is_able(key: deployment.AdapterKey, engine: EngineView) -> bool:
    if key.model not in engine.models and engine.models:
        return False
    if engine.scheduled:
        return True
    return key in engine.held if key.adapter else bool(engine.models)


def _costs(key: deployment.AdapterKey, homes: list[EngineView]) -> list[float]:
    # One expression over unpacked fields: it is evaluated for each engine on
    # each ranking.
    model = key.model
    digest = engine_copies.digest(key)
    needs_adapter = bool(key.adapter)
    steps = _steps_seconds(len(homes), needs_adapter)
    return [
        backlog_seconds
        + (0.0 if near else FAR_SECONDS)
        + UNHEALTHY_SECONDS * (1.0 - health)
        + (0.0 if scheduled else UNSCHEDULED_SECONDS)
        + (0.0 if model in models else EMPTY_SECONDS)
        + step_seconds
        + (
            0.0
            if key in held or not needs_adapter
            else (
                load_times.WARM_LOAD_SECONDS
                if digest in copies
                else load_times.COLD_LOAD_SECONDS
            )
            + place_wait_seconds
        )
        + (0.0 if key in held or not needs_adapter else orders_in_seconds)
        for step_seconds, (
            _,
            near,
            held,
            models,
            backlog_seconds,
            place_wait_seconds,
            health,
            scheduled,
            orders_in_seconds,
            copies,
        ) in zip(steps, homes, strict=True)
    ]


@functools.lru_cache
def _steps_seconds(count: int, has_homes: bool) -> tuple[float, ...]:
    step_seconds = STEP_SECONDS if has_homes else 0.0
    return tuple(
        step_seconds * min(place, MAX_STEPS) for place in range(count)
    )


@functools.lru_cache(maxsize=REMEMBERED_HOMES)
def _homes(
    key: deployment.AdapterKey, names: tuple[str, ...]
) -> tuple[str, ...]:
    before = "\0".join((*key, "")).encode()
    return tuple(
        sorted(
            names,
            key=lambda name: xxhash.xxh3_64_intdigest(before + name.encode()),
        )
    )


__all__ = [
    "EngineView",
    "rank",
]
