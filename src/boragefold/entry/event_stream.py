"""Splits a stream of server-sent events at event boundaries."""

from __future__ import annotations

# A longer event is forwarded in parts, which bounds the memory per stream.
MAX_EVENT_BYTES = 65_536
EVENT_END = b"\n\n"
ID_FIELD = b"id:"


class EventSplitter:
    """Returns only complete events and tracks the ID of the last one."""

    def __init__(self) -> None:
        self._partial = bytearray()
        self.last_event_id = ""

    def feed(self, data: bytes) -> bytes:
        """Add a chunk of the stream.

        :param data: the chunk
        :return: the events that are complete now
        """
        self._partial += data
        end = self._partial.rfind(EVENT_END)
        if end < 0:
            return self.take_partial() if self._is_too_long() else b""
        complete = bytes(self._partial[: end + len(EVENT_END)])
        del self._partial[: end + len(EVENT_END)]
        self._update_last_id(complete)
        return complete

    def take_partial(self) -> bytes:
        """Remove and return the bytes after the last complete event.

        :return: the bytes, which belong to the response if it is complete
        """
        rest = bytes(self._partial)
        self._partial.clear()
        return rest

    def discard_partial(self) -> None:
        """Discard a partially received event."""
        self._partial.clear()

    def _is_too_long(self) -> bool:
        return len(self._partial) > MAX_EVENT_BYTES

    def _update_last_id(self, complete: bytes) -> None:
        ids = [
            line[len(ID_FIELD) :].strip()
            for line in complete.split(b"\n")
            if line.startswith(ID_FIELD)
        ]
        if ids:
            self.last_event_id = ids[-1].decode("latin-1")


__all__ = [
    "EventSplitter",
]
