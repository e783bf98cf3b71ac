"""Decodes the chunks of a request's body at the same cost for small ones."""

from __future__ import annotations

import re

import httptools

from boragefold.transport import request_body

# What the decoder is told before the first chunk.
PRELUDE = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
# Bounds a chunk's head with its extensions, and the trailers.
MAX_FRAMING_BYTES = 32_768
# Each is a call of the parser.
COSTLY_SEGMENTS = 128
# Where the last chunk may begin.
LAST_CHUNK = re.compile(rb"\n0")


class BadChunks(Exception):
    """Reports bytes that are no chunks; the message tells why."""


class ChunkedBody(request_body.RequestBody):
    """Appends the content of chunks to a body.

    The library doesn't tell where a body ends, so that from each place where
    it may end it is fed line by line.
    """

    def __init__(self, *, body: bytearray) -> None:
        """Wait for the first chunk.

        :param body: takes the content
        """
        self._body = body
        self._complete = False
        self._by_line = False
        self._at_line_start = True
        self._framing_bytes = 0
        self._segments = 0
        # The parser calls these by their names.
        self.on_body = body.extend
        self._parser = httptools.HttpRequestParser(self)
        self._parser.feed_data(PRELUDE)

    @property
    def is_costly(self) -> bool:
        """Tell whether the last bytes took much work.

        :return: whether less should be fed at once
        """
        return self._segments > COSTLY_SEGMENTS

    def on_message_complete(self) -> None:
        """Learn from the parser that the body has ended."""
        self._complete = True

    def feed(self, data: bytes) -> bytes | None:
        """Decode bytes.

        :param data: what was received
        :return: what follows the body, None while it goes on
        :raises BadChunks: if they are no chunks
        """
        start = self._segments = 0
        if self._at_line_start and data[:1] == b"0":
            self._by_line = True
        while start < len(data):
            end = self._segment_end(data, start)
            grew = self._decode(data[start:end])
            if self._complete:
                return data[end:]
            self._by_line = data[end : end + 1] == b"0" or (
                self._by_line and not grew
            )
            start = end
        self._at_line_start = data[-1:] == b"\n"
        return None

    def close(self) -> None:
        """Let go of the body, which the parser refers to."""
        del self._parser
        del self.on_body

    def _segment_end(self, data: bytes, start: int) -> int:
        self._segments += 1
        if self._by_line:
            return data.find(b"\n", start) + 1 or len(data)
        found = LAST_CHUNK.search(data, start)
        return len(data) if found is None else found.start() + 1

    def _decode(self, data: bytes) -> bool:
        before_bytes = len(self._body)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            raise BadChunks(str(error)) from error
        if len(self._body) > before_bytes:
            self._framing_bytes = 0
            return True
        self._framing_bytes += len(data)
        if self._framing_bytes > MAX_FRAMING_BYTES:
            raise BadChunks("too much framing without content")
        return False


__all__ = [
    "BadChunks",
    "ChunkedBody",
]
