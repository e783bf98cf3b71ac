"""Attributes crashes of endpoints to the requests that ran there."""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses
from typing import NamedTuple

from boragefold.protocol import crash_messages as messages

# Two crashes under one request happen by chance where many endpoints fail.
QUARANTINE_CRASHES = 3
# Endpoints that end at the same moment have a cause outside their requests.
SAME_CAUSE_SECONDS = 0.1
MAX_SUSPECTS = 128


@dataclasses.dataclass(kw_only=True)
class Crash:
    """A crash, the requests that may have caused it, and those that didn't."""

    at_seconds: float
    # How long each ran there, in milliseconds.
    suspects: dict[int, int] = dataclasses.field(default_factory=dict)
    cleared: set[int] = dataclasses.field(default_factory=set)


class Attribution(NamedTuple):
    """The crashes that count against each suspect.

    ``quarantined`` are the suspects of so many that they may not be sent.
    """

    by_suspect: dict[int, list[Crash]]
    quarantined: frozenset[int]


def merge(crash: Crash, report: messages.CrashReport) -> bool:
    """Add what a report tells of a crash.

    :param crash: what is known of it
    :param report: what another instance knows
    :return: whether anything was new
    """
    before = len(crash.cleared), dict(crash.suspects)
    crash.cleared.update(report.cleared)
    for fingerprint, ran_milliseconds in report.suspects:
        known = crash.suspects.get(fingerprint, 0)
        crash.suspects[fingerprint] = max(known, ran_milliseconds)
    for fingerprint in crash.cleared & crash.suspects.keys():
        del crash.suspects[fingerprint]
    if len(crash.suspects) > MAX_SUSPECTS:
        # The same ones at each instance, so that all come to agree.
        likeliest = sorted(
            crash.suspects, key=lambda each: (crash.suspects[each], each)
        )
        for fingerprint in likeliest[MAX_SUSPECTS:]:
            del crash.suspects[fingerprint]
    return (len(crash.cleared), crash.suspects) != before


def attribute(crashes: Iterable[Crash]) -> Attribution:
    """Decide which requests count as causes of which crashes.

    :param crashes: all that are known
    :return: the crashes that count against each suspect
    """
    by_suspect: dict[int, list[Crash]] = {}
    for crash in crashes:
        for fingerprint in crash.suspects:
            by_suspect.setdefault(fingerprint, []).append(crash)
    quarantined: set[int] = set()
    explained: set[int] = set()
    # The likeliest cause first: under most crashes, and soon after its start.
    for fingerprint in sorted(
        by_suspect, key=lambda each: _innocence(each, by_suspect[each])
    ):
        own = [
            crash
            for crash in by_suspect[fingerprint]
            if id(crash) not in explained
        ]
        if count_causes(own) >= QUARANTINE_CRASHES:
            quarantined.add(fingerprint)
            explained.update(map(id, own))
        by_suspect[fingerprint] = own
    return Attribution(by_suspect, frozenset(quarantined))


def _innocence(fingerprint: int, crashes: list[Crash]) -> tuple[int, int, int]:
    ran_milliseconds = max(crash.suspects[fingerprint] for crash in crashes)
    return -len(crashes), ran_milliseconds, fingerprint


def count_causes(crashes: Iterable[Crash]) -> int:
    """Count crashes, those at the same moment as one.

    :param crashes: the crashes
    :return: how many different causes they have at least
    """
    times = sorted(crash.at_seconds for crash in crashes)
    return sum(
        one is None or other - one > SAME_CAUSE_SECONDS
        for one, other in zip([None, *times], times, strict=False)
    )


__all__ = [
    "Attribution",
    "Crash",
    "MAX_SUSPECTS",
    "QUARANTINE_CRASHES",
    "attribute",
    "count_causes",
    "merge",
]
