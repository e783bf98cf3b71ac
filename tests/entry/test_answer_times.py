from __future__ import annotations

import pytest

from boragefold.entry import answer_times
from boragefold.state import deployment


def route(**changes):
    fields = {
        "name": "notes",
        "host": "h",
        "prefix": "/",
        "kind": deployment.RouteKind.STREAM,
        "services": (),
        "timeout_seconds": 5.0,
        "target_seconds": 1.0,
        "event_gap_seconds": 0.5,
        "priority": 0,
        "max_attempts": 1,
        "public": False,
        "resumable": False,
    }
    return deployment.Route(**(fields | changes))


@pytest.mark.parametrize(
    ("passed", "late"),
    [
        ((10.4, 10.8, 11.2), answer_times.Lateness.NONE),
        ((11.1, 11.2), answer_times.Lateness.FIRST_EVENT),
        ((10.4, 10.8, 11.5, 11.6), answer_times.Lateness.PAUSE),
        ((), answer_times.Lateness.NONE),
    ],
)
def test_an_answer_is_late_by_its_first_event_or_by_a_pause(passed, late):
    times = answer_times.AnswerTimes(arrived_at_seconds=10.0)
    for now_seconds in passed:
        times.record_chunk(now_seconds=now_seconds)
    assert times.lateness(route()) is late


def test_a_route_without_a_pause_has_none_too_long() -> None:
    times = answer_times.AnswerTimes(arrived_at_seconds=0.0)
    times.record_chunk(now_seconds=0.1)
    times.record_chunk(now_seconds=9.0)
    judged = times.lateness(route(event_gap_seconds=0.0))
    assert judged is answer_times.Lateness.NONE
    assert times.longest_pause_seconds == pytest.approx(8.9)
