"""Which requests are quarantined after crashes, and for how long."""

from __future__ import annotations

import random

import pytest

from boragefold.policy import crash_attribution
from boragefold.policy import crash_suspects
from boragefold.policy import crash_verdict
from boragefold.policy import trial_schedule
from boragefold.protocol import crash_messages as messages

CULPRIT = 9
BYSTANDER = 2
OTHER = 3
SHORT_MILLISECONDS = 50
LONG_MILLISECONDS = 900


class Suspects:
    """Crashes at one instance, on a clock of its own."""

    def __init__(self):
        self.known = crash_suspects.CrashSuspects(trial_jitter=0.0)
        self.now_seconds = 0.0
        self._numbers = iter(range(100, 10_000))

    def crash(self, *fingerprints, after_seconds=1.0):
        self.now_seconds += after_seconds
        suspects = [
            messages.Suspect(
                each,
                SHORT_MILLISECONDS if each == CULPRIT else LONG_MILLISECONDS,
            )
            for each in fingerprints
        ]
        number = next(self._numbers)
        self.known.record_crash(number, suspects, now_seconds=self.now_seconds)
        return number

    def judge(self, fingerprint):
        return self.known.judge(fingerprint, now_seconds=self.now_seconds)

    def trial(self, fingerprint):
        verdict = self.judge(fingerprint)
        assert verdict.is_trial
        self.known.begin_trial(fingerprint, now_seconds=self.now_seconds)


@pytest.fixture
def suspects():
    return Suspects()


def test_three_crashes_quarantine_a_request(suspects) -> None:
    verdicts = []
    for _ in range(3):
        suspects.crash(CULPRIT)
        verdicts.append(suspects.judge(CULPRIT))
    assert [verdict.crashes for verdict in verdicts] == [1, 2, 3]
    assert [verdict.quarantined for verdict in verdicts] == [False] * 2 + [
        True
    ]
    assert not suspects.judge(OTHER).crashes


def test_one_crash_that_many_report_counts_once(suspects) -> None:
    number = suspects.crash(CULPRIT)
    for ran_milliseconds in range(5):
        suspects.known.record_crash(
            number,
            [messages.Suspect(CULPRIT, ran_milliseconds)],
            now_seconds=suspects.now_seconds,
        )
    assert suspects.judge(CULPRIT).crashes == 1


def test_whoever_ran_beside_the_culprit_isnt_refused(suspects) -> None:
    # Two callers in step run on the same endpoints each time.
    for _ in range(3):
        suspects.crash(CULPRIT, BYSTANDER)
    assert suspects.judge(CULPRIT).quarantined
    assert suspects.judge(BYSTANDER) == crash_verdict.NOT_SUSPECTED


def test_a_crash_without_the_wrong_one_names_the_right_one(suspects) -> None:
    # The bystander was cut off sooner each time and looks like the culprit.
    for _ in range(3):
        suspects.crash(CULPRIT, OTHER)
    assert suspects.judge(CULPRIT).quarantined
    suspects.crash(OTHER)
    assert suspects.judge(OTHER).quarantined
    assert suspects.judge(CULPRIT) == crash_verdict.NOT_SUSPECTED


def test_a_request_that_completes_is_cleared(suspects) -> None:
    for _ in range(2):
        suspects.crash(CULPRIT)
    assert suspects.known.clear(CULPRIT)
    suspects.crash(CULPRIT)
    assert suspects.judge(CULPRIT).crashes == 1
    assert not suspects.known.clear(OTHER)


def test_what_was_cleared_isnt_suspected_again_by_a_late_report(
    suspects,
) -> None:
    number = suspects.crash(CULPRIT)
    late = suspects.known.everything(now_seconds=suspects.now_seconds)
    suspects.known.clear(CULPRIT)
    assert not suspects.known.merge(late.crashes, now_seconds=5.0)
    suspects.known.record_crash(
        number, [messages.Suspect(CULPRIT, 1)], now_seconds=5.0
    )
    assert not suspects.judge(CULPRIT).crashes


def test_endpoints_that_end_together_are_one_cause(suspects) -> None:
    # A host that goes down takes several endpoints with it, and each may have
    # run the same frequent request.
    suspects.crash(CULPRIT)
    for _ in range(4):
        suspects.crash(CULPRIT, after_seconds=0.01)
    verdict = suspects.judge(CULPRIT)
    assert not verdict.quarantined and not verdict.is_trial


def test_one_trial_follows_a_quarantine_and_a_second_one_late(
    suspects,
) -> None:
    for _ in range(3):
        suspects.crash(CULPRIT)
    for seconds in trial_schedule.TRIAL_SECONDS:
        wait_seconds = suspects.judge(CULPRIT).retry_after_seconds
        assert wait_seconds == pytest.approx(seconds)
        suspects.now_seconds += wait_seconds
        suspects.trial(CULPRIT)
        assert suspects.judge(CULPRIT).quarantined
        suspects.crash(CULPRIT, after_seconds=0.5)
    wait_seconds = suspects.judge(CULPRIT).retry_after_seconds
    assert wait_seconds > crash_suspects.CRASH_LIFETIME_SECONDS


def test_a_trial_comes_soon_where_endpoints_crash_without_the_request(
    suspects,
) -> None:
    for _ in range(3):
        suspects.crash(CULPRIT)
        suspects.crash(OTHER, after_seconds=0.5)
        suspects.known.clear(OTHER)
    wait_seconds = suspects.judge(CULPRIT).retry_after_seconds
    assert wait_seconds <= trial_schedule.DOUBTED_TRIAL_SECONDS


def test_evidence_expires_but_that_of_a_quarantine_lasts(suspects) -> None:
    suspects.crash(OTHER)
    suspects.now_seconds += crash_suspects.CRASH_LIFETIME_SECONDS + 1
    suspects.known.expire(now_seconds=suspects.now_seconds)
    assert not suspects.known.known
    for _ in range(3):
        suspects.crash(CULPRIT)
    suspects.now_seconds += crash_suspects.CRASH_LIFETIME_SECONDS + 1
    suspects.known.expire(now_seconds=suspects.now_seconds)
    suspects.trial(CULPRIT)


def test_memory_is_bounded_and_keeps_a_quarantine(suspects) -> None:
    for _ in range(3):
        suspects.crash(CULPRIT)
    for number in range(100):
        suspects.crash(*range(10 + number, 10 + number + 500))
    news = suspects.known.everything(now_seconds=suspects.now_seconds)
    assert len(news.crashes) <= crash_suspects.MAX_CRASHES
    assert (
        max(len(crash.suspects) for crash in news.crashes)
        <= crash_attribution.MAX_SUSPECTS
    )
    assert CULPRIT in suspects.known.quarantined


def test_more_than_fit_are_no_news_again_and_again() -> None:
    # Two that each dropped another crash would tell each other for ever.
    one, other = (
        crash_suspects.CrashSuspects(trial_jitter=0.0) for _ in range(2)
    )
    for number in range(2 * crash_suspects.MAX_CRASHES):
        suspect = messages.Suspect(number, 5)
        now = float(number)
        one.record_crash(number, [suspect], now_seconds=now)
        other.record_crash(number, [suspect], now_seconds=now)
    old = messages.CrashReport(7_000, 200_000, (messages.Suspect(1, 1),), ())
    assert not one.merge([old], now_seconds=now)
    assert one.digest == other.digest


def test_any_order_of_reports_gives_the_same_evidence() -> None:
    # Two instances that judge differently would send what the other refuses.
    rng = random.Random(5)
    reports = [
        messages.CrashReport(
            rng.randrange(8),
            1_000 * rng.randrange(5),
            tuple(
                messages.Suspect(rng.randrange(12), rng.randrange(900))
                for _ in range(4)
            ),
            (rng.randrange(12),),
        )
        for _ in range(40)
    ]
    digests = set()
    for _ in range(20):
        known = crash_suspects.CrashSuspects(trial_jitter=0.0)
        rng.shuffle(reports)
        for report in reports:
            known.merge([report], now_seconds=100.0)
        digests.add(known.digest)
    assert len(digests) == 1
