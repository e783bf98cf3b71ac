"""Which engine a request is asked of.

Load pattern: thousands of adapters, a few of them popular, in front of a
handful of engines with few places each. Sent wherever there is room, each
adapter is loaded again and again all over the fleet, and an engine's own
copies of adapters that it had before are of no use. Here each adapter has an
order of engines of its own, the same at every instance without a word, and
leaves its first one only for as long as waiting there would cost more.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

import xxhash

from boragefold.policy import engine_copies
from boragefold.policy import load_times
from boragefold.state import deployment

# The backlog that is preferred to the next engine in an adapter's order.
STEP_SECONDS = 0.08
# Beyond this the adapter is a guest at any engine.
MAX_STEPS = 4
FAR_SECONDS = 0.01
# Multiplied by the part of requests that an engine fails.
UNHEALTHY_SECONDS = 2.0

# Without an owner the backlog isn't known.
UNSCHEDULED_SECONDS = 0.1
# A model has to be loaded first.
EMPTY_SECONDS = 2.0


class EngineView(NamedTuple):
    """What an instance knows of an engine that some instance schedules.

    ``health`` is 1 when nothing failed lately and 0 when everything did.
    Where nobody is known to schedule the engine, nothing is loaded there;
    where somebody does, nothing for the next ``orders_in_seconds``. ``copies``
    are digests of the adapters that it loads quickly.
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
    :param engines: those that may be asked
    :return: the best first
    """
    able = (engine for engine in engines if _is_able(key, engine))
    homes = sorted(able, key=lambda engine: _hash(key, engine.name))
    costs = [
        (_cost(key, engine, place), place, engine)
        for place, engine in enumerate(homes)
    ]
    return [
        engine for _, _, engine in sorted(costs, key=lambda cost: cost[:2])
    ]


def _is_able(key: deployment.AdapterKey, engine: EngineView) -> bool:
    if engine.models and key.model not in engine.models:
        return False
    if engine.scheduled:
        return True
    return key in engine.held if key.adapter else bool(engine.models)


def _cost(key: deployment.AdapterKey, engine: EngineView, place: int) -> float:
    seconds = engine.backlog_seconds + (0.0 if engine.near else FAR_SECONDS)
    seconds += UNHEALTHY_SECONDS * (1.0 - engine.health)
    seconds += 0.0 if engine.scheduled else UNSCHEDULED_SECONDS
    if key.model not in engine.models:
        seconds += EMPTY_SECONDS
    if not key.adapter:
        return seconds
    seconds += STEP_SECONDS * min(place, MAX_STEPS)
    if key not in engine.held:
        seconds += _load_seconds(key, engine) + engine.place_wait_seconds
        seconds += engine.orders_in_seconds
    return seconds


def _load_seconds(key: deployment.AdapterKey, engine: EngineView) -> float:
    if engine_copies.digest(key) in engine.copies:
        return load_times.WARM_LOAD_SECONDS
    return load_times.COLD_LOAD_SECONDS


def _hash(key: deployment.AdapterKey, engine: str) -> int:
    return xxhash.xxh3_64_intdigest("\0".join((*key, engine)).encode())


__all__ = [
    "EngineView",
    "rank",
]
