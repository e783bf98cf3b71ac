"""The right of one request to be written to a connection."""

from __future__ import annotations

import random
import types

import pytest

from boragefold.entry import repeats
from boragefold.entry import request_sendings
from boragefold.policy import fleet_part
from boragefold.policy import repeat_decision
from boragefold.telemetry import counters as telemetry
from tests.fakes import repeat_rule

LIMIT = repeat_rule.LIMIT
BROKEN = repeat_decision.RepeatInputs(
    setback=repeat_decision.Setback.BROKEN,
    may_have_run=True,
    repeatable=True,
    resumable=True,
    earlier_crashes=0,
    has_endpoint=True,
    remaining_seconds=1.0,
)
WRITTEN = request_sendings.Written(
    endpoint="desk-0",
    software_version="v1.2",
    born_milliseconds=7,
    resume_after="3" * 100,
    version=0,
    reused_connection=False,
    connecting_seconds=0.0,
    waited_seconds=0.0,
    remaining_seconds=1.0,
)


class Case:
    def __init__(self):
        self.lines = []
        self.counters = telemetry.Counters()
        self.log = types.SimpleNamespace(
            write=self._write, write_ordinary=self._write
        )
        self.repeats = repeats.Repeats(
            limit=lambda: LIMIT,
            read_part=lambda: fleet_part.PartInputs(1, 0, False),
            timers=types.SimpleNamespace(now_seconds=lambda: 100.0),
            counters=self.counters,
            log=self.log,
            rng=random.Random(1),
        )

    def _write(self, event, **fields):
        self.lines.append((event, fields))

    def sendings(self):
        return request_sendings.RequestSendings(
            repeats=self.repeats,
            request_id="r1",
            service="desk",
            counters=self.counters,
            log=self.log,
        )


@pytest.fixture
def case():
    # Six requests earn one repeat.
    case = Case()
    for _ in range(5):
        case.sendings()
    return case


def test_nothing_is_written_twice_without_a_permit(case) -> None:
    # A layer below the decision sent calls again.
    sendings = case.sendings()
    assert sendings.may_write()
    sendings.record_written(WRITTEN)
    assert not sendings.may_write()
    assert sendings.may_repeat(BROKEN, "desk-0")
    assert sendings.may_write()
    sendings.record_written(WRITTEN)
    assert not sendings.may_write()
    attempts = [
        fields["attempt"]
        for event, fields in case.lines
        if event == "request_sent"
    ]
    assert attempts == [1, 2]


def test_a_sending_tells_where_a_stream_goes_on(case) -> None:
    case.sendings().record_written(WRITTEN)
    ((_, fields),) = case.lines
    assert fields["software_version"] == "v1.2"
    assert fields["born_milliseconds"] == 7
    assert fields["resume_after"] == "3" * request_sendings.MAX_LOGGED_ID


def test_a_request_that_ends_gives_its_permit_to_others(case) -> None:
    first, second = case.sendings(), case.sendings()
    assert first.may_repeat(BROKEN, "desk-0")
    assert not second.may_repeat(BROKEN, "desk-0")
    first.close()
    assert second.may_repeat(BROKEN, "desk-0")


def test_a_decision_tells_its_inputs(case) -> None:
    case.sendings().may_repeat(BROKEN._replace(repeatable=False), "desk-0")
    ((event, fields),) = case.lines
    assert event == "repeat_decided"
    assert fields["obstacle"] == "not_idempotent"
    assert fields["setback"] == "broken"
    assert fields["window_requests"] == 6
