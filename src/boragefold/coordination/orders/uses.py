"""Leases under which this instance sends requests to endpoints."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import itertools
from typing import Any

from boragefold.coordination.orders import times
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
class _Entry:
    """The lease on one adapter version of one endpoint, and its use."""

    lease_ends_at_seconds: float = 0.0
    in_flight: int = 0
    used_at_seconds: float = 0.0
    asked_at_seconds: float | None = None
    newest_void: int = -1
    refusal: str = "asking"
    stop: tuple[ids.InstanceId, int] | None = None


class UseLeases:
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
        self._numbers = itertools.count()
        self._sent_at_seconds: dict[int, float] = {}
        self._entries: dict[messages.Target, _Entry] = {}
        self._callbacks: list[Callable[[messages.Target], None]] = []

    def begin(self, target: messages.Target) -> Use | NoLease:
        """Register a request immediately before it is sent.

        :param target: endpoint and adapter version
        :return: permission to send the request, or why there is none
        """
        entry = self._entries.setdefault(target, _Entry())
        now_seconds = self._timers.now_seconds()
        entry.used_at_seconds = now_seconds
        if not self._may_use(entry):
            self._ask_once(target, entry)
        # If this instance is the holder, the lease request was answered above.
        if not self._may_use(entry):
            self._counters.add("uses_refused", entry.refusal)
            return NoLease(reason=entry.refusal)
        entry.in_flight += 1
        return Use(
            target=target,
            send_by_seconds=entry.lease_ends_at_seconds,
            ends_by_seconds=now_seconds + times.LONGEST_USE_SECONDS,
        )

    def finish(self, use: Use) -> None:
        """End a request whose response is complete or cancelled.

        :param use: from :meth:`begin`; repeated calls have no effect
        """
        if use.finished:
            return
        use.finished = True
        entry = self._entries[use.target]
        entry.in_flight -= 1
        self._tell_stopped(use.target, entry)

    def subscribe(self, callback: Callable[[messages.Target], None]) -> None:
        """Register a callback for new leases.

        :param callback: called with the target of a lease that was granted
        """
        self._callbacks.append(callback)

    def given(self, sender: ids.InstanceId, given: messages.UseGiven) -> None:
        """Apply granted and refused leases.

        :param sender: holder of the endpoints
        :param given: its reply
        """
        sent_at_seconds = self._sent_at_seconds.pop(given.number, None)
        if sent_at_seconds is None:
            return
        for target in given.targets:
            entry = self._entries.get(target)
            # A lease granted before the eviction began may arrive after the
            # stop request; it must be ignored.
            if entry is None or given.number <= entry.newest_void:
                continue
            entry.asked_at_seconds = None
            entry.stop = None
            entry.lease_ends_at_seconds = max(
                entry.lease_ends_at_seconds,
                sent_at_seconds + given.life_seconds,
            )
            for callback in self._callbacks:
                callback(target)
        for refusal in given.refusals:
            entry = self._entries.get(refusal.target)
            if entry is not None:
                entry.refusal = refusal.reason

    def stop_asked(
        self, sender: ids.InstanceId, asked: messages.UseStopAsked
    ) -> None:
        """Send no new requests and confirm when the last one has ended.

        :param sender: holder of the endpoint
        :param asked: stop request with the adapter version to be evicted
        """
        entry = self._entries.setdefault(asked.target, _Entry())
        entry.lease_ends_at_seconds = 0.0
        entry.newest_void = next(self._numbers)
        entry.asked_at_seconds = None
        entry.refusal = "evicting"
        entry.stop = (sender, asked.eviction)
        entry.used_at_seconds = self._timers.now_seconds()
        self._tell_stopped(asked.target, entry)

    def tick(self) -> None:
        """Renew leases in use and remove the state of unused ones."""
        now_seconds = self._timers.now_seconds()
        oldest_seconds = now_seconds - times.USE_LEASE_SECONDS
        self._sent_at_seconds = {
            number: at_seconds
            for number, at_seconds in self._sent_at_seconds.items()
            if at_seconds > oldest_seconds
        }
        for target, entry in list(self._entries.items()):
            recent = entry.used_at_seconds > oldest_seconds
            if not recent and not entry.in_flight:
                if entry.lease_ends_at_seconds <= now_seconds:
                    del self._entries[target]
        self._renew(now_seconds)

    def _renew(self, now_seconds: float) -> None:
        soon_seconds = now_seconds + times.USE_LEASE_SECONDS / 2
        oldest_seconds = now_seconds - times.USE_LEASE_SECONDS / 2
        due = [
            target
            for target, entry in self._entries.items()
            if entry.stop is None
            and now_seconds < entry.lease_ends_at_seconds < soon_seconds
            and entry.used_at_seconds > oldest_seconds
        ]
        by_holder: dict[ids.InstanceId, list[messages.Target]] = {}
        for target in due:
            holder = self._holder_of(target.endpoint)
            if holder is not None:
                by_holder.setdefault(holder, []).append(target)
        for holder, targets in by_holder.items():
            self._ask(holder, targets)

    def _may_use(self, entry: _Entry) -> bool:
        now_seconds = self._timers.now_seconds()
        return entry.stop is None and now_seconds < entry.lease_ends_at_seconds

    def _ask_once(self, target: messages.Target, entry: _Entry) -> None:
        now_seconds = self._timers.now_seconds()
        asked_seconds = entry.asked_at_seconds
        if (
            asked_seconds is not None
            and now_seconds < asked_seconds + times.AGAIN_SECONDS
        ):
            return
        holder = self._holder_of(target.endpoint)
        if holder is None:
            entry.refusal = "no_holder"
            return
        entry.asked_at_seconds = now_seconds
        entry.refusal = "asking"
        self._ask(holder, [target])

    def _ask(
        self, holder: ids.InstanceId, targets: list[messages.Target]
    ) -> None:
        number = next(self._numbers)
        self._sent_at_seconds[number] = self._timers.now_seconds()
        self._send(holder, messages.UseAsked(number, tuple(targets)))

    def _tell_stopped(self, target: messages.Target, entry: _Entry) -> None:
        if entry.stop is None or entry.in_flight:
            return
        holder, eviction = entry.stop
        self._send(holder, messages.UseStopped(target, eviction))


__all__ = [
    "NoLease",
    "Use",
    "UseLeases",
]
