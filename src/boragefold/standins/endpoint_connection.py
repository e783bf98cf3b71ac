"""Connections of a stand-in that frames and breaks off its answers at will."""

from __future__ import annotations

import enum
import os
from typing import NamedTuple

import h11

from boragefold.transport import exchange as exchanges
from boragefold.transport import http_server

HTTP_1_0 = b"1.0"
CLOSE = (b"connection", b"close")
LENGTH = b"content-length"


class Framing(enum.Enum):
    """What shows the end of an answer."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CLOSE = "close"


class Ending(enum.Enum):
    """How an answer is broken off."""

    CLOSE = "close"
    RESET = "reset"
    EXIT = "exit"


class HeadFault(NamedTuple):
    """Breaks a head off.

    ``sent`` bounds the bytes of it that are sent, counted from its end if it
    is negative. ``interim`` sends a whole interim answer before it.
    """

    sent: int
    interim: bool = False


INTERIM = b"HTTP/1.1 102 Processing\r\n\r\n"


class EndpointConnection(http_server.ServerConnection):
    """Sends an answer that is to close the connection without any framing.

    With a ``head_fault``, the head of the next answer is broken off.
    """

    head_fault: HeadFault | None = None

    def send(self, event: h11.Event) -> bool:
        """Send a part of an answer.

        :param event: head or data
        :return: whether the other end keeps up
        """
        if isinstance(event, h11.Response) and _is_unframed(event):
            # Answers to HTTP/1.0 have no chunks.
            self._reader.parser.their_http_version = HTTP_1_0
        if isinstance(event, h11.Response) and self.head_fault is not None:
            interim = INTERIM if self.head_fault.interim else b""
            head = self._reader.parser.send(event) or b""
            self.stream.write(interim + head[: self.head_fault.sent])
            return False
        return super().send(event)

    def _ends_at_close(self, head: h11.Response) -> bool:
        # When the process ends, the kernel closes in good order.
        return False

    def break_off(self, ending: Ending) -> None:
        """Break off the answer that is being sent.

        :param ending: how
        """
        if ending is Ending.EXIT:
            os._exit(1)
        elif ending is Ending.RESET:
            self.stream.reset()
        else:
            self.stream.close()


def break_off(exchange: exchanges.Exchange, ending: Ending) -> None:
    """Break off an answer.

    :param exchange: on an ``EndpointConnection``
    :param ending: how
    """
    connection = exchange.connection
    exchange.finished = True
    if isinstance(connection, EndpointConnection):
        connection.break_off(ending)


def framing_headers(framing: Framing, size: int) -> exchanges.Headers:
    """Write the headers that frame an answer.

    :param framing: what is to show its end
    :param size: bytes of its body
    :return: names and values
    """
    if framing is Framing.LENGTH:
        return [("Content-Length", str(size))]
    if framing is Framing.CLOSE:
        return [("Connection", "close")]
    return []


def _is_unframed(head: h11.Response) -> bool:
    names = {name for name, _ in head.headers}
    return CLOSE in head.headers and LENGTH not in names


__all__ = [
    "EndpointConnection",
    "Ending",
    "Framing",
    "HeadFault",
    "break_off",
    "framing_headers",
]
