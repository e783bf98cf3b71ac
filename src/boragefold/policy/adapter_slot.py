"""The adapter slots of an engine, as its reports show them."""

from __future__ import annotations

from collections.abc import Mapping
import dataclasses

from boragefold.state import deployment

AdapterKey = deployment.AdapterKey


@dataclasses.dataclass(kw_only=True)
class AdapterSlot:
    """An adapter slot of an engine and the adapter version in it.

    ``confirmed`` is set once a report or an answer showed the adapter in the
    slot. ``warm`` is set while the load is assumed to come from the engine's
    own memory rather than the weight store. ``order_count`` is the engine's
    count of accepted orders after the load. While ``replaces`` is set, the
    engine may hold an older version of the adapter too.
    """

    version: int
    ready_at_seconds: float
    order_count: int = 0
    confirmed: bool = False
    running_requests: int = 0
    unloading: bool = False
    warm: bool = False
    replaces: bool = False

    def is_loading(self, *, now_seconds: float) -> bool:
        """Check whether the adapter should still be loading.

        :param now_seconds: reading of the process clock
        :return: whether its load is in progress
        """
        return not self.confirmed and self.ready_at_seconds > now_seconds


def from_report(
    before: Mapping[AdapterKey, AdapterSlot],
    held: Mapping[str, Mapping[str, int]],
    loading: Mapping[AdapterKey, int],
    *,
    now_seconds: float,
) -> dict[AdapterKey, AdapterSlot]:
    """Build the slots from a report.

    :param before: the slots as known before the report
    :param held: versions by adapter by model
    :param loading: versions of the adapters that are being loaded
    :param now_seconds: reading of the process clock
    :return: the slots by adapter
    """
    present = _flatten(held)
    slots = {}
    for key, version in {**present, **loading}.items():
        slot = before.get(key)
        if slot is None or slot.version not in (0, version):
            slot = _new_slot(slot, version, now_seconds)
        slot.confirmed = key not in loading
        slot.replaces = key in loading and key in present
        slots[key] = slot
    return slots


def confirm_from_older_report(
    slots: Mapping[AdapterKey, AdapterSlot],
    held: Mapping[str, Mapping[str, int]],
    *,
    count: int,
) -> None:
    """Confirm adapters from a report that predates the latest orders.

    :param slots: the known slots, changed in place
    :param held: versions by adapter by model
    :param count: how many orders the engine had accepted
    """
    present = _flatten(held)
    for key, slot in slots.items():
        seen = slot.version in (0, present.get(key, -1))
        if slot.order_count <= count and key in present and seen:
            slot.confirmed = True
            slot.replaces = False


def _new_slot(
    before: AdapterSlot | None, version: int, ready_at_seconds: float
) -> AdapterSlot:
    return AdapterSlot(
        version=version,
        ready_at_seconds=ready_at_seconds,
        running_requests=0 if before is None else before.running_requests,
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
    "AdapterSlot",
    "confirm_from_older_report",
    "from_report",
]
