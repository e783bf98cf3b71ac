"""Incremental reports between a hub and its receivers."""

from __future__ import annotations

import itertools
import random

from boragefold.coordination.fleet import engine_diffs
from boragefold.coordination.fleet import member as member_module
from boragefold.coordination.fleet import reports
from boragefold.protocol import ids
from boragefold.protocol import peer_messages as messages

ONE = ids.InstanceId("dc-a", "10.1.0.1:70", "one")
OTHER = ids.InstanceId("dc-a", "10.1.0.2:70", "other")


def engine(backlog_seconds=0.0, adapters=(), copies=()):
    return messages.EngineStatus(
        "e0",
        ("base",),
        adapters,
        backlog_seconds,
        0.0,
        0,
        0.0,
        copies=copies,
    )


def member(number, engines=(), leaving=False, said_milliseconds=500):
    instance = ids.InstanceId("dc-a", f"10.1.1.{number}:70", f"i{number}")
    beat = messages.Beat(0.5, leaving, {}, engines, ())
    return member_module.Member(
        instance=instance,
        beat=beat,
        started_at_seconds=0.0,
        engines_uptime_milliseconds=said_milliseconds,
    )


class Hub:
    """A report writer, and a reader for each of its receivers."""

    def __init__(self, numbering=None):
        self.writer = reports.ReportWriter(
            numbering=numbering or itertools.count(), first_hand=True
        )
        self.readers = {ONE: reports.ReportReader()}

    def tell(self, members, lost=()):
        told = {}
        for report, receivers in self.writer.write(
            members, list(self.readers), now_seconds=1.0
        ):
            for receiver in receivers:
                if receiver not in lost:
                    told[receiver] = self.readers[receiver].apply(
                        report, now_seconds=1.0
                    )
        return told


def test_unchanged_state_isnt_reported_again() -> None:
    hub = Hub()
    members = [member(number) for number in range(200)]
    assert len(hub.tell(members)[ONE]) == 200
    assert hub.tell(members)[ONE] == []
    changed = [member(0, leaving=True), *members[1:]]
    ((instance, told),) = hub.tell(changed)[ONE]
    assert instance == members[0].instance
    assert told.standing.leaving and told.engines is None


def test_only_the_changes_of_an_engine_are_reported() -> None:
    # If engines were sent in full, each load of one adapter would repeat all
    # that the engines hold.
    hub = Hub()
    held = (("base", "a1"), ("base", "a2"))
    hub.tell([member(0, (engine(0.0, held, (7, 8)),))])
    changed = engine(0.24, (("base", "a3"), ("base", "a2")), (7, 9))
    ((report, _),) = hub.writer.write(
        [member(0, (changed,))], [ONE], now_seconds=1.0
    )
    (told,) = report.told
    assert told.engines is None
    (change,) = told.changes
    assert change.load.backlog_milliseconds == 240
    assert change.dropped_adapters == (0,)
    assert change.new_adapters == (("base", "a3"),)
    assert (change.dropped_copies, change.new_copies) == ((1,), (9,))


def test_reader_and_writer_agree_after_many_changes() -> None:
    # A change refers to positions in the list that its receivers have.
    rng = random.Random(3)
    hub = Hub()
    known = ()
    for _ in range(200):
        engines = tuple(
            engine(
                rng.choice([0.0, 0.02]),
                tuple(("base", f"a{n}") for n in rng.sample(range(9), 5)),
                tuple(rng.sample(range(40), 30)),
            )
            for _ in range(2)
        )
        for _, told in hub.tell([member(0, engines)])[ONE]:
            known = (
                told.engines
                if told.engines is not None
                else engine_diffs.patch(known, told.changes)
            )
        for one, other in zip(known, engines, strict=True):
            assert set(one.adapters) == set(other.adapters)
            assert set(one.copies) == set(other.copies)
            assert one.backlog_seconds == other.backlog_seconds


def test_changes_behind_a_lost_report_are_applied_to_nothing() -> None:
    hub = Hub()
    held = [("base", f"a{number}") for number in range(4)]
    hub.tell([member(0, (engine(0.0, tuple(held)),))])
    hub.tell([member(0, (engine(0.0, tuple(held[1:])),))], lost=[ONE])
    ((_, told),) = hub.tell([member(0, (engine(0.0, tuple(held[2:])),))])[ONE]
    assert told.engines is None
    assert not hub.readers[ONE].complete


def test_a_lost_report_is_followed_by_a_full_one() -> None:
    # A receiver that missed a change must not keep outdated state for ever.
    hub = Hub()
    hub.tell([member(0), member(1)])
    hub.tell([member(0)], lost=[ONE])
    reader = hub.readers[ONE]
    hub.tell([member(0)])
    assert not reader.complete
    assert len(reader.instances) == 2
    hub.writer.missed(ONE)
    hub.tell([member(0)])
    assert reader.complete
    assert set(reader.instances) == {member(0).instance.address}


def test_a_doubled_report_changes_nothing() -> None:
    hub = Hub()
    reader = hub.readers[ONE]
    ((report, _),) = hub.writer.write([member(0)], [ONE], now_seconds=1.0)
    reader.apply(report, now_seconds=1.0)
    ((change, _),) = hub.writer.write([], [ONE], now_seconds=1.0)
    reader.apply(change, now_seconds=1.0)
    assert reader.apply(change, now_seconds=9.0) == []
    assert reader.heard_at_seconds == 1.0
    assert reader.instances == {} and reader.complete


def test_a_new_receiver_gets_a_full_report() -> None:
    hub = Hub()
    hub.tell([member(0), member(1)])
    hub.readers[OTHER] = reports.ReportReader()
    told = hub.tell([member(0), member(1)])
    assert told[ONE] == []
    assert len(told[OTHER]) == 2


def test_a_receiver_that_changes_groups_keeps_the_newer_report() -> None:
    # If the groups were numbered separately, new reports would look outdated.
    numbering = itertools.count()
    hubs, followers = Hub(numbering), Hub(numbering)
    followers.readers = hubs.readers
    for _ in range(5):
        hubs.tell([member(0)])
    followers.tell([member(1)])
    hubs.writer.missed(ONE)
    hubs.tell([member(2)])
    assert [*hubs.readers[ONE].instances] == [member(2).instance.address]


def test_a_restarted_instance_is_reported_as_new() -> None:
    hub = Hub()
    hub.tell([member(0)])
    before = member(0)
    again = member(0)
    again.instance = before.instance._replace(incarnation="again")
    ((instance, told),) = hub.tell([again])[ONE]
    assert instance.incarnation == "again"
    assert told.standing is not None
    assert hub.readers[ONE].instances == {instance.address: instance}


def test_a_change_has_the_time_of_its_newest_part() -> None:
    # Dated by its engines alone, the report of a leaving instance looked older
    # than that of another hub, and was ignored when that hub was lost.
    hub = Hub()
    hub.tell([member(0)])
    leaving = member(0, leaving=True)
    leaving.state_uptime_milliseconds = 60_000
    ((_, told),) = hub.tell([leaving])[ONE]
    assert told.said_milliseconds == 60_000
