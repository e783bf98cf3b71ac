"""Every send of a request asks where its stream may go on."""

from __future__ import annotations

import types

import pytest

from boragefold.entry import sent_request
from boragefold.state import deployment
from boragefold.state import fleet as fleets
from boragefold.telemetry import counters as telemetry
from tests.fakes import gateways

CONNECTION = object()
E1 = gateways.engine("e1")._replace(software_version="v1")
E2 = gateways.engine("e2")._replace(software_version="v2")
NEXT_LIFE = E1._replace(born_milliseconds=2, software_version="v2")


def do_nothing(*arguments, **fields) -> None:
    pass


class Request(sent_request.SentRequest):
    """Counts how often it looks for an endpoint."""

    finished = False
    inside_event = False
    resume_after = "3"

    def __init__(self, **options) -> None:
        super().__init__(**options)
        self.begun = 0

    def begin(self) -> None:
        self.begun += 1

    def remaining_seconds(self) -> float:
        return 1.0

    def _do_nothing(self, *arguments, **options) -> None:
        pass

    may_repeat = forward_headers = forward_data = forward_end = _do_nothing
    refuse = on_answer_started = on_attempt_rejected = _do_nothing
    on_attempt_failed = _withdraw = _do_nothing


class Case:
    """A request that takes up a stream of the first endpoint."""

    def __init__(self, origin=E1.life) -> None:
        self.calls = []
        self.answers = []
        self.fleet = fleets.Fleet()
        for record in (E1, E2):
            self.fleet.set_endpoint(record)
        guard = types.SimpleNamespace(
            lease_key=do_nothing,
            begin_sending=do_nothing,
            may_write=lambda: True,
        )
        self.request = Request(
            admitted=types.SimpleNamespace(
                request=types.SimpleNamespace(
                    request_id="r1",
                    adapter=None,
                    http=types.SimpleNamespace(
                        method="POST", target="/", body=b""
                    ),
                ),
                route=types.SimpleNamespace(
                    resumable=True,
                    repeatable=True,
                    max_attempts=2,
                    kind=deployment.RouteKind.STREAM,
                ),
                service=types.SimpleNamespace(name="llm"),
                workspace=None,
                arrived_at_seconds=0.0,
                guard=guard,
                origin=origin,
            ),
            context=types.SimpleNamespace(
                fleet=self.fleet,
                client=types.SimpleNamespace(send=self._send),
                counters=telemetry.Counters(),
                timers=types.SimpleNamespace(now_seconds=lambda: 1.0),
                log=types.SimpleNamespace(write=do_nothing),
                choice=types.SimpleNamespace(sent=do_nothing),
                reach=types.SimpleNamespace(is_down=lambda name: False),
                repeats=types.SimpleNamespace(record_request=do_nothing),
                dialect=types.SimpleNamespace(
                    endpoint_headers=lambda request, target: []
                ),
                crashes=types.SimpleNamespace(
                    leases=None,
                    quarantine=types.SimpleNamespace(watch=do_nothing),
                ),
                streams=types.SimpleNamespace(
                    lives=types.SimpleNamespace(confirm=self._confirm)
                ),
            ),
        )

    def _send(self, call, sink):
        self.calls.append(call)
        return types.SimpleNamespace(may_have_arrived=False)

    def _confirm(self, record, on_confirmed) -> None:
        self.answers.append(on_confirmed)

    def answer(self, life) -> None:
        self.answers.pop()(
            life and types.SimpleNamespace(life=life, connection=CONNECTION)
        )


def test_a_new_stream_is_sent_at_once() -> None:
    case = Case(origin=None)
    case.request.send(E2, 0)
    (call,) = case.calls
    assert call.connection is None
    assert not case.answers


def test_the_rest_of_a_stream_is_sent_where_its_life_was_told() -> None:
    case = Case()
    case.request.send(E1, 0)
    assert not case.calls
    case.answer(E1.life)
    (call,) = case.calls
    assert call.connection is CONNECTION


@pytest.mark.parametrize("life", [None, NEXT_LIFE.life])
def test_the_rest_of_a_stream_isnt_sent_to_another_life(life) -> None:
    # The endpoint started again at another version after it was chosen.
    case = Case()
    case.request.send(E1, 0)
    case.answer(life)
    assert not case.calls
    assert case.request.begun == 1
    assert not case.request.may_send_to("e1")


def test_a_grant_for_an_endpoint_that_has_changed_isnt_used() -> None:
    # Its next life registered while the request waited for the grant.
    case = Case()
    case.fleet.set_endpoint(NEXT_LIFE)
    case.request.send(NEXT_LIFE, 0)
    assert not case.answers
    assert case.request.begun == 1


def test_an_endpoint_of_another_version_isnt_chosen() -> None:
    case = Case()
    assert case.request.may_send_to("e1")
    assert not case.request.may_send_to("e2")


def test_a_request_that_ended_meanwhile_isnt_sent() -> None:
    case = Case()
    case.request.send(E1, 0)
    case.request.finished = True
    case.answer(E1.life)
    assert not case.calls


@pytest.mark.parametrize("origin", [None, E1.life])
def test_a_call_is_not_written_to_an_evacuated_endpoint(origin) -> None:
    # Its connection opened, or its life was confirmed, in the meantime. A
    # trial of a quarantined request is sent in the same way.
    case = Case(origin=origin)
    case.request.send(E1, 0)
    if origin is not None:
        case.answer(E1.life)
    (call,) = case.calls
    assert call.may_send()
    case.fleet.set_evacuated(E1.data_centre, True)
    assert not call.may_send()
    case.fleet.set_evacuated(E1.data_centre, False)
    assert call.may_send()
