"""Finds the boundaries of server-sent events in a stream."""

from __future__ import annotations

from collections.abc import Mapping
import re

# A longer event is forwarded in parts, which bounds the memory per stream.
MAX_EVENT_BYTES = 65_536
CONTENT_TYPE = "text/event-stream"
IDENTITY = "identity"
COMMENT = b":"
FIELD_SEPARATOR = b":"
ID_FIELD = b"id"
CARRIAGE_RETURN = b"\r"
LINE_FEED = b"\n"
LINE_END = re.compile(rb"\r\n|\n|\r")
EVENT_END = b"\n\n"
FIELD_LINE = re.compile(rb"^[^:\n]", re.MULTILINE)
ID_LINE = re.compile(rb"^id(?::([^\n]*))?$", re.MULTILINE)


class EventScanner:
    """Finds the boundaries of events, whatever pieces a stream comes in.

    ``last_event_id`` is the ID of the last complete event, or of one before
    it if it has none. ``names_last_event`` tells that it is its own, or that
    there is no event yet.
    """

    def __init__(self, *, last_event_id: str = "") -> None:
        self.last_event_id = last_event_id
        self.names_last_event = True
        self._event_id = last_event_id
        self._has_id = False
        # The beginning of the line that hasn't ended.
        self._line = bytearray()
        self._has_fields = False
        self._after_return = False

    @property
    def inside_event(self) -> bool:
        """Tell whether the last event is incomplete.

        :return: whether a blank line has to follow; a comment needs none
        """
        in_field = bool(self._line) and not self._line.startswith(COMMENT)
        return self._has_fields or in_field

    def feed(self, data: bytes) -> int:
        """Scan a piece of the stream.

        :param data: at least one byte
        :return: how many of its bytes belong to complete events, 0 also if
            an event goes on that began before
        """
        if self._are_whole_events(data):
            ids = ID_LINE.findall(data)
            self._event_id = _decode_id(ids[-1]) if ids else self._event_id
            self.last_event_id = self._event_id
            events = filter(FIELD_LINE.search, reversed(data.split(EVENT_END)))
            last = next(events, None)
            if last is not None:
                self._has_id = bool(ID_LINE.search(last))
                self._end_event()
            return len(data)
        start = boundary = 0
        if self._after_return and data.startswith(LINE_FEED):
            # The second byte of a line end that was counted already.
            start = 1
            boundary = 0 if self._has_fields else start
        for line_end in LINE_END.finditer(data, start):
            self._add(data[start : line_end.start()])
            start = line_end.end()
            self._end_line()
            if not self._has_fields:
                boundary = start
        self._add(data[start:])
        self._after_return = data.endswith(CARRIAGE_RETURN)
        return boundary

    def _are_whole_events(self, data: bytes) -> bool:
        # Spares most pieces of a stream the scan for other line ends.
        return (
            data.endswith(EVENT_END)
            and not self._line
            and not self._has_fields
            and not self._after_return
            and CARRIAGE_RETURN not in data
        )

    def _add(self, data: bytes) -> None:
        self._line += data[: MAX_EVENT_BYTES - len(self._line)]

    def _end_line(self) -> None:
        line = bytes(self._line)
        self._line.clear()
        if not line:
            self.last_event_id = self._event_id
            if self._has_fields:
                self._has_fields = False
                self._end_event()
        elif not line.startswith(COMMENT):
            self._has_fields = True
            name, _, value = line.partition(FIELD_SEPARATOR)
            if name == ID_FIELD:
                self._event_id = _decode_id(value)
                self._has_id = True

    def _end_event(self) -> None:
        self.names_last_event = self._has_id and bool(self._event_id)
        self._has_id = False


class EventStream:
    """Passes a stream on, in complete events if it is to be resumable."""

    def __init__(self, *, resumable: bool) -> None:
        """Begin before the first event.

        :param resumable: whether to hold back the last, incomplete event:
            the events of another endpoint would be joined to it
        """
        self._holds_back = resumable
        self._scanner = EventScanner()
        self._partial = bytearray()
        self._partly_sent = False

    @property
    def last_event_id(self) -> str:
        """Return the ID of the last complete event.

        :return: the ID, empty if there is none
        """
        return self._scanner.last_event_id

    @property
    def inside_event(self) -> bool:
        """Tell whether the last event is incomplete.

        :return: whether the stream has been broken off if it ends here
        """
        return self._scanner.inside_event

    @property
    def resumable(self) -> bool:
        """Tell whether the stream can go on with another endpoint's events.

        :return: whether only complete events were passed on, and the last of
            them has an ID to go on after
        """
        return (
            self._holds_back
            and not self._partly_sent
            and self._scanner.names_last_event
        )

    def feed(self, data: bytes) -> bytes:
        """Add a piece of the stream.

        :param data: at least one byte
        :return: what to pass on now
        """
        boundary = self._scanner.feed(data)
        if not self._holds_back:
            return data
        self._partial += data
        if boundary:
            self._partly_sent = False
            return self._take(len(self._partial) - len(data) + boundary)
        if len(self._partial) > MAX_EVENT_BYTES:
            self._partly_sent = True
            return self.take_partial()
        return b""

    def take_partial(self) -> bytes:
        """Remove and return what was held back.

        :return: bytes that belong to the response if it is complete
        """
        return self._take(len(self._partial))

    def discard_partial(self) -> None:
        """Discard an incomplete event, which another endpoint repeats."""
        self._partial.clear()
        names_last_event = self._scanner.names_last_event
        self._scanner = EventScanner(last_event_id=self.last_event_id)
        self._scanner.names_last_event = names_last_event

    def _take(self, size: int) -> bytes:
        taken = bytes(self._partial[:size])
        del self._partial[:size]
        return taken


def _decode_id(value: bytes) -> str:
    return value.strip().decode("latin-1")


def is_event_stream(headers: Mapping[str, str], *, expected: bool) -> bool:
    """Tell whether a response is a stream of events.

    :param headers: values by lower-case name
    :param expected: whether it is one if the headers don't tell
    :return: whether its events can be found
    """
    if headers.get("content-encoding", IDENTITY) != IDENTITY:
        return False
    media_type = headers.get("content-type", "").partition(";")[0]
    return media_type.strip().lower() == CONTENT_TYPE or (
        expected and not media_type
    )


__all__ = [
    "EventScanner",
    "EventStream",
    "is_event_stream",
]
