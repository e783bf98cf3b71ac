"""The adapter slots of an engine, as its reports show them."""

from __future__ import annotations

from collections.abc import Mapping
import dataclasses

from boragefold.state import deployment

AdapterKey = deployment.AdapterKey


@dataclasses.dataclass(kw_only=True)
class Place:
    """An adapter slot of an engine and the adapter version in it.

    ``confirmed`` is set once a report or an answer showed the adapter in the
    slot. ``warm`` is set while the load is assumed to come from the engine's
    own memory rather than the weight store. ``count`` is the engine's count
    of accepted orders after the load. While ``replaces`` is set, the engine
    may hold an older version of the adapter too.
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
    """Build the slots from a report.

    :param before: the slots as known before the report
    :param held: versions by adapter by model
    :param coming: versions of the adapters that are being loaded
    :param now_seconds: reading of the process clock
    :return: the slots by adapter
    """
    present = _flatten(held)
    places = {}
    for key, version in {**present, **coming}.items():
        place = before.get(key)
        if place is None or place.version not in (0, version):
            place = _new_place(place, version, now_seconds)
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
    """Confirm adapters from a report that predates the latest orders.

    :param places: the known slots, changed in place
    :param held: versions by adapter by model
    :param count: how many orders the engine had accepted
    """
    present = _flatten(held)
    for key, place in places.items():
        seen = place.version in (0, present.get(key, -1))
        if place.count <= count and key in present and seen:
            place.confirmed = True
            place.replaces = False


def _new_place(
    before: Place | None, version: int, ready_at_seconds: float
) -> Place:
    return Place(
        version=version,
        ready_at_seconds=ready_at_seconds,
        running=0 if before is None else before.running,
    )


def _flatten(
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
