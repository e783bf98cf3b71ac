"""Identifiers of processes."""

from __future__ import annotations

from typing import NamedTuple
import uuid

# Kept short, because every message between instances carries an incarnation.
INCARNATION_DIGITS = 16


class InstanceId(NamedTuple):
    """One incarnation of one entry instance."""

    data_centre: str
    address: str
    incarnation: str


def new_incarnation() -> str:
    """Generate the identifier of a process that has just started.

    A restarted process has lost its state, so it must be distinguishable from
    its predecessor at the same address.

    :return: 16 hexadecimal digits; the probability of a collision among a
        billion processes is 0.03
    """
    return uuid.uuid4().hex[:INCARNATION_DIGITS]


__all__ = [
    "InstanceId",
    "new_incarnation",
]
