"""State of one workspace's tokens on this instance."""

from __future__ import annotations

import dataclasses

from boragefold.coordination.rates import grant_pool as grant_pools
from boragefold.coordination.rates import grants
from boragefold.coordination.rates import limits
from boragefold.coordination.rates import usage
from boragefold.policy import token_balance
from boragefold.timing import timers as timing

# A shortfall counts as current demand for this long.
DEMAND_SECONDS = 3.0


@dataclasses.dataclass(kw_only=True)
class ChargedReservation(token_balance.Reservation):
    """A reservation with the grants that it is charged to."""

    charge: grants.Charge


@dataclasses.dataclass(kw_only=True)
class WorkspaceState:
    """Tokens, recent use and unmet demand of a recently used workspace."""

    grant_pool: grant_pools.GrantPool
    use: usage.RecentUse
    fetch_ahead: bool
    wanted_tokens: float = 0.0
    wanted_at_seconds: float = 0.0
    refused_tokens: float = 0.0
    retry: timing.Subscription | None = None

    def covers(self, tokens: float) -> bool:
        """Return whether enough tokens are available now.

        :param tokens: required tokens
        :return: whether they are available
        """
        return self.grant_pool.left_tokens() + limits.TINY_TOKENS >= tokens

    def is_wanted(self, now_seconds: float) -> bool:
        """Return whether a request recently failed for lack of tokens.

        :param now_seconds: current time
        :return: whether the demand of that request is still current
        """
        age_seconds = now_seconds - self.wanted_at_seconds
        return self.wanted_tokens > 0 and age_seconds < DEMAND_SECONDS


__all__ = [
    "ChargedReservation",
    "WorkspaceState",
]
