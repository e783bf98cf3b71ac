"""Headers as bytes, as they came or were made."""

from __future__ import annotations

from collections.abc import Iterable

# Bytes beyond ASCII are allowed in values; each is one character of a text.
ENCODING = "latin-1"
# Not part of a value, though the parser of answers leaves it at its end.
WHITE_SPACE = " \t"


def encode(headers: Iterable[tuple[str, str]]) -> list[tuple[bytes, bytes]]:
    """Encode headers for sending.

    :param headers: names and values
    :return: the same as bytes
    :raises UnicodeEncodeError: for a character that no header holds
    """
    return [
        (name.encode(ENCODING), value.strip(WHITE_SPACE).encode(ENCODING))
        for name, value in headers
    ]


__all__ = [
    "encode",
]
