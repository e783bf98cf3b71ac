"""Compares two versions of a deployment."""

from __future__ import annotations

from collections.abc import Iterator
import enum
from typing import Any
from typing import NamedTuple

from boragefold.state import deployment as deployments

NOTHING = "-"


class Difference(NamedTuple):
    """A part of the configuration before and after; ``-`` is nothing."""

    place: str
    before: str
    after: str


def compare(
    before: deployments.Deployment, after: deployments.Deployment
) -> list[Difference]:
    """Compare two versions.

    :param before: the one in force
    :param after: the new one
    :return: the differences, by place; keys are counted, never shown
    """
    old, new = dict(_flatten(before)), dict(_flatten(after))
    differences = [
        Difference(place, _show(old.get(place)), _show(new.get(place)))
        for place in sorted(old.keys() | new.keys())
        if old.get(place) != new.get(place) and not _is_key_set(place)
    ]
    changed_keys = [
        _compare_keys(place, old.get(place), new.get(place))
        for place in old.keys() | new.keys()
        if old.get(place) != new.get(place) and _is_key_set(place)
    ]
    return sorted(differences + changed_keys)


def _flatten(deployment: deployments.Deployment) -> Iterator[tuple[str, Any]]:
    yield "version", deployment.version
    named = (
        ("routes", deployment.routes),
        ("services", deployment.services.values()),
        ("workspaces", deployment.workspaces.values()),
    )
    for kind, parts in named:
        for part in parts:
            for field, value in part._asdict().items():
                if field != "name":
                    yield f"{kind}/{part.name}/{field}", value
    for field, value in deployment.limits._asdict().items():
        yield f"limits/{field}", value


def _is_key_set(place: str) -> bool:
    return place.startswith("workspaces/") and place.endswith("/keys")


def _compare_keys(
    place: str, old: frozenset[str] | None, new: frozenset[str] | None
) -> Difference:
    gone = len((old or frozenset()) - (new or frozenset()))
    added = len((new or frozenset()) - (old or frozenset()))
    return Difference(
        place,
        f"{len(old or ())} keys, {gone} withdrawn",
        f"{len(new or ())} keys, {added} granted",
    )


def _show(value: Any) -> str:
    if value is None:
        return NOTHING
    return value.value if isinstance(value, enum.Enum) else repr(value)


__all__ = [
    "Difference",
    "compare",
]
