"""One request and the answer to it, in pieces."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import h11

from boragefold.transport import header_bytes

Headers = list[tuple[str, str]]


class Answering(Protocol):
    """What an exchange needs of its connection."""

    def send(self, event: h11.Event) -> bool:
        """Send a part of the answer.

        :param event: head or data
        :return: whether the caller keeps up
        """

    def finish(self) -> None:
        """End the answer."""

    def abort(self) -> None:
        """Cut the connection."""

    def has_ended(self) -> bool:
        """Check whether the caller closed the connection.

        :return: whether it did, also if the loop hasn't detected it yet
        """


class Exchange:
    """One request and the answer to it."""

    def __init__(self, *, connection: Answering, body: bytes = b"") -> None:
        self._connection = connection
        # Counted until the answer ends: what was made of it is as large.
        self._body = body
        self.started = False
        self.finished = False
        self.on_closed: Callable[[], None] | None = None
        self.on_drained: Callable[[], None] | None = None
        self.on_given_up: Callable[[], None] | None = None

    @property
    def connection(self) -> Answering:
        """Return the connection that carries the answer.

        :return: the connection
        """
        return self._connection

    def has_caller_left(self) -> bool:
        """Check whether the caller left before its request was handled.

        In overload, a request may be read after its caller has given it up;
        the loop detects that only after it has read other requests.

        :return: whether the caller closed the connection
        """
        return self._connection.has_ended()

    def start(self, status: int, headers: Headers) -> None:
        """Send the head of the answer; the body follows in pieces.

        :param status: the HTTP status
        :param headers: names and values; without a length the body is chunked
        """
        if self.started or self.finished:
            return
        self.started = True
        self._connection.send(
            h11.Response(
                status_code=status, headers=header_bytes.encode(headers)
            )
        )

    def send(self, data: bytes) -> bool:
        """Send a piece of the body.

        :param data: the piece
        :return: whether the caller keeps up; if not, wait for ``on_drained``
        """
        if self.finished or not data:
            return not self.finished
        return self._connection.send(h11.Data(data=data))

    def finish(self) -> None:
        """End the answer; only a whole answer may be ended."""
        if not self.finished:
            self._release()
            self._connection.finish()

    def abort(self) -> None:
        """Cut the connection, so the caller sees that the answer is cut.

        Ending a chunked body in the usual way would show a broken answer as
        a whole one.
        """
        if not self.finished:
            self._release()
            self._connection.abort()

    def reply(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer.

        :param status: the HTTP status
        :param headers: without the length, which is added
        :param body: the whole body
        """
        length = ("Content-Length", str(len(body)))
        self.start(status, [*headers, length])
        self.send(body)
        self.finish()

    def closed(self) -> None:
        """Learn that the caller is gone; called by the connection."""
        on_closed = self.on_closed
        self._release()
        if on_closed is not None:
            on_closed()

    def give_up(self) -> None:
        """Demand the final answer now; called when the process ends."""
        if self.on_given_up is not None and not self.finished:
            self.on_given_up()

    def drained(self) -> None:
        """Learn that the caller caught up; called by the connection."""
        if self.on_drained is not None and not self.finished:
            self.on_drained()

    def _release(self) -> None:
        # These and the exchange refer to each other, with a whole request,
        # which would stay until the next collection of garbage.
        self.finished = True
        self._body = b""
        self.on_closed = self.on_drained = self.on_given_up = None


__all__ = [
    "Answering",
    "Exchange",
    "Headers",
]
