"""The leases that allow an instance to send orders to engines.

An engine refuses an order that expects an outdated order count, unless the
order asks for the current state. So the engine can't tell apart two instances
that both believe they own it. An instance therefore sends orders only while a
majority of the engine's voters have promised it the engine, or after no
majority has been reachable for a long time.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import functools
import math
import random

from boragefold.coordination.fleet import lease_voter
from boragefold.coordination.fleet import members as members_module
from boragefold.coordination.fleet import order_lease
from boragefold.coordination.fleet import voted_lease
from boragefold.coordination.fleet import voter_sets
import boragefold.coordination.link as links
from boragefold.protocol import ids
from boragefold.protocol import order_lease_messages as messages
from boragefold.telemetry import decision_log
from boragefold.timing import timers as timing

# Random, so that instances whose requests collided don't collide again.
RETRY_SECONDS = (0.05, 0.3)
# Longer than most restarts and network partitions: an instance on the other
# side of a partition can't be told from one that has ended, and not all of its
# orders show in reports in time.
NO_MAJORITY_SECONDS = 15.0
# Staggers instances that are cut off from each other: the later ones see the
# orders of the first and send none.
NO_MAJORITY_STEP_SECONDS = 4.0


class OrderLeases(voted_lease.VoterClient):
    """The leases of one instance, and its votes for other instances."""

    def __init__(
        self,
        *,
        link: links.PeerLink,
        timers: timing.TimerService,
        voters: Callable[[str], voter_sets.VoterSet],
        majority_lost_seconds: Callable[[voter_sets.VoterSet], float],
        rng: random.Random,
        log: decision_log.DecisionLog,
        started_at_seconds: float,
        is_reachable: Callable[[ids.InstanceId], bool] = lambda voter: True,
    ) -> None:
        """Create it without leases and promises.

        :param link: sends messages to the other instances
        :param timers: the process clock
        :param voters: lists the voters for the engines of a data centre
        :param majority_lost_seconds: returns how long ago a majority of
            the voters was reachable
        :param rng: randomizes the delay of retries
        :param log: decision log of this process
        :param started_at_seconds: when this process started
        :param is_reachable: returns whether an instance is reachable
        """
        self._link = link
        self._timers = timers
        self._voters = voters
        self._majority_lost_seconds = majority_lost_seconds
        self._rng = rng
        self._log = log
        self._is_reachable = is_reachable
        self._unresponsive: set[str] = set()
        self._voter = lease_voter.LeaseVoter(
            started_at_seconds=started_at_seconds
        )
        self._leases: dict[str, voted_lease.VotedLease] = {}
        link.subscribe(messages.LeaseAsk, self._handle_ask)
        link.subscribe(messages.LeaseVote, self._handle_vote)
        link.subscribe(messages.LeaseEnd, self._handle_end)

    def lease(
        self, engine: str, data_centre: str, *, on_obtained: Callable[[], None]
    ) -> order_lease.OrderLease:
        """Return the lease of an engine, creating it if there is none.

        :param engine: the engine's name
        :param data_centre: the engine's data centre
        :param on_obtained: called when votes gave this instance the lease
        :return: the lease
        """
        lease = self._leases.get(engine)
        if lease is None:
            # Kept while another instance owns the engine, so that round
            # numbers keep rising: an old vote must not count for a new round.
            lease = voted_lease.VotedLease(
                engine=engine,
                data_centre=data_centre,
                voter_client=self,
                now_seconds=self._timers.now_seconds,
                log_round=functools.partial(self._log_round, engine),
            )
            self._leases[engine] = lease
        lease.data_centre = data_centre
        lease.on_obtained = on_obtained
        return lease

    def ask(
        self,
        engine: str,
        data_centre: str,
        number: int,
        *,
        include_remote: bool,
    ) -> voted_lease.Round:
        """Ask the voters for an engine.

        :param engine: the engine's name
        :param data_centre: the engine's data centre
        :param number: number of the round, rising for each engine
        :param include_remote: whether to ask voters of other data centres also
            when all local ones are reachable
        :return: the round, possibly decided by this instance's own vote
        """
        now_seconds = self._timers.now_seconds()
        voter_set = self._voters(data_centre)
        include_remote = include_remote or not voter_set.local_reachable
        round_ = voted_lease.Round(
            number=number,
            sent_at_seconds=now_seconds,
            voter_set=voter_set,
            asked=tuple(
                self._other_voters(voter_set, include_remote=include_remote)
            ),
        )
        # This instance's own promise binds it even if it is not a voter.
        self_id = self._link.self_id
        vote = self._voter.vote(
            self_id, engine, number, now_seconds=now_seconds
        )
        if not round_.count(self_id, vote, now_seconds=now_seconds):
            unanswered = tuple(sorted(self._unresponsive))
            body = messages.LeaseAsk(number, engine, unanswered)
            self._link.send_all(to=round_.asked, body=body)
        return round_

    def handle_failure(self, round_: voted_lease.Round) -> None:
        """Reconnect to the voters that did not answer a failed round.

        :param round_: the round
        """
        # Connections can look open long after a network partition broke them.
        for voter in filter(self._is_reachable, round_.unanswered()):
            self._unresponsive.add(voter.address)
            self._link.reconnect(voter)

    def release(self, engine: str, round_: voted_lease.Round) -> None:
        """Release the promises that voters made to this instance.

        :param engine: the engine's name
        :param round_: the last round
        """
        body = messages.LeaseEnd(round_.number, engine)
        self._handle_end(self._link.self_id, body)
        self._link.send_all(to=round_.asked, body=body)

    def majority_lost_seconds(self, data_centre: str) -> float:
        """Return how long ago a majority of the voters was reachable.

        :param data_centre: the engine's data centre
        :return: seconds; 0 while a majority is reachable
        """
        return self._majority_lost_seconds(self._voters(data_centre))

    def position(self, data_centre: str) -> int:
        """Return this instance's position among the voters for an engine.

        :param data_centre: the engine's data centre
        :return: unique for each voter; the number of voters for all others
        """
        voters = self._voters(data_centre).voters
        self_id = self._link.self_id
        return voters.index(self_id) if self_id in voters else len(voters)

    def majority_timeout_seconds(self, data_centre: str) -> float:
        """Return how long without a majority orders require the lease.

        :param data_centre: the engine's data centre
        :return: seconds, different for each voter; infinite for all others
        """
        if self._link.self_id not in self._voters(data_centre).voters:
            return math.inf
        return NO_MAJORITY_SECONDS + NO_MAJORITY_STEP_SECONDS * self.position(
            data_centre
        )

    def retry_seconds(self) -> float:
        """Draw the delay before the next attempt.

        :return: seconds from now
        """
        return self._rng.uniform(*RETRY_SECONDS)

    def _other_voters(
        self, voter_set: voter_sets.VoterSet, *, include_remote: bool
    ) -> Iterator[ids.InstanceId]:
        # All voters of the engine's data centre together are a majority.
        voters = voter_set.voters if include_remote else voter_set.local
        return (voter for voter in voters if voter != self._link.self_id)

    def _handle_ask(
        self, sender: ids.InstanceId, body: messages.LeaseAsk
    ) -> None:
        if self._link.self_id.address in body.unanswered:
            self._link.reconnect(sender)
        vote = self._voter.vote(
            sender,
            body.engine,
            body.number,
            now_seconds=self._timers.now_seconds(),
        )
        answer = messages.LeaseVote(body.number, body.engine, *vote)
        self._link.send(to=sender, body=answer)

    def _handle_vote(
        self, sender: ids.InstanceId, body: messages.LeaseVote
    ) -> None:
        self._unresponsive.discard(sender.address)
        lease = self._leases.get(body.engine)
        if lease is not None:
            lease.take_vote(sender, body)

    def _handle_end(
        self, sender: ids.InstanceId, body: messages.LeaseEnd
    ) -> None:
        self._voter.release(
            sender,
            body.engine,
            body.number,
            now_seconds=self._timers.now_seconds(),
        )

    def _log_round(
        self,
        engine: str,
        round_: voted_lease.Round,
        outcome: str,
        unheard_seconds: float,
    ) -> None:
        now_seconds = self._timers.now_seconds()
        others_seconds = now_seconds - round_.foreign_lease_end_seconds
        self._log.write(
            "order_lease",
            engine=engine,
            number=round_.number,
            near=[voter.address for voter in round_.voter_set.local],
            far=[voter.address for voter in round_.voter_set.remote],
            asked=len(round_.asked),
            voted=sorted(voter.address for voter in round_.voted),
            others_seconds=(
                None
                if math.isinf(others_seconds)
                else round(others_seconds, 3)
            ),
            refused_seconds=round(round_.refused_seconds, 3),
            majority_unheard_seconds=round(unheard_seconds, 3),
            took_seconds=round(now_seconds - round_.sent_at_seconds, 3),
            outcome=outcome,
        )


def connect(
    *,
    link: links.PeerLink,
    members: members_module.Members,
    timers: timing.TimerService,
    rng: random.Random,
    log: decision_log.DecisionLog,
) -> OrderLeases:
    """Create the leases of an instance whose voters are its peers.

    :param link: to the peers
    :param members: the other instances
    :param timers: the process clock
    :param rng: randomizes the delay of retries
    :param log: decision log of this process
    :return: the leases, of which none is held
    """
    voters = voter_sets.Voters(self_id=link.self_id, members=members)
    return OrderLeases(
        link=link,
        timers=timers,
        voters=voters.for_data_centre,
        majority_lost_seconds=voters.majority_lost_seconds,
        rng=rng,
        log=log,
        started_at_seconds=timers.now_seconds(),
        is_reachable=voters.is_reachable,
    )


__all__ = [
    "OrderLeases",
    "connect",
]
