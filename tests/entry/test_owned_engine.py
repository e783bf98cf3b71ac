"""Orders to one engine by its successive owners."""

from __future__ import annotations

import types

import pytest

from boragefold.coordination.fleet import order_turns
from boragefold.entry import owned_engine
from boragefold.policy import engine_decisions
from boragefold.policy import engine_schedule
from boragefold.policy import engine_slots
from boragefold.telemetry import counters
from boragefold.transport import http_client
from tests.fakes import engine_loads
from tests.fakes import gateways
from tests.fakes import leases
from tests.fakes import model_engine
from tests.fakes import network as networks
from tests.fakes import plain_dialect

ANSWER_SECONDS = 0.001
ANSWERS_SECONDS = 3.0
TIMEOUT_SECONDS = 0.5


class Engine:
    """A full engine with a long-running request on each adapter."""

    def __init__(self, *, clock, tells_start=False) -> None:
        self.model = model_engine.ModelEngine(
            clock=clock,
            models=(engine_loads.MODEL,),
            load_seconds=0.0,
            tells_start=tells_start,
        )
        for expected, key in enumerate(map(engine_loads.key, "abcde")):
            self.model.order(
                engine_decisions.Load(key, 0),
                giver="before",
                fence=expected,
                expected=expected,
            )
            assert self.model.run(key, seconds=ANSWERS_SECONDS)
        self.before = len(self.model.orders)
        self.dialect = plain_dialect.Dialect()
        self.reports = 0

    def accepted(self):
        return [
            given
            for given in self.model.orders[self.before :]
            if given.status in model_engine.CARRIED_OUT
        ]


class LosingClient:
    """Delivers the first order, and loses the response."""

    def __init__(self, *, client, timers) -> None:
        self._client = client
        self._timers = timers
        self._lost = False

    def send(self, call, sink) -> None:
        if call is None or self._lost:
            self._client.send(call, sink)
            return
        self._lost = True
        self._client.send(call, DiscardingSink())
        failure = http_client.Failure(reason="timeout", may_have_arrived=True)
        self._timers.once(
            delay_seconds=TIMEOUT_SECONDS,
            callback=lambda: sink.failed(failure),
        )


class DiscardingSink:
    """Discards a response."""

    def head(self, status, headers) -> None:
        pass

    def data(self, body) -> None:
        pass

    def end(self, framing) -> None:
        pass


class Client:
    """Delivers calls to the engine, and its responses after a delay."""

    def __init__(self, *, engine, timers, giver) -> None:
        self._engine = engine
        self._timers = timers
        self._giver = giver

    def send(self, call, sink) -> None:
        engine = self._engine
        if call is None:
            engine.reports += 1
            status = model_engine.OK
            body = engine.dialect.write_report(engine.model.report())
        else:
            body = b""
            status = engine.model.order(
                call.order,
                giver=str(self._giver),
                fence=call.fence,
                expected=call.expected,
            )
        sink.head(status, {})
        sink.data(body)
        self._timers.once(
            delay_seconds=ANSWER_SECONDS,
            callback=lambda: sink.end(http_client.Framing.LENGTH),
        )


@pytest.fixture
def network():
    return networks.Network(seed=1)


def start_owning(
    node,
    engine,
    giver,
    *,
    log=None,
    client=None,
    is_evacuated=lambda record, adapter: False,
):
    slots = engine_slots.EngineSlots(
        engine=engine_loads.ENGINE, newest_versions={}
    )
    return owned_engine.OwnedEngine(
        record=gateways.ENGINES[0],
        schedule=engine_schedule.EngineSchedule(
            engine=engine_loads.ENGINE, slots=slots
        ),
        turns=order_turns.OrderTurns(
            lease_seconds=model_engine.LEASE_SECONDS, issuer=giver
        ),
        lease=leases.Held(),
        dialect=engine.dialect,
        client=client
        or Client(engine=engine, timers=node.timers, giver=giver),
        timers=node.timers,
        counters=counters.Counters(),
        log=log or types.SimpleNamespace(write=lambda event, **fields: None),
        on_changed=lambda: None,
        is_evacuated=is_evacuated,
    )


def queue_requests(owned, network, *, seconds) -> None:
    """Queue requests for adapters that aren't loaded, and let time pass."""
    now_seconds = owned._timers.now_seconds()
    for step in range(round(seconds / 0.1)):
        request = engine_loads.make_request(
            f"r{now_seconds}-{step}", f"new-{step}", at=now_seconds
        )
        owned.schedule.submit(request, now_seconds=owned._timers.now_seconds())
        owned.advance()
        network.run_for(0.1)


@pytest.fixture
def node(network):
    return network.start("dc-a", "10.1.0.1:70")


@pytest.fixture
def engine(network):
    engine = Engine(clock=network.clock)
    network.run_for(0.5)
    return engine


def own(network, node, engine, giver, *, seconds) -> None:
    """Own the engine for a while, then give it up."""
    owned = start_owning(node, engine, giver)
    queue_requests(owned, network, seconds=seconds)
    owned.stop()


def test_a_new_owner_gives_no_order_while_one_is_carried_out(
    network, node, engine
) -> None:
    # A second unload of an adapter that is still being unloaded is accepted
    # but not counted.
    own(network, node, engine, 1, seconds=0.9)
    assert engine.accepted()[-1].status == model_engine.ACCEPTED
    given = len(engine.accepted())
    own(network, node, engine, 2, seconds=1.3)
    assert len(engine.accepted()) == given


def test_owners_of_a_busy_engine_never_share_a_count(
    network, node, engine
) -> None:
    # After an order that isn't counted, the next owner could use a lower
    # fencing number.
    for giver, seconds in ((1, 0.9), (3, 1.3), (2, 1.5)):
        own(network, node, engine, giver, seconds=seconds)
    fences = [given.fence for given in engine.accepted()]
    assert len(fences) > 2
    assert fences == sorted(set(fences))
    assert all(given.counted for given in engine.accepted())


def test_one_report_is_requested_at_a_time(network, node, engine) -> None:
    # Each report schedules the next one, so that several series of reports
    # could run side by side.
    own(network, node, engine, 1, seconds=1.0)
    reports = engine.reports
    owned = start_owning(node, engine, 2)
    for _ in range(4):
        owned.record_missing(engine_loads.key("b"))
        network.run_for(0.1)
    network.run_for(2.0)
    assert engine.reports - reports <= 14


def test_the_log_names_the_order_that_explains_a_higher_count(
    network, node, engine
) -> None:
    # An order of another owner was mistaken for an unresolved one of this
    # owner, and the log didn't show it.
    lines = []
    log = types.SimpleNamespace(
        write=lambda event, **fields: lines.append((event, fields))
    )
    client = Client(engine=engine, timers=node.timers, giver=1)
    losing = LosingClient(client=client, timers=node.timers)
    owned = start_owning(node, engine, 1, log=log, client=losing)
    queue_requests(owned, network, seconds=2.5)
    orders = [fields for event, fields in lines if event == "engine_order"]
    (lost,) = [order for order in orders if order["outcome"] == "unknown"]
    assert lost["in_doubt"] == 0
    assert 0 <= lost["report_age_seconds"] <= 0.3
    reports = [fields for event, fields in lines if event == "engine_report"]
    (rise,) = [report for report in reports if report["explained_by"]]
    assert rise["count"] == rise["believed"] + 1
    assert (rise["other_giver"], rise["in_doubt"]) == (False, 1)
    (told,) = rise["explained_by"]
    assert told.startswith(f"{lost['order']} {lost['adapter']}, sent ")
    assert rise["certain"]


def test_no_order_is_given_in_an_evacuated_data_centre(
    network, node, engine
) -> None:
    # Adapters would be loaded for requests that go elsewhere by now.
    evacuated = []
    owned = start_owning(
        node, engine, 1, is_evacuated=lambda record, adapter: bool(evacuated)
    )
    queue_requests(owned, network, seconds=0.2)
    evacuated.append(True)
    queue_requests(owned, network, seconds=1.5)
    assert not engine.accepted()
    assert not owned.schedule.queued
    evacuated.clear()
    queue_requests(owned, network, seconds=1.5)
    assert engine.accepted()


def test_no_newer_version_is_loaded_in_an_evacuated_data_centre(
    network, node, engine
) -> None:
    # Such a load is ordered without any request.
    evacuated = [True]
    owned = start_owning(
        node, engine, 1, is_evacuated=lambda record, adapter: bool(evacuated)
    )
    owned.schedule.slots._newest_versions[engine_loads.key("a")] = 2
    for _ in range(20):
        owned.advance()
        network.run_for(0.1)
    assert not engine.accepted()
    evacuated.clear()
    for _ in range(20):
        owned.advance()
        network.run_for(0.1)
    assert engine.accepted()


def test_an_order_whose_connection_opens_meanwhile_isnt_written(
    network, node, engine
) -> None:
    evacuated = []
    client = Client(engine=engine, timers=node.timers, giver=1)
    allowed = []

    def send(call, sink) -> None:
        if call is not None:
            allowed.append(call.may_send())
            evacuated.append(True)
            allowed.append(call.may_send())
            evacuated.clear()
        client.send(call, sink)

    owned = start_owning(
        node,
        engine,
        1,
        client=types.SimpleNamespace(send=send),
        is_evacuated=lambda record, adapter: bool(evacuated),
    )
    queue_requests(owned, network, seconds=1.0)
    assert allowed[:2] == [True, False]


class SilentClient:
    """Loses all calls while it is silent."""

    def __init__(self, *, client) -> None:
        self._client = client
        self.silent = False

    def send(self, call, sink) -> None:
        if self.silent:
            sink.failed(
                http_client.Failure(reason="timeout", may_have_arrived=False)
            )
        else:
            self._client.send(call, sink)


def test_only_an_engine_that_comes_back_is_limited(
    network, node, engine
) -> None:
    # After a change of owner, an engine in full use would be held back.
    client = SilentClient(
        client=Client(engine=engine, timers=node.timers, giver=1)
    )
    owned = start_owning(node, engine, 1, client=client)
    network.run_for(1.0)
    assert owned.schedule.summary()["limit"] is None
    client.silent = True
    owned.request_report()
    network.run_for(1.0)
    client.silent = False
    network.run_for(1.0)
    assert owned.schedule.summary()["limit"] == 8


def test_an_engine_in_its_next_life_is_limited(network, node, engine) -> None:
    owned = start_owning(node, engine, 1)
    network.run_for(1.0)
    owned.update_record(owned.record._replace(born_milliseconds=2))
    assert owned.schedule.summary()["limit"] == 8


def test_a_record_that_tells_of_a_known_restart_repeats_no_order(
    network, node
) -> None:
    # The engine answers a load of what it holds without counting it, and the
    # next owner's order bore a lower fencing token.
    engine = Engine(clock=network.clock, tells_start=True)
    network.run_for(0.5)
    owned = start_owning(node, engine, 1)
    network.run_for(1.0)
    engine.model.restart(models=(engine_loads.MODEL,))
    queue_requests(owned, network, seconds=0.3)
    assert engine.accepted()
    born_milliseconds = engine.model.report().counted.born_milliseconds
    owned.update_record(
        owned.record._replace(born_milliseconds=born_milliseconds)
    )
    queue_requests(owned, network, seconds=0.5)
    assert all(order.counted for order in engine.accepted())
