"""Differences between successive reports on an owner's engines.

Load pattern: dozens of engines that each exchange an adapter every other
second. Full reports would repeat all adapters in memory and all copies of an
engine to every instance at each change; a difference lists only what was
added and removed.
"""

from __future__ import annotations

from collections.abc import Hashable
from collections.abc import Iterable
from collections.abc import Sequence
from typing import TypeVar

from boragefold.protocol import peer_messages as messages

MILLISECONDS = 1_000

Engines = tuple[messages.EngineStatus, ...]
Item = TypeVar("Item", bound=Hashable)


def diff(
    before: Engines, after: Engines
) -> tuple[messages.EngineChange, ...] | None:
    """Compute the difference between two reports on an owner's engines.

    :param before: the last report
    :param after: the new report
    :return: a change for each engine that differs; None if a full report is
        needed because the engines or their models differ
    """
    if [*map(_identity, before)] != [*map(_identity, after)]:
        return None
    return tuple(
        change
        for index, (old, new) in enumerate(zip(before, after, strict=True))
        if old != new and (change := _change(index, old, new)) is not None
    )


def patch(
    engines: Engines, changes: Sequence[messages.EngineChange]
) -> Engines | None:
    """Apply a difference to a report on an owner's engines.

    :param engines: the last report
    :param changes: the difference to the new report
    :return: the new report; None if an earlier report was missed
    """
    known = list(engines)
    for change in changes:
        if change.place >= len(known):
            return None
        known[change.place] = _apply(known[change.place], change)
    return tuple(known)


def _change(
    index: int, old: messages.EngineStatus, new: messages.EngineStatus
) -> messages.EngineChange | None:
    change = messages.EngineChange(
        index,
        _load_of(new),
        new.answers,
        _dropped(old.adapters, new.adapters),
        _added(old.adapters, new.adapters),
        _dropped(old.copies, new.copies),
        _added(old.copies, new.copies),
    )
    # Engines that differ only in the order of their adapters are equal.
    return None if change == _empty_change(index, old) else change


def _empty_change(
    index: int, engine: messages.EngineStatus
) -> messages.EngineChange:
    return messages.EngineChange(index, _load_of(engine), engine.answers)


def _apply(
    engine: messages.EngineStatus, change: messages.EngineChange
) -> messages.EngineStatus:
    load = change.load
    return engine._replace(
        backlog_seconds=load.backlog_milliseconds / MILLISECONDS,
        place_wait_seconds=load.place_wait_milliseconds / MILLISECONDS,
        loading=load.loading,
        orders_in_seconds=load.orders_in_milliseconds / MILLISECONDS,
        answers=change.answers,
        adapters=(
            *_kept(engine.adapters, change.dropped_adapters),
            *change.new_adapters,
        ),
        copies=(
            *_kept(engine.copies, change.dropped_copies),
            *change.new_copies,
        ),
    )


def _identity(
    engine: messages.EngineStatus,
) -> tuple[str, tuple[str, ...]]:
    return engine.name, engine.models


def _load_of(engine: messages.EngineStatus) -> messages.EngineLoad:
    return messages.EngineLoad(
        round(engine.backlog_seconds * MILLISECONDS),
        round(engine.place_wait_seconds * MILLISECONDS),
        engine.loading,
        round(engine.orders_in_seconds * MILLISECONDS),
    )


def _dropped(old: Sequence[Item], new: Sequence[Item]) -> tuple[int, ...]:
    remaining = set(new)
    return tuple(
        index for index, item in enumerate(old) if item not in remaining
    )


def _added(old: Sequence[Item], new: Sequence[Item]) -> tuple[Item, ...]:
    known = set(old)
    return tuple(item for item in dict.fromkeys(new) if item not in known)


def _kept(before: Sequence[Item], dropped: Iterable[int]) -> tuple[Item, ...]:
    indexes = frozenset(dropped)
    return tuple(
        item for index, item in enumerate(before) if index not in indexes
    )


__all__ = [
    "diff",
    "patch",
]
