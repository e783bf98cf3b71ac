"""Instances that send to cold endpoints, in virtual time."""

from __future__ import annotations

import json
import math
import types

import pytest

from boragefold.coordination.fleet import fencing_numbers
from boragefold.entry import cold_endpoints
from boragefold.entry import engine_dialect
from boragefold.entry import engine_owner
from boragefold.entry import gateway_listeners
from boragefold.entry import owner_client
from boragefold.entry import service_forwarding
from boragefold.policy import cold_limit
from boragefold.policy import service_choice
from boragefold.protocol import peer_messages as messages
from boragefold.state import deployment
from boragefold.state import fleet as fleets
from boragefold.state import published_items
from boragefold.telemetry import counters as telemetry
from boragefold.transport import http_client
from tests.fakes import engine_loads
from tests.fakes import gateways
from tests.fakes import leases
from tests.fakes import network as networks

PER_SECOND = 9.2
TOLERANCE = cold_limit.Tolerance(overage=1.5, slack=5.0)
LIMIT = PER_SECOND * 1.5 + 5
START_SECONDS = 8.0
ENGINE = gateways.ENGINES[0]
DESK = ENGINE._replace(name="d0", service="desk", born_milliseconds=1)


def publish(fleet, *, per_second=PER_SECOND, version=1):
    services = (
        deployment.Service(name, "/", 100, engine, START_SECONDS, per_second)
        for name, engine in (("llm", engine_loads.ENGINE), ("desk", None))
    )
    fleet.set_deployment(
        deployment.Deployment(
            version=version,
            routes=(),
            services={each.name: each for each in services},
            workspaces={},
            limits=deployment.CallerLimits(1, 1, 1.0, 1.0),
        )
    )


class Instance:
    """The parts of one instance that know cold endpoints."""

    def __init__(self, network, address, *, members=None):
        self.node = network.start("dc-a", address)
        self.fleet = fleets.Fleet()
        self.counters = telemetry.Counters()
        self.lines = []
        self.answers = False
        self.log = types.SimpleNamespace(
            write=lambda event, **fields: self.lines.append((event, fields))
        )
        self.cold = cold_endpoints.ColdEndpoints(
            self_address=address,
            members=members or make_members([]),
            fleet=self.fleet,
            timers=self.node.timers,
            counters=self.counters,
            log=self.log,
            tolerance=lambda: TOLERANCE,
        )
        publish(self.fleet)

    def state(self, seconds, record=ENGINE, **changes):
        """Read an entry that states a remaining cold time."""
        self.fleet.set_endpoint(
            record._replace(
                cold_seconds=seconds or 0.0,
                cold_stated=seconds is not None,
                **changes,
            )
        )

    def own(self, **dialect):
        dialect = dialect or {"report_call": lambda record: None}
        self.owner = engine_owner.EngineOwner(
            link=self.node.link,
            fleet=self.fleet,
            dialect=types.SimpleNamespace(**dialect),
            client=types.SimpleNamespace(send=self._send),
            timers=self.node.timers,
            counters=self.counters,
            log=self.log,
            lease_seconds=3.0,
            issuer=1,
            leases=leases.alone(self.node),
            count_other_loads=lambda: 0,
            owner_change=gateways.no_change,
            cold=self.cold,
        )
        self.node.timers.every(period_seconds=0.1, callback=self._refresh)
        self._refresh()
        held = {engine_loads.MODEL: {"a1": 0}}
        self.engine.schedule.slots.apply_report(held, {}, now_seconds=0.0)

    def _send(self, call, sink):
        if self.answers:
            sink.head(200, {})
            sink.end(http_client.Framing.LENGTH)

    @property
    def engine(self):
        return self.owner._owned[ENGINE.name]

    def _refresh(self):
        self.owner.set_owned([self.fleet.endpoint(ENGINE.name)])


class Sender:
    """Asks owners to run short requests, and lists when it may."""

    def __init__(self, network, *owners):
        self.node = network.start("dc-a", "10.1.0.99:70")
        self.network = network
        self.owners = list(owners)
        self.grants = []
        self.refusals = []
        self._asked = 0
        self.node.link.subscribe(messages.EngineGrant, self._on_grant)
        self.node.link.subscribe(
            messages.EngineRefusal,
            lambda sender, body: self.refusals.append(body.reason),
        )

    def ask_for(self, seconds, *, per_second=50):
        for _ in range(round(seconds * per_second)):
            for owner in self.owners:
                self._ask(owner.node.self_id)
            self.network.run_for(1 / per_second)

    def most_in_a_second(self):
        return max(
            sum(first <= at <= first + 1.0 for at in self.grants)
            for first in self.grants
        )

    def _ask(self, owner):
        self._asked += 1
        ask = messages.EngineAsk(
            request_id=f"r{self._asked}",
            engine=ENGINE.name,
            model=engine_loads.MODEL,
            adapter="a1",
            prompt_tokens=50,
            output_tokens=5,
            priority=0,
            on_time_in_seconds=1.0,
            give_up_in_seconds=4.0,
            ends_in_seconds=5.0,
        )
        self.node.link.send(to=owner, body=ask)

    def _on_grant(self, sender, body):
        self.grants.append(self.network.clock.now_seconds())
        for done in (
            messages.RunStarted(body.request_id, body.engine),
            messages.RunEnded(body.request_id, body.engine, False),
        ):
            self.node.link.send(to=sender, body=done)


def make_members(addresses, known=None):
    known = len(addresses) if known is None else known
    return types.SimpleNamespace(
        reachable_addresses=lambda: frozenset(addresses),
        silences_seconds=lambda: [0.0] * known,
    )


@pytest.fixture
def network():
    network = networks.Network(seed=1)
    network.run_for(10.0)
    return network


def start_owner(network, number=1, *, cold=20.0):
    instance = Instance(network, f"10.1.0.{number}:70")
    instance.state(cold)
    instance.own()
    return instance


def test_a_cold_engine_gets_its_rate_from_its_owner(network) -> None:
    owner = start_owner(network)
    sender = Sender(network, owner)
    begun = network.clock.now_seconds()
    sender.ask_for(8.0)
    assert sender.grants[0] > begun + 1.0
    assert sender.most_in_a_second() <= PER_SECOND
    assert len(sender.grants) >= 0.9 * PER_SECOND * 7
    assert "waited_too_long" not in sender.refusals
    assert owner.counters.value(cold_endpoints.HELD_COUNTER) > 0
    (cold,) = [each for event, each in owner.lines if event == "endpoint_cold"]
    assert cold["endpoint"] == ENGINE.name
    assert cold["remaining_seconds"] == 20.0
    assert cold["allowed_per_second"] == PER_SECOND


def test_two_owners_together_stay_within_the_limit(network) -> None:
    # Both believe that they own the engine during a partition.
    owners = [start_owner(network, number) for number in (1, 2)]
    sender = Sender(network, *owners)
    sender.ask_for(6.0)
    assert len(sender.grants) > PER_SECOND * 6
    assert sender.most_in_a_second() <= LIMIT


def test_an_owner_is_killed_while_an_engine_is_cold(network) -> None:
    # Its successor doesn't know what it granted last.
    first = start_owner(network)
    sender = Sender(network, first)
    sender.ask_for(3.0)
    killed = network.clock.now_seconds()
    network.kill(first.node)
    second = start_owner(network, 2, cold=17.0)
    sender.owners = [second]
    sender.ask_for(3.0)
    after = [at for at in sender.grants if at > killed + 0.01]
    assert after[0] > killed + 1.0
    assert sender.most_in_a_second() <= PER_SECOND
    assert len(after) >= 2 * int(PER_SECOND)


def test_an_engine_becomes_cold_with_requests_in_the_window(network) -> None:
    # What was granted just before may arrive when it is cold.
    owner = start_owner(network, cold=0.0)
    sender = Sender(network, owner)
    sender.ask_for(2.0)
    assert sender.most_in_a_second() > LIMIT
    begun = network.clock.now_seconds()
    owner.state(9.0)
    network.run_for(0.1)
    sender.ask_for(3.0)
    sender.grants = [at for at in sender.grants if at > begun + 0.01]
    assert sender.grants[0] > begun + 0.8
    assert sender.most_in_a_second() <= PER_SECOND


def test_a_report_tells_the_owner_first(network) -> None:
    # Entries come through the store, later than reports.
    owner = start_owner(network, cold=0.0)
    report = engine_dialect.AdapterReport(
        counted=fencing_numbers.OrderCount(1, 0),
        held={},
        coming={},
        busy=False,
        cold_seconds=5.0,
    )
    owner.cold.record_report(ENGINE, report)
    owner.state(0.0)
    assert owner.cold.is_limited(ENGINE)
    assert owner.cold.remaining_seconds() == {ENGINE.name: 5.0}
    born = report._replace(
        counted=fencing_numbers.OrderCount(2, 0), cold_seconds=None
    )
    network.run_for(4.0)
    owner.cold.record_report(ENGINE, born)
    assert owner.cold.remaining_seconds() == {ENGINE.name: START_SECONDS}


def test_an_owner_reads_the_cold_time_of_a_report(network) -> None:
    report = engine_dialect.AdapterReport(
        fencing_numbers.OrderCount(1, 0), {}, {}, False, 5.0
    )
    one = Instance(network, "10.1.0.1:70")
    one.state(0.0)
    one.answers = True
    one.own(
        report_call=lambda record: None,
        read_report=lambda status, body: report,
    )
    assert one.cold.is_limited(ENGINE)


def test_others_rank_a_cold_engine_by_the_wait_for_its_rate(network) -> None:
    # They would go on to send there what its owner has to refuse.
    owner = start_owner(network)
    (status,) = owner.owner.statuses()
    assert 1.0 <= status.backlog_seconds <= 1.1
    owner.state(0.0)
    network.run_for(0.1)
    (status,) = owner.owner.statuses()
    assert status.backlog_seconds < 1.0


def test_operators_see_what_is_cold(network) -> None:
    one = Instance(network, "10.1.0.1:70")
    one.state(5.0)
    listeners = gateway_listeners.GatewayListeners(
        sockets_=None,
        application=None,
        counters=one.counters,
        timers=one.node.timers,
        fleet=one.fleet,
        cold=one.cold,
        ready=lambda: True,
        items=published_items.PublishedItems(),
    )
    replies = []
    listeners._answer_operators(
        types.SimpleNamespace(path="/status"),
        types.SimpleNamespace(
            reply=lambda status, headers, body: replies.append(body)
        ),
    )
    (reply,) = replies
    assert json.loads(reply)["cold_seconds"] == {"e0": 5.0}


def test_a_second_cold_time_as_long_as_the_first_counts(network) -> None:
    # The entry is the same as the one that was applied last, and no change.
    one = Instance(network, "10.1.0.1:70")
    one.state(3.0)
    network.run_for(5.0)
    assert not one.cold.is_limited(ENGINE)
    one.state(3.0)
    assert one.cold.remaining_seconds() == {ENGINE.name: 3.0}


def test_a_service_without_a_rate_behaves_as_before(network) -> None:
    owner = Instance(network, "10.1.0.1:70")
    publish(owner.fleet, per_second=0.0, version=2)
    owner.state(20.0)
    owner.own()
    sender = Sender(network, owner)
    sender.ask_for(2.0)
    assert len(sender.grants) > LIMIT * 2
    assert not owner.cold.is_engine_limited(ENGINE.name)
    assert owner.cold.may_send(DESK, "r")
    assert "endpoint_cold" not in dict(owner.lines)


class Receiver(owner_client.GrantReceiver):
    """Records the owner's reply."""

    def __init__(self):
        self.replies = []

    def on_granted(self, engine, version, waits):
        self.replies.append("granted")

    def on_refused(self, engine, reason, retry_after_seconds, wait_seconds):
        self.replies.append(reason)


@pytest.mark.parametrize("cold", [True, False])
def test_a_cold_engine_without_an_owner_gets_nothing(network, cold) -> None:
    # Every instance would send there at once.
    one = Instance(network, "10.1.0.1:70")
    one.state(5.0 if cold else 0.0, held={engine_loads.MODEL: {"a1": 1}})
    client = owner_client.OwnerClient(
        link=one.node.link,
        members=types.SimpleNamespace(reachable=list),
        ownership=types.SimpleNamespace(owner=lambda engine: None),
        fleet=one.fleet,
        timers=one.node.timers,
        health=lambda endpoint: 1.0,
        needs_grant=one.cold.is_engine_limited,
    )
    receiver = Receiver()
    client.request(receiver, engine_loads.make_request("r", "a1"), "e0")
    network.run_for(0.1)
    ranked = client.rank("llm", engine_loads.key("a1"), ())
    if cold:
        assert receiver.replies == [owner_client.WITHOUT_OWNER]
        assert not ranked
    else:
        assert receiver.replies == ["granted"]
        assert [each.name for each in ranked] == ["e0"]


def test_instances_share_the_rate_of_a_plain_endpoint(network) -> None:
    # They can't ask each other before each request.
    addresses = [f"10.1.0.{number}:70" for number in range(12)]
    instances = [
        Instance(
            network,
            address,
            members=make_members(set(addresses) - {address}),
        )
        for address in addresses
    ]
    sent = []
    for number in range(500):
        now = network.clock.now_seconds()
        if not number % 70:
            for instance in instances:
                instance.state(20.0 - number / 100, DESK)
        for instance in instances:
            if instance.cold.may_send(DESK, "r"):
                instance.cold.record_sent(DESK)
                sent.append(now)
        network.run_for(0.01)
    begun = sent[0]
    assert begun > 11.0
    window = max(
        sum(first <= at <= first + 1.0 for at in sent) for first in sent
    )
    assert window <= PER_SECOND
    assert len(sent) >= 0.9 * 3.5 * PER_SECOND
    # A line for each heartbeat would fill the log.
    assert all(len(instance.lines) == 1 for instance in instances)


def test_an_instance_that_reaches_few_members_sends_nothing(network) -> None:
    # The others may have the shares that it would take for its own.
    alone = Instance(
        network, "10.1.0.1:70", members=make_members(["10.1.0.2:70"], known=4)
    )
    alone.state(20.0, DESK)
    network.run_for(3.0)
    assert not alone.cold.may_send(DESK, "r")
    alone.state(0.0, DESK)
    assert alone.cold.may_send(DESK, "r")


def test_a_request_that_no_owner_grants_avoids_cold_engines(network) -> None:
    # A request that names no model has no owner to ask.
    one = Instance(network, "10.1.0.1:70")
    one.state(20.0)
    network.run_for(3.0)
    assert not one.cold.may_send(ENGINE, "r")


def test_a_forwarded_request_uses_the_share(network) -> None:
    # A share that is asked and never used up is no limit.
    one = Instance(network, "10.1.0.1:70")
    one.state(math.inf, DESK)
    network.run_for(3.0)
    sent = []
    request = types.SimpleNamespace(request_id="r")
    context = types.SimpleNamespace(
        cold=one.cold,
        choice=service_choice.ServiceChoice(rng=network.random),
        data_centre="dc-a",
        timers=one.node.timers,
        fleet=one.fleet,
    )
    forwarding = types.SimpleNamespace(
        context=context,
        admitted=types.SimpleNamespace(
            request=request, service=types.SimpleNamespace(name="desk")
        ),
        is_key_valid=lambda: True,
        refuse_if_version_gone=lambda: False,
        _candidates=lambda: {DESK.name: DESK},
        _turn=types.SimpleNamespace(applies=lambda records: False),
        _allowed_wait_seconds=lambda: 1.0,
        send=lambda record, version: sent.append(record.name),
    )
    forwarding._choose = lambda candidates: (
        service_forwarding.ServiceForwarding._choose(forwarding, candidates)
    )
    results = [
        service_forwarding.ServiceForwarding.try_room(forwarding)
        for _ in range(12)
    ]
    assert results == [True] * 9 + [False] * 3
    assert sent == [DESK.name] * 9
    assert one.counters.value(cold_endpoints.HELD_COUNTER) == 1
