"""Tests leases of engines over a simulated network in virtual time."""

from __future__ import annotations

import math
import random

import pytest

from boragefold.coordination.fleet import lease_voter
from boragefold.coordination.fleet import order_turns
from boragefold.coordination.fleet import voted_lease
from boragefold.protocol import order_lease_messages as messages
from tests.fakes import leases as fakes
from tests.fakes import network as networks

ENGINE = "e1"
STEP_SECONDS = 0.05


class Owner:
    """An instance that requests the lease while ``wants`` is set."""

    def __init__(self, group, number):
        self.group = group
        self.wants = False
        self.start(number, started_before_seconds=60.0)

    def start(self, number, *, started_before_seconds=0.0):
        network = self.group.network
        self.node = network.start("dc-a", f"10.0.0.{number}:70")
        self.leases = fakes.voted(
            self.node,
            self.group.voters,
            rng=random.Random(number),
            started_before_seconds=started_before_seconds,
        )
        self.lease = self.leases.lease(
            ENGINE, "dc-a", on_obtained=lambda: None
        )
        self.node.timers.every(
            period_seconds=STEP_SECONDS, callback=self._look
        )

    def _look(self):
        if self.wants:
            self.lease.request()

    @property
    def holds(self):
        now_seconds = self.group.network.clock.now_seconds()
        return not self.node.paused and self.lease.is_held(
            now_seconds=now_seconds
        )


class Group:
    """The instances of a data centre, all of them voters."""

    def __init__(self, seed, instances=3):
        self.network = networks.Network(seed=seed, loss=0.05, doubling=0.05)
        self.network.run_for(100.0)
        self.owners = []
        for number in range(instances):
            self.owners.append(Owner(self, number))
        self.highest = 0
        self.network.after_step = self._count

    def now(self):
        return self.network.clock.now_seconds()

    def voters(self):
        return [owner.node.self_id for owner in self.owners]

    def cut_off(self, *numbers):
        addresses = {
            self.owners[number].node.self_id.address for number in numbers
        }
        self.network.is_cut = lambda one, other: (
            (one.address in addresses) != (other.address in addresses)
        )

    def heal(self):
        self.network.is_cut = lambda one, other: False

    def _count(self):
        holding = sum(owner.holds for owner in self.owners)
        self.highest = max(self.highest, holding)


def promises(voter, asker, number, *, now_seconds):
    vote = voter.vote(asker, ENGINE, number, now_seconds=now_seconds)
    return vote.refused_seconds == 0


@pytest.fixture
def group():
    return Group(seed=1)


def test_all_that_want_orders_never_hold_a_lease_together() -> None:
    # Partitions, pauses and restarts make two instances believe that they own
    # the engine.
    for seed in range(20):
        group = Group(seed, instances=random.Random(seed).randint(2, 5))
        rng = random.Random(seed)
        for owner in group.owners:
            owner.wants = True
        for _ in range(25):
            number = rng.randrange(len(group.owners))
            owner = group.owners[number]
            fault = rng.choice(("cut", "heal", "pause", "restart", "end"))
            if fault == "cut":
                group.cut_off(number)
            elif fault == "heal":
                group.heal()
            elif fault == "pause" and not owner.node.paused:
                group.network.pause(owner.node)
                group.network.run_for(rng.uniform(0.1, 3.0))
                early = rng.random() < 0.5
                group.network.resume(owner.node, timers_first=early)
            elif fault == "restart":
                group.network.kill(owner.node)
                owner.start(number)
            else:
                owner.lease.release()
            group.network.run_for(rng.uniform(0.0, 1.0))
        assert group.highest == 1


def test_the_larger_side_of_a_cut_goes_on(group) -> None:
    # An owner that is cut off loses the lease before another one gets it.
    former, other, _ = group.owners
    former.wants = True
    group.network.run_for(1.0)
    assert former.holds
    group.cut_off(0)
    other.wants = True
    group.network.run_for(4.0)
    assert other.holds
    assert not former.holds
    assert group.highest == 1


def test_a_lease_that_was_given_up_is_had_at_once(group) -> None:
    # Otherwise the engine gets no orders for the rest of the lease at each
    # handover.
    former, other, _ = group.owners
    group.network.loss = 0.0
    former.wants = True
    group.network.run_for(1.0)
    former.wants = False
    former.lease.release()
    group.network.run_for(0.01)
    other.wants = True
    group.network.run_for(2 * STEP_SECONDS)
    assert other.holds


def test_an_end_that_comes_late_frees_no_later_promise() -> None:
    # Otherwise an instance that released an engine and took it over again
    # loses its lease to the delayed message.
    voter = lease_voter.LeaseVoter(started_at_seconds=0.0)
    network = networks.Network(seed=1)
    one = network.start("dc-a", "10.0.0.1:70").self_id
    other = network.start("dc-a", "10.0.0.2:70").self_id
    assert promises(voter, one, 1, now_seconds=10.0)
    assert promises(voter, one, 2, now_seconds=10.1)
    voter.release(one, ENGINE, 1, now_seconds=10.2)
    assert not promises(voter, other, 1, now_seconds=10.2)
    voter.release(one, ENGINE, 2, now_seconds=10.3)
    assert promises(voter, other, 2, now_seconds=10.3)


def test_a_voter_reports_the_previous_holder() -> None:
    # Otherwise a new holder relies on a report that predates the last orders
    # of the previous one.
    voter = lease_voter.LeaseVoter(started_at_seconds=0.0)
    network = networks.Network(seed=1)
    one = network.start("dc-a", "10.0.0.1:70").self_id
    other = network.start("dc-a", "10.0.0.2:70").self_id
    vote = voter.vote(one, ENGINE, 1, now_seconds=10.0)
    assert vote.others_seconds == math.inf
    voter.release(one, ENGINE, 1, now_seconds=10.2)
    vote = voter.vote(other, ENGINE, 1, now_seconds=10.5)
    assert vote.others_seconds == pytest.approx(0.3)
    vote = voter.vote(other, ENGINE, 2, now_seconds=10.6)
    assert vote.others_seconds == pytest.approx(0.4)


def test_a_lost_holder_costs_no_quiet_time_beyond_its_promise() -> None:
    # Otherwise the next holder observes the count until the promise has ended,
    # and then has to observe it for another quiet time.
    voter = lease_voter.LeaseVoter(started_at_seconds=0.0)
    network = networks.Network(seed=1)
    one = network.start("dc-a", "10.0.0.1:70").self_id
    other = network.start("dc-a", "10.0.0.2:70").self_id
    assert promises(voter, one, 1, now_seconds=10.0)
    ends_at_seconds = 10.0 + lease_voter.PROMISE_SECONDS
    vote = voter.vote(other, ENGINE, 1, now_seconds=ends_at_seconds)
    assert vote.refused_seconds == 0
    assert vote.others_seconds >= order_turns.QUIET_SECONDS


def test_a_process_that_has_started_promises_nothing_yet() -> None:
    # It doesn't know the promises of its predecessor.
    voter = lease_voter.LeaseVoter(started_at_seconds=10.0)
    asker = networks.Network(seed=1).start("dc-a", "10.0.0.1:70").self_id
    assert not promises(voter, asker, 1, now_seconds=10.5)
    free_at_seconds = 10.0 + lease_voter.PROMISE_SECONDS
    assert promises(voter, asker, 2, now_seconds=free_at_seconds)


def test_a_promise_outlasts_the_lease_by_the_delay_of_an_order() -> None:
    # An order that is sent at the end of a lease must arrive in this time.
    margin_seconds = lease_voter.PROMISE_SECONDS - voted_lease.LEASE_SECONDS
    assert margin_seconds >= 0.6


def test_a_voter_that_doesnt_answer_is_tried_on_a_new_connection(
    group,
) -> None:
    # After a network partition the connections still look open on both sides,
    # and no vote arrives.
    owner, *voters = group.owners
    reconnected = {}
    for each in group.owners:
        reconnected[each] = []
        each.node.link.reconnect = reconnected[each].append
    group.cut_off(0)
    owner.wants = True
    group.network.run_for(0.5)
    voter_ids = {voter.node.self_id for voter in voters}
    assert voter_ids == {*reconnected[owner]}
    group.heal()
    group.network.run_for(1.0)
    assert owner.holds
    told = {peer for voter in voters for peer in reconnected[voter]}
    assert told == {owner.node.self_id}


def test_a_failed_renewal_frees_no_voter_while_an_order_is_on_its_way(
    group,
) -> None:
    # Otherwise another instance sends orders while the last order of the lease
    # may still arrive.
    owner, *voters = group.owners
    group.network.loss = group.network.doubling = 0.0
    freed = []
    owner.leases.release = lambda engine, round_: freed.append(group.now())
    owner.wants = True
    group.network.run_for(0.5)
    cut_at_seconds = group.now()
    group.cut_off(0)
    group.network.run_for(2.0)
    lasts_seconds = voted_lease.LEASE_SECONDS + voted_lease.ORDER_DELAY_SECONDS
    assert freed
    assert freed[0] - cut_at_seconds >= lasts_seconds - 2 * STEP_SECONDS - (
        voted_lease.RENEW_SECONDS
    )


def test_an_engine_that_moved_is_voted_for_where_it_is_now(group) -> None:
    # Otherwise voters of the former and of the new data centre can each give
    # an instance the lease.
    owner = group.owners[0]
    asked = []
    voters = owner.leases._voters
    owner.leases._voters = lambda centre: (
        asked.append(centre) or voters(centre)
    )
    owner.leases.lease(ENGINE, "dc-b", on_obtained=lambda: None).request()
    assert asked == ["dc-b"]


def test_orders_need_the_lease_again_when_voters_are_reachable(group) -> None:
    # Otherwise the first order long after a partition is sent without asking
    # for votes.
    owner = group.owners[0]
    unheard_seconds = [100.0]
    owner.leases._majority_lost_seconds = lambda among: unheard_seconds[0]
    group.cut_off(0)
    owner.wants = True
    group.network.run_for(1.0)
    owner.wants = False
    assert owner.lease.majority_lost()
    unheard_seconds[0] = 0.0
    group.network.run_for(voted_lease.ROUND_RETENTION_SECONDS + 1.0)
    assert not owner.lease.majority_lost()


def test_instances_without_a_majority_proceed_one_after_another(group) -> None:
    # Otherwise instances that are cut off from each other all begin to send
    # orders at the same time.
    waits_seconds = {
        owner.leases.majority_timeout_seconds("dc-a") for owner in group.owners
    }
    assert len(waits_seconds) == len(group.owners)


def test_votes_of_a_round_that_was_given_up_dont_count(group) -> None:
    # Otherwise a late vote grants a lease on a promise that was released.
    owner, voter, _ = group.owners
    group.cut_off(0)
    owner.wants = True
    group.network.run_for(1.0)
    owner.wants = False
    vote = messages.LeaseVote(1, ENGINE, 0.0, math.inf)
    owner.node.receive(voter.node.self_id, vote)
    assert not owner.holds
