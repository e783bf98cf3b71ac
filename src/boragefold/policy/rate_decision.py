"""Whether one request of a workspace is admitted now.

Load pattern: the same workspace is asked for at all instances at the same
moment. What each admits before it hears of the others is bounded by its
allowance. A request that is larger than that can't be divided, so that in
this moment chance decides which instances admit theirs.
"""

from __future__ import annotations

import enum
from typing import NamedTuple

from boragefold.policy import rate_verdict


class Outcome(enum.Enum):
    """A decision; ``PENDING`` may change with news from a hub."""

    ADMITTED = "admitted"
    PENDING = "pending"
    REFUSED = "refused"


class Request(NamedTuple):
    """A request, in tokens or requests of its workspace.

    ``extra`` is how far the workspace may go beyond its rate and burst.
    ``has_waited`` tells that news since the request came have arrived.
    """

    amount: float
    burst: float
    rate_per_second: float
    extra: float
    has_waited: bool

    @property
    def required(self) -> float:
        """Return the level that the request needs within the rate.

        :return: no more than the burst, or it would never be admitted
        """
        return min(self.amount, self.burst)


def decide(
    request: Request, basis: rate_verdict.Basis, *, draw: float
) -> Outcome:
    """Decide on a request.

    :param request: the request
    :param basis: what the decision goes by
    :param draw: a random number from 0 to 1
    :return: the decision
    """
    if basis.level < request.required - request.extra:
        return Outcome.REFUSED
    if basis.unconfirmed + request.amount <= basis.allowance:
        return Outcome.ADMITTED
    is_inside = basis.level >= request.required
    if basis.unconfirmed > 0:
        return Outcome.PENDING if is_inside else Outcome.REFUSED
    if draw * request.amount < basis.allowance:
        return Outcome.ADMITTED
    if not is_inside:
        return Outcome.REFUSED
    return Outcome.ADMITTED if request.has_waited else Outcome.PENDING


__all__ = [
    "Outcome",
    "Request",
    "decide",
]
