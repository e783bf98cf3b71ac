"""How much of the load may be retries.

Load pattern: one endpoint, or many, fail at once. Without a budget, each
failure becomes a second request, the other endpoints get twice the load, and
the fault of one endpoint spreads to the whole fleet.
"""

from __future__ import annotations

import dataclasses

from boragefold.telemetry import counters as telemetry

# Bounds the load that retries add.
RETRY_RATIO = 0.1
# Covers the failures until the endpoint's weight is down to probes.
ENDPOINT_BURST_RETRIES = 10.0
# Covers a rack of endpoints that fails at once.
TOTAL_BURST_RETRIES = 100.0
# With little traffic the ratio alone would allow no retry.
RETRIES_PER_SECOND = 0.1
# The request itself is the likely cause if it breaks at so many endpoints.
MAX_BROKEN_ATTEMPTS = 3
# A broken stream may need two retries: at its only holder, and elsewhere.
INITIAL_RETRIES = 2.0


@dataclasses.dataclass(kw_only=True)
class RetryBucket:
    """Retries earned by first attempts and by elapsed time."""

    limit: float
    at_seconds: float
    retries: float = INITIAL_RETRIES

    def add(self, amount: float, *, now_seconds: float) -> None:
        """Add an amount, and what the elapsed time has earned.

        :param amount: number of retries
        :param now_seconds: reading of the process clock
        """
        elapsed_seconds = max(now_seconds - self.at_seconds, 0.0)
        earned = amount + RETRIES_PER_SECOND * elapsed_seconds
        self.retries = min(self.retries + earned, self.limit)
        self.at_seconds = now_seconds


class RetryBudget:
    """Limits retries to a part of the first attempts, per endpoint and all."""

    def __init__(self, *, counters: telemetry.Counters) -> None:
        self._counters = counters
        self._total: RetryBucket | None = None
        self._by_endpoint: dict[str, RetryBucket] = {}

    def record_first_attempt(
        self, endpoint: str, *, now_seconds: float
    ) -> None:
        """Record a first attempt.

        :param endpoint: the endpoint it was sent to
        :param now_seconds: reading of the process clock
        """
        self._refill(endpoint, RETRY_RATIO, now_seconds)

    def try_retry(
        self,
        endpoint: str,
        *,
        idempotent: bool,
        bytes_sent: bool,
        now_seconds: float,
    ) -> bool:
        """Take one retry of a failed attempt from the budget.

        :param endpoint: the endpoint that failed it
        :param idempotent: whether running the request twice does no harm
        :param bytes_sent: whether a byte of the attempt may have arrived
        :param now_seconds: reading of the process clock
        :return: whether to retry; the reason of a denial is counted
        """
        if bytes_sent and not idempotent:
            # The endpoint may have run it.
            self._counters.add("retries_denied", "not_idempotent")
            return False
        buckets = self._refill(endpoint, 0.0, now_seconds)
        if buckets[0].retries < 1:
            self._counters.add("retries_denied", "fleet_budget")
            return False
        if buckets[1].retries < 1:
            self._counters.add("retries_denied", "endpoint_budget")
            return False
        for bucket in buckets:
            bucket.retries -= 1
        self._counters.add(
            "retries", "idempotent" if bytes_sent else "nothing_sent"
        )
        return True

    def drop(self, endpoint: str) -> None:
        """Forget an endpoint that is no longer listed.

        :param endpoint: its name
        """
        self._by_endpoint.pop(endpoint, None)

    def _refill(
        self, endpoint: str, amount: float, now_seconds: float
    ) -> tuple[RetryBucket, RetryBucket]:
        buckets = self._buckets(endpoint, now_seconds)
        for bucket in buckets:
            bucket.add(amount, now_seconds=now_seconds)
        return buckets

    def _buckets(
        self, endpoint: str, now_seconds: float
    ) -> tuple[RetryBucket, RetryBucket]:
        if self._total is None:
            self._total = RetryBucket(
                limit=TOTAL_BURST_RETRIES, at_seconds=now_seconds
            )
        bucket = self._by_endpoint.get(endpoint)
        if bucket is None:
            bucket = RetryBucket(
                limit=ENDPOINT_BURST_RETRIES, at_seconds=now_seconds
            )
            self._by_endpoint[endpoint] = bucket
        return self._total, bucket


__all__ = [
    "MAX_BROKEN_ATTEMPTS",
    "RetryBudget",
]
