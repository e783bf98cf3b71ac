"""The crashes that this instance knows of, merged from all instances."""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterable
from typing import NamedTuple

import xxhash

from boragefold.policy import crash_attribution
from boragefold.policy import unproven_breaks
from boragefold.protocol import crash_messages as messages

MILLISECONDS = 1000.0


class Evidence(NamedTuple):
    """A crash under a suspect, and which convicts ran there, too."""

    crash: int
    age_seconds: float
    beside: tuple[int, ...]


class CrashRecords:
    """The crashes by the number that identifies each, and what changed.

    The evidence against convicts is kept longer than that against others.
    """

    def __init__(
        self,
        *,
        max_crashes: int,
        lifetime_seconds: float,
        convict_lifetime_seconds: float,
    ) -> None:
        """Start without any crash.

        :param max_crashes: the oldest are forgotten beyond this number
        :param lifetime_seconds: how long a crash is remembered
        :param convict_lifetime_seconds: the same under a convict
        """
        self._max_crashes = max_crashes
        self._lifetime_seconds = lifetime_seconds
        self._convict_lifetime_seconds = convict_lifetime_seconds
        self._crashes: dict[int, crash_attribution.Crash] = {}
        self._breaks = unproven_breaks.UnprovenBreaks()
        self._changed: set[int] = set()
        # No other instance has told what was added here.
        self.has_own_news = False

    def __bool__(self) -> bool:
        return bool(self._crashes)

    def __contains__(self, number: int) -> bool:
        return number in self._crashes

    def all(self) -> Collection[crash_attribution.Crash]:
        """List the crashes.

        :return: all that are known
        """
        return self._crashes.values()

    def list_evidence(
        self,
        fingerprint: int,
        convicts: frozenset[int],
        *,
        now_seconds: float,
    ) -> list[Evidence]:
        """List the crashes under a request that hasn't completed since.

        :param fingerprint: the request
        :param convicts: the requests to list beside it
        :param now_seconds: reading of the process clock
        :return: the oldest first
        """
        found = [
            Evidence(
                number,
                now_seconds - crash.at_seconds,
                tuple(
                    sorted((convicts & crash.suspects.keys()) - {fingerprint})
                ),
            )
            for number, crash in self._crashes.items()
            if fingerprint in crash.suspects
        ]
        return sorted(found, key=lambda each: -each.age_seconds)

    def add_unproven(
        self,
        number: int,
        suspects: Iterable[messages.Suspect],
        *,
        now_seconds: float,
    ) -> messages.CrashReport | None:
        """Record breaks that are a crash if any instance knows it as one.

        :param number: of the crash that they may be
        :param suspects: requests that were cut off
        :param now_seconds: reading of the process clock
        :return: a report to add, if the crash is known already
        """
        self._breaks.add(number, suspects, now_seconds=now_seconds)
        crash = self._crashes.get(number)
        if crash is None:
            return None
        age_milliseconds = to_age(crash.at_seconds, now_seconds)
        return messages.CrashReport(number, age_milliseconds, (), ())

    def add(
        self, report: messages.CrashReport, *, now_seconds: float
    ) -> frozenset[int] | None:
        """Add what an instance tells of a crash.

        :param report: what it tells
        :param now_seconds: reading of the process clock
        :return: requests of which it is new that they completed; None if
            nothing is new
        """
        at_seconds = now_seconds - report.age_milliseconds / MILLISECONDS
        crash = self._crashes.get(report.crash)
        if crash is None:
            if now_seconds - at_seconds > self._lifetime_seconds:
                return None
            crash = crash_attribution.Crash(at_seconds=at_seconds)
            self._crashes[report.crash] = crash
        completed = frozenset(report.cleared) - crash.cleared
        unproven = self._breaks.take(report.crash, at_seconds=crash.at_seconds)
        whole = report._replace(suspects=(*report.suspects, *unproven))
        if not crash_attribution.merge(crash, whole):
            return None
        self._changed.add(report.crash)
        self.has_own_news |= bool(unproven)
        return completed

    def clear(self, fingerprint: int) -> bool:
        """Record that a request completed.

        :param fingerprint: the request
        :return: whether it was a suspect of any crash
        """
        found = [
            (number, crash)
            for number, crash in self._crashes.items()
            if fingerprint in crash.suspects
        ]
        for number, crash in found:
            crash_attribution.drop_suspect(crash, fingerprint)
            crash.cleared.add(fingerprint)
            self._changed.add(number)
        return bool(found)

    def expire(self, convicts: frozenset[int], *, now_seconds: float) -> bool:
        """Forget crashes that are long over.

        :param convicts: requests whose evidence is kept longer
        :param now_seconds: reading of the process clock
        :return: whether there were any
        """
        self._breaks.expire(now_seconds=now_seconds)
        expired = [
            number
            for number, crash in self._crashes.items()
            if now_seconds - crash.at_seconds
            > (
                self._lifetime_seconds
                if convicts.isdisjoint(crash.suspects)
                else self._convict_lifetime_seconds
            )
        ]
        for number in expired:
            del self._crashes[number]
        return bool(expired)

    def drop_surplus(self, convicts: frozenset[int]) -> None:
        """Forget the oldest crashes beyond the limit.

        The evidence against convicts and all other crashes have half of the
        room each, and what the others leave: neither may push out the other.

        :param convicts: the convicted requests
        """
        surplus = len(self._crashes) - self._max_crashes
        if surplus <= 0:
            return
        oldest_first = sorted(
            self._crashes, key=lambda each: self._crashes[each].at_seconds
        )
        evidence: list[int] = []
        others: list[int] = []
        for number in oldest_first:
            is_other = convicts.isdisjoint(self._crashes[number].suspects)
            (others if is_other else evidence).append(number)
        beyond_half = max(0, len(others) - self._max_crashes // 2)
        dropped_others = min(surplus, beyond_half)
        for number in (
            *others[:dropped_others],
            *evidence[: surplus - dropped_others],
        ):
            del self._crashes[number]

    def take_changes(
        self, *, now_seconds: float
    ) -> tuple[messages.CrashReport, ...]:
        """Report what changed since the last call.

        :param now_seconds: reading of the process clock
        :return: a report of each changed crash
        """
        changed, self._changed = self._changed, set()
        self.has_own_news = False
        return self._report(changed, now_seconds)

    def report_all(
        self, *, now_seconds: float
    ) -> tuple[messages.CrashReport, ...]:
        """Report all that is known.

        :param now_seconds: reading of the process clock
        :return: a report of each crash
        """
        return self._report(self._crashes, now_seconds)

    def compute_digest(self) -> int:
        """Hash all that is known, to compare it between instances.

        :return: a 64-bit hash, 0 without any crash
        """
        if not self._crashes:
            return 0
        parts = [
            (
                number,
                sorted(
                    (fingerprint, sorted(copies))
                    for fingerprint, copies in crash.copies.items()
                ),
                sorted(crash.cleared),
            )
            for number, crash in sorted(self._crashes.items())
        ]
        return xxhash.xxh3_64_intdigest(repr(parts).encode())

    def _report(
        self, numbers: Iterable[int], now_seconds: float
    ) -> tuple[messages.CrashReport, ...]:
        return tuple(
            messages.CrashReport(
                number,
                to_age(crash.at_seconds, now_seconds),
                tuple(
                    messages.Suspect(fingerprint, ran_milliseconds)
                    for fingerprint, copies in crash.copies.items()
                    for ran_milliseconds in sorted(copies)
                ),
                tuple(sorted(crash.cleared)),
            )
            for number in sorted(numbers)
            if (crash := self._crashes.get(number)) is not None
        )


def to_age(at_seconds: float, now_seconds: float) -> int:
    """Compute how long ago something was.

    :param at_seconds: when it was
    :param now_seconds: reading of the same clock
    :return: milliseconds
    """
    return max(0, round((now_seconds - at_seconds) * MILLISECONDS))


__all__ = [
    "CrashRecords",
    "Evidence",
    "MILLISECONDS",
    "to_age",
]
