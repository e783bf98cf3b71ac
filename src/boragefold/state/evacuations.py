"""The data centres whose endpoints receive no further requests.

An evacuation comes into force adapter by adapter, so that not all adapters of
a data centre are loaded elsewhere at the same moment. All instances compute
the same order. Requests without an adapter move at once, and so do all
requests if the age of the evacuation isn't known.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import functools
import math
from typing import NamedTuple

import xxhash

from boragefold.state import deployment

# Share of the time limit of an evacuation; the rest is for its publication.
HAND_OVER_SHARE = 0.4
# Sized for the adapters that are requested again and again.
HASH_CACHE_SIZE = 4_096
HASH_RANGE = 2.0**64


class Evacuation(NamedTuple):
    """An evacuation in force.

    ``changed_at_seconds`` is when it was published, minus infinity if that
    isn't known, ``learned_at_seconds`` when this instance learned of it.
    """

    changed_at_seconds: float
    learned_at_seconds: float


class Evacuations:
    """The evacuations that operators have published."""

    def __init__(
        self,
        *,
        now_seconds: Callable[[], float] = lambda: 0.0,
        data_centres: Iterable[str] = (),
        limit_seconds: float = 0.0,
    ) -> None:
        """Begin without an evacuation.

        :param now_seconds: reads the process clock
        :param data_centres: those that exist by the settings
        :param limit_seconds: when nothing may reach an evacuated data centre
            any more, counted from the publication
        """
        self._now_seconds = now_seconds
        self.data_centres = frozenset(data_centres)
        self.limit_seconds = limit_seconds
        self._in_force: dict[str, Evacuation] = {}

    def __bool__(self) -> bool:
        return bool(self._in_force)

    def set(
        self,
        data_centre: str,
        evacuated: bool,
        changed_at_seconds: float | None,
    ) -> bool:
        """Begin or end an evacuation.

        :param data_centre: its name
        :param evacuated: whether it is to be evacuated
        :param changed_at_seconds: when that was published; None if unknown
        :return: whether this is a change
        """
        if evacuated == (data_centre in self._in_force):
            return False
        if evacuated:
            self._in_force[data_centre] = Evacuation(
                changed_at_seconds=(
                    -math.inf
                    if changed_at_seconds is None
                    else changed_at_seconds
                ),
                learned_at_seconds=self._now_seconds(),
            )
        else:
            del self._in_force[data_centre]
        return True

    def includes(
        self, data_centre: str, adapter: deployment.AdapterKey | None = None
    ) -> bool:
        """Return whether endpoints of a data centre receive nothing.

        :param data_centre: where the endpoints are
        :param adapter: what a request to an engine needs; None for requests
            to other endpoints
        :return: whether requests for the adapter must go elsewhere by now
        """
        evacuation = self._in_force.get(data_centre)
        if evacuation is None:
            return False
        if adapter is None or not adapter.adapter:
            return True
        elapsed_seconds = self._now_seconds() - evacuation.changed_at_seconds
        hand_over_seconds = HAND_OVER_SHARE * self.limit_seconds
        return elapsed_seconds >= hand_over_seconds * _position(adapter)

    def closed(
        self, adapter: deployment.AdapterKey | None = None
    ) -> frozenset[str]:
        """List the data centres whose endpoints receive nothing.

        :param adapter: as in :meth:`includes`
        :return: their names
        """
        return frozenset(
            data_centre
            for data_centre in self._in_force
            if self.includes(data_centre, adapter)
        )

    def in_force(self) -> dict[str, float]:
        """List the evacuated data centres.

        :return: since when this instance knows of it, by data centre
        """
        return {
            data_centre: evacuation.learned_at_seconds
            for data_centre, evacuation in self._in_force.items()
        }


@functools.lru_cache(maxsize=HASH_CACHE_SIZE)
def _position(adapter: deployment.AdapterKey) -> float:
    name = "\0".join(("evacuation", *adapter)).encode()
    return xxhash.xxh3_64_intdigest(name) / HASH_RANGE


__all__ = [
    "Evacuations",
    "HAND_OVER_SHARE",
]
