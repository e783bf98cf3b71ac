"""Which causes may have crashed the endpoints that ran them.

Load pattern: requests crash each endpoint that runs them, by themselves or by
a part of their prompts that they share. Their callers send more of them, to
any instance. All causes that ran on a crashed endpoint are suspects of that
crash. One that completes anywhere is cleared; one that doesn't is sent one
copy at a time after two were cut off, and convicted by its third crash.

Requests that hold a convict are refused until it is tried, which is at once
where that tells it from what ran beside it.
"""

from __future__ import annotations

from collections.abc import Iterable

from boragefold.policy import convictions
from boragefold.policy import crash_attribution
from boragefold.policy import crash_causes
from boragefold.policy import crash_excuses
from boragefold.policy import crash_records
from boragefold.policy import crash_verdict
from boragefold.policy import sound_parts
from boragefold.policy import trial_schedule
from boragefold.policy import trials as trials_module
from boragefold.protocol import crash_messages as messages

# The lease of all trials: whoever crashes an endpoint in one did so alone.
TRIAL_LEASE = 0
CRASH_LIFETIME_SECONDS = 3600.0
MAX_CRASHES = 64


class CrashSuspects:
    """The known crashes and their suspects, merged from all instances.

    ``quarantined`` are the convicts, ``records`` has the evidence, ``sound``
    what completed at this instance.
    """

    def __init__(self, *, trial_jitter: float) -> None:
        """Start without any crash.

        :param trial_jitter: from 0 to 1, different at each instance
        """
        self._schedule = trial_schedule.TrialSchedule(
            trial_jitter=trial_jitter
        )
        self.sound = sound_parts.SoundParts()
        self.records = crash_records.CrashRecords(
            max_crashes=MAX_CRASHES,
            lifetime_seconds=CRASH_LIFETIME_SECONDS,
            convict_lifetime_seconds=convictions.CONVICTION_LIFETIME_SECONDS,
        )
        self._trials = trials_module.Trials()
        self._convictions = convictions.Convictions()
        self._by_suspect: dict[int, list[crash_attribution.Crash]] = {}
        self._causes: dict[int, int] = {}
        self._excuses = crash_excuses.Excuses(by_suspect={}, convicts=())
        self.quarantined: frozenset[int] = frozenset()
        self.digest = 0

    @property
    def known(self) -> bool:
        """Tell whether any crash is known."""
        return bool(self.records)

    @property
    def has_suspects(self) -> bool:
        """Tell whether any cause is a suspect."""
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

    def clear(self, *causes: int) -> tuple[int, ...]:
        """Record that a request completed.

        :param causes: its fingerprint, and the parts of its prompt
        :return: those of them that were suspects
        """
        cleared = tuple(filter(self._clear, causes))
        if cleared:
            self._refresh()
        return cleared

    def begin_trial(self, *causes: int, now_seconds: float) -> None:
        """Record that a convict is sent once more.

        :param causes: the convicts that the request holds
        :param now_seconds: reading of the process clock
        """
        for cause in causes:
            self._trials.begin(cause, at_seconds=now_seconds)

    def find_excuse(
        self, cause: int, *, held: Iterable[int] = (), now_seconds: float
    ) -> frozenset[int]:
        """Find the convicts beside which a convict may have run by chance.

        :param cause: the convict
        :param held: all causes of the request that is to be sent
        :param now_seconds: reading of the process clock
        :return: none if the request may not be sent for its sake
        """
        return self._excuses.find(
            cause,
            held=frozenset(held),
            is_sound=lambda each: self._is_known_sound(each, now_seconds),
            tried_at_seconds=self._trials.first_begun_at_seconds(cause),
        )

    def list_convicts(
        self, *causes: int, now_seconds: float
    ) -> tuple[int, ...]:
        """List the convicts that a request can't be sent with as others are.

        :param causes: those of the request
        :param now_seconds: reading of the process clock
        :return: the convicts but those that are known to be sound
        """
        return tuple(
            cause
            for cause in causes
            if cause in self._convictions
            and not self._is_known_sound(cause, now_seconds)
        )

    def lease_key(self, *causes: int, now_seconds: float) -> int | None:
        """Tell which requests aren't sent together with a suspect.

        :param causes: those of the suspect
        :param now_seconds: reading of the process clock
        :return: the same for all that hold a convict, else the likeliest cause
            of which crashes cut off several copies, also where others explain
            these; None if the request may be sent with any other
        """
        if self.list_convicts(*causes, now_seconds=now_seconds):
            return TRIAL_LEASE
        suspects = [
            cause
            for cause in causes
            if crash_attribution.cut_off_several(
                cause, self._by_suspect.get(cause, [])
            )
            and not self._is_known_sound(cause, now_seconds)
        ]
        if not suspects:
            return None
        likeliest = max(
            suspects, key=lambda each: (len(self._by_suspect[each]), each)
        )
        return crash_causes.to_key(likeliest)

    def count_by_convict(self) -> dict[int, int]:
        """Count the crashes that speak against each convict.

        :return: the most ever counted, by cause
        """
        return self._convictions.causes()

    def count_crashes(self, fingerprint: int, *, now_seconds: float) -> int:
        """Count the crashes that a request may have caused.

        :param fingerprint: the request
        :param now_seconds: reading of the process clock
        :return: those that no convict explains, or all from the second on
        """
        if self._is_repeated(fingerprint):
            return self._causes.get(
                fingerprint, crash_attribution.REPEATED_CRASHES
            )
        return len(self._unexplained(fingerprint, now_seconds))

    def judge(self, *causes: int, now_seconds: float) -> crash_verdict.Verdict:
        """Judge whether a request may be sent.

        :param causes: its fingerprint, and the parts of its prompt
        :param now_seconds: reading of the process clock
        :return: the verdict
        """
        convicts = self.list_convicts(*causes, now_seconds=now_seconds)
        if convicts:
            held = frozenset(causes)
            return max(
                (
                    self._judge_convict(each, held, now_seconds)
                    for each in convicts
                ),
                key=lambda verdict: (
                    verdict.retry_after_seconds,
                    verdict.is_trial,
                ),
            )
        crashes = self._unexplained(causes[0], now_seconds)
        if not crashes:
            return crash_verdict.NOT_SUSPECTED
        newest_at_seconds = max(crash.at_seconds for crash in crashes)
        return crash_verdict.Verdict(
            len(crashes), now_seconds - newest_at_seconds, 0.0
        )

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
        has_new_trials = self._trials.merge(trials, now_seconds=now_seconds)
        # Those that had to go at once are no news for others.
        return has_new_trials or any(
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
        return self._news(crashes, self._trials.take_changed(), now_seconds)

    def everything(self, *, now_seconds: float) -> messages.CrashNews:
        """Return all that is known.

        :param now_seconds: reading of the process clock
        :return: all crashes and trials
        """
        crashes = self.records.report_all(now_seconds=now_seconds)
        return self._news(crashes, self._trials, now_seconds)

    def _judge_convict(
        self, cause: int, held: frozenset[int], now_seconds: float
    ) -> crash_verdict.Verdict:
        conviction = self._convictions[cause]
        is_excused = bool(
            self.find_excuse(cause, held=held, now_seconds=now_seconds)
        )
        delay_seconds = (
            0.0
            if is_excused
            else self._schedule.delay_seconds(
                conviction,
                self.records.all(),
                self._is_repeated,
                now_seconds=now_seconds,
            )
        )
        due_at_seconds = max(
            conviction.last_crash_at_seconds + delay_seconds,
            self._trials.begun_at_seconds(cause)
            + max(delay_seconds, trials_module.min_gap_seconds(cause)),
        )
        wait_seconds = max(0.0, due_at_seconds - now_seconds)
        if is_excused and not wait_seconds:
            return crash_verdict.NOT_SUSPECTED
        return crash_verdict.Verdict(
            conviction.causes,
            now_seconds - conviction.last_crash_at_seconds,
            wait_seconds,
            not wait_seconds,
            cause,
        )

    def _is_known_sound(self, cause: int, now_seconds: float) -> bool:
        def is_sound(each: int) -> bool:
            return self.sound.is_sound(each, now_seconds=now_seconds)

        return is_sound(cause) and not self._excuses.outweigh_success(
            cause, is_sound
        )

    def _clear(self, cause: int) -> bool:
        was_suspect = self.records.clear(cause)
        return self._convictions.end(cause) or was_suspect

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

    def _unexplained(
        self, fingerprint: int, now_seconds: float
    ) -> list[crash_attribution.Crash]:
        return [
            crash
            for crash in self._by_suspect.get(fingerprint, ())
            if all(
                self.find_excuse(convict, now_seconds=now_seconds)
                for convict in self.quarantined & crash.suspects.keys()
            )
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
        self._excuses = crash_excuses.Excuses(
            by_suspect=self._by_suspect, convicts=self.quarantined
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
]
