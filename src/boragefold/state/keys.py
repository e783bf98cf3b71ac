"""Which workspace a caller's key belongs to."""

from __future__ import annotations

from collections.abc import Callable

from boragefold.state import documents
from boragefold.state import paths
from boragefold.telemetry import counters as telemetry

Withdrawn = Callable[[str], None]


class KeyIndex:
    """Granted keys by digest, kept up to date path by path."""

    def __init__(self, *, counters: telemetry.Counters) -> None:
        self._counters = counters
        # Digests as bytes, to save memory.
        self._granted: dict[bytes, str] = {}
        self._teams: dict[str, dict[bytes, str]] = {}
        self._subscribers: list[Withdrawn] = []

    def subscribe(self, callback: Withdrawn) -> None:
        """Be told of each key that has stopped working.

        :param callback: called with the key's digest, 64 hexadecimal digits
        """
        self._subscribers.append(callback)

    def workspace(self, digest: str) -> str | None:
        """Find the workspace of a granted key.

        :param digest: the SHA-256 of the key, 64 hexadecimal digits
        :return: ``team/name``, or None for an unknown or withdrawn key
        """
        return self._granted.get(bytes.fromhex(digest))

    def replace(
        self, *, team: str, document: dict[str, documents.Key] | None
    ) -> None:
        """Take over a team's keys.

        :param team: the team
        :param document: its keys, None after a deletion
        """
        before = self._teams.get(team, {})
        after = {
            bytes.fromhex(digest): paths.qualify(team, key["workspace"])
            for digest, key in (document or {}).items()
            if key["state"] == "granted"
        }
        self._teams[team] = after
        changed = [
            digest
            for digest in before.keys() | after.keys()
            if before.get(digest) != after.get(digest)
        ]
        for digest in changed:
            self._settle(digest)

    def withdraw_workspace(self, workspace: str) -> None:
        """Tell subscribers that a workspace's keys no longer lead anywhere.

        :param workspace: ``team/name`` of a workspace that was deleted
        """
        gone = [
            digest
            for digest, owner in self._granted.items()
            if owner == workspace
        ]
        for digest in gone:
            self._announce(digest)

    def __len__(self) -> int:
        return len(self._granted)

    def _settle(self, digest: bytes) -> None:
        owners = {
            team[digest] for team in self._teams.values() if digest in team
        }
        before = self._granted.pop(digest, None)
        if len(owners) == 1:
            self._granted[digest] = next(iter(owners))
        elif owners:
            # Either workspace could be the wrong one, so the key works for
            # neither.
            self._counters.add("configuration_conflicts", "key_of_two_teams")
        if before is not None and before != self._granted.get(digest):
            self._announce(digest)

    def _announce(self, digest: bytes) -> None:
        self._counters.add("keys_withdrawn")
        for callback in self._subscribers:
            callback(digest.hex())


__all__ = [
    "KeyIndex",
]
