"""The published tree as one instance holds it, a revision for each path."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import hashlib
from typing import Any
from typing import NamedTuple
import zlib

import msgspec

from boragefold.state import rejections as rejecting
from boragefold.state import validation
from boragefold.telemetry import counters as telemetry

# Higher levels save little more.
COMPRESSION_LEVEL = 1
NO_VALUE_DIGEST = hashlib.sha256(b"").digest()


class Entry(NamedTuple):
    """What is in force at a path; ``packed`` is None after a deletion."""

    revision: int
    digest: bytes
    packed: bytes | None


class Change(NamedTuple):
    """A path whose value has just come into force, or was deleted."""

    path: str
    revision: int
    digest: bytes
    document: Any | None
    before: Entry | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Applied:
    """The value is in force now."""

    change: Change
    tag: str = "applied"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ignored:
    """The value is not newer than what is in force."""

    reason: str
    tag: str = "ignored"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refused:
    """The value is newer but invalid; the last good one stays in force."""

    rejection: rejecting.Rejection
    tag: str = "refused"


Outcome = Applied | Ignored | Refused


def unpack(packed: bytes) -> bytes | None:
    """Unpack a value; its size is bounded whatever the bytes claim.

    :param packed: from an entry, or from a peer
    :return: JSON, or None for bytes that are no packed value
    """
    unpacker = zlib.decompressobj()
    try:
        data = unpacker.decompress(packed, validation.MAX_VALUE_BYTES + 1)
    except zlib.error:
        return None
    return data if unpacker.eof else None


class Tree:
    """Documents by path, each replaced whole and never by an older one.

    ``rejections`` tells which values were not put into force.
    """

    def __init__(self, *, counters: telemetry.Counters) -> None:
        self._counters = counters
        self._entries: dict[str, Entry] = {}
        self.rejections = rejecting.RejectionLog()
        # Digests of the raw values, so that an unchanged value isn't validated
        # again.
        self._raw_digests: dict[str, bytes] = {}
        self._subscribers: list[Callable[[Change], None]] = []

    def subscribe(self, callback: Callable[[Change], None]) -> None:
        """Be told of each path whose value has changed.

        Subscribers are called in the order in which they subscribed.

        :param callback: called after the change
        """
        self._subscribers.append(callback)

    def apply(
        self, *, path: str, revision: int, data: bytes | None
    ) -> Outcome:
        """Put a value into force if it is valid and newer than the present.

        :param path: where it stands
        :param revision: the platform's revision of this value
        :param data: JSON, or None for a deletion
        :return: what came of it
        """
        present = self._entries.get(path)
        if present is not None and revision < present.revision:
            # A lagging or restored copy of the platform would undo a change.
            return self._ignore("older_revision")
        if data is None:
            return self._put(path, revision, None, NO_VALUE_DIGEST, None)
        digest = hashlib.sha256(data).digest()
        if self._was_rejected(path, revision, digest):
            return self._ignore("rejected_before")
        if present is not None and present.revision == revision:
            if digest in (present.digest, self._raw_digests.get(path)):
                return Ignored(reason="in_force_already")
        result = validation.validate(path, data)
        if isinstance(result, validation.Rejected):
            return self._reject(
                path, rejecting.Rejection(revision, digest, result)
            )
        packed = zlib.compress(result.data, COMPRESSION_LEVEL)
        outcome = self._put(
            path, revision, packed, result.digest, result.document
        )
        if self._entries[path][:2] == (revision, result.digest):
            self._raw_digests[path] = digest
        return outcome

    def entry(self, path: str) -> Entry | None:
        """Read what is in force at a path, in its packed form.

        :param path: the path
        :return: the entry, or None when nothing was ever published there
        """
        return self._entries.get(path)

    def document(self, path: str) -> Any | None:
        """Read the document in force at a path.

        :param path: the path
        :return: the document, or None
        """
        data = self.data(path)
        return None if data is None else msgspec.json.decode(data)

    def data(self, path: str) -> bytes | None:
        """Read the canonical JSON in force at a path.

        :param path: the path
        :return: JSON, or None
        """
        entry = self._entries.get(path)
        packed = None if entry is None else entry.packed
        return None if packed is None else unpack(packed)

    def newest_revision(self) -> int:
        """Tell the newest revision in force at any path.

        :return: the revision, zero for an empty tree
        """
        return max(
            (entry.revision for entry in self._entries.values()), default=0
        )

    def __iter__(self) -> Iterator[tuple[str, Entry]]:
        return iter(self._entries.items())

    def __len__(self) -> int:
        return len(self._entries)

    def _ignore(self, reason: str) -> Ignored:
        self._counters.add("configuration_ignored", reason)
        return Ignored(reason=reason)

    def _was_rejected(self, path: str, revision: int, digest: bytes) -> bool:
        known = self.rejections.own(path)
        return known is not None and known[:2] == (revision, digest)

    def _reject(self, path: str, rejection: rejecting.Rejection) -> Refused:
        self._counters.add("configuration_rejected", rejection.rejected.kind)
        self.rejections.add(path, rejection)
        return Refused(rejection=rejection)

    def _put(
        self,
        path: str,
        revision: int,
        packed: bytes | None,
        digest: bytes,
        document: Any | None,
    ) -> Outcome:
        present = self._entries.get(path)
        if present is not None and present.revision == revision:
            if digest == present.digest:
                return Ignored(reason="in_force_already")
            # A restored platform hands out revisions again; all instances
            # settle on the same value.
            self._counters.add("configuration_revision_reused")
            if digest < present.digest:
                return self._ignore("revision_reused")
        self._entries[path] = Entry(revision, digest, packed)
        self._raw_digests.pop(path, None)
        self.rejections.clear(path, revision)
        self._counters.add("configuration_applied")
        change = Change(path, revision, digest, document, present)
        for callback in self._subscribers:
            callback(change)
        return Applied(change=change)


__all__ = [
    "Applied",
    "Change",
    "Entry",
    "Ignored",
    "NO_VALUE_DIGEST",
    "Outcome",
    "Refused",
    "Tree",
    "unpack",
]
