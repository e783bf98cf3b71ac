"""One other instance, as it was last heard."""

from __future__ import annotations

import dataclasses
import math

from boragefold.coordination.fleet import hubs
from boragefold.protocol import ids
from boragefold.protocol import peer_messages as messages


@dataclasses.dataclass(kw_only=True)
class Member:
    """Another instance, as it was last heard.

    ``heard_at_seconds`` is when it was last known to live, by its own word or
    a hub's; ``direct_at_seconds`` by its own. ``awaited_since_seconds`` is
    since when it owes us a heartbeat, ``failed_at_seconds`` when it had not
    answered for too long.
    """

    instance: ids.InstanceId
    found_at_seconds: float = 0.0
    heard_at_seconds: float = 0.0
    direct_at_seconds: float = -math.inf
    awaited_since_seconds: float | None = None
    failed_at_seconds: float = -math.inf
    beat: messages.Beat | None = None


def news_of(beat: messages.Beat) -> tuple[object, ...]:
    """Pick out what others must hear of at once when it changes.

    :param beat: what an instance tells of itself
    :return: engines it owns and can't load at, whether it leaves, what it
        gives up, and the newest published change that it knows
    """
    engines = tuple(
        (engine.name, engine.orders_in_seconds > 0) for engine in beat.engines
    )
    return engines, beat.leaving, beat.avoids, beat.told


def candidate_of(member: Member) -> hubs.Candidate:
    """Describe an instance as a possible hub.

    :param member: the instance
    :return: what its rank depends on
    """
    beat = member.beat
    return hubs.Candidate(
        address=member.instance.address,
        data_centre=member.instance.data_centre,
        capacity=0.0 if beat is None else beat.link_megabits,
    )


__all__ = [
    "Member",
    "candidate_of",
    "news_of",
]
