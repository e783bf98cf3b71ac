"""Hashes over a tree, so that two instances can find where they differ."""

from __future__ import annotations

import struct

import xxhash

from boragefold.protocol import config_messages as messages
from boragefold.state import tree as trees

# More buckets make the list of a difference shorter and the hashes longer.
BUCKETS = 64
PREFIX_BYTES = 8


def prefix(digest: bytes) -> int:
    """Shorten a digest for comparisons.

    :param digest: a SHA-256
    :return: its first eight bytes as a number
    """
    return int.from_bytes(digest[:PREFIX_BYTES], "big")


def bucket_of(path: str) -> int:
    """Tell which bucket a path is in.

    :param path: the path
    :return: from 0 to ``BUCKETS`` - 1
    """
    return xxhash.xxh3_64_intdigest(path.encode()) % BUCKETS


class Fingerprint:
    """The versions in force by bucket, kept up to date change by change."""

    def __init__(self, *, tree: trees.Tree) -> None:
        self._hashes = [0] * BUCKETS
        self._versions: list[dict[str, messages.PathVersion]] = [
            {} for _ in range(BUCKETS)
        ]
        self._root: int | None = None
        tree.subscribe(self._changed)
        for path, entry in tree:
            self._take(path, entry.revision, entry.digest)

    def root(self) -> int:
        """Hash the whole tree.

        :return: the same number on instances that hold the same versions
        """
        if self._root is None:
            packed = struct.pack(f">{BUCKETS}Q", *self._hashes)
            self._root = xxhash.xxh3_64_intdigest(packed)
        return self._root

    def hashes(self) -> tuple[int, ...]:
        """Hash each bucket.

        :return: ``BUCKETS`` numbers
        """
        return tuple(self._hashes)

    def differing(self, hashes: tuple[int, ...]) -> list[int]:
        """Compare our buckets with those of another instance.

        :param hashes: the other's, as from :meth:`hashes`
        :return: the buckets that differ
        """
        pairs = enumerate(zip(self._hashes, hashes, strict=False))
        return [bucket for bucket, (ours, theirs) in pairs if ours != theirs]

    def versions(self, bucket: int) -> list[messages.PathVersion]:
        """Read what is in force in a bucket.

        :param bucket: which
        :return: the versions, deletions included
        """
        return list(self._versions[bucket].values())

    def _changed(self, change: trees.Change) -> None:
        self._take(change.path, change.revision, change.digest)

    def _take(self, path: str, revision: int, digest: bytes) -> None:
        bucket = bucket_of(path)
        version = messages.PathVersion(path, revision, prefix(digest))
        before = self._versions[bucket].get(path)
        if before is not None:
            self._hashes[bucket] ^= _hash(before)
        self._versions[bucket][path] = version
        self._hashes[bucket] ^= _hash(version)
        self._root = None


def _hash(version: messages.PathVersion) -> int:
    text = f"{version.path}\0{version.revision}\0{version.prefix}"
    return xxhash.xxh3_64_intdigest(text.encode())


__all__ = [
    "BUCKETS",
    "Fingerprint",
    "bucket_of",
    "prefix",
]
