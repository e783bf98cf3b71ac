"""Which members of a view have to agree, and for how long they have."""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Mapping

from boragefold.coordination import rights
from boragefold.protocol import ids
from boragefold.protocol import view_messages as messages

# Outlasts three lost heartbeats.
PROMISE_SECONDS = 3.0

# A failed candidate must not bind its voters for a whole promise.
PREPARE_SECONDS = 0.6

# A silent member is removed when its lease has surely ended.
LEASE_SECONDS = 2.0

# Durations that others count on are shortened by this part.
CLOCK_DRIFT = 0.001

# Two may fail at once.
MAX_VOTERS = 5

# From this size on, voters pass leases on to relieve the steward.
RELAYED_MEMBERS = 8

# A view that was founded and not changed yet.
FOUNDED_NUMBER = 1


def shortened_seconds(duration_seconds: float) -> float:
    """Shorten what another clock measures, for the difference of the clocks.

    :param duration_seconds: as the other one measures it
    :return: as long as we may count on it
    """
    return duration_seconds * (1 - CLOCK_DRIFT)


def view_id(view: rights.View | None) -> messages.ViewId:
    """Name a view.

    :param view: the view, or None
    :return: its id, which is larger for later views
    """
    if view is None:
        return messages.NO_VIEW
    return messages.ViewId(view.epoch, view.number)


def electorate(
    view: rights.View, dead: Collection[ids.InstanceId] = ()
) -> tuple[ids.InstanceId, ...]:
    """Tell whose promises decide in a view.

    The longest-standing members vote. In a founded view, and once some members
    are known to be dead from outside, all that are left have to agree.

    :param view: the view
    :param dead: members that are dead on outside evidence
    :return: the voters
    """
    if dead:
        return tuple(one for one in view.members if one not in dead)
    if view.number == FOUNDED_NUMBER:
        return view.members
    return view.members[:MAX_VOTERS]


def relay_of(
    view: rights.View, member: ids.InstanceId
) -> ids.InstanceId | None:
    """Tell which voter passes leases on to a member.

    :param view: the view
    :param member: one of its members
    :return: the voter; None for voters, and in views that need no relays
    """
    if len(view.members) < RELAYED_MEMBERS or member not in view.members:
        return None
    place = view.members.index(member)
    if place < MAX_VOTERS:
        return None
    return view.members[1 + place % (MAX_VOTERS - 1)]


def agreed(
    view: rights.View,
    votes: Collection[ids.InstanceId],
    dead: Collection[ids.InstanceId] = (),
) -> bool:
    """Tell whether enough voters agree to a successor of a view.

    With an even number of voters the longest-standing one has an extra half
    vote, so two sets that are enough always share a voter.

    :param view: the view that is to be succeeded
    :param votes: who has accepted
    :param dead: members that are dead on outside evidence
    :return: whether the successor is decided
    """
    voters = electorate(view, dead)
    count = sum(voter in votes for voter in voters)
    if dead or view.number == FOUNDED_NUMBER:
        return count == len(voters)
    if 2 * count == len(voters):
        return view.members[0] in votes
    return 2 * count > len(voters)


def led_until_seconds(
    view: rights.View,
    *,
    steward: ids.InstanceId,
    ends: Mapping[ids.InstanceId, float],
    alone_until_seconds: float,
    dead: Collection[ids.InstanceId] = (),
) -> float:
    """Tell how long the promises given to a steward let it lead.

    A quorum that rests on the half vote, or on the steward alone, counts only
    while the platform's list is known to show it: the others may take over
    when the list has dropped it, and it could not tell.

    :param view: the view
    :param steward: who leads
    :param ends: when each voter's promise ends, on the steward's clock
    :param alone_until_seconds: how long the steward may lead alone
    :param dead: members that are dead on outside evidence
    :return: a reading of the steward's clock; in the past if it can't lead
    """
    voters = electorate(view, dead)
    sorted_ends = sorted((ends.get(one, 0.0) for one in voters), reverse=True)
    if len(voters) == 1:
        return min(sorted_ends[0], alone_until_seconds)
    if dead or view.number == FOUNDED_NUMBER:
        return sorted_ends[-1]
    half = len(voters) // 2
    majority_end = sorted_ends[half]
    if len(voters) % 2 or steward != view.members[0]:
        return majority_end
    tie_end = min(
        sorted_ends[half - 1], ends.get(steward, 0.0), alone_until_seconds
    )
    return max(majority_end, tie_end)


__all__ = [
    "CLOCK_DRIFT",
    "FOUNDED_NUMBER",
    "LEASE_SECONDS",
    "MAX_VOTERS",
    "PREPARE_SECONDS",
    "PROMISE_SECONDS",
    "RELAYED_MEMBERS",
    "agreed",
    "electorate",
    "led_until_seconds",
    "relay_of",
    "shortened_seconds",
    "view_id",
]
