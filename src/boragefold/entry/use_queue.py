"""Admits requests to an endpoint only under a lease for the adapter."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses

from boragefold.coordination.orders import lease_client
from boragefold.policy import work as works
from boragefold.protocol import order_messages
from boragefold.timing import timers as timing

# Covers the time until a new holder of the endpoint grants leases.
MAX_WAIT_SECONDS = 3.0
CHECK_SECONDS = 0.25
# Temporary reasons; after any other the request is sent elsewhere.
TEMPORARY_REASONS = frozenset(
    {"asking", "not_ready", "no_holder", "not_holder"}
)


@dataclasses.dataclass(eq=False, kw_only=True)
class QueuedUse:
    """A request that waits for its lease."""

    target: order_messages.Target
    deadline_at_seconds: float
    on_granted: Callable[[lease_client.Use], None]
    on_refused: Callable[[str], None]


class UseQueue:
    """Starts uses of adapters, and queues those that wait for a lease."""

    def __init__(
        self,
        *,
        leases: Callable[[], lease_client.LeaseClient],
        timers: timing.TimerService,
    ) -> None:
        self._leases = leases
        self._timers = timers
        self._queue: list[QueuedUse] = []
        timers.every(period_seconds=CHECK_SECONDS, callback=self._retry_all)

    def start(
        self,
        *,
        endpoint: str,
        adapter: works.AdapterVersion,
        on_granted: Callable[[lease_client.Use], None],
        on_refused: Callable[[str], None],
    ) -> None:
        """Start a use, now or when the lease is granted.

        :param endpoint: its name
        :param adapter: the adapter to use
        :param on_granted: called with the use, perhaps inside this call
        :param on_refused: called later with the reason; nothing may be sent
        """
        weights = order_messages.Weights(*adapter)
        queued = QueuedUse(
            target=order_messages.Target(endpoint, weights),
            deadline_at_seconds=self._timers.now_seconds() + MAX_WAIT_SECONDS,
            on_granted=on_granted,
            on_refused=on_refused,
        )
        self._queue.append(queued)
        self._try_start(queued)

    def on_lease_granted(self, target: order_messages.Target) -> None:
        """Start the uses that waited for a lease.

        :param target: the endpoint and adapter of the lease
        """
        for queued in list(self._queue):
            if queued.target == target:
                self._try_start(queued)

    def end(self, use: lease_client.Use) -> None:
        """End a use.

        :param use: from ``on_granted``
        """
        self._leases().finish(use)

    def _retry_all(self) -> None:
        for queued in list(self._queue):
            self._try_start(queued)

    def _try_start(self, queued: QueuedUse) -> None:
        if queued not in self._queue:
            return
        use = self._leases().begin(queued.target)
        if isinstance(use, lease_client.Use):
            # begin() may have started this use through a callback already.
            if queued in self._queue:
                self._queue.remove(queued)
                queued.on_granted(use)
            else:
                self._leases().finish(use)
            return
        expired = self._timers.now_seconds() > queued.deadline_at_seconds
        if use.reason not in TEMPORARY_REASONS or expired:
            self._refuse(queued, use.reason)

    def _refuse(self, queued: QueuedUse, reason: str) -> None:
        if queued in self._queue:
            self._queue.remove(queued)
            self._timers.once(
                delay_seconds=0.0, callback=lambda: queued.on_refused(reason)
            )


__all__ = [
    "UseQueue",
]
