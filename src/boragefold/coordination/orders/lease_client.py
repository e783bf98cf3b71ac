"""Leases under which this instance sends requests to endpoints."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import itertools
from typing import Any

from boragefold.coordination.orders import timeouts
from boragefold.protocol import ids
from boragefold.protocol import order_messages as messages
from boragefold.telemetry import counters as counting
from boragefold.timing import timers as timing


@dataclasses.dataclass(kw_only=True)
class Use:
    """Permission to send one request; must be finished exactly once.

    Compare ``send_by_seconds`` with the clock again immediately before writing
    the first byte, after the connection is established: if the process was
    paused in between, the adapter may have been evicted. The request must end
    or be cancelled by ``ends_by_seconds``.
    """

    target: messages.Target
    send_by_seconds: float
    ends_by_seconds: float
    finished: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class NoLease:
    """The request may not be sent to this endpoint now."""

    reason: str
    remedy: str = "wait for the lease, or choose another endpoint"


@dataclasses.dataclass(kw_only=True)
class _LeaseState:
    """The lease on one adapter version of one endpoint, and its use."""

    ends_at_seconds: float = 0.0
    in_flight: int = 0
    used_at_seconds: float = 0.0
    requested_at_seconds: float | None = None
    last_void_request: int = -1
    refusal: str = "asking"
    stop_request: tuple[ids.InstanceId, int] | None = None


class LeaseClient:
    """Requests and renews leases, and stops their use for evictions."""

    def __init__(
        self,
        *,
        timers: timing.TimerService,
        counters: counting.Counters,
        holder_of: Callable[[str], ids.InstanceId | None],
        send: Callable[[ids.InstanceId, Any], None],
    ) -> None:
        """Create an empty set of leases.

        :param timers: timer service
        :param counters: counts requests without a lease
        :param holder_of: returns the instance that holds an endpoint
        :param send: sends a message to any instance, including this one
        """
        self._timers = timers
        self._counters = counters
        self._holder_of = holder_of
        self._send = send
        self._request_numbers = itertools.count()
        self._sent_at_seconds: dict[int, float] = {}
        self._leases: dict[messages.Target, _LeaseState] = {}
        self._callbacks: list[Callable[[messages.Target], None]] = []

    def begin(self, target: messages.Target) -> Use | NoLease:
        """Register a request immediately before it is sent.

        :param target: endpoint and adapter version
        :return: permission to send the request, or why there is none
        """
        lease = self._leases.setdefault(target, _LeaseState())
        now_seconds = self._timers.now_seconds()
        lease.used_at_seconds = now_seconds
        if not self._has_lease(lease):
            self._request_lease(target, lease)
        # If this instance is the holder, the lease request was answered above.
        if not self._has_lease(lease):
            self._counters.add("uses_refused", lease.refusal)
            return NoLease(reason=lease.refusal)
        lease.in_flight += 1
        return Use(
            target=target,
            send_by_seconds=lease.ends_at_seconds,
            ends_by_seconds=now_seconds + timeouts.MAX_REQUEST_SECONDS,
        )

    def finish(self, use: Use) -> None:
        """End a request whose response is complete or cancelled.

        :param use: from :meth:`begin`; repeated calls have no effect
        """
        if use.finished:
            return
        use.finished = True
        lease = self._leases[use.target]
        lease.in_flight -= 1
        self._confirm_stopped(use.target, lease)

    def subscribe(self, callback: Callable[[messages.Target], None]) -> None:
        """Register a callback for new leases.

        :param callback: called with the target of a lease that was granted
        """
        self._callbacks.append(callback)

    def apply_reply(
        self, sender: ids.InstanceId, given: messages.UseGiven
    ) -> None:
        """Apply granted and refused leases.

        :param sender: holder of the endpoints
        :param given: its reply
        """
        sent_at_seconds = self._sent_at_seconds.pop(given.number, None)
        if sent_at_seconds is None:
            return
        for target in given.targets:
            lease = self._leases.get(target)
            # A lease granted before the eviction began may arrive after the
            # stop request; it must be ignored.
            if lease is None or given.number <= lease.last_void_request:
                continue
            lease.requested_at_seconds = None
            lease.stop_request = None
            lease.ends_at_seconds = max(
                lease.ends_at_seconds,
                sent_at_seconds + given.life_seconds,
            )
            for callback in self._callbacks:
                callback(target)
        for refusal in given.refusals:
            lease = self._leases.get(refusal.target)
            if lease is not None:
                lease.refusal = refusal.reason

    def handle_stop_request(
        self, sender: ids.InstanceId, asked: messages.UseStopAsked
    ) -> None:
        """Send no new requests and confirm when the last one has ended.

        :param sender: holder of the endpoint
        :param asked: stop request with the adapter version to be evicted
        """
        lease = self._leases.setdefault(asked.target, _LeaseState())
        lease.ends_at_seconds = 0.0
        lease.last_void_request = next(self._request_numbers)
        lease.requested_at_seconds = None
        lease.refusal = "evicting"
        lease.stop_request = (sender, asked.eviction)
        lease.used_at_seconds = self._timers.now_seconds()
        self._confirm_stopped(asked.target, lease)

    def tick(self) -> None:
        """Renew leases in use and remove the state of unused ones."""
        now_seconds = self._timers.now_seconds()
        oldest_seconds = now_seconds - timeouts.USE_LEASE_SECONDS
        self._sent_at_seconds = {
            number: at_seconds
            for number, at_seconds in self._sent_at_seconds.items()
            if at_seconds > oldest_seconds
        }
        for target, lease in list(self._leases.items()):
            recent = lease.used_at_seconds > oldest_seconds
            if not recent and not lease.in_flight:
                if lease.ends_at_seconds <= now_seconds:
                    del self._leases[target]
        self._renew(now_seconds)

    def _renew(self, now_seconds: float) -> None:
        renewal_limit_seconds = now_seconds + timeouts.USE_LEASE_SECONDS / 2
        oldest_seconds = now_seconds - timeouts.USE_LEASE_SECONDS / 2
        due = [
            target
            for target, lease in self._leases.items()
            if lease.stop_request is None
            and now_seconds < lease.ends_at_seconds < renewal_limit_seconds
            and lease.used_at_seconds > oldest_seconds
        ]
        by_holder: dict[ids.InstanceId, list[messages.Target]] = {}
        for target in due:
            holder = self._holder_of(target.endpoint)
            if holder is not None:
                by_holder.setdefault(holder, []).append(target)
        for holder, targets in by_holder.items():
            self._send_request(holder, targets)

    def _has_lease(self, lease: _LeaseState) -> bool:
        now_seconds = self._timers.now_seconds()
        return (
            lease.stop_request is None and now_seconds < lease.ends_at_seconds
        )

    def _request_lease(
        self, target: messages.Target, lease: _LeaseState
    ) -> None:
        now_seconds = self._timers.now_seconds()
        requested_seconds = lease.requested_at_seconds
        if (
            requested_seconds is not None
            and now_seconds < requested_seconds + timeouts.RETRY_SECONDS
        ):
            return
        holder = self._holder_of(target.endpoint)
        if holder is None:
            lease.refusal = "no_holder"
            return
        lease.requested_at_seconds = now_seconds
        lease.refusal = "asking"
        self._send_request(holder, [target])

    def _send_request(
        self, holder: ids.InstanceId, targets: list[messages.Target]
    ) -> None:
        number = next(self._request_numbers)
        self._sent_at_seconds[number] = self._timers.now_seconds()
        self._send(holder, messages.UseAsked(number, tuple(targets)))

    def _confirm_stopped(
        self, target: messages.Target, lease: _LeaseState
    ) -> None:
        if lease.stop_request is None or lease.in_flight:
            return
        holder, eviction = lease.stop_request
        self._send(holder, messages.UseStopped(target, eviction))


__all__ = [
    "LeaseClient",
    "NoLease",
    "Use",
]
