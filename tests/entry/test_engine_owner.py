"""An instance that owns many engines."""

from __future__ import annotations

import collections
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
    ask = messages.EngineAsk(
        request_id="r",
        engine="e3",
        model=engine_loads.MODEL,
        adapter="a1",
        prompt_tokens=500,
        output_tokens=50,
        priority=0,
        on_time_in_seconds=1.0,
        give_up_in_seconds=4.0,
        ends_in_seconds=5.0,
    )
    ended = messages.RunEnded("r", "e3", False)
    for body in (ask, messages.RunStarted("r", "e3"), ended):
        asker.link.send(to=node.link.self_id, body=body)
        network.run_for(0.01)
    assert sum(advances.values()) >= 3
    assert len(advances) == 1


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
