"""Takes part in the view of a data centre on behalf of one instance."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import random

from absl import logging

from boragefold.coordination import bootstrap as bootstraps
from boragefold.coordination import directory as directories
from boragefold.coordination import election as elections
from boragefold.coordination import instance_list as instance_lists
from boragefold.coordination import leader_role as leader_roles
from boragefold.coordination import leadership as leaderships
from boragefold.coordination import lease_relay as lease_relays
from boragefold.coordination import link
from boragefold.coordination import member_tracker as member_trackers
from boragefold.coordination import membership as memberships
from boragefold.coordination import peer_status as peer_statuses
from boragefold.coordination import rights
from boragefold.coordination import view_changes
from boragefold.coordination import view_router
from boragefold.coordination import view_state
from boragefold.protocol import ids
from boragefold.protocol import view_messages as messages
from boragefold.telemetry import counters as telemetry
from boragefold.timing import timers

TICK_SECONDS = 0.1


class Views(rights.Rights):
    """Keeps this instance in its data centre's view, and reports rights."""

    def __init__(
        self,
        *,
        peer_link: link.PeerLink,
        timer_service: timers.TimerService,
        counters: telemetry.Counters,
        random_source: random.Random,
        wall_clock_ms: Callable[[], int],
        on_suspect: Callable[[ids.InstanceId], None] | None = None,
    ) -> None:
        """Create the components; :meth:`start` starts them.

        :param peer_link: carries the messages
        :param timer_service: the clock and the timers
        :param counters: counts elections, changes, refusals and suspects
        :param random_source: draws the delays of elections and gossip
        :param wall_clock_ms: wall clock time, which numbers the epochs
        :param on_suspect: called with a silent peer, whose connections
            should be replaced before it is removed
        """
        self._link = peer_link
        self._timers = timer_service
        self._counters = counters
        self._wall_clock_ms = wall_clock_ms
        self._subscribers: list[Callable[[rights.View | None], None]] = []
        self._notified_view: rights.View | None = None
        self._leaving = False
        self._started = False
        suspect = on_suspect or (lambda peer: None)
        self._instance_list = instance_lists.InstanceList(
            self_id=peer_link.self_id
        )
        self._state = view_state.ViewState(
            self_id=peer_link.self_id,
            timer_service=timer_service,
            instance_list=self._instance_list,
        )
        self._peer_status = peer_statuses.PeerStatus(
            peer_link=peer_link,
            state=self._state,
            instance_list=self._instance_list,
        )
        leadership = leaderships.Leadership(
            peer_link=peer_link, state=self._state, counters=counters
        )
        member_tracker = member_trackers.MemberTracker(
            state=self._state,
            peer_status=self._peer_status,
            leadership=leadership,
            counters=counters,
            on_suspect=suspect,
        )
        changes = view_changes.ViewChanges(
            peer_link=peer_link,
            state=self._state,
            peer_status=self._peer_status,
            leadership=leadership,
            member_tracker=member_tracker,
            counters=counters,
        )
        lease_relay = lease_relays.LeaseRelay(
            peer_link=peer_link, state=self._state
        )
        self._leader_role = leader_roles.LeaderRole(
            state=self._state,
            peer_status=self._peer_status,
            instance_list=self._instance_list,
            leadership=leadership,
            member_tracker=member_tracker,
            changes=changes,
            counters=counters,
            new_epoch=self._new_epoch,
        )
        self._election = elections.Election(
            peer_link=peer_link,
            state=self._state,
            peer_status=self._peer_status,
            counters=counters,
            random_source=random_source,
            on_won=self._leader_role.begin,
        )
        self._bootstrap = bootstraps.Bootstrap(
            peer_link=peer_link,
            state=self._state,
            peer_status=self._peer_status,
            counters=counters,
            new_epoch=self._new_epoch,
            on_bootstrapped=self._leader_role.lead_bootstrapped,
        )
        self._membership = memberships.Membership(
            peer_link=peer_link,
            state=self._state,
            peer_status=self._peer_status,
            election=self._election,
            leader_role=self._leader_role,
            lease_relay=lease_relay,
            counters=counters,
            on_suspect=suspect,
        )
        self._directory = directories.Directory(
            peer_link=peer_link,
            timer_service=timer_service,
            state=self._state,
            instance_list=self._instance_list,
            random_source=random_source,
        )
        view_router.ViewRouter(
            peer_link=peer_link,
            state=self._state,
            peer_status=self._peer_status,
            leadership=leadership,
            election=self._election,
            bootstrap=self._bootstrap,
            leader_role=self._leader_role,
            changes=changes,
            membership=self._membership,
            lease_relay=lease_relay,
            directory=self._directory,
            counters=counters,
            is_leaving=lambda: self._leaving,
            on_handled=self._notify_subscribers,
        )

    @property
    def self_id(self) -> ids.InstanceId:
        """Return the identity of this instance.

        :return: its id
        """
        return self._state.self_id

    @property
    def is_leader(self) -> bool:
        """Return whether this instance leads the view.

        :return: whether it does, as far as it knows
        """
        return self._leader_role.leading

    @property
    def has_left(self) -> bool:
        """Return whether a planned leave is complete.

        :return: whether this instance was asked to leave and is in no view
        """
        return self._leaving and self._state.is_outdated()

    def start(self) -> None:
        """Start to take part in the view."""
        if self._started:
            return
        self._started = True
        self._timers.every(period_seconds=TICK_SECONDS, callback=self._tick)
        self._directory.start()

    def update_list(self, entries: Iterable[instance_lists.ListEntry]) -> None:
        """Store the platform's list after each read, changed or not.

        :param entries: all instances of all data centres
        """
        self._instance_list.update(entries, self._timers.now_seconds())
        self._state.update_lease_times()

    def leave(self) -> None:
        """Start to leave the view; :attr:`has_left` shows completion."""
        self._leaving = True
        self._tick()

    def valid_view(self) -> rights.View | None:
        """Return the view that this instance has a lease on now.

        :return: the view, or None when the lease has expired
        """
        return self._state.view if self.valid_for_seconds() > 0 else None

    def valid_for_seconds(self) -> float:
        """Return how long the lease will last without renewal.

        :return: seconds, zero when it has expired
        """
        if self._state.is_outdated():
            return 0.0
        return self._state.lease_left_seconds()

    def directory(self) -> dict[str, rights.View]:
        """Return the latest known view of each data centre.

        :return: views by data centre
        """
        return self._directory.views()

    def subscribe(
        self, callback: Callable[[rights.View | None], None]
    ) -> None:
        """Register a callback for when the valid view changes or ends.

        :param callback: called with the new view, or None
        """
        self._subscribers.append(callback)

    def _tick(self) -> None:
        self._state.update_lease_times()
        self._leader_role.tick()
        self._membership.tick()
        self._peer_status.tick()
        if not self._leader_role.leading:
            self._election.tick()
        if self._leaving:
            self._ask_to_leave()
        else:
            self._bootstrap.tick()
        self._peer_status.prune()
        self._notify_subscribers()

    def _ask_to_leave(self) -> None:
        leader = self._state.leader
        if self._leader_role.leading:
            self._leader_role.on_leave(self.self_id)
        elif leader is not None and not self._state.is_outdated():
            self._link.send(to=leader, body=messages.Leave())

    def _notify_subscribers(self) -> None:
        view = self.valid_view()
        if view == self._notified_view:
            return
        self._notified_view = view
        self._counters.add("view_validity", "valid" if view else "ended")
        if view is None:
            logging.info("the lease on the view has expired")
        else:
            logging.info(
                "view %d.%d with %d members is valid",
                view.epoch,
                view.number,
                len(view.members),
            )
        for callback in self._subscribers:
            callback(view)

    def _new_epoch(self) -> int:
        return max(self._wall_clock_ms(), self._state.highest_id.epoch + 1)


__all__ = [
    "TICK_SECONDS",
    "Views",
]
