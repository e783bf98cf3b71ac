"""How much of the load may be retries.

Load pattern: an endpoint, or many, fail at once. Without this, each failure
becomes a second request, the rest of the fleet gets twice the load, and what
had been one endpoint's fault becomes everyone's.
"""

from __future__ import annotations

from boragefold.telemetry import counters as telemetry


class RetryBudget:
    """Allows retries as a part of the fresh requests, per endpoint and all."""

    def __init__(self, *, counters: telemetry.Counters) -> None:
        self._counters = counters

    def fresh(self, endpoint: str, *, now_seconds: float) -> None:
        """Note a first attempt.

        :param endpoint: where it was sent
        :param now_seconds: reading of the process clock
        """
        raise NotImplementedError

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
        raise NotImplementedError


__all__ = [
    "RetryBudget",
]
