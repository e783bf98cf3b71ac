"""Endpoints that crash under requests or by themselves, in virtual time."""

from __future__ import annotations

import pytest

from tests.fakes import crash_walk

SEEDS = 2
# Sends that may follow once all in touch have to know.
MAX_LATE_SENDS = 3
CULPRITS = {
    "alone": crash_walk.Schedule(culprits=1),
    "among crashes of other causes": crash_walk.Schedule(
        culprits=1, kill_gap_seconds=3.0
    ),
    "across a cut": crash_walk.Schedule(culprits=1, cut=True),
    "while instances restart": crash_walk.Schedule(
        culprits=1, restart_gap_seconds=2.0
    ),
    "two at a time": crash_walk.Schedule(
        culprits=2, cut=True, restart_gap_seconds=4.0
    ),
}
SEVERAL = {
    "four": crash_walk.Schedule(culprits=4),
    "eight": crash_walk.Schedule(culprits=8),
    "three, among crashes of other causes": crash_walk.Schedule(
        culprits=3, kill_gap_seconds=3.0
    ),
    "six, across a cut and restarts": crash_walk.Schedule(
        culprits=6, cut=True, restart_gap_seconds=4.0
    ),
    "five, without a framing": crash_walk.Schedule(
        culprits=5, unframed_share=1.0, endpoints=20
    ),
}
PARTS = {
    "one": crash_walk.Schedule(bad_parts=1),
    "three": crash_walk.Schedule(bad_parts=3),
    "one, often": crash_walk.Schedule(bad_parts=1, bad_part_gap_seconds=0.04),
    "two, among crashes of other causes": crash_walk.Schedule(
        bad_parts=2, kill_gap_seconds=1.5
    ),
    "one, beside a culprit and restarts": crash_walk.Schedule(
        bad_parts=1, culprits=1, restart_gap_seconds=3.0
    ),
    "one, across a cut": crash_walk.Schedule(bad_parts=1, cut=True),
    "two, without a framing": crash_walk.Schedule(
        bad_parts=2, unframed_share=1.0
    ),
}
# Of those that run beside several culprits.
MAX_REFUSED_SHARE = 0.01
UNFRAMED = {
    "a culprit": crash_walk.Schedule(culprits=1, unframed_share=1.0),
    "crashes": crash_walk.Schedule(kill_gap_seconds=3.0, unframed_share=1.0),
    "both, and framed ones": crash_walk.Schedule(
        culprits=1, kill_gap_seconds=3.0, unframed_share=0.5
    ),
}
INNOCENT = {
    "crashes now and then": crash_walk.Schedule(kill_gap_seconds=6.0),
    "crashes in quick succession": crash_walk.Schedule(kill_gap_seconds=3.0),
}
CUT_OFF = {
    "one of nine": crash_walk.Schedule(cut_off=1),
    "most of nine": crash_walk.Schedule(cut_off=8),
    "most, beside crashes": crash_walk.Schedule(
        cut_off=6, kill_gap_seconds=6.0
    ),
    "some, beside a culprit": crash_walk.Schedule(cut_off=4, culprits=1),
}


@pytest.mark.parametrize("seed", range(SEEDS))
@pytest.mark.parametrize("name", CULPRITS)
def test_what_crashed_three_endpoints_reaches_few_more(name, seed) -> None:
    # A caller's repeats go to any instance, which must know of the crashes.
    walk = crash_walk.CrashWalk(seed=seed, schedule=CULPRITS[name])
    walk.play()
    assert walk.sent
    for body in walk.sent:
        assert len(walk.late_sends(body)) <= MAX_LATE_SENDS


@pytest.mark.parametrize("seed", range(SEEDS))
@pytest.mark.parametrize("name", SEVERAL)
def test_each_of_several_culprits_reaches_few_more(name, seed) -> None:
    # Culprits that ran on the same endpoints released each other.
    walk = crash_walk.CrashWalk(seed=seed, schedule=SEVERAL[name])
    walk.play()
    assert len(walk.sent) == SEVERAL[name].culprits
    for body in walk.sent:
        assert len(walk.late_sends(body)) <= MAX_LATE_SENDS
    assert walk.looked_complete == 0
    asked = walk.statuses.total()
    assert walk.innocents_refused <= MAX_REFUSED_SHARE * asked


@pytest.mark.parametrize("seed", range(SEEDS))
@pytest.mark.parametrize("name", PARTS)
def test_a_part_that_crashed_five_endpoints_reaches_few_more(
    name, seed
) -> None:
    # No two requests that hold it are alike, and half of the sound ones share
    # its company.
    schedule = PARTS[name]
    walk = crash_walk.CrashWalk(seed=seed, schedule=schedule)
    walk.play()
    assert len(walk.sent) == schedule.bad_parts + schedule.culprits
    for culprit in walk.sent:
        assert len(walk.late_sends(culprit)) <= MAX_LATE_SENDS
    asked = walk.statuses.total()
    assert walk.innocents_refused <= MAX_REFUSED_SHARE * asked
    assert walk.statuses[200] > 0.8 * asked


def test_sound_requests_that_share_parts_with_eight_culprits_are_served() -> (
    None
):
    # The parts of whole requests that crash endpoints had their crashes.
    walk = crash_walk.CrashWalk(
        seed=1, schedule=crash_walk.Schedule(culprits=8, has_parts=True)
    )
    walk.play()
    asked = walk.statuses.total()
    assert walk.innocents_refused <= MAX_REFUSED_SHARE * asked


@pytest.mark.parametrize("seed", range(SEEDS))
@pytest.mark.parametrize("name", UNFRAMED)
def test_a_crash_behind_answers_without_a_framing_is_known(name, seed) -> None:
    # The kernel closes the connections of a crashed process in good order.
    walk = crash_walk.CrashWalk(seed=seed, schedule=UNFRAMED[name])
    walk.play()
    assert walk.crashes
    assert walk.looked_complete == 0
    for body in walk.sent:
        assert len(walk.late_sends(body)) <= MAX_LATE_SENDS
    assert walk.statuses[200] > 0.9 * walk.statuses.total()
    assert walk.innocents_refused == 0


@pytest.mark.parametrize("seed", range(SEEDS))
@pytest.mark.parametrize("schedule", ["alone", *INNOCENT])
def test_whoever_ran_on_a_crashed_endpoint_isnt_refused(
    schedule, seed
) -> None:
    # Refusing all that ran beside a culprit costs more than the culprit did.
    walk = crash_walk.CrashWalk(
        seed=seed, schedule={**CULPRITS, **INNOCENT}[schedule]
    )
    walk.play()
    assert walk.crashes
    assert walk.statuses[200] > 0.9 * walk.statuses.total()
    assert walk.innocents_refused == 0


@pytest.mark.parametrize("seed", range(SEEDS))
@pytest.mark.parametrize("name", CUT_OFF)
def test_a_cut_path_is_no_crash_and_no_reason_to_refuse(name, seed) -> None:
    # Endpoints that only some instances can't reach are sound.
    walk = crash_walk.CrashWalk(seed=seed, schedule=CUT_OFF[name])
    walk.play()
    called_crashed = {
        fields["endpoint"]
        for _, _, event, fields in walk.log
        if event == "endpoint_broke" and fields["verdict"] == "crashed"
    }
    assert called_crashed <= walk.crashed_endpoints
    assert walk.statuses[200] > 0.9 * walk.statuses.total()
    assert walk.innocents_refused == 0


def test_what_began_to_run_isnt_refused_as_not_run() -> None:
    # "Not run" must be true also when the only endpoint crashed and no other
    # one is there for the retry.
    walk = crash_walk.CrashWalk(
        seed=1, schedule=crash_walk.Schedule(endpoints=1)
    )
    walk.run(crash_walk.WARM_UP_SECONDS)
    answers = []
    walk.ask("/reads/1", b"x", lambda *answer: answers.append(answer))
    walk.run(2 * crash_walk.TRAVEL_SECONDS[1])
    (endpoint,) = walk.endpoints.values()
    assert endpoint.runs
    walk.crash(endpoint, b"")
    walk.run(0.5)
    ((status, text),) = answers
    assert status == 502
    assert '"outcome":"unknown"' in text
