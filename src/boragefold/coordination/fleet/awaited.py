"""Which of the instances that we speak to owe us a heartbeat."""

from __future__ import annotations

from collections.abc import Collection
import math

from boragefold.timing import timers as timing

# An instance that didn't answer is no hub for this long.
AVOID_HUB_SECONDS = 8.0


class Awaited:
    """Since when each instance that we speak to hasn't answered."""

    def __init__(self, *, timers: timing.TimerService) -> None:
        """Begin as one that speaks to nobody.

        :param timers: the process clock
        """
        self._timers = timers
        self._since_seconds: dict[str, float] = {}
        self._failed_at_seconds: dict[str, float] = {}

    def await_from(
        self, addresses: Collection[str], *, silent_seconds: float
    ) -> None:
        """Note whom we speak to, and who hasn't answered for too long.

        :param addresses: those that should speak to us too
        :param silent_seconds: how long they may be silent
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

    def heard(self, address: str) -> None:
        """Note that an instance spoke to us.

        :param address: its address
        """
        self._failed_at_seconds.pop(address, None)
        if address in self._since_seconds:
            self._since_seconds[address] = self._timers.now_seconds()

    def renewed(self, address: str) -> None:
        """Note that another process listens at an address.

        What the former one left unanswered says nothing of it.

        :param address: where
        """
        self._failed_at_seconds.pop(address, None)

    def late(self, *, beyond_seconds: float) -> frozenset[str]:
        """List the instances that owe us a heartbeat.

        :param beyond_seconds: for longer than this
        :return: their addresses
        """
        oldest_seconds = self._timers.now_seconds() - beyond_seconds
        return frozenset(
            address
            for address, since_seconds in self._since_seconds.items()
            if since_seconds < oldest_seconds
        )

    def is_awaited(self, address: str) -> bool:
        """Tell whether we speak to an instance.

        :param address: its address
        :return: whether it should speak to us too
        """
        return address in self._since_seconds

    def failed_lately(self, address: str) -> bool:
        """Tell whether an instance left us without an answer.

        :param address: its address
        :return: whether it is no hub for now
        """
        failed_at_seconds = self._failed_at_seconds.get(address, -math.inf)
        age_seconds = self._timers.now_seconds() - failed_at_seconds
        return age_seconds <= AVOID_HUB_SECONDS


__all__ = [
    "Awaited",
]
