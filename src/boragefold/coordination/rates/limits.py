"""What a rate allows, and the times that all parts of it agree on."""

from __future__ import annotations

from typing import NamedTuple

# The life of a grant or a loan. It bounds what a crash takes away and how
# long a new holder must wait, so it is short; it must outlast a request to
# another region (0.3 s) and the longest wait in a holder's queue.
GRANT_SECONDS = 2.0

# Two clocks drift apart by far less than a thousandth; the holder waits this
# much longer than the receiver.
MARGIN_SECONDS = 0.05

# A request that the refill serves within this time waits at the holder; it
# is half a grant's life, so that what it gets can still be used.
QUEUE_SECONDS = 1.0

# An unanswered request is sent anew after this time: several round trips
# inside a data centre, one and a half to a far region.
RETRY_SECONDS = 0.5

# The estimate given to a caller while a message is on its way.
IN_FLIGHT_SECONDS = 0.05

# How long tokens of an ended grant may still be given back; longer than the
# deadline of a long request.
REFUND_SECONDS = 120.0

# Rounding errors of sums of floats stay far below this.
TINY_TOKENS = 1e-6


class Limit(NamedTuple):
    """A rate and a burst.

    Tokens that were charged keep their place in the bucket until they are
    settled, for ``hold_seconds`` at most after their grant's end. Zero counts
    them when they are charged; more makes a limit on what is in flight.
    """

    rate_tokens_per_second: float
    burst_tokens: float
    hold_seconds: float = 0.0

    def part(self, share: float) -> Limit:
        """Take a data centre's part.

        :param share: from 0 to 1
        :return: the part of rate and burst
        """
        return Limit(
            self.rate_tokens_per_second * share,
            self.burst_tokens * share,
            self.hold_seconds,
        )


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
]
