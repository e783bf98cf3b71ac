"""Limits of rates, and the timing constants shared by the rate modules."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

# Bounds the tokens lost in a crash; exceeds a round trip to another region.
GRANT_VALID_SECONDS = 2.0

# Allows for clock drift during the validity of a grant.
CLOCK_DRIFT_SECONDS = 0.05

# Half of a grant's validity, so that a grant can still be used after queueing.
MAX_QUEUE_SECONDS = 1.0

# Covers several round trips within a data centre.
RETRY_SECONDS = 0.5

# Estimated wait while a request for tokens is pending.
IN_FLIGHT_SECONDS = 0.05

# Exceeds the deadline of a long request.
SETTLE_TIMEOUT_SECONDS = 120.0

# Exceeds the rounding errors of token sums.
EPSILON_TOKENS = 1e-6


class Limit(NamedTuple):
    """Rate and burst of a token bucket.

    Charged tokens occupy the bucket until they are settled, for at most
    ``hold_seconds`` after their grant expires. With zero, tokens stop
    occupying the bucket when they are charged; a larger value limits the
    tokens of running requests.
    ``fetch_ahead`` lets an instance request a few more tokens than it needs.
    ``whole`` splits the burst into integers, for tokens that count units.
    """

    rate_tokens_per_second: float
    burst_tokens: float
    hold_seconds: float = 0.0
    fetch_ahead: bool = True
    whole: bool = False

    def part(self, share: float) -> Limit:
        """Return a data centre's part of the limit.

        :param share: fraction from 0 to 1
        :return: that fraction of rate and burst
        """
        return self._replace(
            rate_tokens_per_second=self.rate_tokens_per_second * share,
            burst_tokens=self.burst_tokens * share,
        )


def split(limit: Limit, shares: Mapping[str, float]) -> dict[str, Limit]:
    """Split a limit between data centres.

    :param limit: limit of the whole fleet
    :param shares: fraction by data centre; the fractions add up to one
    :return: limits by data centre; integer bursts follow the largest
        remainder method
    """
    parts = {name: limit.part(share) for name, share in shares.items()}
    if not limit.whole:
        return parts
    floors = {name: int(part.burst_tokens) for name, part in parts.items()}
    remaining = int(limit.burst_tokens) - sum(floors.values())
    by_remainder = sorted(
        parts,
        key=lambda name: (floors[name] - parts[name].burst_tokens, name),
    )
    for name in by_remainder[:remaining]:
        floors[name] += 1
    return {
        name: part._replace(burst_tokens=float(floors[name]))
        for name, part in parts.items()
    }


def right_of(workspace: str) -> str:
    """Return the name of a workspace's rate for the choice of its holder.

    :param workspace: name of the workspace
    :return: name for :meth:`rights.Rights.holds`
    """
    return f"rate/{workspace}"


__all__ = [
    "CLOCK_DRIFT_SECONDS",
    "EPSILON_TOKENS",
    "GRANT_VALID_SECONDS",
    "IN_FLIGHT_SECONDS",
    "Limit",
    "MAX_QUEUE_SECONDS",
    "RETRY_SECONDS",
    "SETTLE_TIMEOUT_SECONDS",
    "right_of",
    "split",
]
