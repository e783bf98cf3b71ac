"""One account of the bytes that callers make the process hold."""

from __future__ import annotations

from typing import Protocol

from boragefold.policy import caller_budget


class Account(Protocol):
    """Counts bytes that are held."""

    def add(self, count: int, *, large: bool = False) -> None:
        """Count bytes.

        :param count: bytes; negative for those that are held no longer
        :param large: whether they belong to a large request
        """


class CallerMemory:
    """Counts what connections, bodies and unsent answers hold."""

    def __init__(self) -> None:
        """Begin with nothing held."""
        self._bytes = 0
        self._large_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Return what all callers hold.

        :return: bytes
        """
        return self._bytes

    @property
    def large_bytes(self) -> int:
        """Return what large requests hold of it.

        :return: bytes
        """
        return self._large_bytes

    def add(self, count: int, *, large: bool = False) -> None:
        """Count bytes.

        :param count: bytes; negative for those that are held no longer
        :param large: whether they belong to a large request
        """
        self._bytes += count
        if large:
            self._large_bytes += count


class HeldBody(bytearray):
    """A request's body, counted until the last reference to it is gone.

    It grows in place and is passed on as it is, so that one copy of it exists
    wherever the request waits or is sent.
    """

    def __init__(self, *, account: Account) -> None:
        """Begin empty.

        :param account: counts what the body takes
        """
        super().__init__()
        self._account = account
        self._counted_bytes = 0
        self._counted_large = False

    @property
    def counted_bytes(self) -> int:
        """Return what the body takes.

        :return: bytes, as counted last
        """
        return self._counted_bytes

    @property
    def is_large(self) -> bool:
        """Return whether the body competes with the large ones.

        :return: whether it does
        """
        return self._counted_large

    def settle(self) -> None:
        """Count what has been added since the last time."""
        allocated_bytes = self.__alloc__()
        if allocated_bytes == self._counted_bytes:
            return
        self._account.add(-self._counted_bytes, large=self._counted_large)
        self._counted_bytes = allocated_bytes
        self._counted_large = is_large(self)
        self._account.add(allocated_bytes, large=self._counted_large)

    def __del__(self) -> None:
        self._account.add(-self._counted_bytes, large=self._counted_large)


def is_large(body: bytes | bytearray) -> bool:
    """Tell whether a request competes with the large ones.

    :param body: its body
    :return: whether it does
    """
    return len(body) > caller_budget.SMALL_REQUEST_BYTES


__all__ = [
    "Account",
    "CallerMemory",
    "HeldBody",
    "is_large",
]
