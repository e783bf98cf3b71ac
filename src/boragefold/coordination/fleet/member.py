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
    a hub's; ``direct_at_seconds`` by its own; ``follows_at_seconds`` when it
    last spoke to us as to its hub; ``vouched_at_seconds`` by the
    newest word of those who still hear it, and ``first_hand_at_seconds`` of
    those among them that hear it themselves. ``standing_said_milliseconds``
    and ``engines_said_milliseconds`` are its uptimes when it said what
    ``beat`` holds, ``started_at_seconds`` is its start on our clock.
    ``former`` are the incarnations that were replaced by later ones.
    """

    instance: ids.InstanceId
    found_at_seconds: float = 0.0
    heard_at_seconds: float = -math.inf
    direct_at_seconds: float = -math.inf
    follows_at_seconds: float = -math.inf
    vouched_at_seconds: float = -math.inf
    first_hand_at_seconds: float = -math.inf
    started_at_seconds: float = math.inf
    standing_said_milliseconds: int = -1
    engines_said_milliseconds: int = -1
    beat: messages.Beat | None = None
    former: set[str] = dataclasses.field(default_factory=set)

    @property
    def said_milliseconds(self) -> int:
        """Tell when the instance said the newest of what is known of it.

        :return: its uptime then
        """
        return max(
            self.standing_said_milliseconds, self.engines_said_milliseconds
        )

    def vouch(self, at_seconds: float, *, first_hand: bool) -> None:
        """Note that a hub hears this instance.

        :param at_seconds: when the hub said so
        :param first_hand: whether it hears the instance itself
        """
        if self.vouched_at_seconds < at_seconds:
            self.vouched_at_seconds = at_seconds
        if first_hand and self.first_hand_at_seconds < at_seconds:
            self.first_hand_at_seconds = at_seconds

    def renew(self, instance: ids.InstanceId) -> None:
        """Forget what a former incarnation said.

        :param instance: the incarnation that took its place
        """
        if self.beat is not None:
            self.former.add(self.instance.incarnation)
        self.instance = instance
        self.started_at_seconds = math.inf
        self.standing_said_milliseconds = -1
        self.engines_said_milliseconds = -1
        self.beat = None


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


def claims_of(beat: messages.Beat) -> tuple[object, ...]:
    """Pick out what decides who owns engines and who is a hub.

    :param beat: what an instance tells of itself
    :return: engines it owns, whether it leaves, and what it gives up
    """
    names = tuple(engine.name for engine in beat.engines)
    return names, beat.leaving, beat.avoids


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
    "claims_of",
    "news_of",
]
