"""Nothing more reaches the endpoints of an evacuated data centre."""

from __future__ import annotations

import types

import pytest

from boragefold.entry import engine_forwarding
from boragefold.entry import engine_owner
from boragefold.entry import owner_client
from boragefold.entry import request_context
from boragefold.entry import request_guard
from boragefold.entry import service_forwarding
from boragefold.policy import engine_decisions
from boragefold.protocol import ids
from boragefold.protocol import peer_messages as messages
from boragefold.state import deployment
from boragefold.state import fleet as fleets
from boragefold.telemetry import counters
from boragefold.transport import exchange as exchanges
from tests.fakes import crash_walk
from tests.fakes import engine_loads
from tests.fakes import gateways
from tests.fakes import leases
from tests.fakes import network as networks

ADAPTER = engine_loads.key("a1")
OWNER = ids.InstanceId("dc-c", "10.1.0.9:70", "owner")
SERVICE = deployment.Service("llm", "/health", 100, engine_loads.ENGINE)
# Enough for a connection and the request on it.
SEND_SECONDS = 0.01
# A request that broke waits no longer than this before it is sent again.
PAUSE_SECONDS = 0.1


class Link:
    """Keeps what is sent to the owner, whose replies the test gives."""

    self_id = ids.InstanceId("dc-a", "10.1.0.1:70", "self")

    def __init__(self) -> None:
        self.sent = []
        self.handlers = {}

    def send(self, *, to, body) -> None:
        self.sent.append(body)

    def subscribe(self, kind, handler) -> None:
        self.handlers[kind] = handler

    def asked(self):
        return [
            body.engine
            for body in self.sent
            if isinstance(body, messages.EngineAsk)
        ]


class Case:
    """Requests at one instance, and an owner that the test plays."""

    def __init__(self) -> None:
        self.walk = crash_walk.CrashWalk(
            seed=1, schedule=crash_walk.Schedule(endpoints=0), instances=4
        )
        self.walk.run(crash_walk.WARM_UP_SECONDS)
        self.instance = next(iter(self.walk.instances.values()))
        self.fleet = self.instance.published
        self.fleet.set_deployment(
            crash_walk.DEPLOYMENT._replace(
                version=2,
                services={**crash_walk.DEPLOYMENT.services, "llm": SERVICE},
            )
        )
        self.answers = []
        self.link = Link()
        self.owner: ids.InstanceId | None = OWNER
        self.client = owner_client.OwnerClient(
            link=self.link,
            members=types.SimpleNamespace(reachable=lambda: ()),
            ownership=types.SimpleNamespace(owner=lambda engine: self.owner),
            fleet=self.fleet,
            timers=self.instance.node.timers,
            health=lambda endpoint: 1.0,
        )

    def add(self, service, count, *, centres=gateways.CENTRES) -> None:
        prefix = "e" if service == "llm" else "desk"
        for number in range(count):
            record = gateways.engine(f"{prefix}-{number}")._replace(
                service=service,
                address=f"10.9.0.1:{len(self.walk.endpoints) + 1}",
                data_centre=centres[number % len(centres)],
                held={"base": {"a1": 1}},
            )
            self.walk.endpoints[record.name] = crash_walk.Endpoint(
                record=record
            )
            self.fleet.set_endpoint(record)

    def forward(self, *, service="desk"):
        guard = request_guard.RequestGuard(
            quarantine=self.instance.context.crashes.quarantine,
            request_id="r1",
            compute_fingerprint=lambda: 77,
            shared_parts=(),
        )
        connection = crash_walk.Connection(
            on_end=lambda *answer: self.answers.append(answer)
        )
        is_engine = service == "llm"
        request = crash_walk.caller_request("/reads/")
        common = {
            "admitted": request_context.AdmittedRequest(
                request=request._replace(
                    adapter=ADAPTER if is_engine else None
                ),
                route=crash_walk.DEPLOYMENT.route_of(
                    crash_walk.HOST, "/reads/"
                ),
                service=self.fleet.deployment.services[service],
                workspace=None,
                arrived_at_seconds=self.walk.now(),
                charged=0.0,
                guard=guard,
            ),
            "exchange": exchanges.Exchange(connection=connection),
            "context": self.instance.context,
        }
        if not is_engine:
            forwarding = service_forwarding.ServiceForwarding(**common)
        else:
            forwarding = engine_forwarding.EngineForwarding(
                client=self.client,
                owner=types.SimpleNamespace(statuses=lambda: ()),
                adapter=ADAPTER,
                self_id=self.link.self_id,
                **common,
            )
        forwarding.start()
        return forwarding

    def grant(self, engine) -> None:
        self.link.handlers[messages.EngineGrant](
            OWNER, messages.EngineGrant("r1", engine, 1, 0.0, 0.0, 0.0)
        )

    def refuse(self, engine) -> None:
        self.link.handlers[messages.EngineRefusal](
            OWNER,
            messages.EngineRefusal(
                "r1", engine, engine_decisions.EVACUATED, 0.0
            ),
        )

    def evacuate(self, endpoint, *, evacuated=True):
        centre = self.fleet.endpoint(endpoint).data_centre
        self.fleet.set_evacuated(centre, evacuated)
        return centre

    def ran(self):
        return [
            name
            for name, endpoint in self.walk.endpoints.items()
            if endpoint.runs
        ]


@pytest.fixture
def case(monkeypatch):
    monkeypatch.setattr(crash_walk, "SHORT_RUN_SECONDS", (1.0, 1.0))
    monkeypatch.setattr(crash_walk, "LONG_RUN_SECONDS", (1.0, 1.0))
    return Case()


def test_a_connection_that_opens_meanwhile_isnt_used(case) -> None:
    # The endpoint was chosen before the evacuation.
    case.add("desk", 3)
    forwarding = case.forward()
    (chosen,) = forwarding._sent_to
    case.evacuate(chosen)
    case.walk.run(SEND_SECONDS)
    (used,) = case.ran()
    assert used != chosen
    # It isn't held against the endpoint when the data centre is used again.
    choice = case.instance.context.choice
    assert choice.health(chosen, now_seconds=case.walk.now()) == 1.0
    case.walk.run(2.0)
    assert [status for status, _ in case.answers] == [200]


def test_a_retry_that_is_due_goes_elsewhere(case) -> None:
    # The pause before a retry began before the evacuation.
    case.add("desk", 3)
    case.forward()
    case.walk.run(SEND_SECONDS)
    (first,) = case.ran()
    case.walk.crash(case.walk.endpoints[first], b"")
    others = {"desk-0", "desk-1", "desk-2"} - {first}
    evacuated = sorted(others)[0]
    case.evacuate(evacuated)
    case.walk.run(PAUSE_SECONDS + SEND_SECONDS)
    assert set(case.ran()) == {first, *(others - {evacuated})}


def test_a_service_without_another_endpoint_is_refused_as_evacuated(
    case,
) -> None:
    # After the removal the same endpoint is used at once.
    case.add("desk", 1)
    case.evacuate("desk-0")
    case.forward()
    ((status, text),) = case.answers
    assert (status, case.ran()) == (503, [])
    assert '"reason":"evacuated"' in text
    case.evacuate("desk-0", evacuated=False)
    case.forward()
    case.walk.run(SEND_SECONDS)
    assert case.ran() == ["desk-0"]


def test_a_running_response_goes_on(case) -> None:
    case.add("desk", 1)
    case.forward()
    case.walk.run(SEND_SECONDS)
    case.evacuate("desk-0")
    case.walk.run(2.0)
    assert [status for status, _ in case.answers] == [200]


def test_a_request_leaves_an_owner_that_doesnt_know(case) -> None:
    # The owner is cut off from the store and would keep the request queued.
    case.add("llm", 3)
    case.forward(service="llm")
    (first,) = case.link.asked()
    case.evacuate(first)
    case.client.retry_pending()
    assert messages.RunEnded("r1", first, False) in case.link.sent
    _, second = case.link.asked()
    assert second != first


def test_a_grant_on_its_way_isnt_used(case) -> None:
    case.add("llm", 3)
    forwarding = case.forward(service="llm")
    (first,) = case.link.asked()
    case.evacuate(first)
    case.grant(first)
    # No connection is opened for it either.
    assert not forwarding._sent_to
    case.walk.run(SEND_SECONDS)
    assert not case.ran()
    assert len(case.link.asked()) == 2


def test_a_granted_request_whose_connection_opens_isnt_written(case) -> None:
    case.add("llm", 3)
    case.forward(service="llm")
    (first,) = case.link.asked()
    case.grant(first)
    case.evacuate(first)
    case.walk.run(SEND_SECONDS)
    assert not case.ran()
    assert case.link.asked()[1:] not in ([], [first])


def test_an_engine_without_an_owner_gets_nothing(case) -> None:
    case.owner = None
    case.add("llm", 1)
    case.forward(service="llm")
    case.evacuate("e-0")
    case.walk.run(SEND_SECONDS)
    assert not case.ran()
    case.evacuate("e-0", evacuated=False)
    case.walk.run(2 * engine_forwarding.RETRY_SECONDS)
    assert case.ran() == ["e-0"]


def test_owners_refusals_dont_use_up_the_tries(case) -> None:
    # Refused by all engines of the data centre one after the other, a request
    # was refused though engines elsewhere had room.
    case.add("llm", 12, centres=[*["dc-b"] * 11, "dc-c"])
    case.forward(service="llm")
    (first,) = case.link.asked()
    assert case.fleet.endpoint(first).data_centre == "dc-b"
    case.refuse(first)
    assert case.link.asked() == [first, "e-11"]
    case.grant("e-11")
    case.walk.run(SEND_SECONDS)
    assert case.ran() == ["e-11"]


class Owner:
    """An owner of one engine with an adapter, and what it replies."""

    def __init__(self) -> None:
        self.network = networks.Network(seed=1)
        node = self.network.start("dc-a", "10.1.0.1:70")
        self.asker = self.network.start("dc-a", "10.1.0.2:70")
        self.replies = []
        for kind in (messages.EngineGrant, messages.EngineRefusal):
            self.asker.link.subscribe(
                kind, lambda sender, body: self.replies.append(body)
            )
        self.fleet = fleets.Fleet()
        self.fleet.set_deployment(
            crash_walk.DEPLOYMENT._replace(services={"llm": SERVICE})
        )
        self.record = gateways.engine("e1")
        self.fleet.set_endpoint(self.record)
        self.owner = engine_owner.EngineOwner(
            link=node.link,
            fleet=self.fleet,
            dialect=types.SimpleNamespace(report_call=lambda record: None),
            client=types.SimpleNamespace(send=lambda call, sink: None),
            timers=node.timers,
            counters=counters.Counters(),
            log=types.SimpleNamespace(write=lambda event, **fields: None),
            lease_seconds=3.0,
            issuer=1,
            leases=leases.alone(node),
            count_other_loads=lambda: 0,
            owner_change=gateways.no_change,
        )
        self.owner.set_owned([self.record])
        self.schedule = self.owner._owned["e1"].schedule
        self.schedule.slots.apply_report(
            {engine_loads.MODEL: {"a1": 1}}, {}, now_seconds=0.0
        )
        self.node = node

    def ask(self, request_id, adapter, *, output=50) -> None:
        body = messages.EngineAsk(
            request_id=request_id,
            engine="e1",
            model=engine_loads.MODEL,
            adapter=adapter,
            prompt_tokens=500,
            output_tokens=output,
            priority=0,
            on_time_in_seconds=1.0,
            give_up_in_seconds=4.0,
            ends_in_seconds=5.0,
        )
        self.asker.link.send(to=self.node.self_id, body=body)
        self.network.run_for(0.01)

    def evacuate(self) -> None:
        self.fleet.set_evacuated("dc-a", True)
        self.owner.run()
        self.network.run_for(0.01)

    def reasons(self):
        return [
            (reply.request_id, getattr(reply, "reason", "granted"))
            for reply in self.replies
        ]


@pytest.fixture
def owner():
    return Owner()


def test_an_owner_refuses_what_is_queued_and_keeps_what_runs(owner) -> None:
    owner.ask("runs", "a1", output=engine_loads.ENGINE.kv_tokens - 600)
    owner.ask("waits", "a1")
    assert owner.schedule.queued == 1
    owner.evacuate()
    assert owner.reasons() == [("runs", "granted"), ("waits", "evacuated")]
    assert owner.schedule.running == 1
    owner.ask("new", "a1")
    assert owner.reasons()[2:] == [("new", "evacuated")]


def test_an_owner_doesnt_repeat_a_grant_that_was_lost(owner) -> None:
    owner.ask("lost", "a1")
    owner.evacuate()
    owner.ask("lost", "a1")
    assert owner.reasons() == [("lost", "granted"), ("lost", "evacuated")]
    assert not owner.schedule.running


def test_only_loaded_adapters_run_on_until_they_move(owner) -> None:
    # No adapter is loaded any more: its requests would wait in vain.
    owner.fleet.evacuations.limit_seconds = 1000.0
    owner.fleet.set_evacuated("dc-a", True, changed_at_seconds=0.0)
    owner.ask("loaded", "a1")
    owner.ask("missing", "a2")
    assert owner.reasons() == [("loaded", "granted"), ("missing", "evacuated")]
