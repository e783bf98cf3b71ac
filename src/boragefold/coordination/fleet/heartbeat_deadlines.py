"""Which instances this one expects heartbeats from, and which are overdue."""

from __future__ import annotations

from collections.abc import Collection
import math

from boragefold.timing import timers as timing

# An instance that stopped answering isn't chosen as a hub for this long.
AVOID_HUB_SECONDS = 8.0


class HeartbeatDeadlines:
    """The time of the last heartbeat from each instance that owes one.

    An instance that this one sends heartbeats to is expected to reply in kind.
    """

    def __init__(self, *, timers: timing.TimerService) -> None:
        """Start with no expected instances.

        :param timers: the process clock
        """
        self._timers = timers
        self._since_seconds: dict[str, float] = {}
        self._failed_at_seconds: dict[str, float] = {}

    def expect(
        self, addresses: Collection[str], *, silent_seconds: float
    ) -> None:
        """Replace the set of expected instances and record which timed out.

        :param addresses: the instances that should send heartbeats
        :param silent_seconds: time without a heartbeat after which one failed
        """
        now_seconds = self._timers.now_seconds()
        self._since_seconds = {
            address: self._since_seconds.get(address, now_seconds)
            for address in addresses
        }
        self._failed_at_seconds.update(
            (address, now_seconds)
            for address, since_seconds in self._since_seconds.items()
            if since_seconds < now_seconds - silent_seconds
        )

    def record_received(self, address: str) -> None:
        """Record that an instance sent a message.

        :param address: its address
        """
        self._failed_at_seconds.pop(address, None)
        if address in self._since_seconds:
            self._since_seconds[address] = self._timers.now_seconds()

    def record_restart(self, address: str) -> None:
        """Record that a new process listens at an address.

        Timeouts of the previous process say nothing about the new one.

        :param address: the address
        """
        self._failed_at_seconds.pop(address, None)

    def overdue(self, *, beyond_seconds: float) -> frozenset[str]:
        """List the instances whose heartbeat is overdue.

        :param beyond_seconds: the time since the last one must exceed this
        :return: their addresses
        """
        oldest_seconds = self._timers.now_seconds() - beyond_seconds
        return frozenset(
            address
            for address, since_seconds in self._since_seconds.items()
            if since_seconds < oldest_seconds
        )

    def is_expected(self, address: str) -> bool:
        """Tell whether an instance is expected to send heartbeats.

        :param address: its address
        :return: whether this instance sends heartbeats to it
        """
        return address in self._since_seconds

    def timed_out_recently(self, address: str) -> bool:
        """Tell whether an instance recently timed out.

        :param address: its address
        :return: whether it must not be chosen as a hub for now
        """
        failed_at_seconds = self._failed_at_seconds.get(address, -math.inf)
        age_seconds = self._timers.now_seconds() - failed_at_seconds
        return age_seconds <= AVOID_HUB_SECONDS


__all__ = [
    "HeartbeatDeadlines",
]
