"""The choice of the instances that heartbeats are sent to."""

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

# The choice is repeated after this time, or when an instance comes or goes.
REFRESH_SECONDS = 1.0


class HeartbeatTargets(NamedTuple):
    """The targets of heartbeats, and whether this instance is a hub.

    An instance that replaces an overdue hub forwards heartbeats at once, but
    ``counts`` admitted rates only when that hub is given up: if the count
    moved with each late heartbeat, amounts in flight would be lost.
    """

    addresses: tuple[str, ...]
    is_hub: bool
    counts: bool


class TargetChooser:
    """Chooses the hubs that an instance sends its heartbeats to."""

    def __init__(
        self,
        *,
        self_id: ids.InstanceId,
        members: members_module.Members,
        timers: timing.TimerService,
    ) -> None:
        """Start without a choice.

        :param self_id: the identity of this instance
        :param members: the other instances
        :param timers: the process clock
        """
        self._self_id = self_id
        self._members = members
        self._timers = timers
        self._chosen = HeartbeatTargets((), False, False)
        self._chosen_inputs: tuple[object, ...] = ()

    def choose(self, own: messages.Beat) -> HeartbeatTargets:
        """Choose the targets of the next heartbeat.

        :param own: this instance's own heartbeat
        :return: the other hubs if this instance is a hub, else some hubs of
            its data centre
        """
        late = self._members.overdue()
        slot = self._timers.now_seconds() // REFRESH_SECONDS
        inputs = (
            self._members.version,
            late,
            slot,
            own.leaving,
            own.link_megabits,
        )
        if inputs != self._chosen_inputs:
            self._chosen_inputs = inputs
            self._chosen = self._choose(own, late)
        return self._chosen

    def followers(
        self, targets: tuple[str, ...]
    ) -> list[member_module.Member]:
        """List the instances that use this one as a hub, even if it is none.

        :param targets: the addresses that this instance sends heartbeats to
        :return: those of the same data centre, and of others the instances
            that are leaving as the last of their data centre
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

    def _choose(
        self, own: messages.Beat, late: frozenset[str]
    ) -> HeartbeatTargets:
        own_candidate = hubs.Candidate(
            self._self_id.address,
            self._self_id.data_centre,
            own.link_megabits,
        )
        local = hubs.rank(
            self._members.hub_candidates(own_candidate.data_centre)
        )
        # The successor of an overdue hub acts as a hub before that one is
        # given up, or the heartbeats of its instances would be lost.
        local_on_time = [other for other in local if other.address not in late]
        if own.leaving or own_candidate not in hubs.best_hubs(
            hubs.rank([own_candidate, *local_on_time])
        ):
            uplinks = hubs.uplinks(own_candidate.address, local, overdue=late)
            # The last instance of a data centre tells other hubs as it leaves.
            return HeartbeatTargets(
                tuple(uplinks) or self._remote_hubs(late), False, False
            )
        # Only hubs need to know the hubs of other data centres.
        others = self._members.hub_candidates()
        on_time = [other for other in others if other.address not in late]
        acting = hubs.choose_hubs([own_candidate, *on_time])
        confirmed = hubs.choose_hubs([own_candidate, *others])
        addresses = (*_addresses(acting), *_addresses(confirmed))
        targets = dict.fromkeys(addresses)
        targets.pop(own_candidate.address, None)
        counts = own_candidate in confirmed.get(own_candidate.data_centre, [])
        return HeartbeatTargets(tuple(targets), True, counts)

    def _remote_hubs(self, late: frozenset[str]) -> tuple[str, ...]:
        others = self._members.hub_candidates()
        return _addresses(
            hubs.choose_hubs(
                other for other in others if other.address not in late
            )
        )


def _addresses(
    by_centre: Mapping[str, list[hubs.Candidate]],
) -> tuple[str, ...]:
    all_hubs = itertools.chain.from_iterable(by_centre.values())
    return tuple(hub.address for hub in all_hubs)


__all__ = [
    "HeartbeatTargets",
    "TargetChooser",
]
