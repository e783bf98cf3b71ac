"""Splits configuration values into messages and reassembles them."""

from __future__ import annotations

import collections
from collections.abc import Iterator
from typing import NamedTuple

from boragefold.protocol import config_messages as messages
from boragefold.protocol import ids
from boragefold.state import tree as trees

# Small enough not to delay heartbeats.
CHUNK_BYTES = 32 * 1024
# The size limit of a value, plus the overhead that packing may add.
MAX_PACKED_BYTES = (1 << 20) + (1 << 12)
# Bounds the memory for incomplete values.
MAX_UNFINISHED = 8


class Assembled(NamedTuple):
    """A complete value: JSON, or None after a deletion."""

    path: str
    revision: int
    data: bytes | None
    since_seconds: float


def split_value(
    path: str, entry: trees.Entry, since_seconds: float
) -> Iterator[messages.ConfigurationValue]:
    """Split a value into chunks, each in a message of its own.

    :param path: the configuration path
    :param entry: the published value of the path
    :param since_seconds: when it first came into force, in calendar time
    :return: at least one message
    """
    packed = entry.packed
    whole = messages.ConfigurationValue(
        path=path,
        revision=entry.revision,
        digest=entry.digest,
        since_seconds=since_seconds,
        total_bytes=0 if packed is None else len(packed),
        offset_bytes=0,
        chunk=packed,
    )
    if packed is None or len(packed) <= CHUNK_BYTES:
        yield whole
        return
    for offset in range(0, len(packed), CHUNK_BYTES):
        yield whole._replace(
            offset_bytes=offset, chunk=packed[offset : offset + CHUNK_BYTES]
        )


class _Unfinished(NamedTuple):
    chunks: dict[int, bytes]
    total_bytes: int


_Key = tuple[ids.InstanceId, str, int, bytes]


class Assembler:
    """Reassembles chunks, which may be out of order or duplicated."""

    def __init__(self) -> None:
        self._unfinished: collections.OrderedDict[_Key, _Unfinished] = (
            collections.OrderedDict()
        )

    def add(
        self, sender: ids.InstanceId, value: messages.ConfigurationValue
    ) -> Assembled | None:
        """Add a chunk.

        A lost chunk leaves the value incomplete. The next comparison requests
        the whole value again, and the chunks already received are reused.

        :param sender: the instance that sent the chunk
        :param value: the message with the chunk
        :return: the value if this chunk completed it
        """
        if value.chunk is None:
            return _assembled(value, None)
        if not 0 < value.total_bytes <= MAX_PACKED_BYTES:
            return None
        if len(value.chunk) == value.total_bytes:
            return _unpacked(value, value.chunk)
        return self._add_chunk(sender, value, value.chunk)

    def _add_chunk(
        self,
        sender: ids.InstanceId,
        value: messages.ConfigurationValue,
        chunk: bytes,
    ) -> Assembled | None:
        key = (sender, value.path, value.revision, value.digest)
        unfinished = self._unfinished.setdefault(
            key, _Unfinished({}, value.total_bytes)
        )
        self._unfinished.move_to_end(key)
        if len(self._unfinished) > MAX_UNFINISHED:
            self._unfinished.popitem(last=False)
        unfinished.chunks[value.offset_bytes] = chunk
        held_bytes = sum(map(len, unfinished.chunks.values()))
        if held_bytes < unfinished.total_bytes:
            return None
        del self._unfinished[key]
        ordered = sorted(unfinished.chunks.items())
        return _unpacked(value, b"".join(chunk for _, chunk in ordered))


def _unpacked(
    value: messages.ConfigurationValue, packed: bytes
) -> Assembled | None:
    data = trees.unpack(packed)
    return None if data is None else _assembled(value, data)


def _assembled(
    value: messages.ConfigurationValue, data: bytes | None
) -> Assembled:
    return Assembled(value.path, value.revision, data, value.since_seconds)


__all__ = [
    "Assembled",
    "Assembler",
    "CHUNK_BYTES",
    "split_value",
]
