"""Several requests that each crash the engines that run them, on loopback."""

from __future__ import annotations

import threading

import pytest

from tests.fakes import crashing_engines

GATEWAYS = 3
ENGINES = 8
CULPRITS = 4
INNOCENTS = 8
CRASH_BODY = "crashes its engine"
CULPRIT_PAUSE_SECONDS = 0.4
INNOCENT_PAUSE_SECONDS = 0.15
# The rest of the time an innocent caller may lose to engines that are away.
MIN_SERVED_SHARE = 0.8
PLAY_SECONDS = 16.0
BEFORE_THE_ANSWER = {"crash_body": CRASH_BODY}
WITHIN_THE_ANSWER = {
    "cut_body": CRASH_BODY,
    "cut_after": 2,
    "ending": "exit",
}


def _make_callers(machines, over, name) -> list[crashing_engines.Caller]:
    bodies = [f"{CRASH_BODY} {name} {n}" for n in range(CULPRITS)]
    bodies += [f"innocent {name} {n}" for n in range(INNOCENTS)]
    return [
        crashing_engines.Caller(
            machines=machines,
            path="/notes/x",
            body=body,
            events=5,
            over=over,
            pause_seconds=(
                CULPRIT_PAUSE_SECONDS
                if body.startswith(CRASH_BODY)
                else INNOCENT_PAUSE_SECONDS
            ),
        )
        for body in bodies
    ]


@pytest.mark.parametrize(
    ("name", "faults"),
    [("early", BEFORE_THE_ANSWER), ("late", WITHIN_THE_ANSWER)],
)
def test_each_of_several_culprits_is_sent_few_times_more(
    machines, start_engines, name, faults
) -> None:
    # The conviction of one request ended with that of another, which had run
    # beside it.
    engines = start_engines(**faults)
    over = threading.Event()
    callers = _make_callers(machines, over, name)
    crashing_engines.play(callers, over, seconds=PLAY_SECONDS)
    late = [
        len(
            crashing_engines.list_late(
                crashing_engines.list_sent(machines, caller), engines.ended
            )
        )
        for caller in callers[:CULPRITS]
    ]
    statuses = [
        status
        for caller in callers[CULPRITS:]
        for _, status in caller.statuses
    ]
    seen = (late, len(engines.ended), statuses.count(200), len(statuses))
    assert max(late) <= crashing_engines.MAX_LATE_SENDS, seen
    assert len(engines.ended) >= crashing_engines.CRASHES_UNTIL_KNOWN, seen
    assert statuses.count(200) > MIN_SERVED_SHARE * len(statuses), seen
