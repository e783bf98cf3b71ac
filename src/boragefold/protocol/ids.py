"""Names of the processes that take part."""

from __future__ import annotations

from typing import NamedTuple
import uuid

# Every message between instances carries them.
INCARNATION_DIGITS = 16


class InstanceId(NamedTuple):
    """One incarnation of one entry instance."""

    data_centre: str
    address: str
    incarnation: str


def new_incarnation() -> str:
    """Make a name for a process that has just started.

    A restarted process remembers nothing, so it must not be taken for its
    predecessor at the same address.

    :return: 16 hexadecimal digits; two of a billion processes share them with
        a chance of 0.03
    """
    return uuid.uuid4().hex[:INCARNATION_DIGITS]


__all__ = [
    "InstanceId",
    "new_incarnation",
]
