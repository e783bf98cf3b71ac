from __future__ import annotations

import pytest

from boragefold.coordination import rights
from boragefold.protocol import ids
from boragefold.protocol import view_messages as messages
from tests.fakes import fleet as fleets
from tests.fakes import network as networks

LONG_SECONDS = 12.0


def settled_fleet(
    count: int, *, seed: int = 1, loss: float = 0.0
) -> tuple[networks.Network, fleets.Fleet, list[fleets.Instance]]:
    network = networks.Network(seed=seed, loss=loss)
    fleet = fleets.Fleet(network=network)
    instances = fleet.start_all("a", count)
    fleet.seconds_until_agreed("a", 20.0)
    network.run_for(LONG_SECONDS)
    return network, fleet, instances


def leader_of(fleet: fleets.Fleet) -> fleets.Instance:
    (found,) = [
        instance
        for instance in fleet.instances.values()
        if instance.views.is_leader
    ]
    return found


def cut_between(
    network: networks.Network, *groups: set[fleets.Instance]
) -> None:
    side = {
        instance.self_id.address: number
        for number, group in enumerate(groups)
        for instance in group
    }

    def is_cut(one: ids.InstanceId, other: ids.InstanceId) -> bool:
        return side.get(one.address, 0) != side.get(other.address, 0)

    network.is_cut = is_cut


def end_cut(network: networks.Network) -> None:
    network.is_cut = lambda one, other: False


@pytest.mark.parametrize("count", [2, 3, 7])
def test_a_killed_leader_is_replaced(count: int) -> None:
    # The leader is killed with SIGKILL. Workspaces whose rights it held get no
    # new tokens until the others have agreed on a view without it. It sent
    # nothing before it died, so only the expiry of its promises reveals it.
    _, fleet, _ = settled_fleet(count)
    fleet.kill(leader_of(fleet))
    assert fleet.seconds_until_agreed("a", 5.0) < 5.0


@pytest.mark.parametrize("count", [2, 3, 7])
def test_a_killed_member_is_removed(count: int) -> None:
    # An ordinary member is killed with SIGKILL. Nobody may use its rights
    # until its lease has expired; then one change moves them all.
    _, fleet, _ = settled_fleet(count)
    leader = leader_of(fleet)
    member = next(one for one in fleet.instances.values() if one is not leader)
    fleet.kill(member)
    assert fleet.seconds_until_agreed("a", 5.0) < 3.0


@pytest.mark.parametrize("count", [2, 3, 7])
@pytest.mark.parametrize("is_leader", [True, False])
def test_a_planned_leave_is_fast(count: int, is_leader: bool) -> None:
    # An instance is stopped for a new release. It hands over its rights before
    # it exits, so nobody waits for a lease and callers see almost no gap.
    network, fleet, _ = settled_fleet(count)
    leaver = next(
        one
        for one in fleet.instances.values()
        if one.views.is_leader == is_leader
    )
    gap_seconds = 0.0
    leaver.views.leave()
    start_seconds = network.clock.now_seconds()
    while not leaver.views.has_left:
        network.run_for(0.005)
        assert network.clock.now_seconds() - start_seconds < 1.0
    fleet.kill(leaver)
    gap_seconds = fleet.seconds_until_agreed("a", 1.0)
    assert network.clock.now_seconds() - start_seconds < 1.0
    assert gap_seconds < 0.5


def test_a_paused_holder_finds_its_lease_ended() -> None:
    # An instance is suspended for a minute and the others take its rights. It
    # resumes in the middle of a handler that is about to act, before any timer
    # or message.
    network, fleet, instances = settled_fleet(3)
    paused = instances[0]
    network.pause(paused.node)
    network.run_for(60.0)
    assert len(fleet.valid("a")) == 2
    assert paused.views.valid_view() is None
    assert not paused.views.holds("rate/quadro/drafts")
    assert paused.views.valid_for_seconds() == 0.0


def test_a_handler_that_sleeps_loses_its_lease() -> None:
    # A handler reads the view, then the process is stopped for three seconds
    # and resumes in the same handler. No timer has run in between.
    network, _, instances = settled_fleet(2)
    views = instances[1].views
    assert views.valid_view() is not None
    network.clock.move_to(network.clock.now_seconds() + 3.0)
    assert views.valid_view() is None


@pytest.mark.parametrize("timers_first", [True, False])
@pytest.mark.parametrize("pause_seconds", [1.0, 2.5, 4.0, 30.0])
def test_a_paused_steward_wakes_up(
    timers_first: bool, pause_seconds: float
) -> None:
    # The leader is paused and the others elect a new one. When it resumes,
    # either its overdue timers run first, or the queued messages, among them
    # heartbeats that would renew the leases that it granted.
    network, fleet, _ = settled_fleet(5)
    leader = leader_of(fleet)
    network.pause(leader.node)
    network.run_for(pause_seconds)
    network.resume(leader.node, timers_first=timers_first)
    fleet.check()
    fleet.seconds_until_agreed("a", 5.0)


def test_a_minority_with_the_leader_stops() -> None:
    # A partition separates the leader and one member from three members. The
    # member hears its leader all the time; a lease that outlasts the leader's
    # promises would duplicate the rights that the three take over.
    network, fleet, instances = settled_fleet(5)
    leader = leader_of(fleet)
    follower = next(one for one in instances if one is not leader)
    minority = {leader, follower}
    cut_between(network, minority, set(instances) - minority)
    network.run_for(8.0)
    valid = {instance for instance, _ in fleet.valid("a")}
    assert valid == set(instances) - minority
    end_cut(network)
    fleet.seconds_until_agreed("a", 5.0)


@pytest.mark.parametrize("kept", [0, 1])
def test_an_isolated_instance_of_a_pair_stops(kept: int) -> None:
    # One of two instances is isolated: neither its peer nor the platform
    # reaches it, and the list drops it. Its peer continues; it must not,
    # though it can't distinguish this from a failed platform and a dead peer.
    network, fleet, instances = settled_fleet(2)
    isolated = instances[1 - kept]
    cut_between(network, {instances[kept]}, {isolated})
    isolated.platform_up = False
    network.run_for(3.0)
    fleet.set_listed(isolated.self_id.address, "a", False)
    network.run_for(8.0)
    (valid,) = fleet.valid("a")
    assert valid[0] is instances[kept]
    end_cut(network)
    fleet.set_listed(isolated.self_id.address, "a", True)
    isolated.platform_up = True
    fleet.seconds_until_agreed("a", 8.0)


def test_a_pair_that_is_cut_keeps_one_side() -> None:
    # The link between two instances fails; the platform reaches both, so no
    # list helps. The longer-standing one continues by its extra half vote;
    # without it both would stop.
    network, fleet, instances = settled_fleet(2)
    cut_between(network, {instances[0]}, {instances[1]})
    network.run_for(10.0)
    ((instance, view),) = fleet.valid("a")
    assert view.members == (instance.self_id,)
    end_cut(network)
    fleet.seconds_until_agreed("a", 5.0)


def test_a_pair_without_the_platform_stops_when_one_dies() -> None:
    # The platform fails, then one of two instances is killed. The other can't
    # know whether it is isolated, so it stops until the list is back. While
    # both are alive, they need no platform.
    network, fleet, instances = settled_fleet(2)
    fleet.platform_up = False
    network.run_for(60.0)
    assert len(fleet.valid("a")) == 2
    fleet.kill(instances[1])
    network.run_for(10.0)
    assert not fleet.valid("a")
    fleet.platform_up = True
    assert fleet.seconds_until_agreed("a", 8.0) < 5.0


def test_a_majority_needs_no_platform() -> None:
    # The platform is down for long when one of three instances is killed. They
    # need no list: a majority removes the dead one and continues.
    network, fleet, instances = settled_fleet(3)
    fleet.platform_up = False
    network.run_for(60.0)
    fleet.kill(instances[0])
    fleet.seconds_until_agreed("a", 5.0)


def test_a_restart_remembers_nothing() -> None:
    # A process is killed and restarted at once at the same address, and the
    # list never changes. The new process must not be taken for the old one,
    # or it would hold rights that nobody granted it.
    _, fleet, instances = settled_fleet(3)
    address = instances[1].self_id.address
    fleet.kill(instances[1], listed=True)
    restarted = fleet.start("a", address)
    assert restarted.views.valid_view() is None
    fleet.seconds_until_agreed("a", 6.0)


def test_a_mass_restart_founds_a_new_epoch() -> None:
    # Every instance is killed and restarted within a second, so nobody knows
    # the last view. The new one must still be later than it, and must not
    # begin before the leases of the old one have expired.
    network, fleet, _ = settled_fleet(5)
    before = fleet.agreed("a")
    assert before is not None
    for instance in list(fleet.instances.values()):
        fleet.kill(instance, listed=True)
        fleet.start("a", instance.self_id.address)
        network.run_for(0.1)
    assert fleet.seconds_until_agreed("a", 10.0) > 2.0
    after = fleet.agreed("a")
    assert after is not None and after.epoch > before.epoch


def test_lists_that_differ_found_one_view() -> None:
    # A data centre starts. One instance's copy of the list lags three seconds
    # more than the other's, so for a while their lists differ, and the first
    # sees only itself.
    network = networks.Network(seed=4)
    fleet = fleets.Fleet(network=network)
    fleet.start("a", "a-0:7000", 3.5)
    network.run_for(0.5)
    fleet.start("a", "a-1:7000", 0.5)
    fleet.start("a", "a-2:7000", 1.5)
    fleet.seconds_until_agreed("a", 15.0)


def test_a_one_way_cut_is_healed() -> None:
    # One member receives nothing, but its messages arrive. Its heartbeats
    # show it alive, but no answer reaches it and its lease expires.
    network, fleet, instances = settled_fleet(3)
    unreachable = instances[2].self_id.address
    network.is_cut = lambda one, other: other.address == unreachable
    network.run_for(5.0)
    assert instances[2].views.valid_view() is None
    end_cut(network)
    fleet.seconds_until_agreed("a", 5.0)


def test_loss_doubling_and_delay_keep_one_view() -> None:
    # For minutes a faulty switch loses a tenth of all messages, duplicates a
    # tenth and delays some by a quarter of a second.
    network = networks.Network(
        seed=5, loss=0.1, doubling=0.1, delay_seconds=(0.001, 0.25)
    )
    fleet = fleets.Fleet(network=network)
    fleet.start_all("a", 5)
    fleet.seconds_until_agreed("a", 30.0)
    network.run_for(120.0)
    assert fleet.valid("a")


def test_a_suspect_is_reported_before_it_is_removed() -> None:
    # The connection to a member is dead while a new one would work. The
    # transport is told in time to replace it, and the member stays.
    network, fleet, instances = settled_fleet(3)
    silent = next(one for one in instances if not one.views.is_leader)
    leader = leader_of(fleet)
    before = fleet.agreed("a")
    cut_between(network, {silent}, set(instances) - {silent})
    network.run_for(1.6)
    assert leader.suspects == [silent.self_id]
    assert silent.suspects == [leader.self_id]
    end_cut(network)
    network.run_for(2.0)
    assert fleet.agreed("a") == before


def test_a_late_renewal_does_not_prolong_a_lease() -> None:
    # Each message takes 0.7 s for a while. Counted from the arrival of the
    # renewal, the lease would outlast the leader's record of it, and the
    # member's rights would move while it still uses them.
    network, _, instances = settled_fleet(3)
    member = next(one for one in instances if not one.views.is_leader)
    network.delay_seconds = (0.7, 0.7)
    network.run_for(2.0)
    for _ in range(100):
        assert member.views.valid_for_seconds() < 0.7
        network.run_for(0.05)


def test_a_change_right_after_an_election_waits_for_old_leases() -> None:
    # The leader's messages no longer reach three members, while theirs reach
    # it, so it removes nobody. The three elect a new leader, which at once
    # admits a waiting instance. It doesn't know the lease that the old leader
    # granted its last follower, so that lease must have expired.
    network, fleet, instances = settled_fleet(5)
    leader = leader_of(fleet)
    follower = next(one for one in instances if one is not leader)
    near = {leader.self_id, follower.self_id}
    new = fleet.start("a", "a-new:7000")

    def is_cut(one: ids.InstanceId, other: ids.InstanceId) -> bool:
        if follower.self_id in (one, other) or new.self_id == one:
            return bool({one, other} - near) and not near.isdisjoint(
                (one, other)
            )
        return one in near and other not in near

    network.is_cut = is_cut
    network.run_for(8.0)
    assert len(fleet.valid("a")) == 4


def test_a_candidate_is_refused_while_the_leader_is_promised() -> None:
    # A member that is partitioned from the leader alone asks the others to
    # elect it. They still hear the leader and have promised to follow nobody
    # else; two leaders would change the view twice.
    network, fleet, instances = settled_fleet(5)
    leader = leader_of(fleet)
    candidate, voter = (one for one in instances[:3] if one is not leader)
    view = fleet.agreed("a")
    assert view is not None
    prepare = messages.Prepare(
        messages.ViewId(view.epoch, view.number),
        99,
        network.clock.now_seconds(),
    )
    network.post(candidate.self_id, voter.self_id, prepare)
    network.run_for(3.0)
    assert voter.counters.value("view_promises_refused", "promised") == 1
    assert leader_of(fleet) is leader
    assert fleet.agreed("a") == view


def test_a_change_without_its_leader_is_finished() -> None:
    # A member leaves; all accept the next view, and the leader is killed
    # before it reports the decision. It may have told an unreachable instance,
    # so the next leader has to complete this change and no other.
    network, fleet, instances = settled_fleet(5)
    leader = leader_of(fleet)
    leaver = next(one for one in instances if one is not leader)
    leaver.views.leave()
    acknowledged = {
        one.self_id for one in instances if one not in (leader, leaver)
    }
    network.is_cut = lambda one, other: (
        one in acknowledged and other == leader.self_id
    )
    network.run_for(0.05)
    fleet.kill(leader)
    end_cut(network)
    network.run_for(5.0)
    assert leaver.views.has_left
    fleet.kill(leaver)
    fleet.seconds_until_agreed("a", 5.0)
    recovered = [
        one.counters.value("view_changes", "recovered") for one in instances
    ]
    assert sum(recovered) == 1


def test_an_unlisted_instance_is_not_taken_in() -> None:
    # An instance asks to join before the list shows it. If it were admitted
    # and then left alone in the view, no reader of the list would find it.
    network, fleet, _ = settled_fleet(3)
    hidden = fleet.start("a", "a-hidden:7000")
    fleet.set_listed("a-hidden:7000", "a", False)
    network.run_for(5.0)
    assert hidden.views.valid_view() is None
    fleet.set_listed("a-hidden:7000", "a", True)
    fleet.seconds_until_agreed("a", 5.0)


def test_many_join_in_few_changes() -> None:
    # Twenty instances join a data centre of three at once. One change for each
    # of them would stop everyone's rights twenty times.
    network, fleet, _ = settled_fleet(3)
    before = fleet.agreed("a")
    for index in range(20):
        fleet.start("a", f"a-new-{index:02d}:7000")
    fleet.seconds_until_agreed("a", 10.0)
    after = fleet.agreed("a")
    assert before is not None and after is not None
    assert after.number - before.number <= 5


@pytest.mark.parametrize("count", [1, 2, 3, 4, 5, 6, 7, 8, 9, 15])
def test_a_quiet_data_centre_has_no_gap(count: int) -> None:
    # Without any fault, leases expired briefly when heartbeats and the
    # promises that they renew came too slowly for the leases, depending on
    # their phases.
    network, fleet, instances = settled_fleet(count)
    for _ in range(300):
        network.run_for(0.1)
        for instance in instances:
            assert instance.views.valid_for_seconds() > 0.4


def test_subscribers_hear_of_the_end() -> None:
    # A component that acts on a right has to stop when the lease expires, also
    # when it doesn't query it.
    network, fleet, instances = settled_fleet(3)
    heard: list[rights.View | None] = []
    instances[2].views.subscribe(heard.append)
    cut_between(network, {instances[2]}, set(instances[:2]))
    network.run_for(5.0)
    end_cut(network)
    network.run_for(5.0)
    assert heard[0] is None
    assert heard[-1] == fleet.agreed("a")


def test_other_data_centres_learn_of_a_restart() -> None:
    # An instance in one data centre is replaced. The others address it by its
    # incarnation, so they have to learn of the new one without contacting
    # every instance of the fleet.
    network = networks.Network(seed=6)
    fleet = fleets.Fleet(network=network)
    for data_centre in "abc":
        fleet.start_all(data_centre, 3)
    network.run_for(LONG_SECONDS)
    old = next(iter(fleet.instances.values()))
    fleet.kill(old, listed=True)
    new = fleet.start("a", old.self_id.address)
    network.run_for(30.0)
    for instance in fleet.instances.values():
        directory = instance.views.directory()
        assert set(directory) == {"a", "b", "c"}
        assert new.self_id in directory["a"].members
        assert old.self_id not in directory["a"].members
