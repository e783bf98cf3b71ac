"""Enforces the weight store's limits across the whole fleet."""

from __future__ import annotations

import abc
from collections.abc import Callable
import dataclasses

from boragefold.coordination.rates import limits
from boragefold.coordination.rates import service
from boragefold.policy import token_balance
from boragefold.state import documents
from boragefold.telemetry import counters as counting

# Names of workspaces contain a slash, so these can't collide with them.
LOADS = "store"
IN_FLIGHT = "store-in-flight"

# A load must be aborted by then: its slot is granted again.
MAX_LOAD_SECONDS = 10.0

# Slots return when a load ends, so the refill rate must not limit them.
REFILL_PER_SECOND = 1e6


@dataclasses.dataclass(kw_only=True)
class Load:
    """The permission to load one set of weights; finished exactly once."""

    slot: token_balance.Reservation
    finished: bool = False


class LoadBudget(abc.ABC):
    """Permits loads from the weight store."""

    @abc.abstractmethod
    def try_acquire(self) -> Load | token_balance.Shortfall:
        """Start a load, or return when to retry.

        :return: the permission, or the shortfall
        """

    @abc.abstractmethod
    def release(self, load: Load) -> None:
        """Release the slot of a finished, failed or aborted load.

        :param load: from :meth:`try_acquire`; a second call has no effect
        """

    @abc.abstractmethod
    def subscribe(self, callback: Callable[[], None]) -> None:
        """Register a callback for when a load may be possible again.

        :param callback: called without arguments
        """


class LeasedLoadBudget(LoadBudget):
    """Applies both limits of the store as rate limits of the fleet."""

    def __init__(
        self, *, rates: service.Rates, counters: counting.Counters
    ) -> None:
        """Create a budget without limits; :meth:`update` sets them.

        :param rates: distributes the limits over the fleet
        :param counters: counts refused loads
        """
        self._rates = rates
        self._token_balance = rates.token_balance
        self._counters = counters
        self._callbacks: list[Callable[[], None]] = []
        self._token_balance.subscribe(self._on_refill)

    def update(self, store: documents.Store) -> None:
        """Apply the published limits.

        :param store: the published document
        """
        loads_per_second = store["loads_per_second"]
        self._rates.update_other_limits(
            {
                # With less than one load a second, the burst still has to
                # allow one.
                LOADS: limits.Limit(
                    loads_per_second,
                    max(1.0, loads_per_second),
                    fetch_ahead=False,
                ),
                IN_FLIGHT: limits.Limit(
                    REFILL_PER_SECOND,
                    float(store["loads_in_flight"]),
                    hold_seconds=MAX_LOAD_SECONDS,
                    fetch_ahead=False,
                    whole=True,
                ),
            }
        )

    def try_acquire(self) -> Load | token_balance.Shortfall:
        """Start a load, or return when to retry.

        :return: the permission, or the shortfall
        """
        start = self._token_balance.reserve(workspace=LOADS, tokens=1.0)
        if isinstance(start, token_balance.Shortfall):
            self._counters.add("loads_refused", "rate")
            return start
        slot = self._token_balance.reserve(workspace=IN_FLIGHT, tokens=1.0)
        if isinstance(slot, token_balance.Shortfall):
            self._counters.add("loads_refused", "in_flight")
            self._token_balance.settle(start, used_tokens=0.0)
            return slot
        self._token_balance.settle(start, used_tokens=1.0)
        return Load(slot=slot)

    def release(self, load: Load) -> None:
        """Release the slot of a finished, failed or aborted load.

        :param load: from :meth:`try_acquire`; a second call has no effect
        """
        if load.finished:
            return
        load.finished = True
        self._token_balance.settle(load.slot, used_tokens=0.0)

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Register a callback for when a load may be possible again.

        :param callback: called without arguments
        """
        self._callbacks.append(callback)

    def _on_refill(self, workspace: str) -> None:
        if workspace in (LOADS, IN_FLIGHT):
            for callback in self._callbacks:
                callback()


__all__ = [
    "IN_FLIGHT",
    "LOADS",
    "LeasedLoadBudget",
    "Load",
    "LoadBudget",
    "MAX_LOAD_SECONDS",
]
