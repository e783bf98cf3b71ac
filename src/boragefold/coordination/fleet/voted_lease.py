"""The lease of one engine, which rests on the promises of voters.

It is asked for when there is something to order, and lasts a little less than
the promises, counted from when they were asked for: after a pause or a cut it
has ended before anybody else can have one.
"""

from __future__ import annotations

import abc
from collections.abc import Callable
import dataclasses
import math

from boragefold.coordination.fleet import electorate as electorates
from boragefold.coordination.fleet import lease_voter
from boragefold.coordination.fleet import order_lease
from boragefold.protocol import ids
from boragefold.protocol import order_lease_messages as messages

# Promises last longer by the time in which an order arrives or is given up.
LEASE_SECONDS = 0.6
RENEW_SECONDS = 0.3
# Whoever has no majority by then frees its voters, and tries again later:
# two that ask at the same time would keep half of the voters each.
ANSWER_SECONDS = 0.25
# Without the lease, an order waits until those show in reports that others
# gave for the same requests: its holder, or one that is alone as well.
RIVAL_SECONDS = 1.5
RIVAL_STEP_SECONDS = 0.75
# Whoever asked for nothing for so long goes by who is heard now.
STALE_SECONDS = 2.0
# So long after a lease an order of it may still be on its way.
ORDER_SECONDS = 0.6


@dataclasses.dataclass(kw_only=True)
class Round:
    """One time that voters were asked, and what they have answered.

    ``others_until_seconds`` is when a lease of another instance ended last, as
    far as those who voted for us know.
    """

    number: int
    sent_at_seconds: float
    electorate: electorates.Electorate
    asked: tuple[ids.InstanceId, ...]
    refused: set[ids.InstanceId] = dataclasses.field(default_factory=set)
    voted: set[ids.InstanceId] = dataclasses.field(default_factory=set)
    refused_seconds: float = 0.0
    others_until_seconds: float = -math.inf
    over: bool = False

    def count(
        self,
        voter: ids.InstanceId,
        vote: lease_voter.Vote,
        *,
        now_seconds: float,
    ) -> bool:
        """Count a vote.

        :param voter: whose
        :param vote: the vote
        :param now_seconds: reading of the process clock
        :return: whether it made the lease ours
        """
        if vote.refused_seconds > 0:
            self.refused.add(voter)
            self.refused_seconds = max(
                self.refused_seconds, vote.refused_seconds
            )
            return False
        self.others_until_seconds = max(
            self.others_until_seconds, now_seconds - vote.others_seconds
        )
        self.voted.add(voter)
        self.over = self.electorate.decides(self.voted)
        return self.over

    def unanswered(self) -> set[ids.InstanceId]:
        """List who gave no vote.

        :return: those that were asked and neither promised nor refused
        """
        return {*self.asked} - self.voted - self.refused

    def is_lost(self) -> bool:
        """Tell whether too many refused.

        :return: whether those who haven't answered can't make a majority
        """
        voters = {*self.electorate.voters}
        return not self.electorate.decides(voters - self.refused)


class Ballot(abc.ABC):
    """Reaches the voters for the leases of one instance."""

    @abc.abstractmethod
    def ask(
        self,
        engine: str,
        data_centre: str,
        number: int,
        *,
        everybody: bool,
    ) -> Round:
        """Ask the voters for an engine.

        :param engine: the engine's name
        :param data_centre: where the engine is
        :param number: of the round, rising for each engine
        :param everybody: whether the voters elsewhere are asked, too, though
            all near ones are heard
        :return: the round, perhaps decided by our own vote
        """

    @abc.abstractmethod
    def missed(self, round_: Round) -> None:
        """Note that a round got too few votes in time.

        :param round_: the round
        """

    @abc.abstractmethod
    def free(self, engine: str, round_: Round) -> None:
        """Free the voters of what they promised us.

        :param engine: the engine's name
        :param round_: the last round
        """

    @abc.abstractmethod
    def majority_unheard_seconds(self, data_centre: str) -> float:
        """Tell how long ago enough voters to decide were heard.

        :param data_centre: where the engine is
        :return: seconds; 0 while they are
        """

    @abc.abstractmethod
    def place(self, data_centre: str) -> int:
        """Tell our place among the voters for an engine.

        :param data_centre: where the engine is
        :return: another number for each of them; for all others the next
        """

    @abc.abstractmethod
    def alone_after_seconds(self, data_centre: str) -> float:
        """Tell after how long without a majority we go on without the lease.

        :param data_centre: where the engine is
        :return: seconds, different for each voter; infinite for all others
        """

    @abc.abstractmethod
    def retry_seconds(self) -> float:
        """Draw when the next attempt may be made.

        :return: seconds from now
        """


class VotedLease(order_lease.OrderLease):
    """The lease of one engine, for the instance that owns it."""

    def __init__(
        self,
        *,
        engine: str,
        data_centre: str,
        ballot: Ballot,
        now_seconds: Callable[[], float],
        note: Callable[[Round, str, float], None],
    ) -> None:
        """Begin without the lease.

        :param engine: the engine's name
        :param data_centre: where the engine is
        :param ballot: reaches the voters
        :param now_seconds: reads a clock that counts suspension
        :param note: told when the lease was had, or couldn't be, after the
            opposite, and how long ago enough voters were heard
        """
        self.changed: Callable[[], None] = lambda: None
        self._engine = engine
        self.data_centre = data_centre
        self._ballot = ballot
        self._now_seconds = now_seconds
        self._note = note
        self._number = 0
        self._round: Round | None = None
        self._last_round_failed = False
        self._alone = False
        self._outcome = ""
        self._until_seconds = -math.inf
        self._others_until_seconds = -math.inf
        self._asked_at_seconds = -math.inf
        self._not_before_seconds = -math.inf
        self._refused_until_seconds = -math.inf

    def want(self) -> None:
        """Ask for the lease, or for its renewal, because orders are due."""
        now_seconds = self._now_seconds()
        if self._until_seconds - now_seconds > RENEW_SECONDS:
            return
        round_ = self._round
        if round_ is not None and not round_.over:
            if now_seconds - round_.sent_at_seconds < ANSWER_SECONDS:
                return
            self._give_round_up(round_, now_seconds)
        if now_seconds >= self._not_before_seconds:
            self._ask()

    def held(self, *, now_seconds: float) -> bool:
        """Tell whether orders may be given.

        :param now_seconds: reading of a clock that counts suspension
        :return: whether the lease is ours
        """
        return now_seconds < self._until_seconds

    def wait_seconds(self, *, now_seconds: float) -> float:
        """Tell how long the lease can't be had, as far as that is known.

        :param now_seconds: reading of a clock that counts suspension
        :return: seconds; 0 when it is held or nothing is known against it
        """
        if self.held(now_seconds=now_seconds) or self.alone():
            return 0.0
        if not self._last_round_failed:
            return 0.0
        unheard_seconds = self._unheard_seconds()
        if unheard_seconds > 0:
            # As long again as it has lasted is as good a guess as any.
            left_seconds = self._alone_after_seconds() - unheard_seconds
            return max(0.0, min(unheard_seconds, left_seconds))
        return max(0.0, self._refused_until_seconds - now_seconds)

    def alone(self) -> bool:
        """Tell whether those who could give the lease are gone, as it seems.

        :return: whether too few of them were heard for long
        """
        # Voters that are back promise nothing at first. Until they do, or
        # tell of another holder, all goes on as if they weren't.
        age_seconds = self._now_seconds() - self._asked_at_seconds
        self._alone = (self._alone and age_seconds <= STALE_SECONDS) or (
            self._last_round_failed
            and self._unheard_seconds() >= self._alone_after_seconds()
        )
        return self._alone

    def order_delay_seconds(self, *, now_seconds: float) -> float:
        """Tell how long an order must have been wanted before it is given.

        :param now_seconds: reading of a clock that counts suspension
        :return: seconds; 0 while the lease is held
        """
        if self.held(now_seconds=now_seconds):
            return 0.0
        place = self._ballot.place(self.data_centre)
        return RIVAL_SECONDS + RIVAL_STEP_SECONDS * place

    def others_until_seconds(self) -> float:
        """Tell when another instance's lease ended last.

        :return: reading of the process clock
        """
        return self._others_until_seconds

    def end(self) -> None:
        """Give the lease up: no order of ours is on its way any more."""
        self._until_seconds = -math.inf
        self._alone = False
        if self._round is not None:
            self._ballot.free(self._engine, self._round)
        self._round = None

    def take_vote(
        self, voter: ids.InstanceId, answer: messages.LeaseVote
    ) -> None:
        """Count a vote for the round that is under way.

        :param voter: whose
        :param answer: the vote
        """
        round_ = self._round
        if round_ is None or round_.over or answer.number != round_.number:
            return
        now_seconds = self._now_seconds()
        if now_seconds - round_.sent_at_seconds >= LEASE_SECONDS:
            return
        was_held = self.held(now_seconds=now_seconds)
        vote = lease_voter.Vote(answer.refused_seconds, answer.others_seconds)
        if round_.count(voter, vote, now_seconds=now_seconds):
            self._obtain(round_)
            if not was_held:
                self.changed()
            return
        if answer.others_seconds < 0:
            self._alone = False
        if round_.is_lost():
            self._give_round_up(round_, now_seconds)

    def _ask(self) -> None:
        self._number += 1
        self._asked_at_seconds = self._now_seconds()
        round_ = self._ballot.ask(
            self._engine,
            self.data_centre,
            self._number,
            everybody=self._last_round_failed,
        )
        self._round = round_
        if round_.over:
            self._obtain(round_)

    def _obtain(self, round_: Round) -> None:
        self._last_round_failed = False
        self._alone = False
        self._until_seconds = round_.sent_at_seconds + LEASE_SECONDS
        self._others_until_seconds = round_.others_until_seconds
        self._note_outcome(round_, "held", 0.0)

    def _give_round_up(self, round_: Round, now_seconds: float) -> None:
        round_.over = True
        self._last_round_failed = True
        retry_seconds = self._ballot.retry_seconds()
        self._not_before_seconds = now_seconds + retry_seconds
        self._ballot.missed(round_)
        if now_seconds < self._until_seconds + ORDER_SECONDS:
            return
        self._refused_until_seconds = now_seconds + round_.refused_seconds
        self._note_outcome(round_, "no_majority", self._unheard_seconds())
        self._ballot.free(self._engine, round_)

    def _alone_after_seconds(self) -> float:
        return self._ballot.alone_after_seconds(self.data_centre)

    def _unheard_seconds(self) -> float:
        return self._ballot.majority_unheard_seconds(self.data_centre)

    def _note_outcome(
        self, round_: Round, outcome: str, unheard_seconds: float
    ) -> None:
        # An instance that is cut off tries for as long as it wants orders.
        if outcome != self._outcome:
            self._note(round_, outcome, unheard_seconds)
        self._outcome = outcome


__all__ = [
    "ANSWER_SECONDS",
    "Ballot",
    "LEASE_SECONDS",
    "Round",
    "VotedLease",
]
