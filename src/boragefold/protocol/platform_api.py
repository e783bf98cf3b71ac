"""The interface of the platform's configuration service.

``GET /v1/tree?after=REVISION&wait_seconds=N`` is a long poll: it returns a
:class:`TreeAnswer` as soon as there are newer changes, or at the end of the
wait. ``GET /v1/list`` returns a :class:`ListAnswer`.
"""

from __future__ import annotations

import dataclasses
from typing import Literal
from typing import NamedTuple
from typing import TypedDict

import msgspec

from boragefold.protocol import decoding

TREE_PATH = "/v1/tree"
LIST_PATH = "/v1/list"


class PublishedChange(NamedTuple):
    """The newest value of a path: JSON, or None after a deletion."""

    path: str
    revision: int
    data: bytes | None


class WatchResult(NamedTuple):
    """The changes after a revision, and the revision that they lead to."""

    revision: int
    changes: tuple[PublishedChange, ...]


class ListedInstance(NamedTuple):
    """An instance in the platform's list."""

    address: str
    data_centre: str
    kind: Literal["entry", "endpoint"]
    state: Literal["live", "leaving"]


class Listing(NamedTuple):
    """The platform's list; it lags, and two readers may see different ones."""

    revision: int
    instances: tuple[ListedInstance, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlatformFailed:
    """Reports that the platform gave no usable answer.

    ``reason`` is one of ``refused``, ``timeout``, ``status`` and
    ``malformed``.
    """

    reason: str
    remedy: str = "check that the platform's configuration service is up"


class ChangeDocument(msgspec.Struct):
    """A change on the wire.

    A struct, because msgspec can't keep raw JSON undecoded in a ``TypedDict``.
    """

    path: str
    revision: int
    value: msgspec.Raw


class TreeAnswer(msgspec.Struct):
    """The body of an answer to ``GET /v1/tree``."""

    revision: int
    changes: list[ChangeDocument]


class InstanceDocument(TypedDict):
    """An instance on the wire."""

    address: str
    data_centre: str
    kind: Literal["entry", "endpoint"]
    state: Literal["live", "leaving"]


class ListAnswer(TypedDict):
    """The body of an answer to ``GET /v1/list``."""

    revision: int
    instances: list[InstanceDocument]


_TREE_DECODER = msgspec.json.Decoder(TreeAnswer)
_LIST_DECODER = msgspec.json.Decoder(ListAnswer)
_JSON_NULL = b"null"


def decode_tree(body: bytes) -> WatchResult | PlatformFailed:
    """Decode the body of an answer to ``GET /v1/tree``.

    :param body: JSON
    :return: the changes, or a failure if the body is malformed
    """
    try:
        answer = _TREE_DECODER.decode(body)
    except decoding.ERRORS:
        return PlatformFailed(reason="malformed")
    changes = (
        PublishedChange(
            change.path, change.revision, _value_or_none(change.value)
        )
        for change in answer.changes
    )
    return WatchResult(answer.revision, tuple(changes))


def encode_tree(result: WatchResult) -> bytes:
    """Encode the body of an answer to ``GET /v1/tree``.

    :param result: the changes
    :return: JSON
    """
    changes = [
        ChangeDocument(
            path=change.path,
            revision=change.revision,
            value=msgspec.Raw(
                _JSON_NULL if change.data is None else change.data
            ),
        )
        for change in result.changes
    ]
    return msgspec.json.encode(
        TreeAnswer(revision=result.revision, changes=changes)
    )


def decode_list(body: bytes) -> Listing | PlatformFailed:
    """Decode the body of an answer to ``GET /v1/list``.

    :param body: JSON
    :return: the list, or a failure if the body is malformed
    """
    try:
        answer = _LIST_DECODER.decode(body)
    except decoding.ERRORS:
        return PlatformFailed(reason="malformed")
    instances = (
        ListedInstance(**instance) for instance in answer["instances"]
    )
    return Listing(answer["revision"], tuple(instances))


def encode_list(listing: Listing) -> bytes:
    """Encode the body of an answer to ``GET /v1/list``.

    :param listing: the list
    :return: JSON
    """
    instances = [instance._asdict() for instance in listing.instances]
    return msgspec.json.encode(
        {"revision": listing.revision, "instances": instances}
    )


def _value_or_none(value: msgspec.Raw) -> bytes | None:
    data = bytes(value).strip()
    return None if data == _JSON_NULL else data


__all__ = [
    "ChangeDocument",
    "InstanceDocument",
    "LIST_PATH",
    "ListAnswer",
    "ListedInstance",
    "Listing",
    "PlatformFailed",
    "PublishedChange",
    "TREE_PATH",
    "TreeAnswer",
    "WatchResult",
    "decode_list",
    "decode_tree",
    "encode_list",
    "encode_tree",
]
