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
    # A leaked key is revoked. A caller that has it may use any instance, and
    # the requirement is that all of them refuse it within seconds.
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
    # The network drops one message in five, or duplicates messages. The
    # steward's push is not retried; without the deputy and the comparisons an
    # instance would keep the old value until the next change.
    scene = scenes.Scene(**network)
    for round_number in range(10, 20):
        revision = scene.put_store(round_number)
        assert scene.settle_on(revision) < 3.0
        assert scene.loads_in_flight() == {round_number}
        scene.network.run_for(1.0)


@pytest.mark.parametrize("role", [peers.Role.STEWARD, peers.Role.DEPUTY])
def test_a_killed_reader_holds_up_no_change(role: peers.Role) -> None:
    # The instance that reads the platform fails, and the view still lists it
    # for three seconds, during which a change is published.
    scene = scenes.Scene()
    for data_centre in DATA_CENTRES:
        scene.fleet.kill(scene.reader(data_centre, role))
    revision = scene.put_store(9)
    assert scene.settle_on(revision) < 3.0
    scene.network.run_for(5.0)
    assert scene.settle_on(scene.put_store(10)) < 0.5


def test_the_deputy_alone_brings_a_change_to_a_large_data_centre() -> None:
    # The steward of fifteen instances has just failed. One comparison a
    # second with one peer takes four seconds to reach all of them, which is
    # too long for a revoked key.
    scene = scenes.Scene(data_centres=("east",), instances=15)
    scene.fleet.kill(scene.reader("east", peers.Role.STEWARD))
    assert scene.settle_on(scene.put_store(9)) < 1.0


def test_an_invalid_subtree_stays_out_while_the_others_go_on() -> None:
    # An operator publishes an invalid store document and a valid data centre
    # document. Every instance must reject the first, apply the second and
    # show the operator the reason.
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
    # The platform is restored from a backup that is ten minutes old and
    # returns the previous limit. Its next changes reuse revisions, and may
    # exceed the readers' cursor before they read again. These changes must
    # come into force nevertheless.
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
    # The platform has several replicas, and the readers of one data centre
    # switch to one that lags by a minute. Its instances must keep the newest
    # value, which they already have, and still receive the next one.
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
    # Two data centres lose the platform while the third can still read it. A
    # change must reach them through their peers.
    scene = scenes.Scene()
    scene.cut_from_platform("west", "south")
    scene.network.run_for(30.0)
    assert scene.settle_on(scene.put_store(9)) < 5.0


def test_news_spreads_over_many_data_centres_in_few_rounds() -> None:
    # Only one data centre of sixteen can read the platform. If each one
    # compares with one other every two seconds, the last one waits too long.
    names = [f"dc{number}" for number in range(16)]
    scene = scenes.Scene(data_centres=names, instances=2)
    scene.cut_from_platform(*names[1:])
    scene.network.run_for(30.0)
    took_seconds = [
        scene.settle_on(scene.put_store(limit)) for limit in (9, 10, 11)
    ]
    assert sum(took_seconds) < 9.0, took_seconds


def test_news_of_the_time_of_a_cut_is_made_up_for_without_the_platform():
    # A data centre is partitioned off while a change is made. It reaches the
    # other data centres again but not the platform, and no later change is
    # published that would trigger another push.
    scene = scenes.Scene()
    scene.cut("west")
    scene.cut_from_platform("west")
    revision = scene.put_store(9)
    scene.network.run_for(60.0)
    scene.network.is_cut = lambda one, other: False
    assert scene.settle_on(revision) < 8.0


def test_a_data_centre_cut_off_from_all_keeps_what_it_had() -> None:
    # A data centre loses the platform and the other data centres. It keeps
    # the last valid configuration, reports the age of its data and catches up
    # when the partition ends.
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
    # A device between a reader and the platform drops the state of the open
    # connection, so the long poll is never answered and no error is seen.
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
