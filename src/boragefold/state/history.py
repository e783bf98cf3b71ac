"""What was in force on this instance, and from when."""

from __future__ import annotations

import collections
from collections.abc import Callable
from typing import Literal
from typing import NamedTuple

from boragefold.state import rejections as rejecting
from boragefold.state import tree as trees

# Bounds the memory.
MAX_RECORDS = 20_000
# An announced value may never come.
MAX_ANNOUNCED = 1024


class Record(NamedTuple):
    """One value of one path on this instance.

    Moments are seconds of the calendar. ``from_seconds`` is when it came
    into force, or was rejected, here; ``fleet_from_seconds`` is the earliest
    moment that any instance that passed it on gave. ``digest`` is the
    SHA-256 of the canonical JSON, 64 hexadecimal digits; of a rejected value
    that of the bytes as they came.
    """

    path: str
    revision: int
    outcome: Literal["accepted", "deleted", "rejected"]
    digest: str
    from_seconds: float
    fleet_from_seconds: float
    reason: str = ""
    remedy: str = ""


class History:
    """A bounded record of the changes of a tree, newest last."""

    def __init__(
        self,
        *,
        tree: trees.Tree,
        wall_seconds: Callable[[], float],
        max_records: int = MAX_RECORDS,
    ) -> None:
        self._wall_seconds = wall_seconds
        self._max_records = max_records
        self._records: collections.deque[Record] = collections.deque()
        self._in_force: dict[str, Record] = {}
        # The newest dropped record of each path, in force until the oldest
        # kept one.
        self._dropped: dict[str, Record] = {}
        self._announced: dict[str, tuple[int, float]] = {}
        self.complete_since_seconds = wall_seconds()
        tree.subscribe(self._changed)
        tree.rejections.subscribe(self._rejected)

    def note_since(
        self, path: str, revision: int, since_seconds: float
    ) -> None:
        """Learn from a peer since when a value is in force in the fleet.

        :param path: the path
        :param revision: its revision
        :param since_seconds: the moment that the peer gave
        """
        self._announced[path] = (revision, since_seconds)
        if len(self._announced) > MAX_ANNOUNCED:
            del self._announced[next(iter(self._announced))]

    def since_seconds(self, path: str) -> float:
        """Tell since when the present value is in force in the fleet.

        :param path: the path
        :return: seconds of the calendar; zero for an unknown path
        """
        record = self._in_force.get(path)
        return 0.0 if record is None else record.fleet_from_seconds

    def in_force(self) -> list[Record]:
        """Read what is in force now.

        :return: a record for each path, deletions included, by path
        """
        return sorted(self._in_force.values())

    def of_path(self, path: str) -> list[Record]:
        """Read what happened at a path.

        :param path: the path
        :return: the records still kept, oldest first
        """
        kept = [record for record in self._records if record.path == path]
        dropped = self._dropped.get(path)
        return kept if dropped is None else [dropped, *kept]

    def at(self, wall_seconds: float) -> list[Record] | None:
        """Tell what was in force here at a moment.

        :param wall_seconds: seconds of the calendar
        :return: a record for each path; None for a moment before this
            instance started or older than what is kept
        """
        if wall_seconds < self.complete_since_seconds:
            return None
        found = self._dropped | {
            record.path: record
            for record in self._records
            if record.outcome != "rejected"
            and record.from_seconds <= wall_seconds
        }
        return sorted(found.values())

    def __len__(self) -> int:
        return len(self._records)

    def _changed(self, change: trees.Change) -> None:
        now_seconds = self._wall_seconds()
        revision, since_seconds = self._announced.pop(
            change.path, (change.revision, now_seconds)
        )
        known = revision == change.revision
        record = Record(
            path=change.path,
            revision=change.revision,
            outcome="deleted" if change.document is None else "accepted",
            digest=change.digest.hex(),
            from_seconds=now_seconds,
            fleet_from_seconds=(
                min(since_seconds, now_seconds) if known else now_seconds
            ),
        )
        self._in_force[change.path] = record
        self._add(record)

    def _rejected(self, path: str, rejection: rejecting.Rejection) -> None:
        now_seconds = self._wall_seconds()
        self._add(
            Record(
                path=path,
                revision=rejection.revision,
                outcome="rejected",
                digest=rejection.digest.hex(),
                from_seconds=now_seconds,
                fleet_from_seconds=now_seconds,
                reason=rejection.rejected.reason,
                remedy=rejection.rejected.remedy,
            )
        )

    def _add(self, record: Record) -> None:
        self._records.append(record)
        if len(self._records) > self._max_records:
            self._drop(self._records.popleft())

    def _drop(self, record: Record) -> None:
        if record.outcome != "rejected":
            self._dropped[record.path] = record
        self.complete_since_seconds = record.from_seconds


__all__ = [
    "History",
    "MAX_RECORDS",
    "Record",
]
