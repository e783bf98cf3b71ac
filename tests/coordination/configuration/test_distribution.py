from __future__ import annotations

import math

import pytest

from boragefold.coordination.configuration import peers
from boragefold.standins import example_tree
from tests.fakes import configuration as scenes

DATA_CENTRES = scenes.DATA_CENTRES
KEYS = scenes.KEYS
STORE = scenes.STORE


def test_a_withdrawn_key_stops_working_everywhere_at_once() -> None:
    # A key leaks and is withdrawn. A caller that holds it may come in
    # through any instance; the brief allows seconds.
    scene = scenes.Scene()
    digest = example_tree.digest(scene.example.keys["quadro/workspace-0"])
    told: list[str] = []
    for instance in scene.fleet.instances.values():
        instance.catalogue.subscribe_withdrawn(told.append)
    keys = scene.example.tree[KEYS]
    withdrawn = {**keys[digest], "state": "withdrawn"}
    scene.platform.put(KEYS, {**keys, digest: withdrawn})
    took_seconds = scene.settle(
        lambda instance: instance.catalogue.workspace_for_key(digest) is None
    )
    assert took_seconds < 0.5
    assert told == [digest] * 9


@pytest.mark.parametrize(
    "network", [{"loss": 0.2}, {"doubling": 0.5}, {"loss": 0.1, "doubling": 1}]
)
def test_lost_and_doubled_messages_delay_a_change_by_little(network) -> None:
    # A switch drops one message in five, or doubles them. The steward's
    # push is not repeated; without the deputy and the comparisons an
    # instance would go on with the old value until the next change.
    scene = scenes.Scene(**network)
    for round_number in range(10, 20):
        revision = scene.put_store(round_number)
        assert scene.settle_on(revision) < 3.0
        assert scene.loads_in_flight() == {round_number}
        scene.network.run_for(1.0)


@pytest.mark.parametrize("role", [peers.Role.STEWARD, peers.Role.DEPUTY])
def test_a_killed_reader_holds_up_no_change(role: peers.Role) -> None:
    # The instance that reads the platform dies, and the view goes on with
    # it for three seconds. A change comes in just then.
    scene = scenes.Scene()
    for data_centre in DATA_CENTRES:
        scene.fleet.kill(scene.reader(data_centre, role))
    revision = scene.put_store(9)
    assert scene.settle_on(revision) < 3.0
    scene.network.run_for(5.0)
    assert scene.settle_on(scene.put_store(10)) < 0.5


def test_the_deputy_alone_brings_a_change_to_a_large_data_centre() -> None:
    # Fifteen instances, and the one that passes changes on has just died.
    # Comparing with one other instance a second takes four seconds to reach
    # all; a withdrawn key may not work for that long.
    scene = scenes.Scene(data_centres=("east",), instances=15)
    scene.fleet.kill(scene.reader("east", peers.Role.STEWARD))
    assert scene.settle_on(scene.put_store(9)) < 1.0


def test_an_invalid_subtree_stays_out_while_the_others_go_on() -> None:
    # An operator publishes a store without limits and a good data centre
    # document. The first must not come into force on any instance, nor keep
    # the second from it, and the operator must be able to see why.
    scene = scenes.Scene()
    before = scene.loads_in_flight()
    bad = scene.platform.put(STORE, {"loads_per_second": 0})
    weights = scene.example.tree["common/data_centres"]
    good = scene.platform.put(
        "common/data_centres",
        {**weights, "north": {"region": "region-1", "weight": 2.0}},
    )
    took_seconds = scene.settle(
        lambda instance: instance.revision("common/data_centres") == good
    )
    assert took_seconds < 0.5
    assert scene.loads_in_flight() == before
    for instance in scene.fleet.instances.values():
        rejection = instance.configuration.status().rejections[STORE]
        assert rejection.revision == bad
        assert rejection.rejected.kind == "bad_type"
        outcomes = [r.outcome for r in instance.history.of_path(STORE)]
        assert outcomes == ["accepted", "rejected"]


@pytest.mark.parametrize(
    ("down_seconds", "changes_while_down"), [(2.0, 0), (60.0, 8)]
)
def test_a_platform_back_with_an_older_copy_undoes_nothing(
    down_seconds: float, changes_while_down: int
) -> None:
    # The platform is restored from a backup of ten minutes ago and shows the
    # former limit again. Its next changes use revisions that were used
    # before, and may have passed the readers' place in the sequence before
    # these see it again. They have to come into force all the same.
    scene = scenes.Scene()
    backup = scene.platform.snapshot()
    newest = max(scene.put_store(limit) for limit in (9, 10, 11))
    assert scene.settle_on(newest) < 1.0
    scene.platform.faults.down = True
    scene.network.run_for(down_seconds)
    scene.platform.restore(backup)
    path = "common/models"
    document = {"m": {"context_tokens": 1}}
    if changes_while_down:
        other = scene.platform.put(path, document)
    for _ in range(changes_while_down):
        scene.platform.put("common/data_centres", document)
    scene.platform.faults.down = False
    scene.network.run_for(15.0)
    if not changes_while_down:
        other = scene.platform.put(path, document)
    assert other <= newest
    took_seconds = scene.settle(
        lambda instance: instance.revision(path) == other
    )
    assert took_seconds < 3.0
    assert scene.loads_in_flight() == {11}


def test_readers_of_a_lagging_copy_do_not_go_back() -> None:
    # The service answers from several copies; one data centre's readers are
    # moved to a copy that is a minute behind. Its instances had the newest
    # value already, and must keep it and go on to get the next.
    scene = scenes.Scene()
    scene.settle_on(scene.put_store(9))
    for instance in scene.fleet.of("west"):
        instance.reader.lag_seconds = 60.0
    scene.network.run_for(30.0)
    assert scene.loads_in_flight() == {9}
    revision = scene.put_store(10)
    assert scene.settle_on(revision) < 5.0
    scene.network.run_for(90.0)
    assert scene.loads_in_flight() == {10}


def test_news_travels_over_peers_where_the_platform_cannot_be_seen() -> None:
    # Two data centres lose the platform; the third still sees it. A change
    # has to reach them over their peers.
    scene = scenes.Scene()
    scene.cut_from_platform("west", "south")
    scene.network.run_for(30.0)
    assert scene.settle_on(scene.put_store(9)) < 5.0


def test_news_spreads_over_many_data_centres_in_few_rounds() -> None:
    # One data centre of sixteen sees the platform. Each comparing with one
    # other each two seconds takes long to reach the last.
    names = [f"dc{number}" for number in range(16)]
    scene = scenes.Scene(data_centres=names, instances=2)
    scene.cut_from_platform(*names[1:])
    scene.network.run_for(30.0)
    took_seconds = [
        scene.settle_on(scene.put_store(limit)) for limit in (9, 10, 11)
    ]
    assert sum(took_seconds) < 9.0, took_seconds


def test_news_of_the_time_of_a_cut_is_made_up_for_without_the_platform():
    # A data centre is cut off while a change is made. The cut between the
    # data centres heals, that from the platform doesn't, and nothing new is
    # published that could bring the change along.
    scene = scenes.Scene()
    scene.cut("west")
    scene.cut_from_platform("west")
    revision = scene.put_store(9)
    scene.network.run_for(60.0)
    scene.network.is_cut = lambda one, other: False
    assert scene.settle_on(revision) < 8.0


def test_a_data_centre_cut_off_from_all_keeps_what_it_had() -> None:
    # A data centre loses the platform and the other data centres. It goes on
    # with the last good configuration, tells how old its knowledge is, and
    # catches up when the cut heals.
    scene = scenes.Scene()
    scene.settle_on(scene.put_store(9))
    scene.cut("west")
    scene.cut_from_platform("west")
    revision = scene.put_store(10)
    scene.network.run_for(60.0)
    for instance in scene.fleet.of("west"):
        assert instance.ready
        assert instance.tree.document(STORE)["loads_in_flight"] == 9
        assert instance.configuration.status().heard_seconds_ago > 55
    scene.network.is_cut = lambda one, other: False
    scene.cut_from_platform()
    assert scene.settle_on(revision) < 10.0


def test_a_silent_watch_is_given_up_and_repeated() -> None:
    # Something between a reader and the platform loses track of the open
    # connection. The watch is never answered, and nothing says so.
    scene = scenes.Scene()
    scene.platform.faults.silent = True
    revision = scene.put_store(9)
    scene.network.run_for(10.0)
    scene.platform.faults.silent = False
    assert scene.settle_on(revision, 40.0) < 40.0


def test_a_long_outage_of_the_platform_costs_few_calls() -> None:
    scene = scenes.Scene()
    scene.platform.faults.down = True
    scene.network.run_for(60.0)
    before = sum(
        instance.counters.value("platform_calls", "tree")
        for instance in scene.fleet.instances.values()
    )
    scene.network.run_for(60.0)
    after = sum(
        instance.counters.value("platform_calls", "tree")
        for instance in scene.fleet.instances.values()
    )
    assert 0 < after - before <= 6 * 60 / 4
    assert not math.isinf(scene.settle_on(1))
