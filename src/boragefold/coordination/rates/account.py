"""What a stock knows of one workspace."""

from __future__ import annotations

import dataclasses

from boragefold.coordination.rates import grant_pool as grant_pools
from boragefold.coordination.rates import grants
from boragefold.coordination.rates import limits
from boragefold.coordination.rates import usage
from boragefold.policy import stock
from boragefold.timing import timers as timing

# A request that found too few tokens waits at most this long.
WANT_SECONDS = 3.0


@dataclasses.dataclass(kw_only=True)
class Charged(stock.Reservation):
    """A reservation that knows which grants it was charged to."""

    draft: grants.Draft


@dataclasses.dataclass(kw_only=True)
class Account:
    """What is known of one workspace that was used of late."""

    grant_pool: grant_pools.GrantPool
    use: usage.RecentUse
    fetch_ahead: bool
    wanted_tokens: float = 0.0
    wanted_at_seconds: float = 0.0
    refused_tokens: float = 0.0
    retry: timing.Subscription | None = None

    def covers(self, tokens: float) -> bool:
        """Tell whether there are enough tokens now.

        :param tokens: how many are needed
        :return: whether they are there
        """
        return self.grant_pool.left_tokens() + limits.TINY_TOKENS >= tokens

    def is_wanted(self, now_seconds: float) -> bool:
        """Tell whether a request waits that found too few tokens.

        :param now_seconds: the clock
        :return: whether one did of late
        """
        age_seconds = now_seconds - self.wanted_at_seconds
        return self.wanted_tokens > 0 and age_seconds < WANT_SECONDS


__all__ = [
    "Account",
    "Charged",
]
