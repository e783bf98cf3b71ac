"""What one instance holds of its data centre's view, and its promise."""

from __future__ import annotations

from boragefold.coordination import listing as listings
from boragefold.coordination import quorum
from boragefold.coordination import rights
from boragefold.protocol import ids
from boragefold.protocol import view_messages as messages
from boragefold.timing import timers


class ViewState:
    """The state that election, steward and member share in one process."""

    def __init__(
        self,
        *,
        self_id: ids.InstanceId,
        timer_service: timers.TimerService,
        listing: listings.Listing,
    ) -> None:
        self._timers = timer_service
        self._listing = listing
        self.self_id = self_id
        self.view: rights.View | None = None
        self.highest_id = messages.NO_VIEW
        self.steward: ids.InstanceId | None = None
        self.promised = messages.NO_BALLOT
        self.promise_until_seconds = 0.0
        self.accepted_ballot = messages.NO_BALLOT
        self.accepted: rights.View | None = None
        self.stopped = messages.NO_BALLOT
        self.lease_until_seconds = 0.0
        self.alone_until_seconds = 0.0
        self.uncovered_since_seconds = timer_service.now_seconds()
        self.known_since_seconds: dict[ids.InstanceId, float] = {}

    def now_seconds(self) -> float:
        """Read the clock, afresh at each call.

        :return: seconds since an arbitrary start
        """
        return self._timers.now_seconds()

    def view_id(self) -> messages.ViewId:
        """Name the installed view.

        :return: its id
        """
        return quorum.view_id(self.view)

    def is_outdated(self) -> bool:
        """Tell whether a later view than ours is known to exist.

        :return: whether it is; true of a process without a view, too
        """
        return self.view is None or self.highest_id > self.view_id()

    def covered(self) -> bool:
        """Tell whether our lease covers the installed view now.

        :return: whether it does
        """
        return self.lease_left_seconds() > 0

    def lease_left_seconds(self) -> float:
        """Tell how long our lease will last.

        The clock is read here, not handed in: a process that was paused
        inside a handler would otherwise go on by a reading from before.

        :return: seconds, zero if there is no lease
        """
        return max(0.0, self.lease_until_seconds - self.now_seconds())

    def hear_of(self, view_id: messages.ViewId) -> None:
        """Note that a view of our data centre exists.

        :param view_id: its id
        """
        self.highest_id = max(self.highest_id, view_id)

    def install(self, view: rights.View, ballot: messages.Ballot) -> bool:
        """Take over a decided view, if it is later than ours.

        :param view: the view
        :param ballot: the ballot that it was decided in, or a later one
        :return: whether it was later
        """
        self.hear_of(quorum.view_id(view))
        if quorum.view_id(view) <= self.view_id():
            return False
        before = self.view
        self.view = view
        self.lease_until_seconds = 0.0
        self.accepted_ballot = messages.NO_BALLOT
        self.accepted = None
        self.stopped = messages.NO_BALLOT
        # Under an older ballot two successors could each find enough voters.
        # Ballots of different epochs don't compare.
        same_epoch = before is not None and before.epoch == view.epoch
        self.promised = max(self.promised, ballot) if same_epoch else ballot
        now_seconds = self.now_seconds()
        self.known_since_seconds = {
            member: self.known_since_seconds.get(member, now_seconds)
            for member in view.members
        }
        return True

    def may_promise(self, owner: str) -> bool:
        """Tell whether we are free to promise somebody something.

        :param owner: the incarnation that asks
        :return: whether it has our promise already, or nobody has
        """
        return (
            owner == self.promised.owner
            or self.now_seconds() >= self.promise_until_seconds
        )

    def promise(self, ballot: messages.Ballot, hold_seconds: float) -> None:
        """Promise to follow nobody else for a time, from now.

        :param ballot: the ballot, not lower than the last
        :param hold_seconds: for how long
        """
        until_seconds = self.now_seconds() + hold_seconds
        if ballot.owner == self.promised.owner:
            until_seconds = max(until_seconds, self.promise_until_seconds)
        self.promised = ballot
        self.promise_until_seconds = until_seconds

    def follow(self, ballot: messages.Ballot) -> bool:
        """Follow an elected steward, if nobody was elected after it.

        The promise to another one is no hindrance: a higher ballot could
        only be elected when the leadership of the lower one had ended.

        :param ballot: what the steward was elected by
        :return: whether we follow it
        """
        if ballot < self.promised:
            return False
        self.promise(ballot, quorum.PROMISE_SECONDS)
        return True

    def release(self, ballot: messages.Ballot) -> None:
        """End the promise that we gave to a ballot.

        :param ballot: the ballot, whose owner no longer needs it
        """
        if ballot == self.promised:
            self.promise_until_seconds = self.now_seconds()

    def accept(self, ballot: messages.Ballot, successor: rights.View) -> None:
        """Accept a successor, and stop using the rights of our view.

        :param ballot: the ballot that it is proposed in
        :param successor: the view after ours
        """
        self.promise(ballot, quorum.PROMISE_SECONDS)
        self.accepted_ballot = ballot
        self.accepted = successor
        self.stopped = ballot
        self.lease_until_seconds = 0.0

    def take_lease(self, until_seconds: float) -> None:
        """Extend our lease on the installed view.

        A renewal that was delayed until after we stopped would bring the old
        rights back beside the new ones; only a later ballot may do that.

        :param until_seconds: its end on our clock
        """
        if self.is_outdated() or self.promised <= self.stopped:
            return
        if self.view is None or self.view.number <= quorum.FOUNDED_NUMBER:
            return
        self.lease_until_seconds = max(self.lease_until_seconds, until_seconds)

    def follow_time(self) -> None:
        """Keep account of how long we have been without a lease.

        Being shown on the list lets a steward lead alone, but only in an
        unbroken line from a lease: after a pause the others may have taken
        over, and a list read before the pause may still show us.
        """
        now_seconds = self.now_seconds()
        covered = self.covered()
        if covered:
            self.uncovered_since_seconds = now_seconds
        if not covered and now_seconds >= self.alone_until_seconds:
            return
        if not self._listing.shows(self.self_id.address):
            return
        until_seconds = self._listing.fresh_until_seconds()
        if not self._listing.peers(now_seconds):
            until_seconds = now_seconds + quorum.PROMISE_SECONDS
        self.alone_until_seconds = max(self.alone_until_seconds, until_seconds)


__all__ = [
    "ViewState",
]
