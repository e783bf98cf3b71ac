"""How much all connections together may hold that isn't sent yet.

Load pattern: hundreds of callers that don't read, of endpoints whose answers
go on without an end. Each connection stays within its own bound, and their
sum doesn't fit into the memory of a small machine.
"""

from __future__ import annotations

from boragefold.transport import caller_memory

# Backpressure: above this, reading from the endpoint pauses until half has
# drained.
HIGH_WATER_BYTES = 262_144
# The same for each connection while all together hold too much.
LOW_WATER_BYTES = 16_384
MAX_BYTES = 33_554_432


class UnsentBudget:
    """Counts what the connections of one process hold."""

    def __init__(self) -> None:
        """Begin with nothing held."""
        self._bytes = 0
        self._max_bytes = MAX_BYTES
        self._account: caller_memory.Account = caller_memory.CallerMemory()

    def share(self, account: caller_memory.Account, *, max_bytes: int) -> None:
        """Count in the account of callers from now on.

        :param account: counts all that they make the process hold
        :param max_bytes: above this each connection holds less
        """
        account.add(self._bytes)
        self._account = account
        self._max_bytes = min(MAX_BYTES, max_bytes)

    @property
    def held_bytes(self) -> int:
        """Return what all connections hold.

        :return: bytes
        """
        return self._bytes

    def add(self, count: int) -> None:
        """Count bytes that wait to be sent, or no longer wait.

        :param count: bytes; negative for those that were sent or dropped
        """
        self._bytes += count
        self._account.add(count)

    def high_water_bytes(self) -> int:
        """Return how much one connection may hold before it has to wait.

        :return: bytes
        """
        if self._bytes < self._max_bytes:
            return HIGH_WATER_BYTES
        return LOW_WATER_BYTES


__all__ = [
    "HIGH_WATER_BYTES",
    "LOW_WATER_BYTES",
    "MAX_BYTES",
    "UnsentBudget",
]
