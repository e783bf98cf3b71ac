"""Pushes configuration changes to the other instances of the system."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable

from boragefold.coordination.configuration import peers as peering
from boragefold.coordination.configuration import reconciliation as reconciling
import boragefold.coordination.link as links
from boragefold.protocol import config_messages as messages
from boragefold.protocol import ids
from boragefold.state import fingerprint as fingerprints
from boragefold.state import history as histories
from boragefold.state import patch as patches
from boragefold.state import rejections as rejecting
from boragefold.state import tree as trees
from boragefold.state import validation
from boragefold.telemetry import counters as telemetry
from boragefold.timing import timers as timing

# Batches the changes that one answer of the platform brought.
PUSH_DELAY_SECONDS = 0.01
# The deputy sends versions only, once the steward's values had time to
# arrive.
DEPUTY_DELAY_SECONDS = 0.4
# Larger changes are announced by version; the receivers request the values.
PUSH_BYTES = 64 * 1024
# Data centres that read the platform themselves have the change by then, so
# the summaries match.
REMOTE_COMPARE_DELAY_SECONDS = 0.7
REMOTE_COMPARE_FANOUT = 3


class Distribution:
    """Sends changes to the view's members and to other data centres."""

    def __init__(
        self,
        *,
        link: links.PeerLink,
        tree: trees.Tree,
        history: histories.History,
        reconciliation: reconciling.Reconciliation,
        peers: peering.Peers,
        timers: timing.TimerService,
        compare: Callable[[ids.InstanceId], None],
        counters: telemetry.Counters,
    ) -> None:
        self._link = link
        self._tree = tree
        self._history = history
        self._reconciliation = reconciliation
        self._peers = peers
        self._timers = timers
        self._compare = compare
        self._counters = counters
        # Maps the path of each unsent change to the entry before the change.
        self._unsent: dict[str, trees.Entry | None] = {}
        tree.subscribe(self._changed)
        tree.rejections.subscribe(self._rejected)
        link.subscribe(messages.ConfigurationRejection, self._on_rejection)

    def _changed(self, change: trees.Change) -> None:
        if not self._unsent:
            self._timers.once(
                delay_seconds=PUSH_DELAY_SECONDS, callback=self._flush
            )
        self._unsent.setdefault(change.path, change.before)

    def _rejected(self, path: str, rejection: rejecting.Rejection) -> None:
        # Only the instances that read the platform receive invalid values,
        # but operators and auditors may query any instance.
        if self._peers.role not in (peering.Role.STEWARD, peering.Role.DEPUTY):
            return
        body = messages.ConfigurationRejection(
            path=path,
            revision=rejection.revision,
            digest=rejection.digest,
            reason=rejection.rejected.reason,
            remedy=rejection.rejected.remedy,
        )
        for member in self._peers.members():
            self._link.send(to=member, body=body)

    def _on_rejection(
        self, sender: ids.InstanceId, body: messages.ConfigurationRejection
    ) -> None:
        entry = self._tree.entry(body.path)
        if entry is not None and entry.revision >= body.revision:
            return
        rejected = validation.Rejected(
            path=body.path, reason=body.reason, remedy=body.remedy
        )
        rejection = rejecting.Rejection(body.revision, body.digest, rejected)
        self._tree.rejections.add_told(body.path, rejection)

    def _flush(self) -> None:
        unsent, self._unsent = self._unsent, {}
        role = self._peers.role
        if role is peering.Role.STEWARD:
            self._push(unsent)
        elif role is peering.Role.DEPUTY:
            self._timers.once(
                delay_seconds=DEPUTY_DELAY_SECONDS,
                callback=lambda: self._push_versions(unsent),
            )
        if role in (peering.Role.STEWARD, peering.Role.DEPUTY):
            self._timers.once(
                delay_seconds=REMOTE_COMPARE_DELAY_SECONDS,
                callback=self._compare_remotely,
            )

    def _push(self, unsent: dict[str, trees.Entry | None]) -> None:
        bodies = [
            body
            for path, before in unsent.items()
            if (body := self._patch(path, before)) is not None
        ]
        size_bytes = sum(len(body.entries) for body in bodies)
        if len(bodies) < len(unsent) or size_bytes > PUSH_BYTES:
            self._push_values(unsent)
            return
        for member in self._peers.members():
            for body in bodies:
                self._link.send(to=member, body=body)
        self._counters.add("configuration_pushes", "patch")

    def _push_values(self, paths: Iterable[str]) -> None:
        entries = [self._tree.entry(path) for path in paths]
        size_bytes = sum(
            len(entry.packed or b"") for entry in entries if entry is not None
        )
        if size_bytes > PUSH_BYTES:
            self._push_versions(paths)
            return
        for member in self._peers.members():
            for path in paths:
                self._reconciliation.send_value(member, path)
        self._counters.add("configuration_pushes", "value")

    def _patch(
        self, path: str, before: trees.Entry | None
    ) -> messages.ConfigurationPatch | None:
        entry = self._tree.entry(path)
        after_data = self._tree.data(path)
        packed = None if before is None else before.packed
        before_data = None if packed is None else trees.unpack(packed)
        if entry is None or before is None:
            return None
        if before_data is None or after_data is None:
            return None
        patch = patches.make(before_data, after_data)
        if len(patch.entries) >= len(entry.packed or b""):
            return None
        return messages.ConfigurationPatch(
            path=path,
            base_revision=before.revision,
            base_prefix=fingerprints.prefix(before.digest),
            revision=entry.revision,
            digest=entry.digest,
            since_seconds=self._history.since_seconds(path),
            entries=patch.entries,
            removed=patch.removed,
        )

    def _push_versions(self, paths: Iterable[str]) -> None:
        versions = [
            messages.PathVersion(
                path, entry.revision, fingerprints.prefix(entry.digest)
            )
            for path in paths
            if (entry := self._tree.entry(path)) is not None
        ]
        for member in self._peers.members():
            self._reconciliation.send_versions(member, versions)
        self._counters.add("configuration_pushes", "versions")

    def _compare_remotely(self) -> None:
        for _ in range(REMOTE_COMPARE_FANOUT):
            peer = self._peers.choose_remote()
            if peer is not None:
                self._compare(peer)


__all__ = [
    "Distribution",
]
