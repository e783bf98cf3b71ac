"""Streams of engines of several software versions, as processes."""

from __future__ import annotations

import itertools
import signal

import pytest

from tests.fakes import versioned_engines

BREAK_SECONDS = 0.7
KILL_SECONDS = 2.0
AWAY_SECONDS = 0.4
PLAY_SECONDS = 12.0
LONG_PLAY_SECONDS = 18.0
MIN_STREAMS = 80
# Of the share of new streams that begin.
MIN_WENT_ON = 0.9
MIN_TAKEN_UP = 12


@pytest.fixture
def fleet(tmp_path):
    started = []

    def start(**options):
        machines = versioned_engines.VersionedMachines(tmp_path, **options)
        started.append(machines)
        return machines.start()

    yield start
    for machines in started:
        machines.stop()


def _break_streams(machines, over) -> None:
    for name in itertools.cycle(machines.versions):
        if over.wait(BREAK_SECONDS / len(machines.versions)):
            return
        machines.break_streams(name)


def _kill_gateways(machines, over) -> None:
    for number in itertools.cycle(range(len(machines.gateways))):
        if over.wait(KILL_SECONDS):
            return
        machines.signal(number, signal.SIGKILL)
        machines.wait(number)
        machines.start_gateway(number)


def _revive_engines(machines, over) -> None:
    # Each at the version that the other engines began with.
    other = {"v1": "v2", "v2": "v1"}
    for name in itertools.cycle(machines.versions):
        if over.wait(KILL_SECONDS / 2):
            return
        machines.kill_engine(name)
        over.wait(AWAY_SECONDS)
        machines.revive_engine(name, other[machines.versions[name]])


def _assert_one_version_each(streams) -> None:
    mixed = versioned_engines.list_mixed(streams)
    assert not mixed, (len(mixed), len(streams), mixed[0])
    assert len(streams) > MIN_STREAMS
    assert all(each.joined_well for each in streams)


def test_a_broken_stream_goes_on_at_its_software_version(fleet) -> None:
    # A broken stream went on wherever there was room.
    machines = fleet()
    streams = versioned_engines.play(
        machines,
        seed=1,
        seconds=PLAY_SECONDS,
        disturb=lambda over: _break_streams(machines, over),
    )
    _assert_one_version_each(streams)


def test_a_stream_taken_up_goes_on_at_its_software_version(fleet) -> None:
    # A caller's next attempt went wherever there was room.
    machines = fleet(gateways=4)
    streams = versioned_engines.play(
        machines,
        seed=2,
        seconds=LONG_PLAY_SECONDS,
        disturb=lambda over: _kill_gateways(machines, over),
    )
    _assert_one_version_each(streams)
    taken_up = versioned_engines.list_taken_up(streams)
    assert len(taken_up) >= MIN_TAKEN_UP
    assert versioned_engines.went_on_share(
        streams
    ) >= MIN_WENT_ON * versioned_engines.began_share(streams)


def test_an_entry_of_a_former_life_lets_no_stream_go_on(fleet) -> None:
    # Engines start again under their names at another version while the store
    # is away, so that the instances have the entries of the lives before.
    machines = fleet()
    machines.store_status(503)
    streams = versioned_engines.play(
        machines,
        seed=3,
        seconds=PLAY_SECONDS,
        disturb=lambda over: _revive_engines(machines, over),
    )
    _assert_one_version_each(streams)


def test_a_stream_of_an_unnamed_attempt_mixes_nothing(fleet) -> None:
    # Callers may leave out which of their attempts began the stream.
    machines = fleet(gateways=4)
    streams = versioned_engines.play(
        machines,
        seed=4,
        seconds=PLAY_SECONDS,
        names_attempts=False,
        disturb=lambda over: _kill_gateways(machines, over),
    )
    _assert_one_version_each(streams)
    assert versioned_engines.list_taken_up(streams)
