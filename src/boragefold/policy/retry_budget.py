"""How much of the load may be retries.

Load pattern: an endpoint, or many, fail at once. Without this, each failure
becomes a second request, the rest of the fleet gets twice the load, and what
had been one endpoint's fault becomes everyone's.
"""

from __future__ import annotations

import dataclasses

from boragefold.telemetry import counters as telemetry

# One retry for ten fresh requests: enough for a fleet that loses one in ten
# endpoints, and at worst a tenth more load for the others.
RETRY_RATIO = 0.1
# Six failures bring an endpoint's share down to its probes; ten saved retries
# cover them and those already on their way.
MAX_SAVED_PER_ENDPOINT = 10.0
# A rack of endpoints that fails at once; more would be felt by the others.
MAX_SAVED_IN_ALL = 100.0
# With little traffic the ratio alone would allow no retry at all.
SAVED_PER_SECOND = 0.1
# A process that has just started knows nothing of the fleet's health. A broken
# stream may need two: one at the only endpoint that holds its adapter, and one
# elsewhere when that fails it again.
FIRST_SAVED = 2.0


@dataclasses.dataclass(kw_only=True)
class Savings:
    """Retries saved up by fresh requests."""

    limit: float
    at_seconds: float
    saved: float = FIRST_SAVED

    def add(self, amount: float, *, now_seconds: float) -> None:
        """Save, and let the time that went by save too.

        :param amount: retries
        :param now_seconds: reading of the process clock
        """
        elapsed_seconds = max(now_seconds - self.at_seconds, 0.0)
        earned = amount + SAVED_PER_SECOND * elapsed_seconds
        self.saved = min(self.saved + earned, self.limit)
        self.at_seconds = now_seconds


class RetryBudget:
    """Allows retries as a part of the fresh requests, per endpoint and all."""

    def __init__(self, *, counters: telemetry.Counters) -> None:
        self._counters = counters
        self._all: Savings | None = None
        self._by_endpoint: dict[str, Savings] = {}

    def fresh(self, endpoint: str, *, now_seconds: float) -> None:
        """Note a first attempt.

        :param endpoint: where it was sent
        :param now_seconds: reading of the process clock
        """
        for savings in self._both(endpoint, now_seconds):
            savings.add(RETRY_RATIO, now_seconds=now_seconds)

    def try_retry(
        self,
        endpoint: str,
        *,
        idempotent: bool,
        bytes_sent: bool,
        now_seconds: float,
    ) -> bool:
        """Ask to repeat a failed attempt at another endpoint.

        :param endpoint: the one that failed
        :param idempotent: whether running twice does no harm
        :param bytes_sent: whether a byte of the attempt may have arrived
        :param now_seconds: reading of the process clock
        :return: whether to repeat it; the reason of a no is counted
        """
        if bytes_sent and not idempotent:
            # It may have run. Repeating it would pay or print twice.
            self._counters.add("retries_denied", "not_idempotent")
            return False
        both = self._both(endpoint, now_seconds)
        for savings in both:
            savings.add(0.0, now_seconds=now_seconds)
        if both[0].saved < 1:
            self._counters.add("retries_denied", "fleet_budget")
            return False
        if both[1].saved < 1:
            self._counters.add("retries_denied", "endpoint_budget")
            return False
        for savings in both:
            savings.saved -= 1
        self._counters.add(
            "retries", "idempotent" if bytes_sent else "nothing_sent"
        )
        return True

    def drop(self, endpoint: str) -> None:
        """Forget an endpoint that is gone.

        :param endpoint: its name
        """
        self._by_endpoint.pop(endpoint, None)

    def _both(
        self, endpoint: str, now_seconds: float
    ) -> tuple[Savings, Savings]:
        if self._all is None:
            self._all = Savings(limit=MAX_SAVED_IN_ALL, at_seconds=now_seconds)
        savings = self._by_endpoint.get(endpoint)
        if savings is None:
            savings = Savings(
                limit=MAX_SAVED_PER_ENDPOINT, at_seconds=now_seconds
            )
            self._by_endpoint[endpoint] = savings
        return self._all, savings


__all__ = [
    "RETRY_RATIO",
    "RetryBudget",
]
