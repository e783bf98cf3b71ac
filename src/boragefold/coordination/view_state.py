"""The view, lease and promise of one instance."""

from __future__ import annotations

from boragefold.coordination import instance_list as instance_lists
from boragefold.coordination import quorum
from boragefold.coordination import rights
from boragefold.protocol import ids
from boragefold.protocol import view_messages as messages
from boragefold.timing import timers


class ViewState:
    """The state shared by the election, leader and member roles."""

    def __init__(
        self,
        *,
        self_id: ids.InstanceId,
        timer_service: timers.TimerService,
        instance_list: instance_lists.InstanceList,
    ) -> None:
        self._timers = timer_service
        self._instance_list = instance_list
        self.self_id = self_id
        self.view: rights.View | None = None
        self.highest_id = messages.NO_VIEW
        self.leader: ids.InstanceId | None = None
        self.promised = messages.NO_BALLOT
        self.promise_until_seconds = 0.0
        self.accepted_ballot = messages.NO_BALLOT
        self.accepted: rights.View | None = None
        self.stopped_ballot = messages.NO_BALLOT
        self.lease_until_seconds = 0.0
        self.sole_leader_until_seconds = 0.0
        self.no_lease_since_seconds = timer_service.now_seconds()
        self.known_since_seconds: dict[ids.InstanceId, float] = {}

    def now_seconds(self) -> float:
        """Read the clock anew at each call.

        :return: seconds since an arbitrary start
        """
        return self._timers.now_seconds()

    def view_id(self) -> messages.ViewId:
        """Return the id of the installed view.

        :return: its id
        """
        return quorum.view_id(self.view)

    def is_outdated(self) -> bool:
        """Return whether a later view is known to exist.

        :return: whether one is; also true without an installed view
        """
        return self.view is None or self.highest_id > self.view_id()

    def has_lease(self) -> bool:
        """Return whether this instance has a lease on the installed view.

        :return: whether it has one now
        """
        return self.lease_left_seconds() > 0

    def lease_left_seconds(self) -> float:
        """Return how long the lease will last.

        The clock is read here, not passed in: a process that was paused
        inside a handler would otherwise use a reading from before the pause.

        :return: seconds, zero if there is no lease
        """
        return max(0.0, self.lease_until_seconds - self.now_seconds())

    def record_view_id(self, view_id: messages.ViewId) -> None:
        """Record that a view of this data centre exists.

        :param view_id: its id
        """
        self.highest_id = max(self.highest_id, view_id)

    def install(self, view: rights.View, ballot: messages.Ballot) -> bool:
        """Install a decided view if it is later than the current one.

        :param view: the view
        :param ballot: the ballot that it was decided in, or a later one
        :return: whether it was later
        """
        self.record_view_id(quorum.view_id(view))
        if quorum.view_id(view) <= self.view_id():
            return False
        before = self.view
        self.view = view
        self.lease_until_seconds = 0.0
        self.accepted_ballot = messages.NO_BALLOT
        self.accepted = None
        self.stopped_ballot = messages.NO_BALLOT
        # Under an older ballot two successors could each find a quorum.
        # Ballots of different epochs are not comparable.
        same_epoch = before is not None and before.epoch == view.epoch
        self.promised = max(self.promised, ballot) if same_epoch else ballot
        now_seconds = self.now_seconds()
        self.known_since_seconds = {
            member: self.known_since_seconds.get(member, now_seconds)
            for member in view.members
        }
        return True

    def may_promise(self, owner: str) -> bool:
        """Return whether this instance is free to give a promise.

        :param owner: the incarnation that asks for it
        :return: whether it has the promise already, or nobody has
        """
        return (
            owner == self.promised.owner
            or self.now_seconds() >= self.promise_until_seconds
        )

    def promise(self, ballot: messages.Ballot, hold_seconds: float) -> None:
        """Promise, for a time from now, to follow nobody else.

        :param ballot: the ballot, not lower than the last
        :param hold_seconds: for how long
        """
        until_seconds = self.now_seconds() + hold_seconds
        if ballot.owner == self.promised.owner:
            until_seconds = max(until_seconds, self.promise_until_seconds)
        self.promised = ballot
        self.promise_until_seconds = until_seconds

    def follow(self, ballot: messages.Ballot) -> bool:
        """Follow an elected leader unless one was elected after it.

        A promise to another leader is no obstacle: a higher ballot could only
        be elected when the leadership of the lower one had ended.

        :param ballot: the ballot that elected the leader
        :return: whether this instance follows it
        """
        if ballot < self.promised:
            return False
        self.promise(ballot, quorum.PROMISE_SECONDS)
        return True

    def release(self, ballot: messages.Ballot) -> None:
        """End the promise given to a ballot.

        :param ballot: the ballot, whose owner no longer needs it
        """
        if ballot == self.promised:
            self.promise_until_seconds = self.now_seconds()

    def accept(self, ballot: messages.Ballot, successor: rights.View) -> None:
        """Accept a successor, and stop using the rights of the current view.

        :param ballot: the ballot that it is proposed in
        :param successor: the next view
        """
        self.promise(ballot, quorum.PROMISE_SECONDS)
        self.accepted_ballot = ballot
        self.accepted = successor
        self.stopped_ballot = ballot
        self.lease_until_seconds = 0.0

    def extend_lease(self, until_seconds: float) -> None:
        """Extend the lease on the installed view.

        A renewal that was delayed until after this instance stopped would
        restore the old rights beside the new ones; only a later ballot may.

        :param until_seconds: when it expires, on the clock of this instance
        """
        if self.is_outdated() or self.promised <= self.stopped_ballot:
            return
        if self.view is None or self.view.number <= quorum.BOOTSTRAP_NUMBER:
            return
        self.lease_until_seconds = max(self.lease_until_seconds, until_seconds)

    def update_lease_times(self) -> None:
        """Update since when there is no lease, and how long to lead alone.

        A leader that is on the list may lead alone, but only without a break
        since its last lease: after a pause the others may have taken over,
        and a list read before the pause may still show this instance.
        """
        now_seconds = self.now_seconds()
        has_lease = self.has_lease()
        if has_lease:
            self.no_lease_since_seconds = now_seconds
        if not has_lease and now_seconds >= self.sole_leader_until_seconds:
            return
        if not self._instance_list.contains(self.self_id.address):
            return
        until_seconds = self._instance_list.fresh_until_seconds()
        if not self._instance_list.peers(now_seconds):
            until_seconds = now_seconds + quorum.PROMISE_SECONDS
        self.sole_leader_until_seconds = max(
            self.sole_leader_until_seconds, until_seconds
        )


__all__ = [
    "ViewState",
]
