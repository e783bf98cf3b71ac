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
    demand_tokens: float = 0.0
    demand_at_seconds: float = 0.0
    refused_tokens: float = 0.0
    retry: timing.Subscription | None = None

    def has_tokens(self, tokens: float) -> bool:
        """Return whether enough tokens are available now.

        :param tokens: required tokens
        :return: whether they are available
        """
        return (
            self.grant_pool.available_tokens() + limits.EPSILON_TOKENS
            >= tokens
        )

    def has_demand(self, now_seconds: float) -> bool:
        """Return whether a request recently failed for lack of tokens.

        :param now_seconds: current time
        :return: whether the demand of that request is still current
        """
        age_seconds = now_seconds - self.demand_at_seconds
        return self.demand_tokens > 0 and age_seconds < DEMAND_SECONDS


__all__ = [
    "ChargedReservation",
    "WorkspaceState",
]
