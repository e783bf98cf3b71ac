"""Reconciles the configuration tree with that of another instance.

A comparison starts with a summary of the tree. If the summaries differ, the
instances exchange a hash for each bucket, then the versions of the buckets
that differ, in both directions; then each requests the values that are newer
on the other. No message depends on an earlier one, so a lost or duplicate
message costs one round at most, and the next comparison starts from scratch.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import hashlib
from typing import NamedTuple

from boragefold.coordination.configuration import transfer
import boragefold.coordination.link as links
from boragefold.protocol import config_messages as messages
from boragefold.protocol import ids
from boragefold.state import fingerprint as fingerprints
from boragefold.state import history as histories
from boragefold.state import patch as patches
from boragefold.state import tree as trees
from boragefold.telemetry import counters as telemetry

# Bounds the size of a message.
VERSIONS_PER_MESSAGE = 200
# Bounds the sender's queue; the next comparison requests the remaining values.
MAX_ANSWER_BYTES = 512 * 1024


# Bounds the number of peers whose differing buckets are tracked.
MAX_COMPARISONS = 16


class _Comparison(NamedTuple):
    """The buckets in which a peer may still hold newer values."""

    buckets: set[int]
    is_ready: bool


class Reconciliation:
    """Answers requests of other instances and requests their newer values."""

    def __init__(
        self,
        *,
        link: links.PeerLink,
        tree: trees.Tree,
        fingerprint: fingerprints.Fingerprint,
        history: histories.History,
        counters: telemetry.Counters,
        is_ready: Callable[[], bool],
        on_comparison: Callable[[ids.InstanceId, int, bool], None],
    ) -> None:
        self._link = link
        self._tree = tree
        self._fingerprint = fingerprint
        self._history = history
        self._counters = counters
        self._is_ready = is_ready
        self._on_comparison = on_comparison
        self._assembler = transfer.Assembler()
        self._comparisons: dict[ids.InstanceId, _Comparison] = {}
        link.subscribe(messages.ConfigurationBuckets, self._on_buckets)
        link.subscribe(messages.ConfigurationVersions, self._on_versions)
        link.subscribe(messages.ConfigurationWant, self._on_want)
        link.subscribe(messages.ConfigurationValue, self._on_value)
        link.subscribe(messages.ConfigurationPatch, self._on_patch)

    def send_hashes(self, to: ids.InstanceId) -> None:
        """Continue a comparison whose summaries differ by sending hashes.

        :param to: the instance that sent the summary
        """
        body = messages.ConfigurationBuckets(
            self._fingerprint.hashes(), self._is_ready()
        )
        self._link.send(to=to, body=body)

    def send_value(self, to: ids.InstanceId, path: str) -> int:
        """Send the published value at a path.

        :param to: the receiving instance
        :param path: the configuration path
        :return: the bytes sent, zero if nothing was published at the path
        """
        entry = self._tree.entry(path)
        if entry is None:
            return 0
        since_seconds = self._history.since_seconds(path)
        for piece in transfer.split_value(path, entry, since_seconds):
            self._link.send(to=to, body=piece)
        return len(entry.packed or b"") or 1

    def send_versions(
        self, to: ids.InstanceId, versions: Iterable[messages.PathVersion]
    ) -> None:
        """Announce new versions, whose values the receiver may request.

        :param to: the receiving instance
        :param versions: the versions to announce
        """
        for page in _pages(versions):
            body = messages.ConfigurationVersions((), page, True)
            self._link.send(to=to, body=body)

    def _on_buckets(
        self, sender: ids.InstanceId, body: messages.ConfigurationBuckets
    ) -> None:
        differing = self._fingerprint.differing(body.hashes)
        self._comparisons[sender] = _Comparison(set(differing), body.ready)
        if len(self._comparisons) > MAX_COMPARISONS:
            del self._comparisons[next(iter(self._comparisons))]
        self._report(sender)
        self._send_buckets(sender, differing, is_reply=False)

    def _report(self, peer: ids.InstanceId) -> None:
        comparison = self._comparisons[peer]
        remaining = len(comparison.buckets)
        if not remaining:
            del self._comparisons[peer]
        self._on_comparison(peer, remaining, comparison.is_ready)

    def _send_buckets(
        self, to: ids.InstanceId, buckets: Iterable[int], *, is_reply: bool
    ) -> None:
        chosen: list[int] = []
        versions: list[messages.PathVersion] = []
        for bucket in buckets:
            chosen.append(bucket)
            versions += self._fingerprint.versions(bucket)
            if len(versions) >= VERSIONS_PER_MESSAGE:
                self._send_page(to, chosen, versions, is_reply)
                chosen, versions = [], []
        if chosen:
            self._send_page(to, chosen, versions, is_reply)

    def _send_page(
        self,
        to: ids.InstanceId,
        buckets: list[int],
        versions: list[messages.PathVersion],
        is_reply: bool,
    ) -> None:
        body = messages.ConfigurationVersions(
            tuple(buckets), tuple(versions), is_reply
        )
        self._link.send(to=to, body=body)

    def _on_versions(
        self, sender: ids.InstanceId, body: messages.ConfigurationVersions
    ) -> None:
        wanted = [
            version.path
            for version in body.versions
            if self._is_wanted(version)
        ]
        if wanted:
            want = messages.ConfigurationWant(tuple(wanted))
            self._link.send(to=sender, body=want)
        elif body.is_reply and sender in self._comparisons:
            # This instance needs none of the peer's values in these buckets.
            self._comparisons[sender].buckets.difference_update(body.buckets)
            self._report(sender)
        if not body.is_reply:
            known = [
                bucket
                for bucket in body.buckets
                if 0 <= bucket < fingerprints.BUCKETS
            ]
            self._send_buckets(sender, known, is_reply=True)

    def _is_wanted(self, version: messages.PathVersion) -> bool:
        path, revision, prefix = version
        entry = self._tree.entry(path)
        if entry is not None:
            present = (entry.revision, fingerprints.prefix(entry.digest))
            if (revision, prefix) <= present:
                return False
        rejection = self._tree.rejections.own(path)
        return rejection is None or (revision, prefix) != (
            rejection.revision,
            fingerprints.prefix(rejection.digest),
        )

    def _on_want(
        self, sender: ids.InstanceId, body: messages.ConfigurationWant
    ) -> None:
        budget_bytes = MAX_ANSWER_BYTES
        for path in body.paths:
            if budget_bytes <= 0:
                return
            budget_bytes -= self.send_value(sender, path)

    def _on_value(
        self, sender: ids.InstanceId, body: messages.ConfigurationValue
    ) -> None:
        whole = self._assembler.add(sender, body)
        if whole is not None:
            self._apply(*whole)

    def _on_patch(
        self, sender: ids.InstanceId, body: messages.ConfigurationPatch
    ) -> None:
        version = messages.PathVersion(
            body.path, body.revision, fingerprints.prefix(body.digest)
        )
        if not self._is_wanted(version):
            return
        data = self._apply_patch(body)
        if data is None:
            # The patch applies to a version that this instance doesn't hold,
            # because an earlier message was lost.
            self._counters.add("configuration_patches", "other_base")
            want = messages.ConfigurationWant((body.path,))
            self._link.send(to=sender, body=want)
            return
        self._counters.add("configuration_patches", "applied")
        self._apply(body.path, body.revision, data, body.since_seconds)

    def _apply_patch(self, body: messages.ConfigurationPatch) -> bytes | None:
        entry = self._tree.entry(body.path)
        before = self._tree.data(body.path)
        if entry is None or before is None:
            return None
        base = (entry.revision, fingerprints.prefix(entry.digest))
        if base != (body.base_revision, body.base_prefix):
            return None
        patch = patches.Patch(body.entries, body.removed)
        data = patches.apply(before, patch)
        if data is None or hashlib.sha256(data).digest() != body.digest:
            return None
        return data

    def _apply(
        self,
        path: str,
        revision: int,
        data: bytes | None,
        since_seconds: float,
    ) -> None:
        self._history.note_since(path, revision, since_seconds)
        self._tree.apply(path=path, revision=revision, data=data)


def _pages(
    versions: Iterable[messages.PathVersion],
) -> Iterator[tuple[messages.PathVersion, ...]]:
    remaining = tuple(versions)
    while remaining:
        yield remaining[:VERSIONS_PER_MESSAGE]
        remaining = remaining[VERSIONS_PER_MESSAGE:]


__all__ = [
    "Reconciliation",
]
