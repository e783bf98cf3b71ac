"""A part of prompts that crashes the engines that run it, on loopback."""

from __future__ import annotations

import itertools
import threading
import time

import pytest

from tests.fakes import crashing_engines
from tests.fakes import crashing_parts

GATEWAYS = 3
ENGINES = 8
FIRST_PARTS = ("a0", "a1")
DOCUMENTS = tuple(f"d{number}" for number in range(6))
CULPRIT_PAUSE_SECONDS = 0.4
INNOCENT_PAUSE_SECONDS = 0.1
INNOCENTS = 8
CALM_SECONDS = 4.0
PLAY_SECONDS = 20.0
WITHIN_THE_ANSWER = {"cut_after": 2, "ending": "exit"}


@pytest.mark.parametrize(
    ("bad_part", "faults"),
    [
        ("bad0", {"crash_parts": ["bad0"]}),
        ("bad1", {"cut_parts": ["bad1"], **WITHIN_THE_ANSWER}),
        (
            "bad2",
            {"cut_parts": ["bad2"], "framing": "close", **WITHIN_THE_ANSWER},
        ),
    ],
)
def test_a_part_that_crashes_engines_reaches_few_more(
    machines, start_engines, bad_part, faults
) -> None:
    # Each request with it was another suspect, with one crash.
    engines = start_engines(**faults)
    over = threading.Event()
    innocents = [
        crashing_parts.Caller(
            machines=machines,
            over=over,
            prompts=itertools.cycle(
                itertools.product((FIRST_PARTS[number % 2],), DOCUMENTS)
            ),
            pause_seconds=INNOCENT_PAUSE_SECONDS,
        )
        for number in range(INNOCENTS)
    ]
    culprit = crashing_parts.Caller(
        machines=machines,
        over=over,
        prompts=itertools.repeat((FIRST_PARTS[0], bad_part)),
        pause_seconds=CULPRIT_PAUSE_SECONDS,
        delay_seconds=CALM_SECONDS,
    )
    began_at_seconds = time.time()
    crashing_engines.play([*innocents, culprit], over, seconds=PLAY_SECONDS)
    late = crashing_engines.list_late(
        crashing_engines.list_sent(machines, culprit),
        engines.ended,
        is_only=True,
        crashes_until_known=crashing_parts.CRASHES_UNTIL_KNOWN,
    )
    calm_until_seconds = began_at_seconds + CALM_SECONDS
    before, beside = (
        crashing_parts.served_share(
            innocents[::2], since_seconds=since, until_seconds=until
        )
        for since, until in (
            (began_at_seconds, calm_until_seconds),
            (
                calm_until_seconds + crashing_parts.SERVED_SECONDS,
                began_at_seconds + PLAY_SECONDS,
            ),
        )
    )
    seen = (len(late), len(engines.ended), before, beside)
    assert len(late) <= crashing_parts.MAX_LATE_SENDS, seen
    assert engines.ended, seen
    assert beside >= crashing_parts.MIN_SERVED_PART * before > 0, seen
