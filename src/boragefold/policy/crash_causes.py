"""What a request may crash endpoints by: itself, or a part of its prompt.

A cause is a 64-bit hash. That of a part is negative, so that a message on
suspects holds both kinds, and releases that know no parts can read it.
"""

from __future__ import annotations

from typing import NamedTuple

import xxhash

PART_PREFIX = "part-"
MAX_KEY = 2**64 - 1


class RequestCauses(NamedTuple):
    """The causes of one request: its fingerprint, and its shared parts."""

    fingerprint: int
    parts: tuple[int, ...] = ()

    @property
    def all(self) -> tuple[int, ...]:
        """List the causes.

        :return: the fingerprint, then the parts
        """
        return (self.fingerprint, *self.parts)


def hash_part(part: str) -> int:
    """Hash a part of a prompt, whichever request holds it.

    :param part: what identifies it among all requests
    :return: the cause, negative
    """
    return -1 - (xxhash.xxh3_64_intdigest(part.encode()) >> 1)


def is_part(cause: int) -> bool:
    """Tell a part of a prompt from a whole request.

    :param cause: the cause
    :return: whether it is a part
    """
    return cause < 0


def to_key(cause: int) -> int:
    """Convert a cause to what identifies a lease.

    :param cause: the cause
    :return: an unsigned 64-bit number
    """
    return cause & MAX_KEY


def describe(cause: int) -> str:
    """Format a cause for the log.

    :param cause: the cause
    :return: 16 hexadecimal digits, behind a prefix if it is a part
    """
    if is_part(cause):
        return f"{PART_PREFIX}{-1 - cause:016x}"
    return f"{cause:016x}"


__all__ = [
    "RequestCauses",
    "describe",
    "hash_part",
    "is_part",
    "to_key",
]
