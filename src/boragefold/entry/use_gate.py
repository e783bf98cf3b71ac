"""Admits requests to an endpoint only under a lease for the adapter."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses

from boragefold.coordination.orders import uses as using
from boragefold.policy import work as works
from boragefold.protocol import order_messages
from boragefold.timing import timers as timing

# Covers the time until a new holder of the endpoint grants leases.
WAIT_SECONDS = 3.0
CHECK_SECONDS = 0.25
# Temporary reasons; after any other the request is sent elsewhere.
PASSING = frozenset({"asking", "not_ready", "no_holder", "not_holder"})


@dataclasses.dataclass(eq=False, kw_only=True)
class Waiting:
    """A request that waits for its lease."""

    target: order_messages.Target
    until_seconds: float
    granted: Callable[[using.Use], None]
    refused: Callable[[str], None]


class UseGate:
    """Starts uses of adapters, and queues those that wait for a lease."""

    def __init__(
        self,
        *,
        uses: Callable[[], using.UseLeases],
        timers: timing.TimerService,
    ) -> None:
        self._uses = uses
        self._timers = timers
        self._waiting: list[Waiting] = []
        timers.every(period_seconds=CHECK_SECONDS, callback=self._check)

    def enter(
        self,
        *,
        endpoint: str,
        adapter: works.AdapterVersion,
        granted: Callable[[using.Use], None],
        refused: Callable[[str], None],
    ) -> None:
        """Start a use, now or when the lease is granted.

        :param endpoint: its name
        :param adapter: the adapter to use
        :param granted: called with the use, perhaps inside this call
        :param refused: called later with the reason; nothing may be sent
        """
        weights = order_messages.Weights(*adapter)
        waiting = Waiting(
            target=order_messages.Target(endpoint, weights),
            until_seconds=self._timers.now_seconds() + WAIT_SECONDS,
            granted=granted,
            refused=refused,
        )
        self._waiting.append(waiting)
        self._try(waiting)

    def lease_came(self, target: order_messages.Target) -> None:
        """Start the uses that waited for a lease.

        :param target: the endpoint and adapter of the lease
        """
        for waiting in list(self._waiting):
            if waiting.target == target:
                self._try(waiting)

    def leave(self, use: using.Use) -> None:
        """End a use.

        :param use: from ``granted``
        """
        self._uses().finish(use)

    def _check(self) -> None:
        for waiting in list(self._waiting):
            self._try(waiting)

    def _try(self, waiting: Waiting) -> None:
        if waiting not in self._waiting:
            return
        use = self._uses().begin(waiting.target)
        if isinstance(use, using.Use):
            # begin() may have started this use through a callback already.
            if waiting in self._waiting:
                self._waiting.remove(waiting)
                waiting.granted(use)
            else:
                self._uses().finish(use)
            return
        late = self._timers.now_seconds() > waiting.until_seconds
        if use.reason not in PASSING or late:
            self._refuse(waiting, use.reason)

    def _refuse(self, waiting: Waiting, reason: str) -> None:
        if waiting in self._waiting:
            self._waiting.remove(waiting)
            self._timers.once(
                delay_seconds=0.0, callback=lambda: waiting.refused(reason)
            )


__all__ = [
    "UseGate",
]
