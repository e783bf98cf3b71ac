"""Why the connections to an endpoint broke."""

from __future__ import annotations

import types

import pytest

from boragefold.entry import break_evidence
from boragefold.entry import crash_detector
from boragefold.policy import crash_causes
from boragefold.state import fleet as fleets
from boragefold.telemetry import counters as telemetry
from boragefold.timing import clock as clocks
from boragefold.timing import timers as timing
from boragefold.transport import connect_probe
from tests.fakes import gateways

ENDPOINT = gateways.engine("e1")
PART = crash_causes.hash_part("5c1e")
LEAVING = ENDPOINT._replace(leaving=True)
REFUSED = connect_probe.ProbeResult.REFUSED
ACCEPTED = connect_probe.ProbeResult.ACCEPTED
NO_ANSWER = connect_probe.ProbeResult.NO_ANSWER


@pytest.mark.parametrize(
    ("result", "listed", "cause"),
    [
        (REFUSED, ENDPOINT, break_evidence.BreakCause.CRASHED),
        (ACCEPTED, ENDPOINT, break_evidence.BreakCause.ALIVE),
        (NO_ANSWER, ENDPOINT, break_evidence.BreakCause.UNKNOWN),
        (REFUSED, LEAVING, break_evidence.BreakCause.LEFT),
        (REFUSED, None, break_evidence.BreakCause.LEFT),
    ],
)
def test_only_a_listed_endpoint_that_refuses_has_crashed(
    result, listed, cause
) -> None:
    # Whoever ran on an endpoint that was taken away caused nothing.
    assert break_evidence.find_cause(result, listed) is cause


class Client:
    """Answers probes when the test says so."""

    def __init__(self) -> None:
        self.probes = []

    def probe(self, address, on_result, *, settle_seconds) -> None:
        self.probes.append(on_result)

    def answer(self, result) -> None:
        self.probes.pop(0)(result)


class Side:
    def __init__(self, listed=ENDPOINT) -> None:
        self.clock = clocks.VirtualClock()
        self.timers = timing.TimerService(clock=self.clock)
        self.client = Client()
        self.crashes = []
        self.evidence = []
        self.unproven = []
        self.lines = []
        fleet = fleets.Fleet()
        if listed is not None:
            fleet.set_endpoint(listed)
        self.detector = crash_detector.CrashDetector(
            client=self.client,
            fleet=fleet,
            timers=self.timers,
            counters=telemetry.Counters(),
            log=types.SimpleNamespace(
                write=lambda event, **fields: self.lines.append(fields)
            ),
            on_crash=self.crashes.append,
            on_unproven=self.unproven.append,
        )

    def check_closing(self, fingerprint=7) -> None:
        self.detector.check_closing(
            ENDPOINT,
            on_evidence=self.evidence.append,
            list_suspects=lambda: crash_detector.describe_suspects(
                crash_causes.RequestCauses(fingerprint), 0.5
            ),
        )

    def break_off(self, reason="inside_event", *, parts=()) -> None:
        self.detector.record_broken(
            ENDPOINT,
            reason,
            causes=crash_causes.RequestCauses(8, parts),
            ran_seconds=0.5,
        )

    def pass_time(self, duration_seconds) -> None:
        self.clock.move_to(self.clock.now_seconds() + duration_seconds)
        self.timers.run_due()


def _suspects(crashes) -> set[int]:
    return {each.fingerprint for crash in crashes for each in crash.suspects}


def test_a_close_behind_which_nothing_listens_makes_a_suspect() -> None:
    # A request that crashes its engines between two events was never known.
    side = Side()
    side.check_closing()
    side.client.answer(REFUSED)
    (evidence,) = side.evidence
    assert evidence.cause is break_evidence.BreakCause.CRASHED
    assert not evidence.listens
    assert _suspects(side.crashes) == {7}


def test_a_close_of_an_endpoint_that_listens_makes_none() -> None:
    side = Side()
    side.check_closing()
    side.client.answer(ACCEPTED)
    assert side.evidence[0].listens
    assert not side.crashes


@pytest.mark.parametrize(
    ("listed", "result", "suspects"),
    [
        (ENDPOINT, NO_ANSWER, {7, 8}),
        (ENDPOINT, ACCEPTED, {8}),
        (LEAVING, REFUSED, set()),
    ],
)
def test_breaks_without_a_verdict_are_told_as_such(
    listed, result, suspects
) -> None:
    # The only witness dropped what it knew of a crash that others found out.
    side = Side(listed)
    side.break_off()
    side.check_closing()
    for _ in range(crash_detector.MAX_PROBES):
        if side.client.probes:
            side.client.answer(result)
    assert not side.crashes
    assert _suspects(side.unproven) == suspects


def test_a_process_that_ends_is_asked_again() -> None:
    # It may accept a connection before it stops listening.
    side = Side()
    side.check_closing()
    side.client.answer(connect_probe.ProbeResult.DROPPED)
    assert not side.evidence
    side.client.answer(REFUSED)
    assert side.evidence[0].cause is break_evidence.BreakCause.CRASHED


def test_breaks_at_the_same_moment_are_told() -> None:
    # An engine that leaves cuts off no other answer, unless it crashes.
    side = Side(LEAVING)
    side.check_closing()
    side.break_off()
    side.client.answer(REFUSED)
    (evidence,) = side.evidence
    assert evidence.cause is break_evidence.BreakCause.LEFT
    assert evidence.others_broke


def test_an_earlier_break_says_nothing_of_a_later_close() -> None:
    # A probe may stay open for seconds after the break.
    side = Side(LEAVING)
    side.break_off()
    side.pass_time(2 * crash_detector.SAME_MOMENT_SECONDS)
    side.check_closing()
    side.client.answer(REFUSED)
    assert not side.evidence[0].others_broke


def test_the_evidence_comes_in_time() -> None:
    # A caller must not wait for the end of its answer behind a silent probe.
    side = Side()
    side.check_closing()
    side.pass_time(crash_detector.MAX_EVIDENCE_SECONDS)
    assert side.evidence == [break_evidence.NO_EVIDENCE]
    side.client.answer(REFUSED)
    assert len(side.evidence) == 1
    assert not _suspects(side.crashes)


def test_a_close_after_the_verdict_is_judged_by_it() -> None:
    side = Side()
    side.break_off()
    side.client.answer(REFUSED)
    side.check_closing()
    assert side.evidence[0].cause is break_evidence.BreakCause.CRASHED
    assert _suspects(side.crashes) == {7, 8}


def test_a_verdict_tells_which_parts_the_broken_requests_held() -> None:
    # Nothing in the log was equal for requests that shared a part.
    side = Side()
    side.break_off(parts=(PART,))
    side.break_off(parts=(PART,))
    side.client.answer(REFUSED)
    (line,) = side.lines
    assert line["parts"] == {crash_causes.describe(PART): 2}
    assert line["broken"] == 2
    assert len(line["suspects"]) == 1
    assert _suspects(side.crashes) == {8, PART}
