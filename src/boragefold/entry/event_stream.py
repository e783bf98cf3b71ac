"""Splits a stream of server-sent events at event boundaries."""

from __future__ import annotations

# A longer event is forwarded in parts, which bounds the memory per stream.
MAX_EVENT_BYTES = 65_536
EVENT_END = b"\n\n"
ID_FIELD = b"id:"


class EventSplitter:
    """Returns only complete events and tracks the ID of the last one."""

    def __init__(self) -> None:
        self._unfinished = bytearray()
        self.last_event_id = ""

    def feed(self, data: bytes) -> bytes:
        """Add a chunk of the stream.

        :param data: the chunk
        :return: the events that are complete now
        """
        self._unfinished += data
        end = self._unfinished.rfind(EVENT_END)
        if end < 0:
            return self.rest() if self._is_too_long() else b""
        whole = bytes(self._unfinished[: end + len(EVENT_END)])
        del self._unfinished[: end + len(EVENT_END)]
        self._note_id(whole)
        return whole

    def rest(self) -> bytes:
        """Remove and return the bytes after the last complete event.

        :return: the bytes, which belong to the response if it is complete
        """
        rest = bytes(self._unfinished)
        self._unfinished.clear()
        return rest

    def drop_torn(self) -> None:
        """Discard a partially received event."""
        self._unfinished.clear()

    def _is_too_long(self) -> bool:
        return len(self._unfinished) > MAX_EVENT_BYTES

    def _note_id(self, whole: bytes) -> None:
        ids = [
            line[len(ID_FIELD) :].strip()
            for line in whole.split(b"\n")
            if line.startswith(ID_FIELD)
        ]
        if ids:
            self.last_event_id = ids[-1].decode("latin-1")


__all__ = [
    "EventSplitter",
]
