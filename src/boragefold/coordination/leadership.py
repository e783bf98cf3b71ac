"""The leader's authority by promises, and the leases that it grants."""

from __future__ import annotations

from collections.abc import Mapping

from boragefold.coordination import link
from boragefold.coordination import quorum
from boragefold.coordination import view_state
from boragefold.protocol import ids
from boragefold.protocol import view_messages as messages
from boragefold.telemetry import counters as telemetry


class Leadership:
    """Counts promises, and grants leases that expire before they do."""

    def __init__(
        self,
        *,
        peer_link: link.PeerLink,
        state: view_state.ViewState,
        counters: telemetry.Counters,
    ) -> None:
        self._link = peer_link
        self._state = state
        self._counters = counters
        self._promise_ends: dict[ids.InstanceId, float] = {}
        self._granted_until_seconds: dict[ids.InstanceId, float] = {}
        self._relayed_until_seconds: dict[ids.InstanceId, float] = {}
        self.dead: frozenset[ids.InstanceId] = frozenset()
        self.ballot = messages.NO_BALLOT
        self.leading = False
        self.granting = False

    def begin(
        self,
        ballot: messages.Ballot,
        ends: Mapping[ids.InstanceId, float],
        dead: frozenset[ids.InstanceId],
    ) -> None:
        """Start to lead after an election.

        The leases that were granted in an earlier term stay recorded.

        :param ballot: the ballot that won the election
        :param ends: when the voters' promises end
        :param dead: members that the list or a new process shows as dead
        """
        self.ballot = ballot
        self.dead = dead
        self.leading = True
        self.granting = True
        self._promise_ends = dict(ends)
        self._state.leader = self._state.self_id

    def end(self) -> None:
        """Stop leading; granted leases last until they expire."""
        self.leading = False
        self.granting = False

    def led_until_seconds(self) -> float:
        """Return how long this instance leads without further promises.

        :return: a reading of the clock
        """
        view = self._state.view
        if view is None or not self.leading:
            return 0.0
        return quorum.led_until_seconds(
            view,
            leader=self._state.self_id,
            ends=self._promise_ends,
            sole_leader_until_seconds=self._state.sole_leader_until_seconds,
            dead=self.dead,
        )

    def is_valid(self) -> bool:
        """Return whether this instance leads now; stop leading if not.

        After a pause or a partition the others may have another leader, and
        this instance may have given its own promise to one.

        :return: whether this instance leads
        """
        state = self._state
        if not self.leading:
            return False
        if (
            not state.is_outdated()
            and state.promised == self.ballot
            and state.now_seconds() < self.led_until_seconds()
        ):
            return True
        self._counters.add("view_steward_ended", "promises_ended")
        self.end()
        return False

    def record_promise(
        self, voter: ids.InstanceId, sent_seconds: float
    ) -> None:
        """Count a promise from the time of the message that it answers.

        :param voter: the voter that gave it
        :param sent_seconds: when this instance sent the message
        """
        end_seconds = sent_seconds + quorum.shortened_seconds(
            quorum.PROMISE_SECONDS
        )
        self._promise_ends[voter] = max(
            self._promise_ends.get(voter, 0.0), end_seconds
        )

    def renew_own(self) -> None:
        """Renew the promise and the lease that this instance gives itself."""
        state = self._state
        state.promise(self.ballot, quorum.PROMISE_SECONDS)
        self.record_promise(state.self_id, state.now_seconds())
        if self.granting:
            lease_until_seconds = state.now_seconds() + quorum.LEASE_SECONDS
            state.extend_lease(
                min(self.led_until_seconds(), lease_until_seconds)
            )

    def renew(self, to: ids.InstanceId, echo_seconds: float) -> None:
        """Answer a heartbeat, or request one.

        :param to: the member
        :param echo_seconds: when it sent the heartbeat; zero for a request
        """
        state = self._state
        now_seconds = state.now_seconds()
        lease_seconds = 0.0
        if self.granting and echo_seconds > 0:
            # The lease ends with the promises, so that the next leader need
            # not wait for leases that it doesn't know.
            lease_seconds = min(
                quorum.LEASE_SECONDS, self.led_until_seconds() - now_seconds
            )
            self._granted_until_seconds[to] = max(
                self._granted_until_seconds.get(to, 0.0),
                now_seconds + lease_seconds,
            )
        self._link.send(
            to=to,
            body=messages.Renewal(
                view_id=state.view_id(),
                round=self.ballot.round,
                echo_seconds=echo_seconds,
                sent_seconds=now_seconds,
                lease_seconds=max(0.0, lease_seconds),
            ),
        )

    def lease_has_expired(self, member: ids.InstanceId) -> bool:
        """Return whether the lease of a member has certainly expired.

        A lease is counted from the heartbeat that it answers, which was sent
        before its end was recorded here: by then it has expired on the
        member's clock, too, however long the message took.

        :param member: the member
        :return: whether the lease that this instance granted has expired
        """
        return (
            self._granted_until_seconds.get(member, 0.0)
            <= self._state.now_seconds()
        )

    def record_relayed(
        self, member: ids.InstanceId, left_seconds: float
    ) -> None:
        """Record the remaining time of a lease from a stopped relay.

        :param member: the member that has the lease
        :param left_seconds: remaining time when the relay reported it
        """
        self._relayed_until_seconds[member] = (
            self._state.now_seconds() + left_seconds
        )

    def relayed_lease_has_expired(
        self, member: ids.InstanceId, *, relay_stopped: bool
    ) -> bool:
        """Return whether the relayed lease of a member has certainly expired.

        :param member: the member
        :param relay_stopped: whether its relay has stopped granting leases
        :return: whether it has expired
        """
        view = self._state.view
        relay = quorum.relay_of(view, member) if view is not None else None
        if relay is None or relay == self._state.self_id:
            return True
        if relay_stopped:
            now_seconds = self._state.now_seconds()
            return self._relayed_until_seconds.get(member, 0.0) <= now_seconds
        return self.lease_has_expired(relay)

    def clear_granted(self) -> None:
        """Discard the leases of a view that has ended everywhere."""
        self._granted_until_seconds.clear()
        self._relayed_until_seconds.clear()
        self.dead = frozenset()


__all__ = [
    "Leadership",
]
