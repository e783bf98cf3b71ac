"""The easy ways to hold a rate, to compare with."""

from __future__ import annotations

from collections.abc import Callable

from boragefold.coordination.rates import limits
from boragefold.policy import token_balance
from boragefold.timing import timers as timing


class LocalBucket(token_balance.TokenBalance):
    """A bucket per instance that knows nothing of the others."""

    def __init__(
        self,
        *,
        timers: timing.TimerService,
        limit: limits.Limit,
        level_tokens: float,
    ) -> None:
        """Start with a level.

        :param timers: the timer service
        :param limit: of this instance
        :param level_tokens: what a fresh instance may spend at once
        """
        self._timers = timers
        self._limit = limit
        self._level_tokens = level_tokens
        self._at_seconds = timers.now_seconds()

    def reserve(
        self, *, workspace: str, tokens: float
    ) -> token_balance.Reservation | token_balance.Shortfall:
        """Set tokens aside, or say why not and when to come back.

        :param workspace: whose rate is charged
        :param tokens: prompt tokens plus the most that may be generated
        :return: a reservation, or the shortfall
        """
        self._refill()
        if tokens > self._limit.burst_tokens:
            return token_balance.Shortfall(ready_in_seconds=None)
        if tokens > self._level_tokens:
            missing_tokens = tokens - self._level_tokens
            rate = self._limit.rate_tokens_per_second
            return token_balance.Shortfall(
                ready_in_seconds=missing_tokens / rate
            )
        self._level_tokens -= tokens
        return token_balance.Reservation(workspace=workspace, tokens=tokens)

    def settle(
        self, reservation: token_balance.Reservation, *, used_tokens: float
    ) -> None:
        """Add what was left over to the level.

        :param reservation: from :meth:`reserve`
        :param used_tokens: prompt and generated tokens really spent
        """
        if not reservation.settled:
            reservation.settled = True
            self._refill()
            self._level_tokens += reservation.tokens - used_tokens

    def subscribe(self, callback: Callable[[str], None]) -> None:
        """Do nothing: a bucket of one's own gets nothing from others.

        :param callback: never called
        """

    def _refill(self) -> None:
        now_seconds = self._timers.now_seconds()
        elapsed_seconds = now_seconds - self._at_seconds
        self._at_seconds = now_seconds
        refill_tokens = elapsed_seconds * self._limit.rate_tokens_per_second
        self._level_tokens = min(
            self._limit.burst_tokens, self._level_tokens + refill_tokens
        )


__all__ = [
    "LocalBucket",
]
