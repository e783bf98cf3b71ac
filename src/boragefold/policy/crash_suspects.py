"""Which requests may have crashed the endpoints that ran them.

Load pattern: one request crashes each endpoint that runs it, and its caller
sends it again, to any instance. All requests that ran on a crashed endpoint
are suspects of that crash; most of them are innocent. A suspect that completes
anywhere is cleared. One that never completes and is a suspect of several
crashes is quarantined, and these crashes then count against no other request.
If it was innocent, the next crash happens without it, and it is released.
"""

from __future__ import annotations

from collections.abc import Iterable
import itertools
import math
from typing import NamedTuple

import xxhash

from boragefold.policy import crash_attribution
from boragefold.protocol import crash_messages as messages

# Time from the last crash until one more request is let through, by the number
# of trials that crashed an endpoint, with all that ran there.
TRIAL_SECONDS = (60.0, 600.0)
# The same for the first trial, where endpoints crash without the request too.
DOUBTED_TRIAL_SECONDS = 0.5
# Instances that know the same don't all begin a trial at the same time.
TRIAL_JITTER = 0.5
# A trial may wait at its endpoint before it begins.
MIN_TRIAL_GAP_SECONDS = 4.0
CRASH_LIFETIME_SECONDS = 3600.0
# Also the time from the last trial until the next.
QUARANTINE_LIFETIME_SECONDS = 86_400.0
MAX_CRASHES = 64
MILLISECONDS = 1000.0


class Verdict(NamedTuple):
    """Whether a request may be sent, and the evidence for that.

    ``crashes`` counts the crashes that only this request may have caused, and
    ``newest_crash_seconds`` is how long ago the last of them was.
    ``retry_after_seconds`` is 0 if the request may be sent; ``is_trial`` tells
    that it may be sent once, although it is quarantined.
    """

    crashes: int
    newest_crash_seconds: float
    retry_after_seconds: float
    is_trial: bool = False

    @property
    def quarantined(self) -> bool:
        """Tell whether the request may not be sent.

        :return: whether it has to wait
        """
        return self.retry_after_seconds > 0


class Evidence(NamedTuple):
    """A crash under a suspect.

    ``counted`` tells whether it speaks against the suspect, ``beside`` which
    quarantined requests ran there, too.
    """

    crash: int
    age_seconds: float
    counted: bool
    beside: tuple[int, ...]


NOT_SUSPECTED = Verdict(0, math.inf, 0.0)


class CrashSuspects:
    """The known crashes and their suspects, merged from all instances."""

    def __init__(self, *, trial_jitter: float) -> None:
        """Start without any crash.

        :param trial_jitter: from 0 to 1, different at each instance
        """
        self._delay_factor = 1.0 + TRIAL_JITTER * trial_jitter
        self._crashes: dict[int, crash_attribution.Crash] = {}
        self._trials: dict[int, float] = {}
        self._by_suspect: dict[int, list[crash_attribution.Crash]] = {}
        self._changed_crashes: set[int] = set()
        self._changed_trials: set[int] = set()
        self.quarantined: frozenset[int] = frozenset()
        self.digest = 0

    @property
    def known(self) -> bool:
        """Tell whether any crash is known.

        :return: whether there is one
        """
        return bool(self._crashes)

    @property
    def has_suspects(self) -> bool:
        """Tell whether any request is a suspect.

        :return: whether there is one
        """
        return bool(self._by_suspect)

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

    def clear(self, fingerprint: int) -> bool:
        """Record that a request completed.

        :param fingerprint: the request
        :return: whether it was a suspect
        """
        found = [
            (number, crash)
            for number, crash in self._crashes.items()
            if fingerprint in crash.suspects
        ]
        for number, crash in found:
            del crash.suspects[fingerprint]
            crash.cleared.add(fingerprint)
            self._changed_crashes.add(number)
        if found:
            self._refresh()
        return bool(found)

    def begin_trial(self, fingerprint: int, *, now_seconds: float) -> None:
        """Record that a quarantined request is sent once more.

        :param fingerprint: the request
        :param now_seconds: reading of the process clock
        """
        self._trials[fingerprint] = now_seconds
        self._changed_trials.add(fingerprint)

    def judge(self, fingerprint: int, *, now_seconds: float) -> Verdict:
        """Judge whether a request may be sent.

        :param fingerprint: the request
        :param now_seconds: reading of the process clock
        :return: the verdict
        """
        crashes = self._by_suspect.get(fingerprint)
        if not crashes:
            return NOT_SUSPECTED
        newest_at_seconds = max(crash.at_seconds for crash in crashes)
        age_seconds = now_seconds - newest_at_seconds
        if fingerprint not in self.quarantined:
            return Verdict(len(crashes), age_seconds, 0.0)
        trial_seconds = self._trial_seconds(crashes)
        due_at_seconds = max(
            newest_at_seconds + trial_seconds,
            self._trials.get(fingerprint, -math.inf)
            + max(trial_seconds, MIN_TRIAL_GAP_SECONDS),
        )
        wait_seconds = max(0.0, due_at_seconds - now_seconds)
        return Verdict(
            len(crashes), age_seconds, wait_seconds, not wait_seconds
        )

    def list_evidence(
        self, fingerprint: int, *, now_seconds: float
    ) -> list[Evidence]:
        """List the crashes under a request that hasn't completed since.

        :param fingerprint: the request
        :param now_seconds: reading of the process clock
        :return: the oldest first
        """
        counted = {
            id(crash) for crash in self._by_suspect.get(fingerprint, ())
        }
        found = [
            Evidence(
                crash=number,
                age_seconds=now_seconds - crash.at_seconds,
                counted=id(crash) in counted,
                beside=tuple(
                    sorted(
                        (self.quarantined & crash.suspects.keys())
                        - {fingerprint}
                    )
                ),
            )
            for number, crash in self._crashes.items()
            if fingerprint in crash.suspects
        ]
        return sorted(found, key=lambda each: -each.age_seconds)

    def merge(
        self,
        crashes: Iterable[messages.CrashReport],
        trials: Iterable[messages.TrialReport] = (),
        *,
        now_seconds: float,
    ) -> bool:
        """Add what another instance knows.

        :param crashes: crashes with their suspects
        :param trials: trials of quarantined requests
        :param now_seconds: reading of the process clock
        :return: whether anything was new
        """
        new_crashes = {
            report.crash
            for report in crashes
            if self._add_crash(report, now_seconds)
        }
        if new_crashes:
            self._refresh()
            # Those that had to go at once are no news for others.
            new_crashes &= self._crashes.keys()
        new_trials = [
            report.fingerprint
            for report in trials
            if self._add_trial(report, now_seconds)
        ]
        self._changed_crashes.update(new_crashes)
        self._changed_trials.update(new_trials)
        return bool(new_crashes or new_trials)

    def expire(self, *, now_seconds: float) -> None:
        """Forget crashes that are long over.

        :param now_seconds: reading of the process clock
        """
        expired = [
            number
            for number, crash in self._crashes.items()
            if now_seconds - crash.at_seconds > self._lifetime_seconds(crash)
        ]
        for number in expired:
            del self._crashes[number]
        if expired:
            self._refresh()

    def take_changes(self, *, now_seconds: float) -> messages.CrashNews:
        """Return what changed since the last call.

        :param now_seconds: reading of the process clock
        :return: the changed crashes and trials
        """
        crashes, self._changed_crashes = self._changed_crashes, set()
        trials, self._changed_trials = self._changed_trials, set()
        return self._news(crashes, trials, now_seconds)

    def everything(self, *, now_seconds: float) -> messages.CrashNews:
        """Return all that is known.

        :param now_seconds: reading of the process clock
        :return: all crashes and trials
        """
        return self._news(self._crashes, self._trials, now_seconds)

    def _add_crash(
        self, report: messages.CrashReport, now_seconds: float
    ) -> bool:
        at_seconds = now_seconds - report.age_milliseconds / MILLISECONDS
        crash = self._crashes.get(report.crash)
        if crash is None:
            crash = crash_attribution.Crash(at_seconds=at_seconds)
            if now_seconds - at_seconds > self._lifetime_seconds(crash):
                return False
            self._crashes[report.crash] = crash
        return crash_attribution.merge(crash, report)

    def _add_trial(
        self, report: messages.TrialReport, now_seconds: float
    ) -> bool:
        at_seconds = now_seconds - report.age_milliseconds / MILLISECONDS
        before = self._trials.get(report.fingerprint, -math.inf)
        # Reports of one trial differ by the time that they travelled.
        if at_seconds <= before + MIN_TRIAL_GAP_SECONDS / 2:
            return False
        self._trials[report.fingerprint] = at_seconds
        return True

    def _trial_seconds(self, crashes: list[crash_attribution.Crash]) -> float:
        failed_trials = (
            crash_attribution.count_causes(crashes)
            - crash_attribution.QUARANTINE_CRASHES
        )
        if failed_trials >= len(TRIAL_SECONDS):
            return QUARANTINE_LIFETIME_SECONDS
        wait_seconds = TRIAL_SECONDS[failed_trials]
        if not failed_trials and self._has_other_causes(crashes):
            wait_seconds = DOUBTED_TRIAL_SECONDS
        return self._delay_factor * wait_seconds

    def _has_other_causes(
        self, crashes: list[crash_attribution.Crash]
    ) -> bool:
        since_seconds = min(crash.at_seconds for crash in crashes)
        return any(
            crash.at_seconds > since_seconds
            and self.quarantined.isdisjoint(crash.suspects)
            for crash in self._crashes.values()
        )

    def _lifetime_seconds(self, crash: crash_attribution.Crash) -> float:
        if self.quarantined.isdisjoint(crash.suspects):
            return CRASH_LIFETIME_SECONDS
        return QUARANTINE_LIFETIME_SECONDS

    def _refresh(self) -> None:
        self._drop_surplus()
        self._by_suspect, self.quarantined = crash_attribution.attribute(
            self._crashes.values()
        )
        self._trials = {
            fingerprint: at_seconds
            for fingerprint, at_seconds in self._trials.items()
            if fingerprint in self.quarantined
        }
        self.digest = self._compute_digest()

    def _drop_surplus(self) -> None:
        surplus = len(self._crashes) - MAX_CRASHES
        if surplus > 0:
            ranked = sorted(self._crashes, key=self._worth_keeping)
            for number in ranked[:surplus]:
                del self._crashes[number]

    def _worth_keeping(self, number: int) -> tuple[bool, float]:
        crash = self._crashes[number]
        is_evidence = not self.quarantined.isdisjoint(crash.suspects)
        return is_evidence, crash.at_seconds

    def _compute_digest(self) -> int:
        if not self._crashes:
            return 0
        parts = [
            (number, sorted(crash.suspects.items()), sorted(crash.cleared))
            for number, crash in sorted(self._crashes.items())
        ]
        return xxhash.xxh3_64_intdigest(repr(parts).encode())

    def _news(
        self,
        crashes: Iterable[int],
        trials: Iterable[int],
        now_seconds: float,
    ) -> messages.CrashNews:
        return messages.CrashNews(
            digest=self.digest,
            crashes=tuple(
                _report(number, self._crashes[number], now_seconds)
                for number in sorted(crashes)
                if number in self._crashes
            ),
            trials=tuple(
                messages.TrialReport(
                    fingerprint,
                    _age_milliseconds(self._trials[fingerprint], now_seconds),
                )
                for fingerprint in sorted(trials)
                if fingerprint in self._trials
            ),
        )


def _report(
    number: int, crash: crash_attribution.Crash, now_seconds: float
) -> messages.CrashReport:
    return messages.CrashReport(
        number,
        _age_milliseconds(crash.at_seconds, now_seconds),
        tuple(itertools.starmap(messages.Suspect, crash.suspects.items())),
        tuple(sorted(crash.cleared)),
    )


def _age_milliseconds(at_seconds: float, now_seconds: float) -> int:
    return max(0, round((now_seconds - at_seconds) * MILLISECONDS))


__all__ = [
    "CrashSuspects",
    "Evidence",
    "NOT_SUSPECTED",
    "Verdict",
]
