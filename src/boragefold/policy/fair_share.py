"""Which requests exceed their workspace's fair share of the fleet.

Load pattern: several workspaces within their rate limits together ask for
more than the endpoints can serve. The queue alone doesn't show who asks for
too much: the requests of a moderate sender start at once and never wait, so
the queue holds only those of the largest sender, and refusing by queue length
would hit the moderate ones too.

The share is max-min fair: demands below an equal part are met in full, and
what they leave is divided among the others.
"""

from __future__ import annotations

import dataclasses
import math

# Longer than a burst that the queue can absorb.
DECAY_SECONDS = 5.0
# The cost of an update grows with the number of workspaces.
UPDATE_SECONDS = 0.5
# A workspace may send its share of this time as one burst.
BURST_SECONDS = 1.0
# Accounts with less recent demand are dropped.
MIN_DEMAND_TOKENS = 1.0


@dataclasses.dataclass(kw_only=True)
class Account:
    """The recent demand of a workspace, and the unused part of its share."""

    demand: float
    credit: float
    at_seconds: float


class FairShare:
    """Divides the fleet's throughput among the workspaces that use it."""

    def __init__(self) -> None:
        self._accounts: dict[str, Account] = {}
        self._share_per_second = math.inf
        self._update_at_seconds = -math.inf

    def __len__(self) -> int:
        return len(self._accounts)

    def exceeds(
        self,
        workspace: str,
        tokens: float,
        *,
        throughput_tokens_per_second: float,
        now_seconds: float,
    ) -> bool:
        """Count a request, and return whether it exceeds the fair share.

        :param workspace: the workspace that sent the request
        :param tokens: prompt tokens and the most that may be generated
        :param throughput_tokens_per_second: the endpoints' throughput, times
            :attr:`overload.Overload.divided_share`
        :param now_seconds: reading of the process clock
        :return: whether it is shed first, see :class:`overload.Overload`
        """
        if now_seconds >= self._update_at_seconds:
            self._update(throughput_tokens_per_second, now_seconds)
        account = self._accounts.get(workspace)
        if account is None:
            account = Account(demand=0.0, credit=math.inf, at_seconds=0.0)
            self._accounts[workspace] = account
        self._refill(account, now_seconds)
        account.demand += tokens
        if account.credit < tokens:
            return True
        account.credit -= tokens
        return False

    def _refill(self, account: Account, now_seconds: float) -> None:
        elapsed_seconds = max(now_seconds - account.at_seconds, 0.0)
        account.at_seconds = now_seconds
        account.demand *= math.exp(-elapsed_seconds / DECAY_SECONDS)
        if math.isinf(self._share_per_second):
            account.credit = math.inf
            return
        limit = BURST_SECONDS * self._share_per_second
        refill = elapsed_seconds * self._share_per_second
        account.credit = min(account.credit + refill, limit)

    def _update(
        self, throughput_tokens_per_second: float, now_seconds: float
    ) -> None:
        self._update_at_seconds = now_seconds + UPDATE_SECONDS
        for account in self._accounts.values():
            self._refill(account, now_seconds)
        self._accounts = {
            workspace: account
            for workspace, account in self._accounts.items()
            if account.demand >= MIN_DEMAND_TOKENS
        }
        self._share_per_second = _max_min_share(
            [
                account.demand / DECAY_SECONDS
                for account in self._accounts.values()
            ],
            throughput_tokens_per_second,
        )


def _max_min_share(demands: list[float], capacity: float) -> float:
    left = capacity
    ascending = sorted(demands)
    for number, demand in enumerate(ascending):
        equal_part = left / (len(ascending) - number)
        if demand > equal_part:
            return equal_part
        left -= demand
    return math.inf


__all__ = [
    "FairShare",
]
