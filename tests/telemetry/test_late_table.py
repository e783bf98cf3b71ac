from __future__ import annotations

from boragefold.telemetry import late_table
from boragefold.telemetry import log_story

WAITS = '"place_wait_seconds":%s,"load_wait_seconds":%s,"turn_wait_seconds":0'


def line(outcome, place, load, waited, first, late=""):
    waits = WAITS % (place, load)
    return (
        f'12.1 front-1 {{"event":"request_ended","route":"notes",'
        f'"outcome":"{outcome}","took_seconds":{first + 1},{waits},'
        f'"waited_seconds":{waited},"first_event_seconds":{first},'
        f'"late":"{late}"}}'
    )


def test_answers_are_counted_by_what_took_them_longest() -> None:
    text = [
        line("answered", 0.0, 0.2, 0.25, 0.5),
        line("answered", 1.5, 0.2, 1.75, 2.0, "first_event"),
        line("answered", 0.8, 0.2, 1.05, 1.3, "first_event"),
        line("answered", 0.0, 0.2, 0.25, 1.3, "first_event"),
        line("answered", 0.0, 0.2, 0.25, 0.5, "pause"),
        line("queue_too_long", 0.0, 0.0, 0.0, 0.0),
        '12.2 front-1 {"event":"request_ended","route":"orders",'
        '"outcome":"timeout","took_seconds":1.0}',
        "torn {",
    ]
    rows = late_table.rows(log_story.read("front-1", text))
    assert [(row.outcome, row.cause, row.answers) for row in rows] == [
        ("late_first_event", "place", 2),
        ("late_first_event", "reading", 1),
        ("late_pause", "", 1),
        ("queue_too_long", "", 1),
    ]
    assert rows[0].median_seconds == 3.0
