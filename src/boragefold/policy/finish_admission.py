"""Decides whether a request goes to an endpoint now, waits or is refused.

Load pattern: all endpoints of a service have full slots and long queues. If
requests are sent regardless, each makes those behind it late, and finally all
are late. Here a request joins an endpoint's queue while it can be on time; one
that can't waits at its instance, in order of urgency, and is served late where
that makes no other late. Less urgent requests may join only shorter queues
than the most urgent of their service.
"""

from __future__ import annotations

from collections.abc import Iterable
import enum
from typing import NamedTuple

# Share of the limit up to which late requests may be sent; the rest is for
# requests that can be on time.
LATE_SHARE = 0.4
# Limit of less urgent requests, as a share of that of more urgent ones.
LESS_URGENT_SHARE = 0.65
# Longest expected wait as a share of the time until the deadline; estimates of
# waits are rough.
MAX_WAIT_SHARE = 0.7
# The most urgent requests are sent late once the time until their deadline is
# below this multiple of the expected finish.
LAST_CHANCE_FACTOR = 1.3


class Verdict(enum.Enum):
    """What becomes of a request."""

    SEND = "send"
    WAIT = "wait"
    REFUSE = "refuse"


class Urgency(NamedTuple):
    """How urgent requests of one service are, and their objective."""

    priority: int
    target_seconds: float


class JoinLimit(NamedTuple):
    """Up to which expected finish a request may join an endpoint's queue.

    ``takes_last_chance`` tells whether it is sent, even late, rather than miss
    its deadline.
    """

    seconds: float
    takes_last_chance: bool


class Terms(NamedTuple):
    """The conditions under which a request may be sent.

    ``limit_seconds`` is the longest expected finish with which a request of
    its urgency may join an endpoint's queue. ``takes_last_chance`` tells
    whether it is sent, even late, rather than miss its deadline.
    """

    target_seconds: float
    limit_seconds: float
    takes_last_chance: bool
    waited_seconds: float
    remaining_seconds: float

    @property
    def allowed_seconds(self) -> float:
        """Return the longest expected finish with which it may be sent.

        :return: seconds
        """
        on_time_seconds = self.target_seconds - self.waited_seconds
        usual_seconds = min(on_time_seconds, self.limit_seconds)
        late_seconds = LATE_SHARE * self.limit_seconds
        return min(self.remaining_seconds, max(usual_seconds, late_seconds))


def find_limit(own: Urgency, others: Iterable[Urgency]) -> JoinLimit:
    """Return the limit for requests of one urgency.

    :param own: the urgency
    :param others: those of all requests of the service
    :return: the limit
    """
    known = [own, *others]
    limit_seconds = min(
        each.target_seconds for each in known if each.priority <= own.priority
    )
    if any(each.priority < own.priority for each in known):
        return JoinLimit(LESS_URGENT_SHARE * limit_seconds, False)
    has_less_urgent = any(each.priority > own.priority for each in known)
    return JoinLimit(limit_seconds, has_less_urgent)


def decide_turn(terms: Terms, *, finish_seconds: float) -> Verdict:
    """Decide on a request that is first in order of urgency.

    :param terms: its conditions
    :param finish_seconds: how soon the best endpoint would finish it
    :return: the decision
    """
    remaining_seconds = terms.remaining_seconds
    if finish_seconds <= terms.allowed_seconds:
        return Verdict.SEND
    if finish_seconds > remaining_seconds:
        return Verdict.REFUSE
    if (
        terms.takes_last_chance
        and remaining_seconds <= LAST_CHANCE_FACTOR * finish_seconds
    ):
        return Verdict.SEND
    return Verdict.WAIT


def can_wait(
    terms: Terms, *, finish_seconds: float, turn_seconds: float
) -> bool:
    """Decide whether a new request may wait for its turn.

    :param terms: its conditions
    :param finish_seconds: how soon the best endpoint would finish it now
    :param turn_seconds: time until its turn
    :return: False if it couldn't be finished before its deadline
    """
    needed_seconds = turn_seconds + min(finish_seconds, terms.limit_seconds)
    return needed_seconds <= MAX_WAIT_SHARE * terms.remaining_seconds


__all__ = [
    "JoinLimit",
    "Terms",
    "Urgency",
    "Verdict",
    "can_wait",
    "decide_turn",
    "find_limit",
]
