"""Cached views of the engines, for ranking them."""

from __future__ import annotations

import functools
from typing import NamedTuple

from boragefold.policy import engine_ranking
from boragefold.protocol import peer_messages as messages
from boragefold.state import deployment

# Sets of adapters change less often than requests arrive.
CACHED_SETS = 256
MAX_CACHED_VIEWS = 4_096


class CachedView(NamedTuple):
    """A view, and the record or status that it was built from."""

    source: messages.EngineStatus | deployment.EndpointRecord
    view: engine_ranking.EngineView


@functools.lru_cache(maxsize=CACHED_SETS)
def _keys(
    pairs: tuple[tuple[str, str], ...],
) -> frozenset[deployment.AdapterKey]:
    return frozenset(deployment.AdapterKey(*pair) for pair in pairs)


@functools.lru_cache(maxsize=CACHED_SETS)
def _copies(digests: tuple[int, ...]) -> frozenset[int]:
    return frozenset(digests)


class EngineViews:
    """Keeps a view of each engine, and rebuilds it when the engine changes."""

    def __init__(self) -> None:
        self._cached: dict[str, CachedView] = {}

    def view_of(
        self,
        record: deployment.EndpointRecord,
        status: messages.EngineStatus | None,
        *,
        is_local: bool,
        health: float,
    ) -> engine_ranking.EngineView:
        """Return the current view of an engine.

        :param record: its published record
        :param status: sent by its owner; None if no instance schedules it
        :param is_local: whether the engine is in this instance's data centre
        :param health: from 0 to 1
        :return: what the ranking needs to know of it
        """
        source = record if status is None else status
        cached = self._cached.get(record.name)
        if (
            cached is not None
            and cached.source is source
            and cached.view.is_local == is_local
            and cached.view.health == health
        ):
            return cached.view
        view = (
            _published_view(record, is_local, health)
            if status is None
            else _status_view(status, is_local, health)
        )
        if len(self._cached) >= MAX_CACHED_VIEWS:
            # Restarted engines have new names; the old ones are never removed.
            self._cached.clear()
        self._cached[record.name] = CachedView(source, view)
        return view


def _status_view(
    status: messages.EngineStatus, is_local: bool, health: float
) -> engine_ranking.EngineView:
    return engine_ranking.EngineView(
        name=status.name,
        is_local=is_local,
        held=_keys(status.adapters),
        models=frozenset(status.models),
        backlog_seconds=status.backlog_seconds,
        slot_wait_seconds=status.place_wait_seconds,
        health=health,
        orders_in_seconds=status.orders_in_seconds,
        host_memory_digests=_copies(status.copies),
    )


def _published_view(
    record: deployment.EndpointRecord, is_local: bool, health: float
) -> engine_ranking.EngineView:
    return engine_ranking.EngineView(
        name=record.name,
        is_local=is_local,
        held=frozenset(
            deployment.AdapterKey(model, adapter)
            for model, adapters in record.held.items()
            for adapter in adapters
        ),
        models=frozenset(record.held),
        backlog_seconds=0.0,
        slot_wait_seconds=0.0,
        health=health,
        scheduled=False,
    )


__all__ = [
    "EngineViews",
]
