"""Which callers may connect and be received, and who gives way to whom.

Callers that hold much and bring nothing give way to those that come: first
large requests that have stopped, then small ones. Whoever still brings bytes
is left alone, unless a small request needs the room of a large one.
"""

from __future__ import annotations

import abc
from collections.abc import Callable
import enum
import gc
import math
from typing import NamedTuple

from boragefold.policy import caller_budget
from boragefold.transport import caller_memory

# A caller brings something with each of these.
PROGRESS_BYTES = 8_192
# One that has brought nothing for this long has stopped.
STOPPED_SECONDS = 0.25
# Answered requests are cycles of references; collecting them takes a while.
COLLECT_SECONDS = 0.5


class Phase(enum.Enum):
    """What a caller's connection is doing."""

    NEW = "new"
    IDLE = "idle"
    RECEIVING = "receiving"
    RECEIVING_LARGE = "receiving_large"
    RUNNING = "running"
    PIPELINING = "pipelining"
    ENDED = "ended"


class Caller(abc.ABC):
    """A connection of a caller, as admission meets it."""

    @property
    @abc.abstractmethod
    def receiving_bytes(self) -> int:
        """Return how much of a body has been received.

        :return: bytes; 0 once its request runs
        """

    @abc.abstractmethod
    def give_way(self) -> None:
        """Drop what is being received, and say that it didn't run."""

    @abc.abstractmethod
    def cut(self) -> None:
        """Close at once."""


class _Place(NamedTuple):
    phase: Phase
    moved_at_seconds: float


# At the bound of connections, one of the first of these makes place.
CONNECTION_ORDER = (
    Phase.ENDED,
    Phase.RECEIVING_LARGE,
    Phase.RECEIVING,
    Phase.NEW,
    Phase.IDLE,
)
# For a small request, also one that has not stopped.
LARGE_ORDER = (Phase.ENDED, Phase.RECEIVING_LARGE, Phase.PIPELINING)
SMALL_ORDER = (Phase.RECEIVING, Phase.NEW, Phase.IDLE)


class CallerAdmission:
    """Knows all callers' connections, each phase in the order of progress."""

    def __init__(
        self,
        *,
        budget: caller_budget.CallerBudget,
        now_seconds: Callable[[], float] = lambda: 0.0,
        max_body_bytes: Callable[[], int] = lambda: 0,
        collect: Callable[[], object] = gc.collect,
    ) -> None:
        """Begin without callers.

        :param budget: what they may take together
        :param now_seconds: reads the process clock
        :param max_body_bytes: the published limit of a body, for which there
            is always room
        :param collect: frees what nothing refers to any more
        """
        self.memory = caller_memory.CallerMemory()
        self.budget = budget
        self._now_seconds = now_seconds
        self._max_body_bytes = max_body_bytes
        self._collect = collect
        self._collected_at_seconds = -math.inf
        self._places: dict[Caller, _Place] = {}
        self._by_phase: dict[Phase, dict[Caller, None]] = {
            phase: {} for phase in Phase
        }

    @property
    def connections(self) -> int:
        """Return how many callers are connected.

        :return: the count
        """
        return len(self._places)

    def status(self) -> dict[str, int]:
        """Describe what callers take, and what they may take.

        :return: bytes and counts by name
        """
        return {
            "held_bytes": self.memory.held_bytes,
            "large_bytes": self.memory.large_bytes,
            "connections": self.connections,
            "max_held_bytes": self.budget.memory_bytes,
            "max_large_bytes": self.budget.large_bytes,
            "max_connections": self.budget.connections,
        }

    def move(self, caller: Caller, phase: Phase) -> None:
        """Record what a caller does now, and that it has moved.

        :param caller: which
        :param phase: what it does from now on
        """
        self.forget(caller)
        self._places[caller] = _Place(phase, self._now_seconds())
        self._by_phase[phase][caller] = None

    def forget(self, caller: Caller) -> None:
        """Drop a caller whose connection is closed.

        :param caller: which
        """
        place = self._places.pop(caller, None)
        if place is not None:
            del self._by_phase[place.phase][caller]

    def has_place(self) -> bool:
        """Tell whether one more caller may connect.

        :return: whether there is place, or somebody to make it
        """
        if self.connections < self.budget.connections:
            return True
        return self._first(CONNECTION_ORDER, only_stopped=True) is not None

    def make_place(self) -> None:
        """Make place for a caller that has connected, if need be."""
        if self.connections < self.budget.connections:
            return
        victim = self._first(CONNECTION_ORDER, only_stopped=True)
        if victim is not None:
            victim.cut()

    def could_hold(self, body_bytes: int) -> bool:
        """Tell whether a body would fit beside the requests that run.

        :param body_bytes: its announced length
        :return: False if nobody could give way to it
        """
        if body_bytes <= caller_budget.SMALL_REQUEST_BYTES:
            return True
        return self._fits(body_bytes) or (
            self._has_collected() and self._fits(body_bytes)
        )

    def make_room(self, caller: Caller | None, *, large: bool) -> bool:
        """Make room in memory for what a caller has sent, or an answer.

        :param caller: one whose bytes are counted already; None for an answer
            that is collected
        :param large: whether its request, or the answer, is large
        :return: whether there is room
        """
        while self._is_over(large=large):
            if self._has_collected():
                continue
            victim = self._memory_victim(large=large)
            if victim is None or victim is caller:
                return False
            if self._places[victim].phase is Phase.ENDED:
                victim.cut()
            else:
                victim.give_way()
        return True

    def _fits(self, body_bytes: int) -> bool:
        receiving_bytes = sum(
            caller.receiving_bytes
            for caller in self._by_phase[Phase.RECEIVING_LARGE]
        )
        running_bytes = self.memory.large_bytes - receiving_bytes
        return running_bytes + body_bytes <= self._budget_now().large_bytes

    def _is_over(self, *, large: bool) -> bool:
        # The published limit is looked up only if that may matter.
        return self._exceeds(self.budget, large=large) and self._exceeds(
            self._budget_now(), large=large
        )

    def _exceeds(
        self, budget: caller_budget.CallerBudget, *, large: bool
    ) -> bool:
        if large and self.memory.large_bytes > budget.large_bytes:
            return True
        return self.memory.held_bytes > budget.memory_bytes

    def _has_collected(self) -> bool:
        """Free the bodies of answered requests, unless it was done lately.

        :return: whether it was done now
        """
        now_seconds = self._now_seconds()
        if now_seconds - self._collected_at_seconds < COLLECT_SECONDS:
            return False
        self._collected_at_seconds = now_seconds
        self._collect()
        return True

    def _budget_now(self) -> caller_budget.CallerBudget:
        return self.budget.with_room_for(self._max_body_bytes())

    def _memory_victim(self, *, large: bool) -> Caller | None:
        if large:
            return self._first(LARGE_ORDER, only_stopped=True)
        return self._first(LARGE_ORDER, only_stopped=False) or self._first(
            SMALL_ORDER, only_stopped=True
        )

    def _first(
        self, order: tuple[Phase, ...], *, only_stopped: bool
    ) -> Caller | None:
        stopped_at_seconds = self._now_seconds() - STOPPED_SECONDS
        for phase in order:
            caller = next(iter(self._by_phase[phase]), None)
            if caller is None:
                continue
            moved_at_seconds = self._places[caller].moved_at_seconds
            if (
                phase is Phase.ENDED
                or not only_stopped
                or moved_at_seconds <= stopped_at_seconds
            ):
                return caller
        return None


def for_one() -> CallerAdmission:
    """Return the admission of a connection that shares no bound.

    :return: one of a whole machine's size
    """
    limits = caller_budget.MachineLimits(
        memory_mb=caller_budget.DEFAULT_MEMORY_MB,
        max_fds=caller_budget.DEFAULT_FDS,
    )
    return CallerAdmission(budget=caller_budget.derive(limits))


__all__ = [
    "Caller",
    "CallerAdmission",
    "PROGRESS_BYTES",
    "Phase",
    "for_one",
]
