"""Engines as an instance sees them when it chooses one."""

from __future__ import annotations

import functools

from boragefold.policy import engine_choice
from boragefold.protocol import peer_messages as messages
from boragefold.state import deployment

# Engines' sets change more slowly than requests come.
REMEMBERED_SETS = 256


@functools.lru_cache(maxsize=REMEMBERED_SETS)
def _keys(
    pairs: tuple[tuple[str, str], ...],
) -> frozenset[deployment.AdapterKey]:
    return frozenset(deployment.AdapterKey(*pair) for pair in pairs)


@functools.lru_cache(maxsize=REMEMBERED_SETS)
def _copies(digests: tuple[int, ...]) -> frozenset[int]:
    return frozenset(digests)


def told_view(
    status: messages.EngineStatus, near: bool, health: float
) -> engine_choice.EngineView:
    """See an engine as its owner tells of it.

    :param status: what the owner tells
    :param near: whether the engine is in our data centre
    :param health: how sound it is, from 0 to 1
    :return: what decides about it
    """
    return engine_choice.EngineView(
        name=status.name,
        near=near,
        held=_keys(status.adapters),
        models=frozenset(status.models),
        backlog_seconds=status.backlog_seconds,
        place_wait_seconds=status.place_wait_seconds,
        health=health,
        orders_in_seconds=status.orders_in_seconds,
        copies=_copies(status.copies),
    )


def published_view(
    record: deployment.EndpointRecord, near: bool, health: float
) -> engine_choice.EngineView:
    """See an engine that nobody schedules as it published itself.

    :param record: its entry
    :param near: whether the engine is in our data centre
    :param health: how sound it is, from 0 to 1
    :return: what decides about it
    """
    return engine_choice.EngineView(
        name=record.name,
        near=near,
        held=frozenset(
            deployment.AdapterKey(model, adapter)
            for model, adapters in record.held.items()
            for adapter in adapters
        ),
        models=frozenset(record.held),
        backlog_seconds=0.0,
        place_wait_seconds=0.0,
        health=health,
        scheduled=False,
    )


__all__ = [
    "published_view",
    "told_view",
]
