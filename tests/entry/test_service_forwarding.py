"""Requests of a plain service whose endpoints report factors."""

from __future__ import annotations

import random
import types

import pytest

from boragefold.entry import dialect as dialects
from boragefold.entry import load_reports
from boragefold.entry import room_queue
from boragefold.entry import service_forwarding
from boragefold.policy import service_choice
from boragefold.state import fleet as fleets
from boragefold.telemetry import counters as telemetry
from boragefold.timing import clock as clocks
from boragefold.timing import timers as timing
from tests.fakes import gateways

SERVICE = "desk"
RECORD = gateways.engine("e1")._replace(service=SERVICE, slots=6)
FACTS = dialects.AnswerFacts(
    status=200,
    not_run=False,
    not_held=False,
    signed=True,
    leaving=False,
    busy=0,
    slots=6,
    work_factor=1.0,
)


class Side:
    """One instance, and what it logged."""

    def __init__(self) -> None:
        self.clock = clocks.VirtualClock()
        self.timers = timing.TimerService(clock=self.clock)
        self.counters = telemetry.Counters()
        self.choice = service_choice.ServiceChoice(rng=random.Random(1))
        self.rooms = room_queue.RoomQueue(
            timers=self.timers, counters=self.counters
        )
        self.fleet = fleets.Fleet()
        self.fleet.set_endpoint(RECORD)
        self.fleet.deployment = types.SimpleNamespace(
            routes=[_route(0), _route(1)]
        )
        self.data_centre = RECORD.data_centre
        self.cold = types.SimpleNamespace(
            may_send=lambda record, request_id: True,
            record_sent=lambda record: None,
        )
        self.lines = []
        self.log = types.SimpleNamespace(
            write_ordinary=lambda event, **fields: self.lines.append(fields)
        )

    def observe(self, busy: int, *, factor: float | None = 1.0) -> None:
        self.choice.sent(RECORD.name, now_seconds=self.timers.now_seconds())
        facts = FACTS._replace(busy=busy, work_factor=factor)
        load_reports.record(facts, record=RECORD, context=self)
        self.choice.ended(
            RECORD.name,
            failed=False,
            took_seconds=0.06 * (1 + max(0, busy - 5) / 6),
            now_seconds=self.timers.now_seconds(),
        )

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.02)):
            self.clock.move_to(self.clock.now_seconds() + 0.02)
            self.timers.run_due()


class Request(service_forwarding.ServiceForwarding):
    """A request that isn't really sent."""

    finished = False

    def __init__(self, side, *, priority=1, seconds=1.0) -> None:
        self.context = side
        self.admitted = types.SimpleNamespace(
            route=_route(priority),
            service=types.SimpleNamespace(name=SERVICE),
            request=types.SimpleNamespace(request_id="r", adapter=None),
            workspace=None,
            arrived_at_seconds=side.clock.now_seconds(),
        )
        self.deadline_at_seconds = side.clock.now_seconds() + seconds
        self._sent_to = []
        self.ends = []

    def may_send_to(self, endpoint) -> bool:
        return True

    def is_key_valid(self) -> bool:
        return True

    def refuse_if_version_gone(self) -> bool:
        return False

    def may_repeat(self, *arguments, **fields) -> bool:
        return False

    def send(self, record, version) -> None:
        self.ends.append("sent")

    def refuse(self, kind, reason, retry_after_seconds=0.0) -> None:
        self.ends.append((reason, retry_after_seconds))


def _route(priority):
    return types.SimpleNamespace(
        priority=priority,
        target_seconds=0.2,
        services=(types.SimpleNamespace(service=SERVICE),),
    )


@pytest.fixture
def side():
    return Side()


def begin(side, **fields):
    request = Request(side, **fields)
    request.begin()
    return request


def test_a_request_waits_while_the_endpoint_would_be_late(side) -> None:
    side.observe(29)
    request = begin(side)
    assert request.ends == []
    side.observe(0)
    side.run(0.1)
    assert request.ends == ["sent"]
    assert request.decision_fields()["on_time"]


def test_the_more_urgent_request_goes_first(side) -> None:
    side.observe(29)
    ordinary, urgent = begin(side), begin(side, priority=0)
    # It leaves room for one, and the other waits behind it.
    order = []
    ordinary.send = lambda *_, **__: order.append("ordinary")
    urgent.send = lambda *_, **__: order.append("urgent")
    side.observe(0)
    side.run(0.1)
    assert order == ["urgent", "ordinary"]


def test_what_cant_be_served_is_refused_at_once(side) -> None:
    side.observe(29)
    request = begin(side, seconds=0.15)
    ((reason, retry_after_seconds),) = request.ends
    assert reason == "late_by_estimate"
    assert 0.3 <= retry_after_seconds <= 5.0


def test_a_rejected_request_returns_when_there_is_room(side) -> None:
    side.observe(29)
    request = Request(side)
    facts = FACTS._replace(status=503, not_run=True, busy=30)
    request.on_attempt_rejected(RECORD.name, facts)
    ((reason, retry_after_seconds),) = request.ends
    assert reason == "endpoint_full"
    assert retry_after_seconds >= 0.3


def test_without_factors_nothing_waits(side) -> None:
    # Deployments with three figures keep their choice.
    side.observe(29, factor=None)
    request = begin(side)
    assert request.ends == ["sent"]
    assert request.rank == ()
    assert request.decision_fields() == {}


@pytest.mark.parametrize(
    ("changes", "reason"),
    [
        ({"unread_load_figures": (3,), "slots": None}, "unreadable"),
        ({"slots": None}, "missing"),
        ({"work_factor": 0.0}, "factor_clamped"),
        ({"work_factor": 1e6}, "factor_clamped"),
    ],
)
def test_a_faulty_report_is_used_and_logged(side, changes, reason) -> None:
    load_reports.record(FACTS._replace(**changes), record=RECORD, context=side)
    assert side.choice.finish.reports_factor(RECORD.name, now_seconds=0.1)
    assert [line["reason"] for line in side.lines] == [reason]
    assert side.counters.value("load_reports_faulty", reason) == 1
