"""Decides whether the bytes published at a path may come into force."""

from __future__ import annotations

import dataclasses
import hashlib
from typing import Any
from typing import NamedTuple

import msgspec

from boragefold.protocol import decoding
from boragefold.state import checks
from boragefold.state import documents
from boragefold.state import paths

# The platform's limit.
MAX_VALUE_BYTES = 1 << 20


@dataclasses.dataclass(frozen=True, kw_only=True)
class Accepted:
    """A document that may come into force.

    ``data`` is its canonical JSON: keys sorted, no white space. ``digest`` is
    the SHA-256 of that.
    """

    path: str
    document: Any
    data: bytes
    digest: bytes
    tag: str = "accepted"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Rejected:
    """A value that may not come into force.

    ``reason`` begins with a word of a small fixed set, see :attr:`kind`.
    """

    path: str
    reason: str
    remedy: str
    tag: str = "rejected"

    @property
    def kind(self) -> str:
        """Read the reason's first word.

        :return: the reason as a counter has it
        """
        return self.reason.partition(":")[0]


class _Schema(NamedTuple):
    type: Any
    check: checks.Check


SCHEMAS = {
    "defaults": _Schema(documents.Defaults, checks.check_defaults),
    "store": _Schema(documents.Store, checks.check_store),
    "data_centres": _Schema(
        dict[str, documents.DataCentre], checks.check_data_centres
    ),
    "models": _Schema(dict[str, documents.Model], checks.check_models),
    "endpoints": _Schema(
        dict[str, documents.Endpoint], checks.check_endpoints
    ),
    "services": _Schema(documents.Service, checks.check_service),
    "workspaces": _Schema(
        dict[str, documents.Workspace], checks.check_workspaces
    ),
    "keys": _Schema(dict[str, documents.Key], checks.check_keys),
    "adapters": _Schema(dict[str, documents.Adapter], checks.check_adapters),
}


def validate(path: str, data: bytes) -> Accepted | Rejected:
    """Decide whether a published value may come into force.

    :param path: where it stands
    :param data: JSON
    :return: the document, or the first thing that is wrong with it
    """
    parsed = paths.parse(path)
    if parsed is None:
        return Rejected(
            path=path,
            reason="unknown_path",
            remedy="move it to a path of the published tree's table",
        )
    if len(data) > MAX_VALUE_BYTES:
        return _too_large(path, data)
    return _validate(path, SCHEMAS[parsed.kind], data)


def _validate(path: str, schema: _Schema, data: bytes) -> Accepted | Rejected:
    try:
        raw = msgspec.json.decode(data)
    except decoding.ERRORS:
        return Rejected(
            path=path, reason="bad_json", remedy="publish valid JSON"
        )
    try:
        document = msgspec.convert(raw, schema.type)
    except msgspec.ValidationError as error:
        return Rejected(
            path=path,
            reason=f"bad_type: {_without_keys(path, str(error))}",
            remedy="correct the field's type, or add the missing field",
        )
    if raw != document:
        # A misspelt optional field would otherwise be dropped in silence.
        return Rejected(
            path=path,
            reason="unknown_field",
            remedy="remove or correct the field that the schema lacks",
        )
    fault = next(schema.check(document), None)
    if fault is not None:
        return Rejected(path=path, reason=fault.reason, remedy=fault.remedy)
    canonical = msgspec.json.encode(document, order="deterministic")
    if len(canonical) > MAX_VALUE_BYTES:
        # Peers would not take a canonical form over the limit.
        return _too_large(path, canonical)
    return Accepted(
        path=path,
        document=document,
        data=canonical,
        digest=hashlib.sha256(canonical).digest(),
    )


def _too_large(path: str, data: bytes) -> Rejected:
    return Rejected(
        path=path,
        reason=f"too_large: {len(data)} bytes",
        remedy="split it over several paths; a value holds 1 MiB",
    )


def _without_keys(path: str, message: str) -> str:
    """Drop what could quote a key: a mistaken document may hold them."""
    return "a field of a key" if path.endswith("/keys") else message[:200]


__all__ = [
    "Accepted",
    "MAX_VALUE_BYTES",
    "Rejected",
    "validate",
]
