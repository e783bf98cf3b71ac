"""What instances tell each other about the published configuration."""

from __future__ import annotations

from typing import NamedTuple


class LeavingMark(NamedTuple):
    """What the newest list that spoke of an address said.

    ``list_revision`` orders the lists: a mark is undone only by a newer one.
    """

    address: str
    list_revision: int
    leaving: bool


class PathVersion(NamedTuple):
    """Which value of a path is in force.

    ``prefix`` is the beginning of the value's digest as a number. Versions
    of one path are ordered by revision, then by prefix.
    """

    path: str
    revision: int
    prefix: int


class ConfigurationSummary(NamedTuple):
    """A comparison of everything, which usually ends here.

    ``root`` and ``marks_root`` are hashes over the sender's versions and
    marks. ``heard_seconds_ago`` tells how long ago the sender, or whoever
    told it, had the platform's answer; None for never.
    """

    root: int
    marks_root: int
    ready: bool
    heard_seconds_ago: float | None


class ConfigurationBuckets(NamedTuple):
    """The answer to a summary that differs: a hash for each bucket."""

    hashes: tuple[int, ...]
    ready: bool


class ConfigurationVersions(NamedTuple):
    """All versions in some buckets, or, without buckets, some new ones.

    ``is_reply`` asks for no versions in return.
    """

    buckets: tuple[int, ...]
    versions: tuple[PathVersion, ...]
    is_reply: bool


class ConfigurationWant(NamedTuple):
    """A request for the values in force at some paths."""

    paths: tuple[str, ...]


class ConfigurationValue(NamedTuple):
    """A piece of a value, packed as the tree keeps it; None if deleted.

    ``since_seconds`` is when the value came into force first, by the
    calendar, on any instance that passed it on.
    """

    path: str
    revision: int
    digest: bytes
    since_seconds: float
    total_bytes: int
    offset_bytes: int
    chunk: bytes | None


class ConfigurationPatch(NamedTuple):
    """The entries of a value that differ from the value before.

    ``entries`` is a JSON object of the entries that are new or changed.
    """

    path: str
    base_revision: int
    base_prefix: int
    revision: int
    digest: bytes
    since_seconds: float
    entries: bytes
    removed: tuple[str, ...]


class ConfigurationRejection(NamedTuple):
    """A value that the sender read at the platform and found invalid."""

    path: str
    revision: int
    digest: bytes
    reason: str
    remedy: str


class ConfigurationMarks(NamedTuple):
    """The endpoints that are leaving by the list, as the sender knows."""

    marks: tuple[LeavingMark, ...]
    is_reply: bool


KINDS = (
    ConfigurationBuckets,
    ConfigurationMarks,
    ConfigurationPatch,
    ConfigurationRejection,
    ConfigurationSummary,
    ConfigurationValue,
    ConfigurationVersions,
    ConfigurationWant,
)

__all__ = [
    "ConfigurationBuckets",
    "ConfigurationMarks",
    "ConfigurationPatch",
    "ConfigurationRejection",
    "ConfigurationSummary",
    "ConfigurationValue",
    "ConfigurationVersions",
    "ConfigurationWant",
    "KINDS",
    "LeavingMark",
    "PathVersion",
]
