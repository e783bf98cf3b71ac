"""Summaries of owned engines between two of their decisions.

Load pattern: an instance owns dozens of engines, since others stopped, and
each message concerns one of them. The cost of examining all engines for each
message would exceed that of all other work.
"""

from __future__ import annotations

from typing import NamedTuple

from boragefold.entry import engine_messages
from boragefold.entry import owned_engine
from boragefold.protocol import peer_messages as messages
from boragefold.state import deployment


class StatusBasis(NamedTuple):
    """The state on which the status of an engine depends."""

    is_responsive: bool
    loading: int
    held: frozenset[deployment.AdapterKey]


class OwnedSummaries:
    """Due times, loads and statuses of engines, by name."""

    def __init__(self) -> None:
        self._due_at_seconds: dict[str, float] = {}
        self._load_ends_at_seconds: dict[str, tuple[float, ...]] = {}
        self._statuses: dict[
            str, tuple[StatusBasis, messages.EngineStatus]
        ] = {}

    def update(
        self,
        name: str,
        engine: owned_engine.OwnedEngine,
        *,
        now_seconds: float,
    ) -> None:
        """Update the summary of an engine after a decision or a change.

        :param name: of the engine
        :param engine: the engine
        :param now_seconds: reading of the process clock
        """
        self.remove(name)
        schedule = engine.schedule
        due_at_seconds = schedule.next_due_seconds(now_seconds=now_seconds)
        if due_at_seconds is not None:
            self._due_at_seconds[name] = due_at_seconds
        ends = schedule.slots.load_ends_at_seconds(now_seconds=now_seconds)
        if ends:
            self._load_ends_at_seconds[name] = ends

    def remove(self, name: str) -> None:
        """Remove an engine.

        :param name: of the engine
        """
        self._due_at_seconds.pop(name, None)
        self._load_ends_at_seconds.pop(name, None)
        self._statuses.pop(name, None)

    def next_due_at_seconds(self) -> float | None:
        """Return when the next engine is due.

        :return: reading of the process clock; None if none is
        """
        return min(self._due_at_seconds.values(), default=None)

    def due(self, *, until_seconds: float) -> list[str]:
        """List the engines that are due.

        :param until_seconds: reading of the process clock
        :return: their names
        """
        return [
            name
            for name, due_at_seconds in self._due_at_seconds.items()
            if due_at_seconds <= until_seconds
        ]

    def loads_except(self, name: str, *, now_seconds: float) -> int:
        """Count the loads in progress at the other engines.

        :param name: of the engine that isn't counted
        :param now_seconds: reading of the process clock
        :return: a count
        """
        return sum(
            end_at_seconds > now_seconds
            for other, ends in self._load_ends_at_seconds.items()
            if other != name
            for end_at_seconds in ends
        )

    def status(
        self,
        name: str,
        engine: owned_engine.OwnedEngine,
        *,
        now_seconds: float,
    ) -> messages.EngineStatus:
        """Describe an engine for other instances.

        :param name: of the engine
        :param engine: the engine
        :param now_seconds: reading of the process clock
        :return: the status, the same one as long as nothing has changed
        """
        slots = engine.schedule.slots
        basis = StatusBasis(
            is_responsive=engine.is_responsive,
            loading=slots.loading(now_seconds=now_seconds),
            held=slots.held_keys(),
        )
        known = self._statuses.get(name)
        if known is not None and known[0] == basis:
            return known[1]
        status = engine_messages.write_status(
            name, engine.schedule, now_seconds=now_seconds
        )._replace(answers=engine.is_responsive)
        self._statuses[name] = basis, status
        return status


__all__ = [
    "OwnedSummaries",
]
