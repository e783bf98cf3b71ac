"""The stand-in for the platform's configuration service and list."""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Iterable
import copy
import dataclasses
from typing import Any
from typing import NamedTuple

import msgspec

from boragefold.protocol import platform_api

# Over all readers together.
CALLS_PER_SECOND = 2000
# Enough to show a lagging copy.
KEPT_VERSIONS = 32


class _Version(NamedTuple):
    at_seconds: float
    revision: int
    data: bytes | None


@dataclasses.dataclass(kw_only=True)
class Faults:
    """What is wrong with the platform at present.

    ``silent`` accepts calls and never answers; ``lag_seconds`` shows the tree
    as it was then, ``list_lag_seconds`` the list.
    """

    down: bool = False
    silent: bool = False
    lag_seconds: float = 0.0
    list_lag_seconds: float = 0.0


class Snapshot(NamedTuple):
    """A backup that the platform can be restored from."""

    revision: int
    versions: dict[str, list[_Version]]


class Platform:
    """A tree and a list with revisions, and the faults of the real ones."""

    def __init__(
        self,
        *,
        now_seconds: Callable[[], float],
        calls_per_second: int = CALLS_PER_SECOND,
    ) -> None:
        self._now_seconds = now_seconds
        self._calls_per_second = calls_per_second
        self.faults = Faults()
        self.calls: collections.Counter[int] = collections.Counter()
        self.refused_calls = 0
        self._subscribers: list[Callable[[], None]] = []
        self._revision = 0
        self._versions: dict[str, list[_Version]] = {}
        self._listings = [(now_seconds(), platform_api.Listing(0, ()))]

    @property
    def revision(self) -> int:
        """Read the revision of the newest change.

        :return: the revision
        """
        return self._revision

    def _tell(self) -> None:
        for callback in self._subscribers:
            callback()

    def put(self, path: str, document: Any) -> int:
        """Publish a document, valid or not.

        :param path: where
        :param document: anything JSON can hold
        :return: its revision
        """
        return self.put_data(path, msgspec.json.encode(document))

    def put_data(self, path: str, data: bytes | None) -> int:
        """Publish bytes as they are.

        :param path: where
        :param data: JSON, or None to delete
        :return: the revision
        """
        self._revision += 1
        versions = self._versions.setdefault(path, [])
        versions.append(_Version(self._now_seconds(), self._revision, data))
        del versions[:-KEPT_VERSIONS]
        self._tell()
        return self._revision

    def delete(self, path: str) -> int:
        """Delete a path.

        :param path: which
        :return: the revision of the deletion
        """
        return self.put_data(path, None)

    def load(self, tree: dict[str, Any]) -> None:
        """Publish many documents.

        :param tree: documents by path
        """
        for path, document in tree.items():
            self.put(path, document)

    def documents(self) -> dict[str, Any]:
        """Read the tree as it stands, without lag.

        :return: documents by path
        """
        return {
            path: msgspec.json.decode(versions[-1].data)
            for path, versions in self._versions.items()
            if versions[-1].data is not None
        }

    def put_list(
        self, instances: Iterable[platform_api.ListedInstance]
    ) -> int:
        """Publish the list of instances.

        :param instances: all of them
        :return: its revision
        """
        revision = self._listings[-1][1].revision + 1
        listing = platform_api.Listing(revision, tuple(instances))
        self._listings.append((self._now_seconds(), listing))
        del self._listings[:-KEPT_VERSIONS]
        return revision

    def snapshot(self) -> Snapshot:
        """Make a backup of the tree.

        :return: the backup
        """
        return Snapshot(self._revision, copy.deepcopy(self._versions))

    def restore(self, snapshot: Snapshot) -> None:
        """Come back with an older copy; revisions go on from there.

        :param snapshot: a backup
        """
        self._revision = snapshot.revision
        self._versions = copy.deepcopy(snapshot.versions)
        self._tell()

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Be told of each change of the tree, before any lag.

        :param callback: called without arguments
        """
        self._subscribers.append(callback)

    def count_call(self) -> platform_api.PlatformFailed | None:
        """Count a call, and refuse it if it is one too many.

        :return: the failure, or None when the call may be answered
        """
        second = int(self._now_seconds())
        self.calls[second] += 1
        if self.faults.down:
            return platform_api.PlatformFailed(reason="refused")
        if self.calls[second] > self._calls_per_second:
            self.refused_calls += 1
            return platform_api.PlatformFailed(reason="status")
        return None

    def peak_calls_per_second(self) -> int:
        """Tell how many calls came in the busiest second.

        :return: calls
        """
        return max(self.calls.values(), default=0)

    def peek(
        self, after_revision: int, *, lag_seconds: float | None = None
    ) -> platform_api.WatchResult:
        """Read what a watch would be answered now; counts as no call.

        :param after_revision: where the watch stands
        :param lag_seconds: the lag of the copy asked, if not the usual one
        :return: the changes after it
        """
        lag = self.faults.lag_seconds if lag_seconds is None else lag_seconds
        horizon_seconds = self._now_seconds() - lag
        visible = [
            (path, version)
            for path, versions in self._versions.items()
            if (version := _visible(versions, horizon_seconds)) is not None
        ]
        changes = (
            platform_api.PublishedChange(path, version.revision, version.data)
            for path, version in visible
            if version.revision > after_revision
        )
        ordered = sorted(changes, key=lambda change: change.revision)
        revision = max((version.revision for _, version in visible), default=0)
        return platform_api.WatchResult(revision, tuple(ordered))

    def list_instances(
        self, *, lag_seconds: float | None = None
    ) -> platform_api.Listing:
        """Read the list as a call would see it; counts as no call.

        :param lag_seconds: the lag of the copy asked, if not the usual one
        :return: the list
        """
        usual_seconds = self.faults.list_lag_seconds
        lag = usual_seconds if lag_seconds is None else lag_seconds
        horizon_seconds = self._now_seconds() - lag
        shown = self._listings[0][1]
        for at_seconds, listing in self._listings:
            if at_seconds <= horizon_seconds:
                shown = listing
        return shown


def is_news(result: platform_api.WatchResult, after_revision: int) -> bool:
    """Tell whether a watch is answered at once.

    :param result: what it would be answered
    :param after_revision: where it stands
    :return: whether anything differs, a copy that went back included
    """
    return bool(result.changes) or result.revision != after_revision


def _visible(
    versions: list[_Version], horizon_seconds: float
) -> _Version | None:
    seen = [
        version
        for version in versions
        if version.at_seconds <= horizon_seconds
    ]
    return seen[-1] if seen else None


def main() -> None:
    """Serve a stand-in over HTTP; see :mod:`platform_http`."""
    from boragefold.standins import platform_http

    platform_http.main()


__all__ = [
    "CALLS_PER_SECOND",
    "Faults",
    "Platform",
    "Snapshot",
    "is_news",
]

if __name__ == "__main__":
    main()
