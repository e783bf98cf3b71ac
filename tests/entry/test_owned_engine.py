"""The orders of one engine's owners."""

from __future__ import annotations

import types

import pytest

from boragefold.coordination.fleet import order_turns
from boragefold.entry import engine_dialect as dialects
from boragefold.entry import owned_engine
from boragefold.policy import engine_asks
from boragefold.policy import engine_places
from boragefold.policy import engine_schedule
from boragefold.telemetry import counters
from boragefold.transport import http_client
from tests.fakes import engine_loads
from tests.fakes import gateways
from tests.fakes import network as networks

LEASE_SECONDS = 3.0
HELD = ("a", "b", "c", "d", "e")


class Engine(dialects.EngineDialect):
    """An engine whose adapter ``a`` is used by somebody's long answer.

    Its dialect carries orders and reports as they are.
    """

    def __init__(self) -> None:
        self.held = dict.fromkeys(HELD, 1)
        self.leaving = ""
        self.orders = 0
        self.accepted: list[tuple[float, int, str]] = []
        self.reports = 0

    def report_call(self, record):
        self.reports += 1
        return None

    def read_report(self, status, body):
        return dialects.EngineReport(
            counted=order_turns.Counted(0, self.orders),
            held={engine_loads.MODEL: dict(self.held)},
            coming={},
            busy=bool(self.leaving),
        )

    def order_call(self, record, order, *, expected, fence):
        return http_client.Call(
            address="",
            method="",
            target="",
            headers=[],
            body=(order, expected, fence),
            fresh=True,
            progress_seconds=1.0,
        )

    def read_order_answer(self, order, status):
        return dialects.OrderAnswer(status)

    def carry_out(self, order, expected, fence, now_seconds) -> str:
        adapter = order.key.adapter
        repeated = bool(self.leaving) and adapter == self.leaving
        if not repeated:
            if self.leaving or expected != self.orders:
                return "count_differs"
            self.orders += 1
        self.accepted.append((now_seconds, fence, adapter))
        if adapter == "a":
            self.leaving = adapter
            return "accepted"
        if isinstance(order, engine_asks.Load):
            self.held[adapter] = 1
            return "accepted"
        del self.held[adapter]
        return "done"

    def end_answers(self) -> None:
        self.held.pop(self.leaving, None)
        self.leaving = ""


class Client:
    """Brings calls to the engine and its answers back."""

    def __init__(self, *, engine, timers) -> None:
        self._engine = engine
        self._timers = timers

    def send(self, call, sink) -> None:
        status = 200
        if call is not None:
            now_seconds = self._timers.now_seconds()
            status = self._engine.carry_out(*call.body, now_seconds)
        sink.head(status, {})
        self._timers.once(delay_seconds=0.001, callback=sink.end)


@pytest.fixture
def network():
    return networks.Network(seed=1)


def take_up(node, engine, giver):
    places = engine_places.Places(engine=engine_loads.ENGINE, newest={})
    return owned_engine.OwnedEngine(
        record=gateways.ENGINES[0],
        schedule=engine_schedule.EngineSchedule(
            engine=engine_loads.ENGINE, places=places
        ),
        turns=order_turns.OrderTurns(lease_seconds=LEASE_SECONDS, giver=giver),
        dialect=engine,
        client=Client(engine=engine, timers=node.timers),
        timers=node.timers,
        counters=counters.Counters(),
        log=types.SimpleNamespace(write=lambda event, **fields: None),
        changed=lambda: None,
    )


def want(owned, network, *, seconds) -> None:
    """Let requests for adapters that aren't held wait, and time pass."""
    now_seconds = owned._timers.now_seconds()
    for step in range(round(seconds / 0.1)):
        ask = engine_loads.ask(
            f"r{now_seconds}-{step}", f"new-{step}", at=now_seconds
        )
        owned.schedule.offer(ask, now_seconds=owned._timers.now_seconds())
        owned.advance()
        network.run_for(0.1)


@pytest.fixture
def engine():
    return Engine()


@pytest.fixture
def node(network):
    return network.start("dc-a", "10.1.0.1:70")


def own(network, node, engine, giver, *, seconds) -> None:
    """Own the engine for a while, then give it up."""
    owned = take_up(node, engine, giver)
    want(owned, network, seconds=seconds)
    owned.stop()


def test_a_new_owner_gives_no_order_while_one_is_carried_out(
    network, node, engine
) -> None:
    # A second drop of an adapter that leaves is accepted and not counted.
    own(network, node, engine, 1, seconds=1.0)
    assert engine.leaving
    given = len(engine.accepted)
    own(network, node, engine, 2, seconds=1.5)
    assert len(engine.accepted) == given


def test_owners_of_a_busy_engine_never_share_a_count(
    network, node, engine
) -> None:
    # An order of an owner that wasn't counted lets the next one go below it.
    own(network, node, engine, 1, seconds=1.0)
    own(network, node, engine, 3, seconds=1.5)
    engine.end_answers()
    own(network, node, engine, 2, seconds=1.5)
    fences = [fence for _, fence, _ in engine.accepted]
    assert len(fences) > 2
    assert fences == sorted(set(fences))
    assert engine.orders == len(fences)


def test_an_engine_that_is_watched_is_asked_one_report_at_a_time(
    network, node, engine
) -> None:
    # Reports that each ask for the next went on beside each other.
    own(network, node, engine, 1, seconds=1.0)
    reports = engine.reports
    owned = take_up(node, engine, 2)
    for _ in range(4):
        owned.refused(engine_loads.key("b"))
        network.run_for(0.1)
    network.run_for(2.0)
    assert engine.reports - reports <= 14
