"""Whether a request that an endpoint didn't serve is sent once more.

Load pattern: endpoints reject, fail or break off requests. Some of these may
have run, some crash their endpoints, some have no time left; each repeat adds
to the load of the endpoints that are left.
"""

from __future__ import annotations

import enum
from typing import NamedTuple


class Setback(enum.Enum):
    """Why an endpoint didn't serve a request."""

    REJECTED = "rejected"
    FAILED = "failed"
    BROKEN = "broken"


class Obstacle(enum.Enum):
    """Why a request isn't sent once more; ``BUDGET`` is found last."""

    NO_TIME = "no_time"
    NOT_IDEMPOTENT = "not_idempotent"
    ANSWER_BEGUN = "answer_begun"
    CRASHES = "crashes"
    NO_ENDPOINT = "no_endpoint"
    BUDGET = "fleet_budget"


class RepeatInputs(NamedTuple):
    """What is known of the request.

    ``may_have_run`` is False only if the endpoint confirmed that it didn't
    run the request. ``resumable`` tells that a further answer can go on where
    the caller's ends so far. ``earlier_crashes`` are those that this request
    may have caused, ``has_endpoint`` whether there is another endpoint that
    the route allows.
    """

    setback: Setback
    may_have_run: bool
    repeatable: bool
    resumable: bool
    earlier_crashes: int
    has_endpoint: bool
    remaining_seconds: float


def find_obstacle(
    inputs: RepeatInputs, *, min_seconds: float
) -> Obstacle | None:
    """Find out why a request may not be sent once more.

    :param inputs: what is known of it
    :param min_seconds: the least time for another attempt
    :return: the first obstacle, None if only the budget may be one
    """
    if inputs.remaining_seconds <= min_seconds:
        return Obstacle.NO_TIME
    if inputs.may_have_run and not inputs.repeatable:
        return Obstacle.NOT_IDEMPOTENT
    if not inputs.resumable:
        return Obstacle.ANSWER_BEGUN
    # Whether the last break was a crash is known only after the next attempt.
    if inputs.may_have_run and inputs.earlier_crashes:
        return Obstacle.CRASHES
    if not inputs.has_endpoint:
        return Obstacle.NO_ENDPOINT
    return None


__all__ = [
    "Obstacle",
    "RepeatInputs",
    "Setback",
    "find_obstacle",
]
