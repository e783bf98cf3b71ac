"""Streams taken up at instances that missed where these began."""

from __future__ import annotations

import itertools
import signal

import pytest

from tests.fakes import versioned_engines

PLAY_SECONDS = 12.0
KILL_SECONDS = 4.0
STILL_SECONDS = 2.5
REPLACE_SECONDS = 0.6
# Instances are back when callers return.
RETURN_SECONDS = 0.8
MIN_STREAMS = 60
OTHER = {"v1": "v2", "v2": "v1"}
REFUSED = {"nobody", "silent_keepers"}


@pytest.fixture
def fleet(tmp_path):
    machines = versioned_engines.VersionedMachines(tmp_path)
    try:
        yield machines.start()
    finally:
        machines.stop()


def kill_all(machines, over, *, before=lambda: None):
    numbers = range(len(machines.gateways))
    while not over.wait(KILL_SECONDS):
        before()
        for number in numbers:
            machines.signal(number, signal.SIGKILL)
        for number in numbers:
            machines.wait(number)
            machines.start_gateway(number)


def leave_one_version(machines):
    # The engines of the old version have just left as all are killed.
    for name, version in machines.versions.items():
        if version == "v1":
            machines.publish(name, state="draining")
            machines.remove(f"servers/{name}")


def stop_one(machines, over):
    names = itertools.cycle(machines.versions)
    for number in itertools.cycle(range(len(machines.gateways))):
        if over.wait(0.5):
            return
        machines.signal(number, signal.SIGSTOP)
        for name in itertools.islice(names, 2):
            over.wait(REPLACE_SECONDS)
            machines.kill_engine(name)
            machines.revive_engine(name, OTHER[machines.versions[name]])
        over.wait(STILL_SECONDS - 2 * REPLACE_SECONDS)
        machines.signal(number, signal.SIGCONT)
        for name in machines.versions:
            machines.break_streams(name)


def assert_unmixed(streams):
    mixed = versioned_engines.list_mixed(streams)
    assert not mixed, (len(mixed), len(streams), mixed[0])
    assert len(streams) > MIN_STREAMS
    assert all(each.joined_well for each in streams)


def take_ups(machines):
    return [
        line
        for number in range(len(machines.gateways))
        for line in machines.lines(number)
        if line["event"] == "stream_taken_up"
    ]


@pytest.mark.parametrize(
    "old_leaves", [False, True], ids=["both_serve", "old_left"]
)
def test_no_stream_goes_on_whose_beginning_died_with_all_instances(
    fleet, old_leaves, monkeypatch
):
    monkeypatch.setattr(versioned_engines, "RETRY_SECONDS", RETURN_SECONDS)
    streams = versioned_engines.play(
        fleet,
        seed=5,
        seconds=PLAY_SECONDS,
        disturb=lambda over: kill_all(
            fleet,
            over,
            before=lambda: leave_one_version(fleet) if old_leaves else None,
        ),
    )
    assert_unmixed(streams)
    refused = [line for line in take_ups(fleet) if not line["allowed"]]
    assert refused
    assert {line["outcome"] for line in refused} <= REFUSED
    # Nobody waits until a deadline to learn what is known before.
    assert max(line["took_seconds"] for line in refused) < 1.5


@pytest.mark.parametrize("store", [200, 503], ids=["store", "no_store"])
def test_an_instance_that_stood_still_joins_no_streams_of_two_versions(
    fleet, store
):
    fleet.store_status(store)
    streams = versioned_engines.play(
        fleet,
        seed=6,
        seconds=PLAY_SECONDS,
        disturb=lambda over: stop_one(fleet, over),
    )
    assert_unmixed(streams)
    assert versioned_engines.list_taken_up(streams)
