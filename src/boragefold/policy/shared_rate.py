"""A workspace's rate over all instances, with nothing stored.

Load pattern: one workspace sends many times its rate through all instances
at once, while the others stay within theirs. A part of the rate for each
instance refuses what is within it whenever callers are spread unevenly. Here
each instance tells the others how much it has admitted, and fills one bucket
with the whole rate: what was admitted anywhere is taken out of all of them.
What others admitted since their last message is the error.

Where instances can't hear each other, each side goes on with the part of the
rate that its share of the instances stands for, so that the sum over all
sides stays the rate.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import math
from typing import NamedTuple

from boragefold.state import deployment

# The callers of an ended instance are served by the others.
FORGET_SECONDS = 20.0
MIN_RETRY_AFTER_SECONDS = 0.1
# The rest is for what others admitted since their last heartbeat, and for
# buckets that start full.
TOLERANCE_SHARE = 0.5


class Tolerance(NamedTuple):
    """How far a workspace may exceed its rate without harm.

    In any span of ``window_seconds`` it may be given its rate and burst, a
    part ``overage`` more, and ``slack`` on top.
    """

    window_seconds: float = 0.0
    overage: float = 0.0
    slack: float = 0.0

    def extra(self, workspace: deployment.Workspace) -> float:
        """Tell what a workspace may be given beyond its rate and burst.

        A rate that is kept on the average refuses bursts that the fleet has
        room for. The tolerance is there for errors of counting; the part of
        it that they don't need serves callers.

        :param workspace: whose
        :return: tokens or requests
        """
        window = workspace.rate_per_second * self.window_seconds
        allowed = self.overage * (window + workspace.burst) + self.slack
        return TOLERANCE_SHARE * allowed


@dataclasses.dataclass(kw_only=True)
class Bucket:
    """What a workspace may still be given.

    ``withheld`` is the part of its rate that instances out of reach stood for,
    until ``withheld_until_seconds``.
    """

    level: float
    filled_at_seconds: float
    withheld: float = 0.0
    withheld_until_seconds: float = -math.inf


class SharedRate:
    """The buckets of all workspaces at one instance."""

    def __init__(self, *, tolerance: Tolerance | None = None) -> None:
        self.tolerance = tolerance or Tolerance()
        self._buckets: dict[str, Bucket] = {}
        self._admitted: dict[str, float] = {}

    @property
    def admitted(self) -> Mapping[str, float]:
        """Tell what this instance has admitted since it started.

        :return: tokens or requests, by workspace
        """
        return self._admitted

    def level(self, workspace: str) -> float:
        """Tell what a workspace may still be given.

        :param workspace: which
        :return: tokens or requests, as of its last request
        """
        return self._buckets[workspace].level

    def take_out(self, amounts: Mapping[str, float]) -> None:
        """Take out what was admitted elsewhere.

        :param amounts: tokens or requests, by workspace
        """
        for workspace, amount in amounts.items():
            if (bucket := self._buckets.get(workspace)) is not None:
                bucket.level -= amount

    def take_out_late(
        self, amounts: Mapping[str, float], *, now_seconds: float
    ) -> None:
        """Take out what was admitted by instances that were out of reach.

        They admitted it from their part of the rate, which didn't fill our
        buckets meanwhile: only what goes beyond that is taken out.

        :param amounts: tokens or requests, by workspace
        :param now_seconds: reading of the process clock
        """
        for workspace, amount in amounts.items():
            bucket = self._buckets.get(workspace)
            if bucket is None:
                continue
            paid = 0.0
            if now_seconds <= bucket.withheld_until_seconds + FORGET_SECONDS:
                paid = min(amount, bucket.withheld)
            bucket.withheld -= paid
            bucket.level -= amount - paid

    def admit(
        self,
        workspace: deployment.Workspace,
        amount: float,
        *,
        share: float,
        now_seconds: float,
    ) -> float | None:
        """Admit a request, or tell when to come back.

        :param workspace: whose
        :param amount: tokens or requests that it counts
        :param share: part of the rate that the instances within reach stand
            for, from 0 to 1
        :param now_seconds: reading of the process clock
        :return: None when it is admitted, else seconds until it would be
        """
        if workspace.rate_per_second <= 0:
            return None
        bucket = self._fill(workspace, share, now_seconds)
        # A request larger than the whole burst is admitted by a full bucket.
        need = min(amount, workspace.burst)
        need -= self.tolerance.extra(workspace)
        if bucket.level < need:
            rate = workspace.rate_per_second * share
            wait_seconds = (need - bucket.level) / max(rate, 1e-9)
            return max(MIN_RETRY_AFTER_SECONDS, wait_seconds)
        bucket.level -= amount
        self._count(workspace.name, amount)
        return None

    def give_back(self, workspace: str, amount: float) -> None:
        """Return what was admitted and never ran.

        :param workspace: whose
        :param amount: as admitted
        """
        if (bucket := self._buckets.get(workspace)) is not None:
            bucket.level += amount
            self._count(workspace, -amount)

    def _count(self, workspace: str, amount: float) -> None:
        before = self._admitted.get(workspace, 0.0)
        self._admitted[workspace] = before + amount

    def _fill(
        self,
        workspace: deployment.Workspace,
        share: float,
        now_seconds: float,
    ) -> Bucket:
        bucket = self._buckets.get(workspace.name)
        if bucket is None:
            bucket = Bucket(
                level=workspace.burst, filled_at_seconds=now_seconds
            )
            self._buckets[workspace.name] = bucket
        elapsed_seconds = max(0.0, now_seconds - bucket.filled_at_seconds)
        rate = workspace.rate_per_second * share
        bucket.level = min(
            bucket.level + rate * elapsed_seconds, workspace.burst
        )
        bucket.filled_at_seconds = now_seconds
        if share < 1:
            whole = workspace.rate_per_second
            withheld = bucket.withheld + (whole - rate) * elapsed_seconds
            bucket.withheld = min(withheld, whole * FORGET_SECONDS)
            bucket.withheld_until_seconds = now_seconds
        return bucket


def share_of(
    heard_ages_seconds: Iterable[float], silent_seconds: float
) -> float:
    """Work out the part of a rate that the instances within reach stand for.

    :param heard_ages_seconds: how long ago each known peer was heard
    :param silent_seconds: from when on a peer counts as out of reach
    :return: 1 when all are within reach
    """
    ages = [age for age in heard_ages_seconds if age <= FORGET_SECONDS]
    reached = 1 + sum(age <= silent_seconds for age in ages)
    return reached / math.fsum((1, len(ages)))


__all__ = [
    "FORGET_SECONDS",
    "SharedRate",
    "Tolerance",
    "share_of",
]
