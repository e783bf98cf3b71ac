"""Decides whether a request goes to an endpoint now, waits or is refused.

Load pattern: all endpoints of a service have full slots and long queues. Sent
on regardless, each request makes those behind it late, and in the end all are
late. Here a request joins an endpoint's queue while it can be on time; one
that can't waits at its instance, in order of urgency, and is served late where
that makes no other late. A less urgent request finds less room than the most
urgent of its service.
"""

from __future__ import annotations

from collections.abc import Iterable
import enum
from typing import NamedTuple

# What is left of the limit is for requests that can be on time.
LATE_SHARE = 0.4
# Part of the limit of more urgent requests.
LESS_URGENT_SHARE = 0.65
# Of the time that is left; estimates of waits are rough.
PATIENCE_SHARE = 0.7
# The most urgent requests are sent late when they couldn't wait any longer.
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


class Terms(NamedTuple):
    """What a request allows.

    ``limit_seconds`` is the longest expected finish with which a request of
    its urgency may join an endpoint's queue. ``takes_last_chance`` tells that
    it goes before others that are less urgent, even late.
    """

    target_seconds: float
    limit_seconds: float
    takes_last_chance: bool
    waited_seconds: float
    remaining_seconds: float

    @property
    def allowed_seconds(self) -> float:
        """Tell with which expected finish the request may be sent.

        :return: the longest, in seconds
        """
        on_time_seconds = self.target_seconds - self.waited_seconds
        usual_seconds = min(on_time_seconds, self.limit_seconds)
        late_seconds = LATE_SHARE * self.limit_seconds
        return min(self.remaining_seconds, max(usual_seconds, late_seconds))


def find_limit(own: Urgency, others: Iterable[Urgency]) -> tuple[float, bool]:
    """Find out what requests of one urgency may expect.

    :param own: the urgency
    :param others: those of all requests of the service
    :return: the limit in seconds, and whether a request takes its last chance
    """
    known = [own, *others]
    limit_seconds = min(
        each.target_seconds for each in known if each.priority <= own.priority
    )
    if any(each.priority < own.priority for each in known):
        return LESS_URGENT_SHARE * limit_seconds, False
    return limit_seconds, any(each.priority > own.priority for each in known)


def decide_turn(terms: Terms, *, finish_seconds: float) -> Verdict:
    """Decide what becomes of a request that no waiting one goes before.

    :param terms: what it allows
    :param finish_seconds: when the best endpoint would finish it
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
    """Decide whether a request that comes may wait for its turn.

    :param terms: what it allows
    :param finish_seconds: when the best endpoint would finish it now
    :param turn_seconds: for those that go before it
    :return: False if it would wait in vain
    """
    needed_seconds = turn_seconds + min(finish_seconds, terms.limit_seconds)
    return needed_seconds <= PATIENCE_SHARE * terms.remaining_seconds


__all__ = [
    "Terms",
    "Urgency",
    "Verdict",
    "can_wait",
    "decide_turn",
    "find_limit",
]
