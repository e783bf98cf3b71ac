"""What waits to be sent on one connection, without copying large pieces."""

from __future__ import annotations

import collections

from boragefold.transport import caller_memory

# Larger pieces are kept as they are; smaller ones are joined.
JOINED_BYTES = 16_384
SEND_BYTES = 262_144

Piece = bytes | bytearray | memoryview


class WriteBuffer:
    """Pieces in the order in which they are sent."""

    def __init__(self) -> None:
        """Begin empty."""
        self._pieces: collections.deque[memoryview | bytearray] = (
            collections.deque()
        )
        self._bytes = 0

    def __len__(self) -> int:
        return self._bytes

    def append(self, data: Piece) -> None:
        """Add bytes at the end.

        :param data: bytes that don't change any more
        """
        self._bytes += len(data)
        if len(data) > JOINED_BYTES:
            self._pieces.append(memoryview(data))
            return
        last = self._pieces[-1] if self._pieces else None
        if isinstance(last, bytearray) and len(last) < JOINED_BYTES:
            last += data
        elif data:
            self._pieces.append(bytearray(data))

    def first(self) -> memoryview:
        """Return what is to be sent next.

        :return: some bytes; it must be released before any are added
        """
        return memoryview(self._pieces[0])[:SEND_BYTES]

    def drop(self, count: int) -> None:
        """Remove bytes from the beginning that were sent.

        :param count: no more than the first piece has
        """
        self._bytes -= count
        first = self._pieces[0]
        if count == len(first):
            self._pieces.popleft()
        elif isinstance(first, bytearray):
            del first[:count]
        else:
            self._pieces[0] = first[count:]

    def clear(self) -> None:
        """Remove all."""
        self._pieces.clear()
        self._bytes = 0


def is_counted_elsewhere(data: Piece) -> bool:
    """Tell whether the account of callers has bytes already.

    :param data: what is to be sent
    :return: whether it is a part of a request's body
    """
    source = data.obj if isinstance(data, memoryview) else data
    return isinstance(source, caller_memory.HeldBody)


__all__ = [
    "Piece",
    "WriteBuffer",
    "is_counted_elsewhere",
]
