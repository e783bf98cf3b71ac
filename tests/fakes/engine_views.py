"""Engines as an instance sees them, all alike unless told otherwise."""

from __future__ import annotations

from boragefold.policy import engine_ranking

NAMES = [f"engine-{number}" for number in range(9)]


def view(name, **changes):
    defaults = engine_ranking.EngineView(
        name=name,
        is_local=True,
        held=frozenset(),
        models=frozenset({"base"}),
        backlog_seconds=0.0,
        slot_wait_seconds=0.0,
        health=1.0,
    )
    return defaults._replace(**changes)


__all__ = [
    "NAMES",
    "view",
]
