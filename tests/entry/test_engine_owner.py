"""An instance that owns many engines."""

from __future__ import annotations

import collections
import operator
import types

import pytest

from boragefold.coordination.fleet import owner_changes
from boragefold.entry import engine_owner
from boragefold.policy import engine_schedule
from boragefold.protocol import peer_messages as messages
from boragefold.telemetry import counters
from tests.fakes import engine_loads
from tests.fakes import gateways
from tests.fakes import leases
from tests.fakes import network as networks


class Fleet:
    versions: dict = {}

    def engine_of(self, record):
        return engine_loads.ENGINE

    def engines(self):
        return iter(gateways.ENGINES)

    def is_evacuated(self, record, adapter=None):
        return False


@pytest.fixture
def advances(monkeypatch):
    counted = collections.Counter()
    advance = engine_schedule.EngineSchedule.advance

    def counting(self, *, now_seconds):
        counted[id(self)] += 1
        return advance(self, now_seconds=now_seconds)

    monkeypatch.setattr(engine_schedule.EngineSchedule, "advance", counting)
    return counted


def owner_of_all(node, *, log=None, owner_change=gateways.no_change):
    owner = engine_owner.EngineOwner(
        link=node.link,
        fleet=Fleet(),
        dialect=types.SimpleNamespace(report_call=lambda record: None),
        client=types.SimpleNamespace(send=lambda call, sink: None),
        timers=node.timers,
        counters=counters.Counters(),
        log=log or types.SimpleNamespace(write=lambda event, **fields: None),
        lease_seconds=3.0,
        issuer=1,
        leases=leases.alone(node),
        count_other_loads=lambda: 0,
        owner_change=owner_change,
    )
    owner.set_owned(gateways.ENGINES)
    return owner


def make_ask(engine, *, seconds):
    return messages.EngineAsk(
        request_id="r",
        engine=engine,
        model=engine_loads.MODEL,
        adapter="a1",
        prompt_tokens=500,
        output_tokens=50,
        priority=0,
        on_time_in_seconds=seconds,
        give_up_in_seconds=seconds,
        ends_in_seconds=5.0,
    )


def test_a_message_of_one_engine_decides_for_that_one(advances) -> None:
    # During a rolling restart one instance owns all nine engines. If each
    # request, start and end advanced all of them, the instance would do
    # nothing else: requests of its callers would stay unread for two seconds
    # and be forwarded after the callers have left.
    network = networks.Network(seed=1)
    node = network.start("dc-a", "10.1.0.1:70")
    asker = network.start("dc-a", "10.1.0.2:70")
    owner_of_all(node)
    advances.clear()
    ask = make_ask("e3", seconds=4.0)
    ended = messages.RunEnded("r", "e3", False)
    for body in (ask, messages.RunStarted("r", "e3"), ended):
        asker.link.send(to=node.link.self_id, body=body)
        network.run_for(0.01)
    assert sum(advances.values()) >= 3
    assert len(advances) == 1


def test_a_due_engine_is_advanced_without_the_others(advances) -> None:
    # A request waits at one of nine engines until its adapter is loaded. If
    # the timer advanced all engines, each load would cost nine decisions; if
    # it advanced none, the grant would wait for the next message.
    network = networks.Network(seed=1)
    node = network.start("dc-a", "10.1.0.1:70")
    grants = []
    node.link.subscribe(
        messages.EngineGrant, lambda _, body: grants.append(body.request_id)
    )
    slots = owner_of_all(node)._owned["e3"].schedule.slots
    now_seconds = node.timers.now_seconds()
    slots.apply_report(
        {engine_loads.MODEL: {"a1": 0}}, {}, now_seconds=now_seconds
    )
    slots.record_missing(engine_loads.key("a1"), now_seconds=now_seconds)
    node.link.send(to=node.link.self_id, body=make_ask("e3", seconds=4.0))
    network.run_for(0.01)
    assert not grants
    advances.clear()
    network.run_for(0.2)
    assert grants == ["r"]
    assert len(advances) == 1


def test_a_status_is_reused_until_something_changes() -> None:
    # A status that outlived a change would send the requests of all instances
    # to an engine with a backlog, or one that no longer answers.
    network = networks.Network(seed=1)
    node = network.start("dc-a", "10.1.0.1:70")
    owner = owner_of_all(node)
    owned = owner._owned["e3"]
    owned.schedule.slots.apply_report(
        {engine_loads.MODEL: {"a1": 0}}, {}, now_seconds=0.0
    )
    before = owner.statuses()
    assert all(map(operator.is_, before, owner.statuses()))
    node.link.send(to=node.link.self_id, body=make_ask("e3", seconds=9.0))
    network.run_for(0.01)
    queued = owner.statuses()
    changed = [
        new.name for old, new in zip(before, queued, strict=True) if old != new
    ]
    assert changed == ["e3"]
    owned.is_responsive = True
    assert owner.statuses()[3].answers and not queued[3].answers
    newest = owned.schedule.slots._newest_versions
    newest[engine_loads.key("a1")] = 2
    assert not owned.schedule.slots.holds(engine_loads.key("a1"))
    outdated = owner.statuses()[3]
    del newest[engine_loads.key("a1")]
    assert outdated is not owner.statuses()[3]


def test_the_log_says_why_an_engine_changed_owner() -> None:
    # When two instances own one engine, the log has to show which instances
    # each of them considered gone.
    lines = []
    log = types.SimpleNamespace(
        write=lambda event, **fields: lines.append((event, fields))
    )
    change = owner_changes.OwnerChange(
        owner="10.1.0.2:70",
        former_owner="10.1.0.3:70",
        former_heard_seconds=1.23456,
        instances_heard=2,
        instances_known=3,
        reason=owner_changes.UNREACHABLE,
    )
    node = networks.Network(seed=1).start("dc-a", "10.1.0.1:70")
    owner = owner_of_all(node, log=log, owner_change=lambda record: change)
    owner.set_owned([])
    engines = len(gateways.ENGINES)
    taken_up, given_up = lines[0], lines[-1]
    assert [event for event, _ in lines] == (
        ["engine_taken_up"] * engines + ["engine_given_up"] * engines
    )
    assert taken_up[1]["former_owner"] == "10.1.0.3:70"
    assert taken_up[1]["former_heard_seconds"] == 1.235
    assert given_up[1]["owner"] == "10.1.0.2:70"
    assert given_up[1]["reason"] == "unreachable"
    for _, fields in (taken_up, given_up):
        assert fields["instances_heard"] == 2
        assert fields["instances_known"] == 3
