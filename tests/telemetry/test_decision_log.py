from __future__ import annotations

import json
import os

import pytest

from boragefold.telemetry import counters as telemetry
from boragefold.telemetry import decision_log
from boragefold.telemetry import log_story


class LogPipe:
    def __init__(self):
        self.reader, self.writer = os.pipe()
        self.now = 100.0
        self.partial_line = b""
        self.counters = telemetry.Counters()
        self.log = decision_log.DecisionLog(
            descriptor=self.writer,
            now_seconds=lambda: self.now,
            counters=self.counters,
        )

    def read(self):
        os.set_blocking(self.reader, False)
        parts = []
        while True:
            try:
                part = os.read(self.reader, 65536)
            except BlockingIOError:
                break
            parts.append(part)
        *lines, self.partial_line = (
            self.partial_line + b"".join(parts)
        ).split(b"\n")
        return [json.loads(line) for line in lines]


@pytest.fixture
def log_pipe():
    log_pipe = LogPipe()
    yield log_pipe
    os.close(log_pipe.reader)
    os.close(log_pipe.writer)


def test_a_line_is_one_json_object(log_pipe) -> None:
    log_pipe.log.write("request_ended", request_id="r", took_seconds=0.2)
    (line,) = log_pipe.read()
    assert line["event"] == "request_ended"
    assert line["at_seconds"] == 100.0
    assert line["took_seconds"] == 0.2


def test_a_reader_that_stopped_costs_lines_and_never_a_wait(log_pipe) -> None:
    # Nothing reads the pipe: writes must not block, the buffer must stay
    # bounded, and the log must report the lost lines when reading resumes.
    for number in range(20_000):
        log_pipe.log.write(
            "request_refused", request_id=str(number), pad="x" * 40
        )
    lost = log_pipe.counters.value("log_lines_lost", "not_read")
    assert lost > 1_000
    for _ in range(20):
        log_pipe.read()
        log_pipe.log.flush()
    log_pipe.log.write("started")
    notes = [
        line for line in log_pipe.read() if line["event"] == "log_lines_lost"
    ]
    assert notes == [{"event": "log_lines_lost", "lines": lost}]


def test_ordinary_lines_are_thinned_and_others_never(log_pipe) -> None:
    for _ in range(1_000):
        log_pipe.log.write_ordinary("request_sent")
    log_pipe.log.write("request_refused")
    events = [line["event"] for line in log_pipe.read()]
    assert events.count("request_sent") <= decision_log.ORDINARY_PER_SECOND
    assert "request_refused" in events
    log_pipe.now += 1.0
    log_pipe.log.write_ordinary("request_sent")
    assert log_pipe.read()


LINES = [
    '{"time_seconds":10.0,"event":"store_lost","reason":"status_503"}',
    '{"time_seconds":11.0,"event":"request_sent","request_id":"r1"}',
    '{"time_seconds":11.2,"event":"request_sent","request_id":"r2"}',
    "torn {",
    "a foreign line",
    '{"no": "event"}',
    '  3.1 front-1 {"time_seconds":11.5,"event":"request_ended",'
    '"request_id":"r1","outcome":"timeout"}',
    '{"time_seconds":30.0,"event":"store_regained"}',
]


def test_a_story_has_the_requests_lines_and_what_was_believed() -> None:
    lines = log_story.read("one", LINES)
    found = log_story.story("r1", lines)
    assert [line.event for line in found] == [
        "store_lost",
        "request_sent",
        "request_ended",
    ]
    assert "outcome=timeout" in log_story.write(found[-1])


def test_lines_of_several_processes_are_put_in_order() -> None:
    other = [
        '{"time_seconds":11.1,"event":"engine_turned_away",'
        '"request_id":"r1","reason":"queue_too_long"}'
    ]
    lines = [*log_story.read("one", LINES), *log_story.read("two", other)]
    events = [line.event for line in log_story.story("r1", lines)]
    assert events[1:3] == ["request_sent", "engine_turned_away"]


def test_a_refused_suspects_story_has_the_crashes_at_other_processes() -> None:
    # A refusal must be explained by the crashes that other instances saw.
    there = [
        '{"time_seconds":1.0,"event":"endpoint_broke","endpoint":"e1",'
        '"suspects":{"f1":50,"f2":900}}',
        '{"time_seconds":2.0,"event":"endpoint_broke","endpoint":"e2",'
        '"suspects":{"f2":20}}',
        '{"time_seconds":40.0,"event":"quarantine_trial","fingerprint":"f1"}',
    ]
    here = [
        '{"time_seconds":30.0,"event":"request_quarantined",'
        '"request_id":"r3","fingerprint":"f1","crashes":3}',
    ]
    lines = [*log_story.read("there", there), *log_story.read("here", here)]
    found = log_story.story("r3", lines)
    assert [line.event for line in found] == [
        "endpoint_broke",
        "request_quarantined",
    ]
    assert found[0].fields["endpoint"] == "e1"


def test_the_story_of_a_part_names_its_crashes_and_who_cleared_it() -> None:
    # No two requests were alike, so no fingerprint led to the crashes.
    lines = [
        '{"time_seconds":1.0,"event":"endpoint_broke","endpoint":"e1",'
        '"suspects":{"f1":50},"parts":{"part-9":1}}',
        '{"time_seconds":2.0,"event":"endpoint_broke","endpoint":"e2",'
        '"suspects":{"f2":50},"parts":{"part-8":1}}',
        '{"time_seconds":3.0,"event":"suspects_cleared","request_id":"r1",'
        '"causes":["f4","part-9"]}',
        '{"time_seconds":4.0,"event":"request_quarantined",'
        '"request_id":"r3","fingerprint":"f3","cause":"part-9"}',
    ]
    found = log_story.story("r3", log_story.read("one", lines))
    assert [line.event for line in found] == [
        "endpoint_broke",
        "suspects_cleared",
        "request_quarantined",
    ]
    assert found[0].fields["endpoint"] == "e1"


def test_an_unknown_request_has_no_story() -> None:
    assert not log_story.story("other", log_story.read("one", LINES))
