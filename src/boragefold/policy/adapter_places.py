"""The places of adapters as an engine reports them."""

from __future__ import annotations

from collections.abc import Mapping
import dataclasses

from boragefold.state import deployment

AdapterKey = deployment.AdapterKey


@dataclasses.dataclass(kw_only=True)
class Place:
    """An adapter's place at an engine.

    ``confirmed`` once a report or an answer showed that the adapter is there,
    ``warm`` while it is taken to come from the engine's own memory.
    ``count`` is the engine's count of orders after the load. While it
    ``replaces`` an older version, the engine may hold both.
    """

    version: int
    ready_at_seconds: float
    count: int = 0
    confirmed: bool = False
    running: int = 0
    leaving: bool = False
    warm: bool = False
    replaces: bool = False


def learned(
    before: Mapping[AdapterKey, Place],
    held: Mapping[str, Mapping[str, int]],
    coming: Mapping[AdapterKey, int],
    *,
    now_seconds: float,
) -> dict[AdapterKey, Place]:
    """Make the places that a report shows.

    :param before: the places as they were taken to be
    :param held: versions by adapter by model
    :param coming: versions of the adapters on their way
    :param now_seconds: reading of the process clock
    :return: the places
    """
    present = _flat(held)
    places = {}
    for key, version in {**present, **coming}.items():
        place = before.get(key)
        if place is None or place.version not in (0, version):
            place = _learned(place, version, now_seconds)
        place.confirmed = key not in coming
        place.replaces = key in coming and key in present
        places[key] = place
    return places


def confirm_former(
    places: Mapping[AdapterKey, Place],
    held: Mapping[str, Mapping[str, int]],
    *,
    count: int,
) -> None:
    """Confirm what a report shows that doesn't know of the last orders.

    :param places: the places
    :param held: versions by adapter by model
    :param count: how many orders the engine had accepted
    """
    present = _flat(held)
    for key, place in places.items():
        seen = place.version in (0, present.get(key, -1))
        if place.count <= count and key in present and seen:
            place.confirmed = True
            place.replaces = False


def _learned(
    before: Place | None, version: int, ready_at_seconds: float
) -> Place:
    return Place(
        version=version,
        ready_at_seconds=ready_at_seconds,
        running=0 if before is None else before.running,
    )


def _flat(
    held: Mapping[str, Mapping[str, int]],
) -> dict[AdapterKey, int]:
    return {
        AdapterKey(model, adapter): version
        for model, adapters in held.items()
        for adapter, version in adapters.items()
    }


__all__ = [
    "Place",
    "confirm_former",
    "learned",
]
