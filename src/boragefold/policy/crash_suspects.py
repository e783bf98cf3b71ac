"""Which requests may have crashed the endpoints that ran them.

Load pattern: one or more requests crash each endpoint that runs them, and
their callers send them again, to any instance. All requests that ran on a
crashed endpoint are suspects of that crash; most of them are innocent. A
suspect that completes anywhere is cleared. One that doesn't is sent one copy
at a time after two were cut off, and convicted by its third crash.

A convict is refused until it is tried, which is at once if another convict
ran at each of its three crashes.
"""

from __future__ import annotations

from collections.abc import Iterable
import math
from typing import NamedTuple

from boragefold.policy import convictions
from boragefold.policy import crash_attribution
from boragefold.policy import crash_records
from boragefold.policy import trials as trials_module
from boragefold.protocol import crash_messages as messages

# Time from the last crash until one more request is let through, by the number
# of trials that crashed an endpoint, with all that ran there.
TRIAL_SECONDS = (60.0, 600.0)
# The same for the first trial, where endpoints crash without a culprit, too.
DOUBTED_TRIAL_SECONDS = 0.5
# Instances that know the same don't all begin a trial at the same time.
TRIAL_JITTER = 0.5
# Crashes without a culprit cast doubt for so long.
DOUBT_SECONDS = 30.0
# The caller of a culprit has sent it again by then.
REPEATED_SECONDS = 3.0
# The lease of all trials: whoever crashes an endpoint in one did so alone.
TRIAL_LEASE = 0
# When so many were cut off, a request is sent one copy at a time.
CUT_OFF_COPIES = 2
CRASH_LIFETIME_SECONDS = 3600.0
MAX_CRASHES = 64


class Verdict(NamedTuple):
    """Whether a request may be sent, and the evidence for that.

    ``crashes`` counts those that only this request may have caused, of which
    the last was ``newest_crash_seconds`` ago. ``retry_after_seconds`` is 0 if
    it may be sent, ``is_trial`` whether it may be although it is quarantined.
    ``cause`` is what is held guilty.
    """

    crashes: int
    newest_crash_seconds: float
    retry_after_seconds: float
    is_trial: bool = False
    cause: int = 0

    @property
    def quarantined(self) -> bool:
        """Tell whether the request may not be sent.

        :return: whether it has to wait
        """
        return self.retry_after_seconds > 0


NOT_SUSPECTED = Verdict(0, math.inf, 0.0)


class CrashSuspects:
    """The known crashes and their suspects, merged from all instances.

    ``quarantined`` are the convicts, ``excused`` those of them that other
    convicts ran beside each time, with these. ``records`` has the evidence.
    """

    def __init__(self, *, trial_jitter: float) -> None:
        """Start without any crash.

        :param trial_jitter: from 0 to 1, different at each instance
        """
        self._delay_factor = 1.0 + TRIAL_JITTER * trial_jitter
        self.records = crash_records.CrashRecords(
            max_crashes=MAX_CRASHES,
            lifetime_seconds=CRASH_LIFETIME_SECONDS,
            convict_lifetime_seconds=convictions.CONVICTION_LIFETIME_SECONDS,
        )
        self._trials = trials_module.Trials()
        self._convictions = convictions.Convictions()
        self._by_suspect: dict[int, list[crash_attribution.Crash]] = {}
        self._causes: dict[int, int] = {}
        self._changed_trials: set[int] = set()
        self.quarantined: frozenset[int] = frozenset()
        self.excused: dict[int, frozenset[int]] = {}
        self.digest = 0

    @property
    def known(self) -> bool:
        """Tell whether any crash is known.

        :return: whether there is one
        """
        return bool(self.records)

    @property
    def has_suspects(self) -> bool:
        """Tell whether any request is a suspect.

        :return: whether there is one
        """
        return bool(self._by_suspect or self.quarantined)

    def record_crash(
        self,
        crash: int,
        suspects: Iterable[messages.Suspect],
        *,
        now_seconds: float,
    ) -> None:
        """Record a crash, or further requests that ran there.

        :param crash: hash that identifies it
        :param suspects: requests that were cut off by it
        :param now_seconds: reading of the process clock
        """
        report = messages.CrashReport(crash, 0, tuple(suspects), ())
        self.merge([report], now_seconds=now_seconds)

    def record_unproven(
        self,
        crash: int,
        suspects: Iterable[messages.Suspect],
        *,
        now_seconds: float,
    ) -> bool:
        """Record breaks that are a crash if any instance knows it as one.

        :param crash: hash that would identify it
        :param suspects: requests that were cut off
        :param now_seconds: reading of the process clock
        :return: whether it is known already, and anything was new
        """
        report = self.records.add_unproven(
            crash, suspects, now_seconds=now_seconds
        )
        return report is not None and self.merge(
            [report], now_seconds=now_seconds
        )

    def clear(self, fingerprint: int) -> bool:
        """Record that a request completed.

        :param fingerprint: the request
        :return: whether it was a suspect
        """
        was_suspect = self.records.clear(fingerprint)
        was_suspect |= self._convictions.end(fingerprint)
        if was_suspect:
            self._refresh()
        return was_suspect

    def begin_trial(self, fingerprint: int, *, now_seconds: float) -> None:
        """Record that a convict is sent once more.

        :param fingerprint: the request
        :param now_seconds: reading of the process clock
        """
        self._trials.begin(fingerprint, at_seconds=now_seconds)
        self._changed_trials.add(fingerprint)

    def needs_lease(self, fingerprint: int) -> bool:
        """Tell whether a request is sent one copy at a time.

        :param fingerprint: the request
        :return: whether crashes cut off several copies of it, also where
            others explain these
        """
        if fingerprint in self._convictions:
            return True
        crashes = self._by_suspect.get(fingerprint, ())
        copies = crash_attribution.count_copies(fingerprint, crashes)
        return copies >= CUT_OFF_COPIES

    def lease_key(self, fingerprint: int) -> int:
        """Tell which requests aren't sent together with a suspect.

        :param fingerprint: the suspect
        :return: the same for all convicts, else its fingerprint
        """
        return TRIAL_LEASE if fingerprint in self._convictions else fingerprint

    def count_crashes(self, fingerprint: int) -> int:
        """Count the crashes that a request may have caused.

        :param fingerprint: the request
        :return: those that no convict explains, or all from the second on
        """
        if self._is_repeated(fingerprint):
            return self._causes.get(
                fingerprint, crash_attribution.REPEATED_CRASHES
            )
        return len(self._unexplained(fingerprint))

    def judge(self, fingerprint: int, *, now_seconds: float) -> Verdict:
        """Judge whether a request may be sent.

        :param fingerprint: the request
        :param now_seconds: reading of the process clock
        :return: the verdict
        """
        conviction = self._convictions.get(fingerprint)
        if conviction is not None:
            return self._judge_convict(fingerprint, conviction, now_seconds)
        crashes = self._unexplained(fingerprint)
        if not crashes:
            return NOT_SUSPECTED
        newest_at_seconds = max(crash.at_seconds for crash in crashes)
        return Verdict(len(crashes), now_seconds - newest_at_seconds, 0.0)

    def merge(
        self,
        crashes: Iterable[messages.CrashReport],
        trials: Iterable[messages.TrialReport] = (),
        *,
        now_seconds: float,
    ) -> bool:
        """Add what another instance knows.

        :param crashes: crashes with their suspects
        :param trials: trials of convicts
        :param now_seconds: reading of the process clock
        :return: whether anything was new
        """
        changed = [
            report.crash
            for report in crashes
            if self._add_crash(report, now_seconds)
        ]
        if changed:
            self._refresh()
        new_trials = [
            report.fingerprint
            for report in trials
            if self._trials.merge(
                report.fingerprint,
                at_seconds=now_seconds
                - report.age_milliseconds / crash_records.MILLISECONDS,
            )
        ]
        self._changed_trials.update(new_trials)
        # Those that had to go at once are no news for others.
        return bool(new_trials) or any(
            number in self.records for number in changed
        )

    def expire(self, *, now_seconds: float) -> None:
        """Forget crashes that are long over.

        :param now_seconds: reading of the process clock
        """
        has_expired = self.records.expire(
            self.quarantined, now_seconds=now_seconds
        )
        if self._convictions.expire(now_seconds=now_seconds) or has_expired:
            self._refresh()

    def take_changes(self, *, now_seconds: float) -> messages.CrashNews:
        """Return what changed since the last call.

        :param now_seconds: reading of the process clock
        :return: the changed crashes and trials
        """
        crashes = self.records.take_changes(now_seconds=now_seconds)
        trials, self._changed_trials = self._changed_trials, set()
        return self._news(crashes, trials, now_seconds)

    def everything(self, *, now_seconds: float) -> messages.CrashNews:
        """Return all that is known.

        :param now_seconds: reading of the process clock
        :return: all crashes and trials
        """
        crashes = self.records.report_all(now_seconds=now_seconds)
        return self._news(crashes, self._trials, now_seconds)

    def _judge_convict(
        self,
        fingerprint: int,
        conviction: convictions.Conviction,
        now_seconds: float,
    ) -> Verdict:
        delay_seconds = self._trial_seconds(
            fingerprint, conviction, now_seconds
        )
        due_at_seconds = max(
            conviction.last_crash_at_seconds + delay_seconds,
            self._trials.begun_at_seconds(fingerprint)
            + max(delay_seconds, trials_module.MIN_TRIAL_GAP_SECONDS),
        )
        wait_seconds = max(0.0, due_at_seconds - now_seconds)
        if fingerprint in self.excused and not wait_seconds:
            return NOT_SUSPECTED
        return Verdict(
            conviction.causes,
            now_seconds - conviction.last_crash_at_seconds,
            wait_seconds,
            not wait_seconds,
            fingerprint,
        )

    def _trial_seconds(
        self,
        fingerprint: int,
        conviction: convictions.Conviction,
        now_seconds: float,
    ) -> float:
        if fingerprint in self.excused:
            return 0.0
        failed_trials = (
            conviction.causes - crash_attribution.CONVICTION_CRASHES
        )
        if failed_trials >= len(TRIAL_SECONDS):
            return convictions.CONVICTION_LIFETIME_SECONDS
        wait_seconds = TRIAL_SECONDS[failed_trials]
        if not failed_trials and self._has_other_causes(
            conviction, now_seconds
        ):
            wait_seconds = DOUBTED_TRIAL_SECONDS
        return self._delay_factor * wait_seconds

    def _has_other_causes(
        self, conviction: convictions.Conviction, now_seconds: float
    ) -> bool:
        since_seconds = conviction.first_crash_at_seconds - DOUBT_SECONDS
        return any(
            crash.at_seconds > since_seconds
            and crash_attribution.has_no_culprit(
                crash,
                self._is_repeated,
                settled=now_seconds - crash.at_seconds >= REPEATED_SECONDS,
            )
            for crash in self.records.all()
        )

    def _is_repeated(self, fingerprint: int) -> bool:
        return (
            fingerprint in self._convictions
            or self._causes.get(fingerprint, 0)
            >= crash_attribution.REPEATED_CRASHES
        )

    def _add_crash(
        self, report: messages.CrashReport, now_seconds: float
    ) -> bool:
        completed = self.records.add(report, now_seconds=now_seconds)
        for fingerprint in completed or ():
            self._convictions.end(fingerprint)
        return completed is not None

    def _unexplained(self, fingerprint: int) -> list[crash_attribution.Crash]:
        firm = self.quarantined - self.excused.keys()
        return [
            crash
            for crash in self._by_suspect.get(fingerprint, ())
            if firm.isdisjoint(crash.suspects)
        ]

    def _refresh(self) -> None:
        self.records.drop_surplus(self.quarantined)
        self._by_suspect = crash_attribution.group_by_suspect(
            self.records.all()
        )
        self._causes = {
            fingerprint: crash_attribution.count_causes(fingerprint, crashes)
            for fingerprint, crashes in self._by_suspect.items()
        }
        self._convictions.update(self._by_suspect, self._causes)
        self.quarantined = frozenset(self._convictions)
        self.excused = crash_attribution.find_excused(
            self._by_suspect, self._convictions.causes()
        )
        self._trials.keep(self.quarantined)
        self.digest = self.records.compute_digest()

    def _news(
        self,
        crashes: tuple[messages.CrashReport, ...],
        trials: Iterable[int],
        now_seconds: float,
    ) -> messages.CrashNews:
        return messages.CrashNews(
            digest=self.digest,
            crashes=crashes,
            trials=self._trials.report(trials, now_seconds=now_seconds),
        )


__all__ = [
    "CrashSuspects",
    "NOT_SUSPECTED",
    "Verdict",
]
