"""The buckets of all published workspaces, and what is taken from them.

An instance has a bucket for each published workspace, whether it ever met the
workspace or not: others may have emptied it.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
import math
from typing import NamedTuple

from boragefold.policy import rate_bucket
from boragefold.policy import rate_share
from boragefold.policy import rate_tolerance
from boragefold.state import deployment

# A workspace is published to all instances within this time.
UNPUBLISHED_SECONDS = 4.0


class Unplaced(NamedTuple):
    """What others admitted of a workspace that isn't published here yet."""

    amount: float
    since_seconds: float


class RateBuckets:
    """The buckets of one instance, by workspace."""

    def __init__(
        self,
        *,
        tolerance: rate_tolerance.Tolerance,
        started_at_seconds: float,
    ) -> None:
        """Begin without buckets.

        :param tolerance: how far a workspace may exceed its rate
        :param started_at_seconds: when this process started: what was admitted
            before that is unknown, so no bucket is fuller than one that was
            drained then; negative infinity for a process that has run for ever
        """
        self.tolerance = tolerance
        self.clock = rate_share.ShareClock(
            started_at_seconds=started_at_seconds
        )
        self._has_started = started_at_seconds > -math.inf
        self._buckets: dict[str, rate_bucket.Bucket] = {}
        self._unplaced: dict[str, Unplaced] = {}

    def get(self, workspace: str) -> rate_bucket.Bucket | None:
        """Return the bucket of a workspace as of its last change.

        :param workspace: its name
        :return: None if there is no bucket
        """
        return self._buckets.get(workspace)

    def lacks(self, workspaces: Iterable[str]) -> list[str]:
        """List the workspaces without a bucket.

        :param workspaces: names
        :return: those of them that were never published here
        """
        return [name for name in workspaces if name not in self._buckets]

    def settle(
        self, workspace: deployment.Workspace, *, now_seconds: float
    ) -> rate_bucket.Bucket:
        """Bring a bucket up to now by the limits published last.

        :param workspace: its name, and the limits of a new bucket: a request
            may have waited since before the last limits were published
        :param now_seconds: reading of the process clock
        :return: the bucket
        """
        reading = self.clock.read(now_seconds=now_seconds)
        bucket = self._buckets.get(workspace.name)
        if bucket is None:
            bucket = self._make_bucket(workspace, reading)
            self._buckets[workspace.name] = bucket
        bucket.settle(reading)
        return bucket

    def publish(
        self,
        workspaces: Iterable[deployment.Workspace],
        *,
        now_seconds: float,
    ) -> None:
        """Go by the published limits from now on.

        The buckets of workspaces that are no longer published are kept until
        they are full, as these may be published again.

        :param workspaces: all that have a rate limit
        :param now_seconds: reading of the process clock
        """
        published = {workspace.name: workspace for workspace in workspaces}
        reading = self.clock.read(now_seconds=now_seconds)
        for workspace in published.values():
            bucket = self.settle(workspace, now_seconds=now_seconds)
            bucket.set_limits(workspace, reading)
        for name in self._buckets.keys() - published.keys():
            bucket = self._buckets[name]
            bucket.settle(reading)
            if bucket.level >= bucket.limits.burst:
                del self._buckets[name]

    def take(
        self, amounts: Mapping[str, float], *, now_seconds: float
    ) -> None:
        """Take what others admitted, or return it where it is negative.

        :param amounts: tokens or requests, by workspace
        :param now_seconds: reading of the process clock
        """
        reading = self.clock.read(now_seconds=now_seconds)
        for name, amount in amounts.items():
            if (bucket := self._buckets.get(name)) is not None:
                bucket.take(amount, reading)
            elif amount:
                self._keep_unplaced(name, amount, now_seconds)

    def take_late(
        self, amounts: Mapping[str, float], *, now_seconds: float
    ) -> None:
        """Take what was admitted by instances that were unreachable.

        They admitted it from their part of the rate, which wasn't filled into
        the buckets here meanwhile: only the excess over that is taken.

        :param amounts: tokens or requests, by workspace
        :param now_seconds: reading of the process clock
        """
        if not self.clock.withheld_lately(now_seconds=now_seconds):
            self.take(amounts, now_seconds=now_seconds)
            return
        reading = self.clock.read(now_seconds=now_seconds)
        for name, amount in amounts.items():
            if (bucket := self._buckets.get(name)) is not None:
                bucket.take_late(amount, reading)
            elif amount:
                self._keep_unplaced(name, amount, now_seconds)

    def levels(self, *, now_seconds: float) -> dict[str, float]:
        """Return the levels of all buckets.

        :param now_seconds: reading of the process clock
        :return: tokens or requests, by workspace
        """
        reading = self.clock.read(now_seconds=now_seconds)
        for bucket in self._buckets.values():
            bucket.settle(reading)
        return {name: each.level for name, each in self._buckets.items()}

    def set_levels(
        self, levels: Mapping[str, float], *, now_seconds: float
    ) -> None:
        """Go by other levels from now on.

        :param levels: tokens or requests by workspace; ignored for workspaces
            that aren't published here
        :param now_seconds: reading of the process clock
        """
        reading = self.clock.read(now_seconds=now_seconds)
        for name in levels.keys() & self._buckets.keys():
            self._buckets[name].set_level(levels[name], reading)

    def _make_bucket(
        self, workspace: deployment.Workspace, reading: rate_share.Reading
    ) -> rate_bucket.Bucket:
        level = workspace.burst
        if self._has_started:
            # What may be admitted beyond the rate may have been, too.
            drained = -self.tolerance.extra(workspace)
            filled = workspace.rate_per_second * reading.filled_seconds
            level = min(level, drained + filled)
        unplaced = self._unplaced.pop(workspace.name, None)
        if unplaced is not None:
            since_seconds = reading.at_seconds - unplaced.since_seconds
            level -= unplaced.amount
            level += workspace.rate_per_second * since_seconds
        return rate_bucket.Bucket(
            limits=workspace, level=level, reading=reading
        )

    def _keep_unplaced(
        self, workspace: str, amount: float, now_seconds: float
    ) -> None:
        kept = self._unplaced.get(workspace)
        if (
            kept is None
            or now_seconds - kept.since_seconds > UNPUBLISHED_SECONDS
        ):
            kept = Unplaced(0.0, now_seconds)
        self._unplaced[workspace] = kept._replace(amount=kept.amount + amount)


__all__ = [
    "RateBuckets",
]
