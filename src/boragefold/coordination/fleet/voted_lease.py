"""The lease of one engine, granted by a majority of voters.

It is requested when an order is due. It is a little shorter than the voters'
promises and counted from the time of the request, so that after a pause or a
network partition it has expired before another instance can obtain one.
"""

from __future__ import annotations

import abc
from collections.abc import Callable
import dataclasses
import math

from boragefold.coordination.fleet import lease_voter
from boragefold.coordination.fleet import order_lease
from boragefold.coordination.fleet import voter_sets
from boragefold.protocol import ids
from boragefold.protocol import order_lease_messages as messages

# Shorter than promises by the time in which an order arrives or is abandoned.
LEASE_SECONDS = 0.6
RENEW_SECONDS = 0.3
# Without a majority by then, the round fails and its voters are released: two
# instances that ask at the same time would each keep half of the voters.
ANSWER_SECONDS = 0.25
# Without the lease, an order is delayed until reports would show an order that
# the lease holder or another instance without a lease sent for the same
# requests.
UNLEASED_DELAY_SECONDS = 1.5
UNLEASED_DELAY_STEP_SECONDS = 0.75
# After this time without a round, only the current reachability counts.
ROUND_RETENTION_SECONDS = 2.0
# An order may still be on its way for this long after its lease expired.
ORDER_DELAY_SECONDS = 0.6


@dataclasses.dataclass(kw_only=True)
class Round:
    """One request for votes, and the answers so far.

    ``foreign_lease_end_seconds`` is when the last lease of another instance
    ended, as far as those who voted for this instance know.
    """

    number: int
    sent_at_seconds: float
    voter_set: voter_sets.VoterSet
    asked: tuple[ids.InstanceId, ...]
    refused: set[ids.InstanceId] = dataclasses.field(default_factory=set)
    voted: set[ids.InstanceId] = dataclasses.field(default_factory=set)
    refused_seconds: float = 0.0
    foreign_lease_end_seconds: float = -math.inf
    decided: bool = False

    def count(
        self,
        voter: ids.InstanceId,
        vote: lease_voter.Vote,
        *,
        now_seconds: float,
    ) -> bool:
        """Count a vote.

        :param voter: the voter
        :param vote: its vote
        :param now_seconds: reading of the process clock
        :return: whether there is a majority now
        """
        if vote.refused_seconds > 0:
            self.refused.add(voter)
            self.refused_seconds = max(
                self.refused_seconds, vote.refused_seconds
            )
            return False
        self.foreign_lease_end_seconds = max(
            self.foreign_lease_end_seconds, now_seconds - vote.others_seconds
        )
        self.voted.add(voter)
        self.decided = self.voter_set.is_majority(self.voted)
        return self.decided

    def unanswered(self) -> set[ids.InstanceId]:
        """List the voters that have not answered.

        :return: those that were asked and neither promised nor refused
        """
        return {*self.asked} - self.voted - self.refused

    def has_failed(self) -> bool:
        """Return whether a majority has become impossible.

        :return: whether those who haven't refused are no majority
        """
        voters = {*self.voter_set.voters}
        return not self.voter_set.is_majority(voters - self.refused)


class VoterClient(abc.ABC):
    """Exchanges messages with the voters on behalf of one instance."""

    @abc.abstractmethod
    def ask(
        self,
        engine: str,
        data_centre: str,
        number: int,
        *,
        include_remote: bool,
    ) -> Round:
        """Ask the voters for an engine.

        :param engine: the engine's name
        :param data_centre: the engine's data centre
        :param number: number of the round, rising for each engine
        :param include_remote: whether to ask voters of other data centres also
            when all local ones are reachable
        :return: the round, possibly decided by this instance's own vote
        """

    @abc.abstractmethod
    def handle_failure(self, round_: Round) -> None:
        """Handle a round that had no majority in time.

        :param round_: the round
        """

    @abc.abstractmethod
    def release(self, engine: str, round_: Round) -> None:
        """Release the promises that voters made to this instance.

        :param engine: the engine's name
        :param round_: the last round
        """

    @abc.abstractmethod
    def majority_lost_seconds(self, data_centre: str) -> float:
        """Return how long ago a majority of the voters was reachable.

        :param data_centre: the engine's data centre
        :return: seconds; 0 while a majority is reachable
        """

    @abc.abstractmethod
    def position(self, data_centre: str) -> int:
        """Return this instance's position among the voters for an engine.

        :param data_centre: the engine's data centre
        :return: unique for each voter; the number of voters for all others
        """

    @abc.abstractmethod
    def majority_timeout_seconds(self, data_centre: str) -> float:
        """Return how long without a majority orders require the lease.

        :param data_centre: the engine's data centre
        :return: seconds, different for each voter; infinite for all others
        """

    @abc.abstractmethod
    def retry_seconds(self) -> float:
        """Draw the delay before the next attempt.

        :return: seconds from now
        """


class VotedLease(order_lease.OrderLease):
    """The lease of one engine for the instance that owns the engine."""

    def __init__(
        self,
        *,
        engine: str,
        data_centre: str,
        voter_client: VoterClient,
        now_seconds: Callable[[], float],
        log_round: Callable[[Round, str, float], None],
    ) -> None:
        """Create it without the lease.

        :param engine: the engine's name
        :param data_centre: the engine's data centre
        :param voter_client: exchanges messages with the voters
        :param now_seconds: reads a clock that counts suspension
        :param log_round: logs each switch between obtained and failed rounds,
            with how long ago a majority of the voters was reachable
        """
        self.on_obtained: Callable[[], None] = lambda: None
        self._engine = engine
        self.data_centre = data_centre
        self._voter_client = voter_client
        self._now_seconds = now_seconds
        self._log_round = log_round
        self._number = 0
        self._round: Round | None = None
        self._last_round_failed = False
        self._majority_lost = False
        self._outcome = ""
        self._until_seconds = -math.inf
        self._foreign_lease_end_seconds = -math.inf
        self._asked_at_seconds = -math.inf
        self._retry_at_seconds = -math.inf
        self._refused_until_seconds = -math.inf

    def request(self) -> None:
        """Request the lease, or its renewal, because orders are due."""
        now_seconds = self._now_seconds()
        if self._until_seconds - now_seconds > RENEW_SECONDS:
            return
        round_ = self._round
        if round_ is not None and not round_.decided:
            if now_seconds - round_.sent_at_seconds < ANSWER_SECONDS:
                return
            self._fail_round(round_, now_seconds)
        if now_seconds >= self._retry_at_seconds:
            self._ask()

    def is_held(self, *, now_seconds: float) -> bool:
        """Return whether this instance holds the lease.

        :param now_seconds: reading of a clock that counts suspension
        :return: whether orders may be sent
        """
        return now_seconds < self._until_seconds

    def unavailable_seconds(self, *, now_seconds: float) -> float:
        """Return for how long the lease is known to be unavailable.

        :param now_seconds: reading of a clock that counts suspension
        :return: seconds; 0 when it is held or may be available
        """
        if self.is_held(now_seconds=now_seconds) or self.majority_lost():
            return 0.0
        if not self._last_round_failed:
            return 0.0
        unheard_seconds = self._majority_lost_seconds()
        if unheard_seconds > 0:
            # Estimates that the outage lasts as long again as it has so far.
            left_seconds = self._majority_timeout_seconds() - unheard_seconds
            return max(0.0, min(unheard_seconds, left_seconds))
        return max(0.0, self._refused_until_seconds - now_seconds)

    def majority_lost(self) -> bool:
        """Return whether a majority of the voters seems to be gone.

        :return: whether no majority has been reachable for a long time
        """
        # Voters that are reachable again may refuse at first. Until they
        # promise or report another holder, they are treated as gone.
        age_seconds = self._now_seconds() - self._asked_at_seconds
        self._majority_lost = (
            self._majority_lost and age_seconds <= ROUND_RETENTION_SECONDS
        ) or (
            self._last_round_failed
            and self._majority_lost_seconds()
            >= self._majority_timeout_seconds()
        )
        return self._majority_lost

    def order_delay_seconds(self, *, now_seconds: float) -> float:
        """Return how long an order must have been due before it is sent.

        :param now_seconds: reading of a clock that counts suspension
        :return: seconds; 0 while the lease is held
        """
        if self.is_held(now_seconds=now_seconds):
            return 0.0
        place = self._voter_client.position(self.data_centre)
        return UNLEASED_DELAY_SECONDS + UNLEASED_DELAY_STEP_SECONDS * place

    def foreign_lease_end_seconds(self) -> float:
        """Return when the last lease of another instance ended.

        :return: reading of the process clock
        """
        return self._foreign_lease_end_seconds

    def release(self) -> None:
        """Release the lease after the last order has been answered."""
        self._until_seconds = -math.inf
        self._majority_lost = False
        if self._round is not None:
            self._voter_client.release(self._engine, self._round)
        self._round = None

    def take_vote(
        self, voter: ids.InstanceId, answer: messages.LeaseVote
    ) -> None:
        """Count a vote for the current round.

        :param voter: the voter
        :param answer: its vote
        """
        round_ = self._round
        if round_ is None or round_.decided or answer.number != round_.number:
            return
        now_seconds = self._now_seconds()
        if now_seconds - round_.sent_at_seconds >= LEASE_SECONDS:
            return
        was_held = self.is_held(now_seconds=now_seconds)
        vote = lease_voter.Vote(answer.refused_seconds, answer.others_seconds)
        if round_.count(voter, vote, now_seconds=now_seconds):
            self._win_round(round_)
            if not was_held:
                self.on_obtained()
            return
        if answer.others_seconds < 0:
            self._majority_lost = False
        if round_.has_failed():
            self._fail_round(round_, now_seconds)

    def _ask(self) -> None:
        self._number += 1
        self._asked_at_seconds = self._now_seconds()
        round_ = self._voter_client.ask(
            self._engine,
            self.data_centre,
            self._number,
            include_remote=self._last_round_failed,
        )
        self._round = round_
        if round_.decided:
            self._win_round(round_)

    def _win_round(self, round_: Round) -> None:
        self._last_round_failed = False
        self._majority_lost = False
        self._until_seconds = round_.sent_at_seconds + LEASE_SECONDS
        self._foreign_lease_end_seconds = round_.foreign_lease_end_seconds
        self._log_outcome(round_, "held", 0.0)

    def _fail_round(self, round_: Round, now_seconds: float) -> None:
        round_.decided = True
        self._last_round_failed = True
        retry_seconds = self._voter_client.retry_seconds()
        self._retry_at_seconds = now_seconds + retry_seconds
        self._voter_client.handle_failure(round_)
        if now_seconds < self._until_seconds + ORDER_DELAY_SECONDS:
            return
        self._refused_until_seconds = now_seconds + round_.refused_seconds
        self._log_outcome(round_, "no_majority", self._majority_lost_seconds())
        self._voter_client.release(self._engine, round_)

    def _majority_timeout_seconds(self) -> float:
        return self._voter_client.majority_timeout_seconds(self.data_centre)

    def _majority_lost_seconds(self) -> float:
        return self._voter_client.majority_lost_seconds(self.data_centre)

    def _log_outcome(
        self, round_: Round, outcome: str, unheard_seconds: float
    ) -> None:
        # Logged once, as an instance without a majority retries all the time.
        if outcome != self._outcome:
            self._log_round(round_, outcome, unheard_seconds)
        self._outcome = outcome


__all__ = [
    "ANSWER_SECONDS",
    "LEASE_SECONDS",
    "Round",
    "VotedLease",
    "VoterClient",
]
