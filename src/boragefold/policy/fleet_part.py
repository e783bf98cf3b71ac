"""Which part of a limit for all instances one instance may use.

Load pattern: instances are killed, restarted, added and cut off from each
other while endpoints fail. If each divided by the instances that it hears
now, the parts would add up to a multiple of the limit.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import NamedTuple

# An instance that isn't heard any more may be cut off and still use its part;
# one that was never heard within this time isn't there.
MEMORY_SECONDS = 3600.0
# What a leaving instance sent has arrived by then.
LEAVING_SECONDS = 3.0


class PartInputs(NamedTuple):
    """What the part of one instance depends on.

    ``instances`` counts all that may use a part, this one included;
    ``unheard_seeds`` are those of them that never were heard. ``settled``
    tells that this instance has listened for long enough to know all others.
    """

    instances: int
    unheard_seeds: int
    settled: bool


class FleetPart:
    """Remembers the instances among which a limit is divided."""

    def __init__(self, *, started_at_seconds: float) -> None:
        """Begin without other instances.

        :param started_at_seconds: when this process started
        """
        self._started_at_seconds = started_at_seconds
        self._seeds: frozenset[str] = frozenset()
        self._heard: set[str] = set()
        self._counted_until_seconds: dict[str, float] = {}

    def update(
        self,
        *,
        seeds: Collection[str],
        heard: Collection[str],
        leaving: Collection[str],
        window_seconds: float,
        now_seconds: float,
    ) -> None:
        """Record which other instances there are.

        :param seeds: addresses where some may listen
        :param heard: addresses of all that were heard lately
        :param leaving: addresses of those among them that are about to end
        :param window_seconds: time window of the limit
        :param now_seconds: reading of the process clock
        """
        self._seeds = frozenset(seeds)
        self._heard.update(self._seeds.intersection(heard))
        self._counted_until_seconds |= dict.fromkeys(
            heard, now_seconds + MEMORY_SECONDS
        )
        self._counted_until_seconds |= dict.fromkeys(
            leaving, now_seconds + window_seconds + LEAVING_SECONDS
        )
        self._counted_until_seconds = {
            address: until_seconds
            for address, until_seconds in self._counted_until_seconds.items()
            if until_seconds > now_seconds
        }

    def inputs(self, *, now_seconds: float) -> PartInputs:
        """Tell what the part depends on now.

        :param now_seconds: reading of the process clock
        :return: the inputs
        """
        settled = now_seconds - self._started_at_seconds > MEMORY_SECONDS
        unheard_seeds = frozenset() if settled else self._seeds - self._heard
        others = self._counted_until_seconds.keys() | unheard_seeds
        return PartInputs(1 + len(others), len(unheard_seeds), settled)


def compute_part(inputs: PartInputs) -> float:
    """Compute the part of one instance.

    :param inputs: what it depends on
    :return: the part, from 0 to 1; 0 as long as there may be others that this
        instance doesn't know, and that use the whole
    """
    knows_nobody = inputs.instances == 1
    if not inputs.settled and (knows_nobody or inputs.unheard_seeds):
        return 0.0
    return 1 / inputs.instances


__all__ = [
    "FleetPart",
    "PartInputs",
    "compute_part",
]
