"""What a rate allows, and the times that all parts of it agree on."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

# Bounds what a crash takes away; outlasts a request to another region.
GRANT_SECONDS = 2.0

# Clock drift over a grant's life.
MARGIN_SECONDS = 0.05

# Half a grant's life, so that what is granted can still be used.
QUEUE_SECONDS = 1.0

# Several round trips inside a data centre.
RETRY_SECONDS = 0.5

# The estimate for a caller while a message is under way.
IN_FLIGHT_SECONDS = 0.05

# Longer than the deadline of a long request.
REFUND_SECONDS = 120.0

# More than rounding errors.
TINY_TOKENS = 1e-6


class Limit(NamedTuple):
    """A rate and a burst.

    Tokens that were charged keep their place in the bucket until they are
    settled, for ``hold_seconds`` at most after their grant's end. Zero counts
    them when they are charged; more makes a limit on what is in flight.
    ``fetch_ahead`` lets an instance keep a few more tokens than it needs.
    ``whole`` splits the burst into whole numbers, for what comes in units.
    """

    rate_tokens_per_second: float
    burst_tokens: float
    hold_seconds: float = 0.0
    fetch_ahead: bool = True
    whole: bool = False

    def part(self, share: float) -> Limit:
        """Take a data centre's part.

        :param share: from 0 to 1
        :return: the part of rate and burst
        """
        return self._replace(
            rate_tokens_per_second=self.rate_tokens_per_second * share,
            burst_tokens=self.burst_tokens * share,
        )


def split(limit: Limit, shares: Mapping[str, float]) -> dict[str, Limit]:
    """Split a limit over data centres.

    :param limit: of the whole fleet
    :param shares: parts by data centre, with the sum one
    :return: limits by data centre; whole bursts go by largest remainder
    """
    parts = {name: limit.part(share) for name, share in shares.items()}
    if not limit.whole:
        return parts
    floors = {name: int(part.burst_tokens) for name, part in parts.items()}
    left_over = int(limit.burst_tokens) - sum(floors.values())
    by_remainder = sorted(
        parts,
        key=lambda name: (floors[name] - parts[name].burst_tokens, name),
    )
    for name in by_remainder[:left_over]:
        floors[name] += 1
    return {
        name: part._replace(burst_tokens=float(floors[name]))
        for name, part in parts.items()
    }


def right_of(workspace: str) -> str:
    """Name the right to grant a workspace's tokens in one data centre.

    :param workspace: its name
    :return: the name for :meth:`rights.Rights.holds`
    """
    return f"rate/{workspace}"


__all__ = [
    "GRANT_SECONDS",
    "IN_FLIGHT_SECONDS",
    "Limit",
    "MARGIN_SECONDS",
    "QUEUE_SECONDS",
    "REFUND_SECONDS",
    "RETRY_SECONDS",
    "TINY_TOKENS",
    "right_of",
    "split",
]
