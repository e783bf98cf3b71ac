"""The leases under which an instance gives engines orders.

Engines refuse an order that another instance's order came before, unless it
asks for what holds already: two that both believe they own an engine can't be
told apart by it. So an instance gives orders only while more than half of the
engine's voters have promised the engine to it, or seem to be gone for long.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import functools
import math
import random

from boragefold.coordination.fleet import electorate as electorates
from boragefold.coordination.fleet import lease_voter
from boragefold.coordination.fleet import order_lease
from boragefold.coordination.fleet import voted_lease
import boragefold.coordination.link as links
from boragefold.protocol import ids
from boragefold.protocol import order_lease_messages as messages
from boragefold.telemetry import decision_log
from boragefold.timing import timers as timing

# Spread, as those that ask together would ask together again.
RETRY_SECONDS = (0.05, 0.3)
# Longer than most restarts and cuts: a rival that is cut off from us can't be
# told from one that has ended, and not all of its orders show in time.
ALONE_SECONDS = 15.0
# Of several that are cut off from each other, the later ones see the orders of
# the first and stay away.
ALONE_STEP_SECONDS = 4.0


class OrderLeases(voted_lease.Ballot):
    """The leases of one instance, and its votes for those of others."""

    def __init__(
        self,
        *,
        link: links.PeerLink,
        timers: timing.TimerService,
        voters: Callable[[str], electorates.Electorate],
        majority_unheard_seconds: Callable[[electorates.Electorate], float],
        rng: random.Random,
        log: decision_log.DecisionLog,
        started_at_seconds: float,
        is_heard: Callable[[ids.InstanceId], bool] = lambda voter: True,
    ) -> None:
        """Begin without leases and promises.

        :param link: to the peers
        :param timers: the process clock
        :param voters: lists the voters for the engines of a data centre
        :param majority_unheard_seconds: tells how long ago enough voters to
            decide were heard
        :param rng: spreads repeated attempts
        :param log: of this process
        :param started_at_seconds: when this process started
        :param is_heard: tells whether an instance is heard
        """
        self._link = link
        self._timers = timers
        self._voters = voters
        self._majority_unheard_seconds = majority_unheard_seconds
        self._rng = rng
        self._log = log
        self._is_heard = is_heard
        self._unanswered: set[str] = set()
        self._voter = lease_voter.LeaseVoter(
            started_at_seconds=started_at_seconds
        )
        self._leases: dict[str, voted_lease.VotedLease] = {}
        link.subscribe(messages.LeaseAsk, self._take_ask)
        link.subscribe(messages.LeaseVote, self._take_vote)
        link.subscribe(messages.LeaseEnd, self._take_end)

    def lease(
        self, engine: str, data_centre: str, *, changed: Callable[[], None]
    ) -> order_lease.OrderLease:
        """Find the lease of an engine, or make it.

        :param engine: the engine's name
        :param data_centre: where the engine is
        :param changed: called when votes made the lease ours
        :return: the lease
        """
        lease = self._leases.get(engine)
        if lease is None:
            # Kept where the engine has another owner: a vote for a round of
            # the time before must not count for a later one.
            lease = voted_lease.VotedLease(
                engine=engine,
                data_centre=data_centre,
                ballot=self,
                now_seconds=self._timers.now_seconds,
                note=functools.partial(self._note, engine),
            )
            self._leases[engine] = lease
        lease.data_centre = data_centre
        lease.changed = changed
        return lease

    def ask(
        self,
        engine: str,
        data_centre: str,
        number: int,
        *,
        everybody: bool,
    ) -> voted_lease.Round:
        """Ask the voters for an engine.

        :param engine: the engine's name
        :param data_centre: where the engine is
        :param number: of the round, rising for each engine
        :param everybody: whether the voters elsewhere are asked, too, though
            all near ones are heard
        :return: the round, perhaps decided by our own vote
        """
        now_seconds = self._timers.now_seconds()
        electorate = self._voters(data_centre)
        everybody = everybody or not electorate.near_heard
        round_ = voted_lease.Round(
            number=number,
            sent_at_seconds=now_seconds,
            electorate=electorate,
            asked=tuple(self._others(electorate, everybody=everybody)),
        )
        # Our own promise binds us, too, whether it counts or not.
        self_id = self._link.self_id
        vote = self._voter.vote(
            self_id, engine, number, now_seconds=now_seconds
        )
        if not round_.count(self_id, vote, now_seconds=now_seconds):
            unanswered = tuple(sorted(self._unanswered))
            body = messages.LeaseAsk(number, engine, unanswered)
            self._link.send_all(to=round_.asked, body=body)
        return round_

    def missed(self, round_: voted_lease.Round) -> None:
        """Note that a round got too few votes in time.

        :param round_: the round
        """
        # A connection that was cut looks open for long after the cut.
        for voter in filter(self._is_heard, round_.unanswered()):
            self._unanswered.add(voter.address)
            self._link.reconnect(voter)

    def free(self, engine: str, round_: voted_lease.Round) -> None:
        """Free the voters of what they promised us.

        :param engine: the engine's name
        :param round_: the last round
        """
        body = messages.LeaseEnd(round_.number, engine)
        self._take_end(self._link.self_id, body)
        self._link.send_all(to=round_.asked, body=body)

    def majority_unheard_seconds(self, data_centre: str) -> float:
        """Tell how long ago enough voters to decide were heard.

        :param data_centre: where the engine is
        :return: seconds; 0 while they are
        """
        return self._majority_unheard_seconds(self._voters(data_centre))

    def place(self, data_centre: str) -> int:
        """Tell our place among the voters for an engine.

        :param data_centre: where the engine is
        :return: another number for each of them; for all others the next
        """
        voters = self._voters(data_centre).voters
        self_id = self._link.self_id
        return voters.index(self_id) if self_id in voters else len(voters)

    def alone_after_seconds(self, data_centre: str) -> float:
        """Tell after how long without a majority we go on without the lease.

        :param data_centre: where the engine is
        :return: seconds, different for each voter; infinite for all others
        """
        if self._link.self_id not in self._voters(data_centre).voters:
            return math.inf
        return ALONE_SECONDS + ALONE_STEP_SECONDS * self.place(data_centre)

    def retry_seconds(self) -> float:
        """Draw when the next attempt may be made.

        :return: seconds from now
        """
        return self._rng.uniform(*RETRY_SECONDS)

    def _others(
        self, electorate: electorates.Electorate, *, everybody: bool
    ) -> Iterator[ids.InstanceId]:
        # A data centre whose instances are all there decides by itself.
        voters = electorate.voters if everybody else electorate.near
        return (voter for voter in voters if voter != self._link.self_id)

    def _take_ask(
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

    def _take_vote(
        self, sender: ids.InstanceId, body: messages.LeaseVote
    ) -> None:
        self._unanswered.discard(sender.address)
        lease = self._leases.get(body.engine)
        if lease is not None:
            lease.take_vote(sender, body)

    def _take_end(
        self, sender: ids.InstanceId, body: messages.LeaseEnd
    ) -> None:
        self._voter.end(
            sender,
            body.engine,
            body.number,
            now_seconds=self._timers.now_seconds(),
        )

    def _note(
        self,
        engine: str,
        round_: voted_lease.Round,
        outcome: str,
        unheard_seconds: float,
    ) -> None:
        now_seconds = self._timers.now_seconds()
        others_seconds = now_seconds - round_.others_until_seconds
        self._log.write(
            "order_lease",
            engine=engine,
            number=round_.number,
            near=[voter.address for voter in round_.electorate.near],
            far=[voter.address for voter in round_.electorate.far],
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


__all__ = [
    "OrderLeases",
]
