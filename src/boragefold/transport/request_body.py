"""What takes the bytes of a request's body behind its head."""

from __future__ import annotations

import abc


class RequestBody(abc.ABC):
    """Appends the content of one request to its body."""

    @property
    def is_costly(self) -> bool:
        """Tell whether the last bytes took much work.

        :return: whether less should be fed at once
        """
        return False

    @property
    def is_plain(self) -> bool:
        """Tell whether bytes are content as they are.

        :return: whether they are
        """
        return False

    @abc.abstractmethod
    def feed(self, data: bytes) -> bytes | None:
        """Take bytes.

        :param data: what was received
        :return: what follows the body, None while it goes on
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Let go of the body."""


class PlainBody(RequestBody):
    """A body of a length that was announced."""

    def __init__(self, *, body: bytearray, length_bytes: int) -> None:
        """Wait for the first byte.

        :param body: takes the content
        :param length_bytes: how much there is
        """
        self._body = body
        self._missing_bytes = length_bytes

    @property
    def is_plain(self) -> bool:
        """Tell that bytes are content as they are.

        :return: True
        """
        return True

    def feed(self, data: bytes) -> bytes | None:
        """Take bytes.

        :param data: what was received
        :return: what follows the body, None while it goes on
        """
        if len(data) < self._missing_bytes:
            self._body += data
            self._missing_bytes -= len(data)
            return None
        self._body += memoryview(data)[: self._missing_bytes]
        return data[self._missing_bytes :]

    def close(self) -> None:
        """Do nothing: only this refers to the body."""


__all__ = [
    "PlainBody",
    "RequestBody",
]
