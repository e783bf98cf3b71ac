"""Cutting a stream of server-sent events between its events."""

from __future__ import annotations

# A longer event is passed on unfinished rather than kept in memory.
MAX_EVENT_BYTES = 65_536
EVENT_END = b"\n\n"
ID_FIELD = b"id:"


class EventSplitter:
    """Lets whole events through, and knows the id of the last."""

    def __init__(self) -> None:
        self._unfinished = bytearray()
        self.last_event_id = ""

    def feed(self, data: bytes) -> bytes:
        """Take a piece of the stream.

        :param data: the piece
        :return: the events that are whole now
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
        """Take what follows the last whole event.

        :return: bytes; at the end of a whole answer they belong to it
        """
        rest = bytes(self._unfinished)
        self._unfinished.clear()
        return rest

    def drop_torn(self) -> None:
        """Forget an event that broke off in the middle."""
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
