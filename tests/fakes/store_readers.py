"""The gateways that read the store for the others."""

from __future__ import annotations

import itertools

from boragefold.coordination.fleet import readers
from boragefold.protocol import ids
from tests.fakes import machines as machines_module


def rank(machines, number: int) -> int:
    """Return a gateway's place in the order of readers, lower ones first."""
    address = machines.gateways[number]["control"]
    return readers.rank(ids.InstanceId("", address, ""))


def of_each_data_centre(machines) -> list[int]:
    """List the gateways that read the store while all are sound."""

    def centre(number: int) -> str:
        return machines_module.CENTRES[number % len(machines_module.CENTRES)]

    numbers = sorted(range(len(machines.gateways)), key=centre)
    return [
        min(group, key=lambda number: rank(machines, number))
        for _, group in itertools.groupby(numbers, key=centre)
    ]


__all__ = [
    "of_each_data_centre",
    "rank",
]
