"""To which instances the heartbeats of an instance go."""

from __future__ import annotations

from collections.abc import Mapping
import itertools
from typing import NamedTuple

from boragefold.coordination.fleet import hubs
from boragefold.coordination.fleet import member as member_module
from boragefold.coordination.fleet import members as members_module
from boragefold.protocol import ids
from boragefold.protocol import peer_messages as messages
from boragefold.timing import timers as timing

# Who is a hub is looked at anew after this, or when somebody comes or goes.
LOOK_AGAIN_SECONDS = 1.0


class Chosen(NamedTuple):
    """Whom an instance speaks to, best first, and whether it is a hub.

    Whoever stands in for a hub that is late passes heartbeats on, and
    ``counts`` rates only when that hub is given up: a count that moves with
    each late heartbeat loses what was under way.
    """

    targets: tuple[str, ...]
    is_hub: bool
    counts: bool


class Routes:
    """Chooses the hubs that an instance speaks to."""

    def __init__(
        self,
        *,
        self_id: ids.InstanceId,
        members: members_module.Members,
        timers: timing.TimerService,
    ) -> None:
        """Begin without a choice.

        :param self_id: who we are
        :param members: the other instances
        :param timers: the process clock
        """
        self._self_id = self_id
        self._members = members
        self._timers = timers
        self._chosen = Chosen((), False, False)
        self._chosen_for: tuple[object, ...] = ()

    def choose(self, own: messages.Beat) -> Chosen:
        """Choose whom to speak to now.

        :param own: our own heartbeat
        :return: the other hubs for a hub, else some hubs of our data centre
        """
        late = self._members.late()
        slot = self._timers.now_seconds() // LOOK_AGAIN_SECONDS
        wanted_for = (
            self._members.version,
            late,
            slot,
            own.leaving,
            own.link_megabits,
        )
        if wanted_for != self._chosen_for:
            self._chosen_for = wanted_for
            self._chosen = self._choose(own, late)
        return self._chosen

    def followers(
        self, targets: tuple[str, ...]
    ) -> list[member_module.Member]:
        """List the instances that take us for a hub, whether we do or not.

        :param targets: whom we speak to ourselves
        :return: those of our data centre that speak to us as to their hub, and
            those that leave theirs as the last
        """
        return [
            member
            for member in self._members.followers()
            if member.instance.address not in targets
            and (
                member.instance.data_centre == self._self_id.data_centre
                or (member.beat is not None and member.beat.leaving)
            )
        ]

    def _choose(self, own: messages.Beat, late: frozenset[str]) -> Chosen:
        us = hubs.Candidate(
            self._self_id.address,
            self._self_id.data_centre,
            own.link_megabits,
        )
        near = hubs.rank(self._members.hub_candidates(us.data_centre))
        # A late hub's successor acts before that hub is given up, or nobody
        # would hear of its instances.
        beside = [other for other in near if other.address not in late]
        if own.leaving or us not in hubs.best(hubs.rank([us, *beside])):
            uplinks = hubs.uplinks(us.address, near, late=late)
            # Whoever leaves as the last of its data centre tells the others.
            return Chosen(tuple(uplinks) or self._far_hubs(late), False, False)
        # Only a hub has to know the hubs of other data centres.
        others = self._members.hub_candidates()
        sound = [other for other in others if other.address not in late]
        at_once = hubs.hubs([us, *sound])
        lasting = hubs.hubs([us, *others])
        every = (*_every(at_once), *_every(lasting))
        targets = dict.fromkeys(every)
        targets.pop(us.address, None)
        counts = us in lasting.get(us.data_centre, [])
        return Chosen(tuple(targets), True, counts)

    def _far_hubs(self, late: frozenset[str]) -> tuple[str, ...]:
        others = self._members.hub_candidates()
        return _every(
            hubs.hubs(other for other in others if other.address not in late)
        )


def _every(by_centre: Mapping[str, list[hubs.Candidate]]) -> tuple[str, ...]:
    every = itertools.chain.from_iterable(by_centre.values())
    return tuple(hub.address for hub in every)


__all__ = [
    "Chosen",
    "Routes",
]
