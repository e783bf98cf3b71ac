"""Which members of a view form a quorum, and how long it lasts."""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Mapping

from boragefold.coordination import rights
from boragefold.protocol import ids
from boragefold.protocol import view_messages as messages

# Outlasts three lost heartbeats.
PROMISE_SECONDS = 3.0

# A failed candidate must not bind its voters for the full promise time.
PREPARE_SECONDS = 0.6

# A silent member is removed when its lease has certainly expired.
LEASE_SECONDS = 2.0

# Durations that another clock measures are shortened by this fraction.
CLOCK_DRIFT = 0.001

# Two of five voters may fail at once.
MAX_VOTERS = 5

# Views of at least this size relay leases through voters, which reduces the
# load of the leader.
RELAYED_MEMBERS = 8

# Number of a view that was bootstrapped and has not changed yet.
BOOTSTRAP_NUMBER = 1


def shortened_seconds(duration_seconds: float) -> float:
    """Shorten a duration to allow for the drift between two clocks.

    :param duration_seconds: the duration on the other clock
    :return: the part of it that is certain on the clock of this instance
    """
    return duration_seconds * (1 - CLOCK_DRIFT)


def view_id(view: rights.View | None) -> messages.ViewId:
    """Return the id of a view.

    :param view: the view, or None
    :return: its id, which is larger for later views
    """
    if view is None:
        return messages.NO_VIEW
    return messages.ViewId(view.epoch, view.number)


def voters_of(
    view: rights.View, dead: Collection[ids.InstanceId] = ()
) -> tuple[ids.InstanceId, ...]:
    """Return the voters of a view.

    The longest-standing members vote. In a bootstrapped view, and once the
    list or a new process shows some members as dead, all others have to agree.

    :param view: the view
    :param dead: members that the list or a new process shows as dead
    :return: the voters
    """
    if dead:
        return tuple(one for one in view.members if one not in dead)
    if view.number == BOOTSTRAP_NUMBER:
        return view.members
    return view.members[:MAX_VOTERS]


def relay_of(
    view: rights.View, member: ids.InstanceId
) -> ids.InstanceId | None:
    """Return the voter that relays leases to a member.

    :param view: the view
    :param member: one of its members
    :return: the voter; None for voters, and in views that need no relays
    """
    if len(view.members) < RELAYED_MEMBERS or member not in view.members:
        return None
    position = view.members.index(member)
    if position < MAX_VOTERS:
        return None
    return view.members[1 + position % (MAX_VOTERS - 1)]


def is_decided(
    view: rights.View,
    votes: Collection[ids.InstanceId],
    dead: Collection[ids.InstanceId] = (),
) -> bool:
    """Return whether enough voters agree to a successor of a view.

    With an even number of voters the longest-standing one has an extra half
    vote, so any two quorums share a voter.

    :param view: the view to be succeeded
    :param votes: the members that have accepted
    :param dead: members that the list or a new process shows as dead
    :return: whether the successor is decided
    """
    voters = voters_of(view, dead)
    count = sum(voter in votes for voter in voters)
    if dead or view.number == BOOTSTRAP_NUMBER:
        return count == len(voters)
    if 2 * count == len(voters):
        return view.members[0] in votes
    return 2 * count > len(voters)


def led_until_seconds(
    view: rights.View,
    *,
    leader: ids.InstanceId,
    ends: Mapping[ids.InstanceId, float],
    sole_leader_until_seconds: float,
    dead: Collection[ids.InstanceId] = (),
) -> float:
    """Return until when the promises given to a leader let it lead.

    A quorum that depends on the half vote, or on the leader alone, counts only
    while the platform's list is known to show the leader: once the list has
    dropped it the others may take over, which it could not notice.

    :param view: the view
    :param leader: the leader
    :param ends: when each voter's promise ends, on the leader's clock
    :param sole_leader_until_seconds: until when the leader may lead alone
    :param dead: members that the list or a new process shows as dead
    :return: a reading of the leader's clock; in the past if it can't lead
    """
    voters = voters_of(view, dead)
    sorted_ends = sorted((ends.get(one, 0.0) for one in voters), reverse=True)
    if len(voters) == 1:
        return min(sorted_ends[0], sole_leader_until_seconds)
    if dead or view.number == BOOTSTRAP_NUMBER:
        return sorted_ends[-1]
    half = len(voters) // 2
    majority_end = sorted_ends[half]
    if len(voters) % 2 or leader != view.members[0]:
        return majority_end
    tie_end = min(
        sorted_ends[half - 1], ends.get(leader, 0.0), sole_leader_until_seconds
    )
    return max(majority_end, tie_end)


__all__ = [
    "BOOTSTRAP_NUMBER",
    "CLOCK_DRIFT",
    "LEASE_SECONDS",
    "MAX_VOTERS",
    "PREPARE_SECONDS",
    "PROMISE_SECONDS",
    "RELAYED_MEMBERS",
    "is_decided",
    "led_until_seconds",
    "relay_of",
    "shortened_seconds",
    "view_id",
    "voters_of",
]
