"""Token buckets for a workspace's rate over all instances, kept in memory.

Load pattern: one workspace sends many times its rate through all instances
at once, while the others stay within theirs. A fixed part of the rate for each
instance would refuse requests within the rate whenever a workspace's callers
are spread unevenly. Instead, each instance broadcasts how much it has admitted
and fills one bucket with the whole rate; an amount admitted anywhere is
removed from the bucket of every instance. The error is what others admitted
since their last message.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import math
import random

from boragefold.policy import rate_allowance
from boragefold.policy import rate_bucket
from boragefold.policy import rate_buckets
from boragefold.policy import rate_decision
from boragefold.policy import rate_tolerance
from boragefold.policy import rate_verdict
from boragefold.protocol import rate_ledger_messages as messages
from boragefold.state import deployment

MIN_RETRY_AFTER_SECONDS = 0.1
# A process that starts gets the levels of a hub within this time.
LEVELS_SECONDS = 1.5
# Totals that rose by such a part of what is allowed at once are news.
NEWS_PARTS = 16


class SharedRate:
    """The buckets of all workspaces on one instance."""

    def __init__(
        self,
        *,
        tolerance: rate_tolerance.Tolerance | None = None,
        started_at_seconds: float = -math.inf,
        rng: random.Random | None = None,
    ) -> None:
        """Begin without buckets.

        :param tolerance: how far a workspace may exceed its rate
        :param started_at_seconds: when this process started: what was admitted
            before that is unknown, so no bucket is fuller than one that was
            drained then
        :param rng: chooses the instances that may use the tolerance
        """
        self._started_at_seconds = started_at_seconds
        self._buckets = rate_buckets.RateBuckets(
            tolerance=tolerance or rate_tolerance.Tolerance(),
            started_at_seconds=started_at_seconds,
        )
        self._admitted: dict[str, float] = {}
        self._of_others: Mapping[str, float] = {}
        self._era = messages.Era()
        self._totals_at_seconds: float | None = None
        self._rng = rng or random.Random(0)
        self._instances = 1
        self._reachable_share = 1.0
        self._knows_levels = started_at_seconds == -math.inf
        self._confirmed: Callable[[str], float] = lambda workspace: 0.0
        self._report: Callable[[], None] = lambda: None

    @property
    def tolerance(self) -> rate_tolerance.Tolerance:
        """Return how far a workspace may exceed its rate.

        :return: the tolerance in force
        """
        return self._buckets.tolerance

    @tolerance.setter
    def tolerance(self, tolerance: rate_tolerance.Tolerance) -> None:
        self._buckets.tolerance = tolerance

    @property
    def admitted(self) -> Mapping[str, float]:
        """Return how much this instance has admitted since it started.

        :return: tokens or requests, by workspace
        """
        return self._admitted

    @property
    def era(self) -> messages.Era:
        """Return the era of the totals received last.

        :return: has a negative count before the first totals
        """
        return self._era

    def totals_age_seconds(self, *, now_seconds: float) -> float | None:
        """Tell how old the totals are that decisions go by.

        :param now_seconds: reading of the process clock
        :return: seconds; None before the first totals
        """
        if self._totals_at_seconds is None:
            return None
        return now_seconds - self._totals_at_seconds

    def lacks(self, workspaces: Iterable[str]) -> list[str]:
        """List the workspaces without a bucket.

        :param workspaces: names
        :return: those of them whose amounts from elsewhere have no effect
        """
        return self._buckets.lacks(workspaces)

    def level(self, workspace: str) -> float:
        """Return the level of a workspace's bucket.

        :param workspace: its name
        :return: tokens or requests as of its last change
        :raises KeyError: if there is no bucket
        """
        bucket = self._buckets.get(workspace)
        if bucket is None:
            raise KeyError(workspace)
        return bucket.level

    def connect(
        self,
        *,
        confirmed: Callable[[str], float],
        report: Callable[[], None],
    ) -> None:
        """Connect the exchange of amounts with other instances.

        :param confirmed: returns how much of what was admitted here hubs
            count, by workspace
        :param report: called when they need to know of more at once
        """
        self._confirmed = confirmed
        self._report = report

    def news_amount(self, workspace: str) -> float:
        """Return how much others must know of before the next heartbeat.

        :param workspace: its name
        :return: tokens or requests; infinite without a rate limit
        """
        bucket = self._buckets.get(workspace)
        if bucket is None:
            return math.inf
        tolerance = self.tolerance.whole(bucket.limits)
        return (bucket.limits.burst + tolerance) / NEWS_PARTS

    def set_reach(
        self, share: float, *, instances: int = 1, now_seconds: float
    ) -> None:
        """Go by other reachable instances from now on.

        :param share: fraction of the rate that belongs to the reachable
            instances, from 0 to 1
        :param instances: number of those that may admit requests, this one
            included
        :param now_seconds: reading of the process clock
        """
        self._instances = instances
        self._reachable_share = share
        self._update_share(now_seconds)

    def levels(self, *, now_seconds: float) -> dict[str, float] | None:
        """Return the levels of all buckets for a process that starts.

        :param now_seconds: reading of the process clock
        :return: tokens or requests by workspace; None as long as this process
            doesn't know them itself
        """
        if not self._knows_levels:
            return None
        return self._buckets.levels(now_seconds=now_seconds)

    def receive_levels(
        self, levels: Mapping[str, float], *, now_seconds: float
    ) -> None:
        """Go by the levels of a hub, in a process that has just started.

        :param levels: tokens or requests, by workspace
        :param now_seconds: reading of the process clock
        """
        if self._knows_levels:
            return
        self._knows_levels = True
        own = {
            name: level - self._unconfirmed(name)
            for name, level in levels.items()
        }
        self._buckets.set_levels(own, now_seconds=now_seconds)

    def keep_levels(self) -> None:
        """Go by the own levels, as no other process knows any."""
        self._knows_levels = True

    def set_limits(
        self,
        workspaces: Iterable[deployment.Workspace],
        *,
        now_seconds: float,
    ) -> None:
        """Go by the published limits from now on.

        :param workspaces: all that have a rate limit
        :param now_seconds: reading of the process clock
        """
        self._buckets.publish(workspaces, now_seconds=now_seconds)

    def record_totals(
        self,
        of_others: Mapping[str, float],
        era: messages.Era,
        *,
        now_seconds: float,
    ) -> None:
        """Record what the decisions from now on go by.

        :param of_others: what others are known to have admitted, by workspace
        :param era: of these sums
        :param now_seconds: reading of the process clock
        """
        self._of_others = of_others
        self._era = era
        self._totals_at_seconds = now_seconds
        self._update_share(now_seconds)

    def remove(
        self, amounts: Mapping[str, float], *, now_seconds: float
    ) -> None:
        """Remove what was admitted elsewhere.

        :param amounts: tokens or requests, by workspace
        :param now_seconds: reading of the process clock
        """
        self._buckets.take(amounts, now_seconds=now_seconds)

    def remove_late(
        self, amounts: Mapping[str, float], *, now_seconds: float
    ) -> None:
        """Remove what was admitted by instances that were unreachable.

        They admitted it from their part of the rate, which wasn't filled into
        the buckets here meanwhile: only the excess over that is removed.

        :param amounts: tokens or requests, by workspace
        :param now_seconds: reading of the process clock
        """
        self._buckets.take_late(amounts, now_seconds=now_seconds)

    def admit(
        self,
        workspace: deployment.Workspace,
        amount: float,
        *,
        now_seconds: float,
        has_waited: bool = False,
    ) -> rate_verdict.Verdict:
        """Admit a request, or tell when to retry.

        :param workspace: the workspace of the request
        :param amount: tokens or requests to charge
        :param now_seconds: reading of the process clock
        :param has_waited: whether it was pending long enough for news
        :return: the decision
        """
        if workspace.rate_per_second <= 0:
            return rate_verdict.Verdict(True)
        before = self._buckets.get(workspace.name)
        rested_seconds = (
            None if before is None else now_seconds - before.settled_at_seconds
        )
        bucket = self._buckets.settle(workspace, now_seconds=now_seconds)
        basis = self._basis(bucket, rested_seconds, now_seconds)
        request = rate_decision.Request(
            amount=amount,
            burst=bucket.limits.burst,
            rate_per_second=bucket.limits.rate_per_second,
            extra=self.tolerance.extra(bucket.limits),
            has_waited=has_waited,
        )
        outcome = rate_decision.decide(request, basis, draw=self._rng.random())
        if outcome is rate_decision.Outcome.REFUSED and self._awaits_levels(
            now_seconds
        ):
            outcome = rate_decision.Outcome.PENDING
        is_admitted = outcome is rate_decision.Outcome.ADMITTED
        if is_admitted:
            self._charge(bucket, amount, now_seconds)
        self._report_if_needed(basis, amount if is_admitted else 0.0)
        return rate_verdict.Verdict(
            admitted=is_admitted,
            wait_seconds=0.0 if is_admitted else self._wait(request, basis),
            basis=basis,
            is_pending=outcome is rate_decision.Outcome.PENDING,
        )

    def refund(
        self, workspace: str, amount: float, *, now_seconds: float
    ) -> None:
        """Return the amount of an admitted request that never ran.

        :param workspace: its name
        :param amount: the amount that was admitted
        :param now_seconds: reading of the process clock
        """
        if (bucket := self._buckets.get(workspace)) is not None:
            self._charge(bucket, -amount, now_seconds)

    def _charge(
        self, bucket: rate_bucket.Bucket, amount: float, now_seconds: float
    ) -> None:
        reading = self._buckets.clock.read(now_seconds=now_seconds)
        bucket.take_own(amount, reading)
        name = bucket.limits.name
        self._admitted[name] = self._admitted.get(name, 0.0) + amount

    def _awaits_levels(self, now_seconds: float) -> bool:
        running_seconds = now_seconds - self._started_at_seconds
        return not self._knows_levels and running_seconds < LEVELS_SECONDS

    def _report_if_needed(
        self, basis: rate_verdict.Basis, charged: float
    ) -> None:
        unconfirmed = basis.unconfirmed + charged
        if rate_allowance.needs_report(unconfirmed, basis.allowance):
            self._report()

    def _wait(
        self, request: rate_decision.Request, basis: rate_verdict.Basis
    ) -> float:
        lacking = request.required - request.extra - basis.level
        rate = request.rate_per_second * self._buckets.clock.share
        return max(MIN_RETRY_AFTER_SECONDS, lacking / max(rate, 1e-9))

    def _unconfirmed(self, workspace: str) -> float:
        admitted = self._admitted.get(workspace, 0.0)
        return max(0.0, admitted - self._confirmed(workspace))

    def _update_share(self, now_seconds: float) -> None:
        share = self._reachable_share
        is_new = self._started_at_seconds > -math.inf
        if is_new and self._totals_at_seconds is None:
            # What the others admit isn't known here.
            share = min(share, 1 / self._instances)
        self._buckets.clock.set_share(share, now_seconds=now_seconds)

    def _basis(
        self,
        bucket: rate_bucket.Bucket,
        rested_seconds: float | None,
        now_seconds: float,
    ) -> rate_verdict.Basis:
        name = bucket.limits.name
        unconfirmed = self._unconfirmed(name)
        age_seconds = self.totals_age_seconds(now_seconds=now_seconds)
        allowance = rate_allowance.compute_allowance(
            rate_allowance.AllowanceInputs(
                level=bucket.level + unconfirmed,
                tolerance=self.tolerance.whole(bucket.limits),
                rate_per_second=bucket.limits.rate_per_second,
                instances=self._instances,
                silent_seconds=age_seconds or 0.0,
                recent_share=bucket.recent_share(unconfirmed),
            )
        )
        return rate_verdict.Basis(
            level=bucket.level,
            rested_seconds=rested_seconds,
            share=self._buckets.clock.share,
            believed=self._of_others.get(name, 0.0)
            + self._admitted.get(name, 0.0),
            era=self._era,
            totals_age_seconds=age_seconds,
            unconfirmed=unconfirmed,
            allowance=allowance,
        )


__all__ = [
    "SharedRate",
]
