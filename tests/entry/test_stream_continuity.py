"""Where the stream of one request may begin, go on and be taken up."""

from __future__ import annotations

import types

import pytest

from boragefold.coordination.fleet import stream_origins
from boragefold.entry import endpoint_lives
from boragefold.entry import refusals
from boragefold.entry import stream_continuity
from boragefold.entry import stream_keys
from boragefold.entry import stream_take_up
from boragefold.state import deployment
from boragefold.state import fleet as fleets
from boragefold.telemetry import counters as telemetry
from tests.fakes import gateways

CONNECTION = object()


def make_record(name, version, born=1):
    return gateways.engine(name)._replace(
        software_version=version, born_milliseconds=born
    )


RECORDS = [
    make_record("e1", "v1"),
    make_record("e2", "v1"),
    make_record("e3", "v2"),
]
ROUTE = deployment.Route(
    name="drafts",
    host="press.example",
    prefix="/drafts/",
    kind=deployment.RouteKind.STREAM,
    services=(deployment.WeightedService("llm", 1.0),),
    timeout_seconds=4.0,
    target_seconds=1.0,
    event_gap_seconds=0.4,
    priority=0,
    max_attempts=2,
    public=True,
    resumable=True,
)


class Lives:
    """Answers at once what a test has set."""

    def __init__(self):
        self.present = {}
        self.known = True
        self.is_asked = False
        self.observed = []

    def find(self, endpoint, connection):
        return self.present.get(endpoint) if self.known else None

    def observe(self, record, connection):
        self.observed.append(record.name)

    def is_observed(self, endpoint):
        return self.is_asked

    def confirm(self, record, on_confirmed):
        life = self.present.get(record.name)
        on_confirmed(life and endpoint_lives.ConfirmedLife(life, CONNECTION))


class Case:
    def __init__(self, origin=None, route=ROUTE):
        self.lives = Lives()
        self.lives.present = {record.name: record.life for record in RECORDS}
        self.published = []
        self.lines = []
        self.fleet = fleets.Fleet()
        for record in RECORDS:
            self.fleet.set_endpoint(record)
        self.context = types.SimpleNamespace(
            fleet=self.fleet,
            counters=telemetry.Counters(),
            log=types.SimpleNamespace(
                write=self._log, write_ordinary=self._log
            ),
            streams=types.SimpleNamespace(
                lives=self.lives,
                origins=types.SimpleNamespace(publish=self._publish),
            ),
        )
        self.continuity = stream_continuity.StreamContinuity(
            admitted=types.SimpleNamespace(
                request=types.SimpleNamespace(
                    request_id="r1", deadline_seconds=4.0, adapter=None
                ),
                route=route,
                workspace=None,
                service=types.SimpleNamespace(name="llm"),
                origin=origin,
            ),
            context=self.context,
        )
        self.allowed = []

    def _log(self, event, **fields):
        self.lines.append((event, fields))

    def _publish(self, key, origin, *, keep_seconds):
        self.published.append((key, origin, keep_seconds))

    def send_events(self, record=RECORDS[0]):
        self.continuity.record_events(record, CONNECTION)

    def allows(self):
        return [r.name for r in RECORDS if self.continuity.allows(r.name)]

    def confirm(self, record):
        self.continuity.confirm(record, self.allowed.append)


def test_a_stream_without_an_event_may_begin_anywhere() -> None:
    case = Case()
    assert case.allows() == ["e1", "e2", "e3"]
    assert not case.continuity.lacks_endpoint()


def test_a_stream_with_an_event_goes_on_at_its_version_only() -> None:
    case = Case()
    case.send_events()
    assert case.allows() == ["e1", "e2"]


def test_a_stream_of_an_unknown_life_goes_on_nowhere() -> None:
    case = Case()
    case.lives.known = False
    case.send_events()
    assert not case.allows()
    assert case.continuity.lacks_endpoint()
    assert case.lives.observed == ["e1"]


def test_a_life_that_turns_out_behind_the_last_event_counts() -> None:
    # A stream that broke sooner than its engine reported was broken off.
    case = Case()
    case.lives.known, case.lives.is_asked = False, True
    case.send_events()
    assert not case.continuity.lacks_endpoint()
    case.lives.known, case.lives.is_asked = True, False
    assert case.allows() == ["e1", "e2"]


def test_a_stream_goes_on_nowhere_while_its_life_is_asked_for() -> None:
    case = Case()
    case.lives.known, case.lives.is_asked = False, True
    case.send_events()
    assert case.allows() == ["e1", "e2", "e3"]
    case.confirm(RECORDS[1])
    assert case.allowed == [None]


def test_a_life_that_turns_out_at_a_later_event_counts() -> None:
    case = Case()
    case.lives.known = False
    case.send_events()
    case.lives.known = True
    case.send_events()
    assert case.allows() == ["e1", "e2"]


def test_events_read_late_tell_no_life() -> None:
    # The endpoint may have started again while nobody read its events.
    case = Case()
    case.lives.known = False
    case.send_events()
    case.continuity.record_pause()
    case.lives.known = True
    case.send_events()
    assert not case.allows()


def test_keepers_are_told_once_and_of_the_first_life() -> None:
    case = Case()
    case.send_events()
    case.send_events(RECORDS[1])
    ((key, origin, keep_seconds),) = case.published
    assert key == stream_keys.compute("r1", ROUTE, None)
    assert origin == RECORDS[0].life
    assert keep_seconds > 4.0


def test_a_stream_that_cant_be_resumed_costs_nothing() -> None:
    case = Case(route=ROUTE._replace(resumable=False))
    case.continuity.record_sent(RECORDS[0], CONNECTION)
    case.send_events()
    assert not case.published
    assert not case.lives.observed


def test_a_stream_taken_up_keeps_its_origin() -> None:
    # The caller names an attempt that was a take-up itself.
    case = Case(origin=RECORDS[0].life)
    assert case.allows() == ["e1", "e2"]
    case.send_events(RECORDS[1])
    ((_, origin, _),) = case.published
    assert origin == RECORDS[0].life


def test_a_version_stated_after_the_first_event_counts() -> None:
    case = Case(origin=RECORDS[0].life._replace(software_version=""))
    assert case.allows() == ["e1", "e2"]


def test_an_endpoint_that_fits_by_its_present_life_is_allowed() -> None:
    case = Case(origin=RECORDS[0].life)
    case.confirm(RECORDS[1])
    assert case.allowed == [CONNECTION]


@pytest.mark.parametrize(
    "present",
    [None, RECORDS[1].life._replace(born_milliseconds=2, software_version="")],
    ids=["tells nothing", "another life"],
)
def test_an_endpoint_whose_entry_isnt_confirmed_is_left_out(present) -> None:
    # It has started again under its name, at another version.
    case = Case(origin=RECORDS[0].life)
    case.lives.present["e2"] = present
    case.confirm(RECORDS[1])
    assert case.allowed == [None]
    assert case.allows() == ["e1"]
    event, fields = case.lines[-1]
    assert event == "continuation_decided"
    assert fields["allowed"] is False
    assert fields["began"]["software_version"] == "v1"


def test_a_version_that_is_gone_is_noticed() -> None:
    case = Case(origin=RECORDS[2].life)
    assert not case.continuity.lacks_endpoint()
    case.fleet.drop_endpoint("e3")
    assert case.continuity.lacks_endpoint()


def found(origin, source):
    return stream_origins.FoundOrigin(origin, source, 3, 0.01)


def test_a_known_stream_is_taken_up() -> None:
    take_up = stream_take_up.decide(
        found(RECORDS[0].life, stream_origins.Source.KEEPER), ROUTE
    )
    assert take_up.refusal is None
    assert take_up.origin == RECORDS[0].life


def test_a_stream_of_another_service_isnt_taken_up() -> None:
    # The route has moved to another service since the stream began.
    moved = ROUTE._replace(services=(deployment.WeightedService("new", 1.0),))
    take_up = stream_take_up.decide(
        found(RECORDS[0].life, stream_origins.Source.OWN), moved
    )
    assert take_up.refusal is refusals.STREAM_UNKNOWN


def test_waiting_helps_only_where_news_may_come() -> None:
    unknown = stream_take_up.decide(
        found(None, stream_origins.Source.NOBODY), ROUTE
    )
    silent = stream_take_up.decide(
        found(None, stream_origins.Source.SILENT), ROUTE
    )
    assert not unknown.refusal.retryable
    assert silent.refusal.retryable


def test_an_attempt_of_another_workspace_or_route_isnt_found() -> None:
    # A caller names an attempt that isn't its own.
    workspaces = [
        None,
        deployment.Workspace("a", frozenset(), None, 0, 0, False, 0),
        deployment.Workspace("b", frozenset(), None, 0, 0, False, 0),
    ]
    routes = [ROUTE, ROUTE._replace(name="notes")]
    keys = {
        stream_keys.compute(name, route, workspace)
        for name in ("r1", "r2", "r" * 8_000)
        for route in routes
        for workspace in workspaces
    }
    assert len(keys) == 3 * len(routes) * len(workspaces)
