"""What reacts to a connection."""

from __future__ import annotations

import abc

READ_BYTES = 65536
# Limits how long one connection that keeps sending occupies the loop.
MAX_READS_IN_A_ROW = 4


class StreamHandler(abc.ABC):
    """Reacts to what happens on one connection."""

    @property
    def reads_in_a_row(self) -> int:
        """Return how often the connection is read in one turn of the loop.

        :return: the count
        """
        return MAX_READS_IN_A_ROW

    @property
    def read_bytes(self) -> int:
        """Return how much is read at once.

        :return: bytes
        """
        return READ_BYTES

    @abc.abstractmethod
    def connected(self) -> None:
        """Learn that the connection is open for writing."""

    @abc.abstractmethod
    def received(self, data: bytes) -> None:
        """Take bytes that arrived.

        :param data: at least one byte
        """

    @abc.abstractmethod
    def drained(self) -> None:
        """Learn that the write buffer fell below half its high-water mark."""

    @abc.abstractmethod
    def closed(self, reason: str) -> None:
        """Learn that the connection is gone; called once, also on failure.

        :param reason: ``eof``, ``refused``, ``unreachable``, ``timeout``,
            ``reset``, ``handler_failed`` or ``closed_here``; only ``refused``
            tells that nothing listens at the address
        """


class _Gone(StreamHandler):
    """Stands for the handler of a connection that is closed."""

    def connected(self) -> None:
        """Do nothing."""

    def received(self, data: bytes) -> None:
        """Do nothing.

        :param data: dropped
        """

    def drained(self) -> None:
        """Do nothing."""

    def closed(self, reason: str) -> None:
        """Do nothing.

        :param reason: known already
        """


GONE = _Gone()


__all__ = [
    "GONE",
    "MAX_READS_IN_A_ROW",
    "READ_BYTES",
    "StreamHandler",
]
