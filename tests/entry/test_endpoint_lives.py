"""Which life of an endpoint is at the other end of a connection."""

from __future__ import annotations

import json
import types

import engines
import pytest

from boragefold.entry import endpoint_lives
from boragefold.state import fleet as fleets
from boragefold.telemetry import counters as telemetry
from boragefold.transport import http_client
from tests.fakes import gateways

RECORD = gateways.engine("e1")._replace(
    born_milliseconds=7, software_version="v1"
)


class Client:
    """Takes calls, and answers them when the test says so."""

    def __init__(self):
        self.calls = []
        self.idle = []
        self.opened_at_seconds = 0.0

    def send(self, call, sink):
        connection = types.SimpleNamespace(
            address=call.address, opened_at_seconds=self.opened_at_seconds
        )
        pending = types.SimpleNamespace(last_connection=connection)
        self.calls.append((sink, connection))
        return pending

    def is_idle(self, connection):
        return connection in self.idle


class Case:
    def __init__(self):
        self.now_seconds = 10.0
        self.client = Client()
        self.fleet = fleets.Fleet()
        self.fleet.set_endpoint(RECORD)
        self.lives = endpoint_lives.EndpointLives(
            client=self.client,
            fleet=self.fleet,
            dialect=engines.PlatformEngines(instance_name="gateway"),
            timers=types.SimpleNamespace(now_seconds=lambda: self.now_seconds),
            counters=telemetry.Counters(),
        )
        self.confirmed = []

    def connect(self):
        return types.SimpleNamespace(
            address=RECORD.address,
            opened_at_seconds=self.now_seconds,
            received_at_seconds=self.now_seconds,
        )

    def answer(self, born, *, stays_open=True):
        sink, connection = self.client.calls.pop(0)
        if stays_open:
            self.client.idle.append(connection)
        body = {} if born is None else {"born": born}
        sink.head(200, {})
        sink.data(json.dumps(body).encode())
        sink.end(http_client.Framing.LENGTH)
        return connection

    def fail(self):
        sink, _ = self.client.calls.pop(0)
        sink.failed(
            http_client.Failure(reason="refused", may_have_arrived=False)
        )

    def confirm(self):
        self.lives.confirm(RECORD, self.confirmed.append)


@pytest.fixture
def case():
    return Case()


def test_a_report_tells_the_life_of_connections_opened_before(case) -> None:
    connection = case.connect()
    assert case.lives.find("e1", connection) is None
    case.lives.observe(RECORD, connection)
    case.answer(7)
    assert case.lives.find("e1", connection) == RECORD.life


@pytest.mark.parametrize(
    ("opened_after_seconds", "life"), [(-0.001, RECORD.life), (0.001, None)]
)
def test_a_report_on_a_connection_opened_behind_the_data_tells_nothing(
    case, opened_after_seconds, life
) -> None:
    # The endpoint may have started again when the stream had ended.
    connection = case.connect()
    case.client.opened_at_seconds = case.now_seconds + opened_after_seconds
    case.lives.observe(RECORD, connection)
    assert case.lives.is_observed("e1")
    case.answer(7)
    assert not case.lives.is_observed("e1")
    assert case.lives.find("e1", connection) == life


def test_a_report_tells_nothing_of_a_connection_opened_later(case) -> None:
    # The endpoint may have started again in between.
    case.lives.observe(RECORD, case.connect())
    case.now_seconds += 0.001
    later = case.connect()
    case.answer(7)
    assert case.lives.find("e1", later) is None


def test_connections_opened_meanwhile_are_asked_for_once_more(case) -> None:
    case.lives.observe(RECORD, case.connect())
    case.now_seconds += 0.001
    later = case.connect()
    for _ in range(5):
        case.lives.observe(RECORD, later)
    assert len(case.client.calls) == 1
    case.answer(7)
    case.answer(7)
    assert case.lives.find("e1", later) == RECORD.life
    assert not case.client.calls


def test_a_known_connection_isnt_asked_for_again(case) -> None:
    connection = case.connect()
    case.lives.observe(RECORD, connection)
    case.answer(7)
    case.lives.observe(RECORD, connection)
    assert not case.client.calls


def test_an_endpoint_that_tells_nothing_is_asked_rarely(case) -> None:
    connection = case.connect()
    case.lives.observe(RECORD, connection)
    case.fail()
    case.lives.observe(RECORD, connection)
    assert not case.client.calls
    case.now_seconds += endpoint_lives.FAILED_PAUSE_SECONDS
    case.lives.observe(RECORD, connection)
    assert len(case.client.calls) == 1


def test_an_entry_of_another_life_tells_no_version(case) -> None:
    # The endpoint has started again, and its entry is on its way.
    connection = case.connect()
    case.lives.observe(RECORD, connection)
    case.answer(8)
    life = case.lives.find("e1", connection)
    assert (life.born_milliseconds, life.software_version) == (8, "")


def test_a_life_is_confirmed_with_the_connection_that_told_it(case) -> None:
    case.confirm()
    connection = case.answer(7)
    assert case.confirmed == [
        endpoint_lives.ConfirmedLife(RECORD.life, connection)
    ]


def test_a_life_is_asked_for_again_when_its_connection_closes(case) -> None:
    case.confirm()
    case.answer(7, stays_open=False)
    connection = case.answer(7)
    ((_, confirmed),) = case.confirmed
    assert confirmed is connection


@pytest.mark.parametrize("born", [None, 0])
def test_an_endpoint_that_tells_no_start_isnt_confirmed(case, born) -> None:
    case.confirm()
    case.answer(born)
    assert case.confirmed == [None]


def test_an_endpoint_that_closes_every_connection_isnt_confirmed(
    case,
) -> None:
    case.confirm()
    for _ in range(endpoint_lives.MAX_REPORTS):
        case.answer(7, stays_open=False)
    assert case.confirmed == [None]


def test_an_endpoint_that_cant_be_asked_isnt_confirmed(case) -> None:
    case.confirm()
    case.fail()
    assert case.confirmed == [None]
