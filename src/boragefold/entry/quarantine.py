"""Keeps requests that crash their endpoints away from further endpoints."""

from __future__ import annotations

import abc
from collections.abc import Callable
from typing import Any

from boragefold.entry import break_evidence
from boragefold.policy import crash_causes
from boragefold.policy import crash_suspects
from boragefold.policy import crash_verdict
from boragefold.telemetry import counters as telemetry
from boragefold.telemetry import decision_log
from boragefold.timing import timers as timing

REASON = "crash_suspect"
# These limit the length of a log line.
MAX_LOGGED_CRASHES = 8
MAX_LOGGED_CAUSES = 8


class WaitingRequest(abc.ABC):
    """A request that may become quarantined before it is sent."""

    @abc.abstractmethod
    def on_quarantine(self) -> None:
        """Refuse the request if it waits and is quarantined now."""


class Quarantine:
    """Decides whether a request may be sent, and keeps the evidence."""

    def __init__(
        self,
        *,
        suspects: crash_suspects.CrashSuspects,
        timers: timing.TimerService,
        counters: telemetry.Counters,
        log: decision_log.DecisionLog,
        publish: Callable[[], None],
    ) -> None:
        """Start without any request.

        :param suspects: the known crashes
        :param timers: the process clock
        :param counters: counts requests that are quarantined or released
        :param log: gets a line for each of them
        :param publish: sends changes of the known crashes to other instances
        """
        self._suspects = suspects
        self._timers = timers
        self._counters = counters
        self._log = log
        self._publish = publish
        self._logged: frozenset[int] = frozenset()
        self._counts: dict[int, int] = {}
        # Ordered, so that requests are refused in the order of their arrival.
        self._waiting: dict[WaitingRequest, None] = {}

    def watch(self, request: WaitingRequest) -> None:
        """Tell a request when a request becomes quarantined.

        :param request: the request
        """
        self._waiting[request] = None

    def unwatch(self, request: WaitingRequest) -> None:
        """Stop telling a request.

        :param request: the request
        """
        self._waiting.pop(request, None)

    def judge(
        self, read_causes: Callable[[], crash_causes.RequestCauses]
    ) -> crash_verdict.Verdict:
        """Judge whether a request may be sent now.

        :param read_causes: computes the request's causes, called only while
            there are suspects
        :return: the verdict
        """
        if not self._suspects.has_suspects:
            return crash_verdict.NOT_SUSPECTED
        return self._suspects.judge(
            *read_causes().all, now_seconds=self._timers.now_seconds()
        )

    def log_refusal(
        self,
        request_id: str,
        fingerprint: int,
        verdict: crash_verdict.Verdict,
    ) -> None:
        """Log why a request isn't sent.

        :param request_id: of the request
        :param fingerprint: of the request
        :param verdict: the verdict on it
        """
        self._log.write(
            "request_quarantined",
            request_id=request_id,
            fingerprint=crash_causes.describe(fingerprint),
            cause=crash_causes.describe(verdict.cause),
            evidence=self._describe_evidence(verdict.cause),
            crashes=verdict.crashes,
            newest_crash_seconds=round(verdict.newest_crash_seconds, 3),
            retry_after_seconds=round(verdict.retry_after_seconds, 3),
        )

    def lease_key(
        self, read_causes: Callable[[], crash_causes.RequestCauses]
    ) -> int | None:
        """Tell which requests aren't sent together with one.

        :param read_causes: computes the request's causes, called only while
            there are suspects
        :return: what identifies their lease, None if it needs none
        """
        if not self._suspects.has_suspects:
            return None
        return self._suspects.lease_key(
            *read_causes().all, now_seconds=self._timers.now_seconds()
        )

    def count_crashes(self, fingerprint: Callable[[], int]) -> int:
        """Count the crashes that a request may have caused by itself.

        :param fingerprint: computes the request's fingerprint, called only
            while there are suspects
        :return: those that are known by now
        """
        if not self._suspects.has_suspects:
            return 0
        return self._suspects.count_crashes(
            fingerprint(), now_seconds=self._timers.now_seconds()
        )

    def record_sending(
        self, read_causes: Callable[[], crash_causes.RequestCauses]
    ) -> bool:
        """Record a trial if a request that is sent now holds a convict.

        :param read_causes: computes the request's causes, called only while
            there are convicts
        :return: whether it is a trial
        """
        if not self._suspects.quarantined:
            return False
        now_seconds = self._timers.now_seconds()
        convicts = self._suspects.list_convicts(
            *read_causes().all, now_seconds=now_seconds
        )
        if not convicts:
            return False
        self._suspects.begin_trial(*convicts, now_seconds=now_seconds)
        self._counters.add("quarantine_trials")
        for convict in convicts:
            self._log.write(
                "quarantine_trial",
                fingerprint=crash_causes.describe(convict),
                crashes=self._suspects.count_crashes(
                    convict, now_seconds=now_seconds
                ),
                excused_by=self._describe_excuse(convict),
            )
        self._publish()
        return True

    def record_sound(
        self,
        request_id: str,
        parts: tuple[int, ...],
        list_causes: Callable[[], tuple[int, ...]],
    ) -> None:
        """Record that a request showed what crashes no endpoint.

        :param request_id: of the request, for the log
        :param parts: the shared parts of its prompt
        :param list_causes: lists what is cleared, called only while there are
            suspects
        """
        self._suspects.sound.record(
            parts, now_seconds=self._timers.now_seconds()
        )
        if not self._suspects.has_suspects:
            return
        cleared = self._suspects.clear(*list_causes())
        if not cleared:
            return
        self._log.write_ordinary(
            "suspects_cleared",
            request_id=request_id,
            causes=[crash_causes.describe(each) for each in cleared],
        )
        self._publish()
        self.update("completed")

    def record_crash(self, crash: break_evidence.DetectedCrash) -> None:
        """Record a crash.

        :param crash: the endpoint and the requests that ran there
        """
        self._suspects.record_crash(
            crash.life.crash,
            crash.suspects,
            now_seconds=self._timers.now_seconds(),
        )
        self._publish()
        self.update("crash")

    def record_unproven(self, crash: break_evidence.DetectedCrash) -> None:
        """Record breaks that count if another instance knows of the crash.

        :param crash: the endpoint and the requests that ran there
        """
        if self._suspects.record_unproven(
            crash.life.crash,
            crash.suspects,
            now_seconds=self._timers.now_seconds(),
        ):
            self._publish()
            self.update("crash")

    def update(self, cause: str) -> None:
        """Refuse the waiting requests that have become quarantined.

        :param cause: what has changed the known crashes, for the log
        """
        before, self._logged = self._logged, self._suspects.quarantined
        for fingerprint in sorted(before ^ self._logged):
            self._write_change(fingerprint, cause)
        counts = self._suspects.count_by_convict()
        has_grown = any(
            count > self._counts.get(cause, 0)
            for cause, count in counts.items()
        )
        self._counts = counts
        if has_grown:
            for request in list(self._waiting):
                request.on_quarantine()

    def _write_change(self, fingerprint: int, cause: str) -> None:
        added = fingerprint in self._logged
        now_seconds = self._timers.now_seconds()
        verdict = self._suspects.judge(fingerprint, now_seconds=now_seconds)
        change = "added" if added else "released"
        if crash_causes.is_part(fingerprint):
            change = f"part_{change}"
        self._counters.add("quarantine", change)
        self._log.write(
            "quarantine_changed",
            fingerprint=crash_causes.describe(fingerprint),
            kind="part" if crash_causes.is_part(fingerprint) else "request",
            quarantined=added,
            cause=cause,
            evidence=self._describe_evidence(fingerprint),
            excused_by=self._describe_excuse(fingerprint),
            crashes=self._suspects.count_crashes(
                fingerprint, now_seconds=now_seconds
            ),
            retry_after_seconds=round(verdict.retry_after_seconds, 3),
        )

    def _describe_evidence(self, cause: int) -> dict[str, dict[str, Any]]:
        evidence = self._suspects.records.list_evidence(
            cause,
            self._suspects.quarantined,
            now_seconds=self._timers.now_seconds(),
        )
        return {
            crash_causes.describe(each.crash): {
                "age_seconds": round(each.age_seconds, 3),
                "beside": [
                    crash_causes.describe(other)
                    for other in each.beside[:MAX_LOGGED_CAUSES]
                ],
            }
            for each in evidence[-MAX_LOGGED_CRASHES:]
        }

    def _describe_excuse(self, fingerprint: int) -> list[str]:
        others = self._suspects.find_excuse(
            fingerprint, now_seconds=self._timers.now_seconds()
        )
        return sorted(map(crash_causes.describe, others))


__all__ = [
    "Quarantine",
    "REASON",
    "WaitingRequest",
]
