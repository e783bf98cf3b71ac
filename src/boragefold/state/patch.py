"""The difference between two values of a path, entry by entry."""

from __future__ import annotations

from typing import Any
from typing import NamedTuple

import msgspec

from boragefold.protocol import decoding

_MISSING = object()


class Patch(NamedTuple):
    """``entries`` is a JSON object of what is new or changed."""

    entries: bytes
    removed: tuple[str, ...]


def make(before: bytes, after: bytes) -> Patch:
    """Find the difference.

    :param before: a JSON object
    :param after: another
    :return: what turns the first into the second
    """
    old: dict[str, Any] = msgspec.json.decode(before)
    new: dict[str, Any] = msgspec.json.decode(after)
    entries = {
        name: value
        for name, value in new.items()
        if old.get(name, _MISSING) != value
    }
    return Patch(msgspec.json.encode(entries), tuple(old.keys() - new.keys()))


def apply(before: bytes, patch: Patch) -> bytes | None:
    """Apply a difference.

    :param before: the JSON object that the patch was made from
    :param patch: the difference
    :return: canonical JSON, or None when the patch is malformed
    """
    document: dict[str, Any] = msgspec.json.decode(before)
    try:
        entries = msgspec.json.decode(patch.entries, type=dict[str, Any])
    except decoding.ERRORS:
        return None
    kept = {
        name: value
        for name, value in document.items()
        if name not in patch.removed
    }
    return msgspec.json.encode(kept | entries, order="deterministic")


__all__ = [
    "Patch",
    "apply",
    "make",
]
