"""Messages that replicate the published configuration between instances."""

from __future__ import annotations

from typing import NamedTuple


class LeavingMark(NamedTuple):
    """Whether the newest list with an entry for an address marks it leaving.

    ``list_revision`` orders the lists: only a newer one undoes a mark.
    """

    address: str
    list_revision: int
    leaving: bool


class PathVersion(NamedTuple):
    """The version of a path's value that is in force.

    ``prefix`` is the beginning of the value's digest as a number. Versions
    of one path are ordered by revision, then by prefix.
    """

    path: str
    revision: int
    prefix: int


class ConfigurationSummary(NamedTuple):
    """Starts a comparison of all versions and marks.

    ``root`` and ``marks_root`` are hashes over the sender's versions and
    marks; equal hashes, the usual case, end the comparison.
    ``heard_seconds_ago`` is the age of the newest answer of the platform that
    the sender received, directly or through other instances; None for never.
    """

    root: int
    marks_root: int
    ready: bool
    heard_seconds_ago: float | None


class ConfigurationBuckets(NamedTuple):
    """Answers a summary that differs, with a hash for each bucket."""

    hashes: tuple[int, ...]
    ready: bool


class ConfigurationVersions(NamedTuple):
    """All versions in the named buckets, or only new ones if none is named.

    ``is_reply`` tells the receiver not to send its versions in return.
    """

    buckets: tuple[int, ...]
    versions: tuple[PathVersion, ...]
    is_reply: bool


class ConfigurationWant(NamedTuple):
    """Requests the values in force at some paths."""

    paths: tuple[str, ...]


class ConfigurationValue(NamedTuple):
    """A chunk of a value, encoded as in the tree; None if it is deleted.

    ``since_seconds`` is the wall-clock time at which the value first came
    into force on any instance that forwarded it.
    """

    path: str
    revision: int
    digest: bytes
    since_seconds: float
    total_bytes: int
    offset_bytes: int
    chunk: bytes | None


class ConfigurationPatch(NamedTuple):
    """The difference between a value and its predecessor.

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
    """Reports a value that the sender read from the platform as invalid."""

    path: str
    revision: int
    digest: bytes
    reason: str
    remedy: str


class ConfigurationMarks(NamedTuple):
    """The sender's marks of endpoints that are leaving by the list."""

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
