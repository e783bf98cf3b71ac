"""Requests to owners of engines, which the test plays."""

from __future__ import annotations

import types

import pytest

from boragefold.entry import owner_client
from boragefold.policy import engine_decisions
from boragefold.protocol import ids
from boragefold.protocol import peer_messages as messages
from boragefold.timing import clock as clocks
from boragefold.timing import timers as timing
from tests.fakes import engine_loads

OWNER = ids.InstanceId("dc-a", "10.1.0.2:70", "owner")
OTHER = ids.InstanceId("dc-a", "10.1.0.3:70", "other")


class Case(owner_client.GrantReceiver):
    """An instance without peers, which records what it sends and learns."""

    def __init__(self):
        self.clock = clocks.VirtualClock()
        self.handlers = {}
        self.sent = []
        self.replies = []
        self.owner = OWNER
        self.client = owner_client.OwnerClient(
            link=self,
            members=types.SimpleNamespace(reachable=list),
            ownership=types.SimpleNamespace(owner=lambda engine: self.owner),
            fleet=types.SimpleNamespace(endpoint=lambda name: None),
            timers=timing.TimerService(clock=self.clock),
            health=lambda endpoint: 1.0,
        )

    def subscribe(self, kind, handler):
        self.handlers[kind] = handler

    def send(self, *, to, body):
        self.sent.append((to, type(body)))

    def reconnect(self, peer):
        pass

    def on_granted(self, engine, version, waits):
        self.replies.append("granted")

    def on_refused(self, engine, reason, retry_after_seconds, wait_seconds):
        self.replies.append(reason)

    def refuse(self, reason):
        body = messages.EngineRefusal("r", "e0", reason, 0.0, 0.0)
        self.handlers[messages.EngineRefusal](OWNER, body)

    def wait(self):
        now_seconds = self.clock.now_seconds()
        self.clock.move_to(now_seconds + 1.1 * owner_client.RETRY_SECONDS)
        self.client.retry_pending()


@pytest.fixture
def case():
    return Case()


def ask(case, *, eager=False):
    request = engine_loads.make_request("r", "a1")._replace(eager=eager)
    case.client.request(case, request, "e0")


def test_an_owner_that_takes_the_engine_up_later_is_asked_again(case) -> None:
    # Peers knew the owner 15 ms before it took the engine up: refused, 503.
    ask(case)
    case.refuse(engine_decisions.NOT_OWNER)
    case.wait()
    assert not case.replies
    assert len(case.sent) == 2


def test_who_stays_no_owner_refuses_in_the_end(case) -> None:
    ask(case)
    for _ in range(owner_client.MAX_NOT_OWNER + 1):
        case.refuse(engine_decisions.NOT_OWNER)
        case.wait()
    assert case.replies == [engine_decisions.NOT_OWNER]


def test_an_eager_request_goes_on_to_the_next_engine(case) -> None:
    ask(case, eager=True)
    case.refuse(engine_decisions.NOT_OWNER)
    assert case.replies == [engine_decisions.NOT_OWNER]


def test_another_owner_ends_the_wait(case) -> None:
    ask(case)
    case.refuse(engine_decisions.NOT_OWNER)
    case.owner = OTHER
    case.wait()
    assert case.replies == ["owner_changed"]
