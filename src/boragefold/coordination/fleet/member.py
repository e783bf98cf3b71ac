"""The state of another instance as last received."""

from __future__ import annotations

import dataclasses
import math

from boragefold.coordination.fleet import hubs
from boragefold.protocol import ids
from boragefold.protocol import peer_messages as messages


@dataclasses.dataclass(kw_only=True)
class Member:
    """The state of another instance as last received.

    ``alive_at_seconds`` is when it was last known to be alive, from its own
    messages or a hub's report; ``received_at_seconds`` is when it last sent a
    message to this instance; ``followed_at_seconds`` when it last did so with
    this instance as its hub. ``reported_at_seconds`` is the time of the newest
    message from it or report that lists it as alive;
    ``direct_report_at_seconds`` is the same without the reports of hubs that
    repeat other hubs. ``state_uptime_milliseconds`` and
    ``engines_uptime_milliseconds`` are its uptimes when it sent the two parts
    of ``beat``. ``started_at_seconds`` is its start time by the local clock.
    ``former_incarnations`` were replaced by later ones.
    """

    instance: ids.InstanceId
    discovered_at_seconds: float = 0.0
    alive_at_seconds: float = -math.inf
    received_at_seconds: float = -math.inf
    followed_at_seconds: float = -math.inf
    reported_at_seconds: float = -math.inf
    direct_report_at_seconds: float = -math.inf
    started_at_seconds: float = math.inf
    state_uptime_milliseconds: int = -1
    engines_uptime_milliseconds: int = -1
    beat: messages.Beat | None = None
    former_incarnations: set[str] = dataclasses.field(default_factory=set)

    @property
    def newest_uptime_milliseconds(self) -> int:
        """Tell at which uptime the instance sent its newest known state.

        :return: milliseconds
        """
        return max(
            self.state_uptime_milliseconds, self.engines_uptime_milliseconds
        )

    @property
    def staying(self) -> bool:
        """Tell whether the instance can be relied on for a while.

        :return: whether it told its state, and isn't leaving by that
        """
        return self.beat is not None and not self.beat.leaving

    def record_report(self, at_seconds: float, *, first_hand: bool) -> None:
        """Record that a hub reported this instance as alive.

        :param at_seconds: when the report arrived
        :param first_hand: whether the hub receives its heartbeats directly
        """
        if self.reported_at_seconds < at_seconds:
            self.reported_at_seconds = at_seconds
        if first_hand and self.direct_report_at_seconds < at_seconds:
            self.direct_report_at_seconds = at_seconds

    def replace_incarnation(self, instance: ids.InstanceId) -> None:
        """Discard the state of the previous incarnation.

        :param instance: the incarnation that replaced it
        """
        if self.beat is not None:
            self.former_incarnations.add(self.instance.incarnation)
        self.instance = instance
        self.started_at_seconds = math.inf
        self.state_uptime_milliseconds = -1
        self.engines_uptime_milliseconds = -1
        self.beat = None


def urgent_state(beat: messages.Beat) -> tuple[object, ...]:
    """Pick out the state whose changes are sent on at once.

    :param beat: the state that an instance reports of itself
    :return: engines it owns and whether each can load now, whether it is
        leaving, engines it can't reach, the newest published revisions that
        it has, and whether the store doesn't answer it
    """
    engines = tuple(
        (engine.name, engine.orders_in_seconds > 0) for engine in beat.engines
    )
    return engines, beat.leaving, beat.avoids, beat.told, beat.store_lost


def ownership_state(beat: messages.Beat) -> tuple[object, ...]:
    """Pick out the state that decides who owns engines and who is a hub.

    :param beat: the state that an instance reports of itself
    :return: engines it owns, whether it is leaving, and engines that it can't
        reach
    """
    names = tuple(engine.name for engine in beat.engines)
    return names, beat.leaving, beat.avoids


def hub_candidate(member: Member) -> hubs.Candidate:
    """Describe an instance as a possible hub.

    :param member: the instance
    :return: the properties that its rank depends on
    """
    beat = member.beat
    return hubs.Candidate(
        address=member.instance.address,
        data_centre=member.instance.data_centre,
        capacity=0.0 if beat is None else beat.link_megabits,
    )


__all__ = [
    "Member",
    "hub_candidate",
    "ownership_state",
    "urgent_state",
]
