"""Queries the state of the listed instances and detects dead members."""

from __future__ import annotations

from typing import NamedTuple

from boragefold.coordination import instance_list as instance_lists
from boragefold.coordination import link
from boragefold.coordination import view_state
from boragefold.protocol import ids
from boragefold.protocol import view_messages as messages

# One lost heartbeat leaves an instance without a lease for less than this.
QUERY_AFTER_SECONDS = 0.5
QUERY_PERIOD_SECONDS = 0.5

# Two queries in a row may be lost. An instance that answered that there is no
# leader can't become the leader later because of a list without this instance.
ANSWER_SECONDS = (
    instance_lists.SOLE_LEADER_END_SECONDS - instance_lists.SKEW_SECONDS
)

# After this time no message to an earlier incarnation is still in transit.
RECENT_SENDER_SECONDS = 5.0


class Answer(NamedTuple):
    """The last answer from an address, and when its query was sent."""

    sender: ids.InstanceId
    queried_seconds: float
    standing: messages.Standing


class PeerStatus:
    """Queries the addresses of this data centre and stores the answers."""

    def __init__(
        self,
        *,
        peer_link: link.PeerLink,
        state: view_state.ViewState,
        instance_list: instance_lists.InstanceList,
    ) -> None:
        self._link = peer_link
        self._state = state
        self._instance_list = instance_list
        self._last_query_seconds = float("-inf")
        self._answers: dict[str, Answer] = {}
        self._heard_seconds: dict[str, float] = {}
        self._replaced_since: dict[ids.InstanceId, float] = {}

    def tick(self) -> None:
        """Query all addresses if this instance has no lease and it is due."""
        now_seconds = self._state.now_seconds()
        no_lease_seconds = now_seconds - self._state.no_lease_since_seconds
        if no_lease_seconds < QUERY_AFTER_SECONDS:
            if self._state.view is not None:
                return
        if now_seconds - self._last_query_seconds < QUERY_PERIOD_SECONDS:
            return
        self._last_query_seconds = now_seconds
        for address in self.addresses():
            self.query(address)

    def query(self, address: str) -> None:
        """Query whichever process listens at an address.

        :param address: the address
        """
        to = ids.InstanceId(self._state.self_id.data_centre, address, "")
        now_seconds = self._state.now_seconds()
        self._link.send(to=to, body=messages.Greeting(now_seconds))

    def addresses(self) -> tuple[str, ...]:
        """List the addresses to query: the listed and recent senders.

        An instance that isn't on this instance's copy of the list yet may
        have this instance on its own copy.

        :return: addresses other than that of this instance
        """
        now_seconds = self._state.now_seconds()
        heard = {
            address
            for address, heard_seconds in self._heard_seconds.items()
            if now_seconds - heard_seconds < RECENT_SENDER_SECONDS
            and not self._instance_list.is_settled(address)
        }
        return tuple(
            sorted(heard.union(self._instance_list.peers(now_seconds)))
        )

    def record_sender(self, sender: ids.InstanceId) -> None:
        """Record that an instance of this data centre has sent a message.

        :param sender: the instance
        """
        if sender.address == self._state.self_id.address:
            return
        self._heard_seconds[sender.address] = self._state.now_seconds()

    def record_answer(
        self, sender: ids.InstanceId, standing: messages.Standing
    ) -> None:
        """Store the answer to a query.

        A new process that answers at the address of a member of the view
        proves that member dead, if the query was sent after this instance
        learned of the member: a late message of an older process would prove
        nothing.

        :param sender: the instance that answered
        :param standing: its answer
        """
        before = self._answers.get(sender.address)
        queried_seconds = standing.echo_seconds
        if before is None or before.queried_seconds <= queried_seconds:
            answer = Answer(sender, queried_seconds, standing)
            self._answers[sender.address] = answer
        for member, since_seconds in self._state.known_since_seconds.items():
            if (
                member.address == sender.address
                and member.incarnation != sender.incarnation
                and queried_seconds > since_seconds
            ):
                self._replaced_since.setdefault(
                    member, self._state.now_seconds()
                )

    def is_replaced(self, member: ids.InstanceId) -> bool:
        """Return whether a new process has taken a member's address.

        :param member: the member
        :return: whether the member is certainly dead
        """
        return member in self._replaced_since

    def is_dead(self, member: ids.InstanceId) -> bool:
        """Return whether the list or a new process shows a member as dead.

        :param member: the member
        :return: whether this has lasted so long that the member's promises
            have certainly expired, too
        """
        now_seconds = self._state.now_seconds()
        since_seconds = self._replaced_since.get(member, float("inf"))
        known_since_seconds = self._state.known_since_seconds.get(
            member, now_seconds
        )
        return (
            now_seconds - since_seconds
            >= instance_lists.SOLE_LEADER_END_SECONDS
            or self._instance_list.is_removed(
                member.address, known_since_seconds, now_seconds
            )
        )

    def answers(self) -> tuple[Answer, ...] | None:
        """Return the answers if they are complete.

        Each listed instance has to have answered: nothing else keeps an
        instance that was partitioned from creating a second view.

        :return: recent answers of all, or None if one is missing, or if the
            list is not fresh or does not show this instance
        """
        now_seconds = self._state.now_seconds()
        if not self._instance_list.is_steady(now_seconds):
            return None
        found = [self._answers.get(one) for one in self.addresses()]
        recent = [
            answer
            for answer in found
            if answer is not None
            and now_seconds - answer.queried_seconds <= ANSWER_SECONDS
        ]
        return tuple(recent) if len(recent) == len(found) else None

    def verified_dead(self) -> frozenset[ids.InstanceId] | None:
        """Return the members that may be excluded for good to lead the rest.

        :return: the dead members, possibly none; None if the others can't be
            sure that there is no other leader and no later view
        """
        state = self._state
        no_lease_seconds = state.now_seconds() - state.no_lease_since_seconds
        if no_lease_seconds < QUERY_AFTER_SECONDS:
            return None
        if state.view is None or state.is_outdated():
            return None
        answers = self.answers()
        if answers is None:
            return None
        if any(
            one.standing.covered or one.standing.highest_id > state.view_id()
            for one in answers
        ):
            return None
        answered = {one.sender for one in answers} | {state.self_id}
        dead = frozenset(
            member
            for member in state.view.members
            if member not in answered and self.is_dead(member)
        )
        if set(state.view.members) - answered - dead:
            return None
        # The last list may lack an instance that has started since.
        if (
            not dead
            and no_lease_seconds < instance_lists.SOLE_LEADER_END_SECONDS
        ):
            return None
        return dead

    def prune(self) -> None:
        """Discard the state of instances that are not in the view."""
        known = self._state.known_since_seconds
        self._replaced_since = {
            member: since_seconds
            for member, since_seconds in self._replaced_since.items()
            if member in known
        }
        addresses = {*self.addresses(), *self._heard_seconds}
        self._answers = {
            address: answer
            for address, answer in self._answers.items()
            if address in addresses
        }
        now_seconds = self._state.now_seconds()
        self._heard_seconds = {
            address: heard_seconds
            for address, heard_seconds in self._heard_seconds.items()
            if now_seconds - heard_seconds < RECENT_SENDER_SECONDS
        }


__all__ = [
    "ANSWER_SECONDS",
    "Answer",
    "PeerStatus",
    "QUERY_AFTER_SECONDS",
    "QUERY_PERIOD_SECONDS",
    "RECENT_SENDER_SECONDS",
]
