"""What the known crashes of endpoints tell of the requests that ran there."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
import dataclasses
import itertools

from boragefold.policy import crash_causes
from boragefold.protocol import crash_messages as messages

# One crash under a request is nothing unusual.
REPEATED_CRASHES = 2
# Two crashes under one request happen by chance where many endpoints fail.
CONVICTION_CRASHES = 3
# Endpoints that end at the same moment may have a cause outside of requests.
SAME_MOMENT_SECONDS = 0.1
MAX_CAUSES_OF_A_MOMENT = 2
# When so many copies were cut off, a cause is sent one at a time.
CUT_OFF_COPIES = 2
MAX_SUSPECTS = 320
MAX_COPIES = 4


@dataclasses.dataclass(kw_only=True)
class Crash:
    """A crash, the requests that may have caused it, and those that didn't.

    ``suspects`` tells for how long the longest copy of each ran there, and
    ``copies`` the times of its ``MAX_COPIES`` longest, in milliseconds.
    """

    at_seconds: float
    suspects: dict[int, int] = dataclasses.field(default_factory=dict)
    copies: dict[int, frozenset[int]] = dataclasses.field(default_factory=dict)
    cleared: set[int] = dataclasses.field(default_factory=set)


def merge(crash: Crash, report: messages.CrashReport) -> bool:
    """Add what a report tells of a crash.

    :param crash: what is known of it
    :param report: what another instance knows
    :return: whether anything was new
    """
    before = len(crash.cleared), dict(crash.copies)
    crash.cleared.update(report.cleared)
    for fingerprint, ran_milliseconds in report.suspects:
        known = crash.copies.get(fingerprint, frozenset())
        longest = sorted(known | {ran_milliseconds})[-MAX_COPIES:]
        crash.copies[fingerprint] = frozenset(longest)
        crash.suspects[fingerprint] = longest[-1]
    for fingerprint in crash.cleared & crash.suspects.keys():
        drop_suspect(crash, fingerprint)
    if len(crash.suspects) > MAX_SUSPECTS:
        # The same ones at each instance, so that all come to agree.
        likeliest = sorted(
            crash.suspects, key=lambda each: (crash.suspects[each], each)
        )
        for fingerprint in likeliest[MAX_SUSPECTS:]:
            drop_suspect(crash, fingerprint)
    return (len(crash.cleared), crash.copies) != before


def drop_suspect(crash: Crash, fingerprint: int) -> None:
    """Take a request off the suspects of a crash.

    :param crash: what is known of it
    :param fingerprint: one of its suspects
    """
    del crash.suspects[fingerprint]
    del crash.copies[fingerprint]


def cut_off_several(cause: int, crashes: Collection[Crash]) -> bool:
    """Tell whether crashes cut off several copies of a cause.

    Of those that ran equally long at one endpoint, one is counted.

    :param cause: the cause
    :param crashes: those under it
    :return: whether it is sent one copy at a time
    """
    # Many requests that run side by side share a part.
    if crash_causes.is_part(cause) and len(crashes) < CUT_OFF_COPIES:
        return False
    copies = sum(len(crash.copies[cause]) for crash in crashes)
    return copies >= CUT_OFF_COPIES


def group_by_suspect(crashes: Iterable[Crash]) -> dict[int, list[Crash]]:
    """List the crashes under each suspect.

    :param crashes: all that are known
    :return: crashes by fingerprint
    """
    by_suspect: dict[int, list[Crash]] = {}
    for crash in crashes:
        for fingerprint in crash.suspects:
            by_suspect.setdefault(fingerprint, []).append(crash)
    return by_suspect


def count_causes(cause: int, crashes: Iterable[Crash]) -> int:
    """Count the crashes that speak against a cause.

    Several of one moment count twice. At one of the moments they count once,
    unless nothing else ran at two of them but what all requests with that
    cause hold.

    :param cause: the cause
    :param crashes: those under it
    :return: how many different causes they have at least
    """
    ordered = sorted(crashes, key=lambda crash: crash.at_seconds)
    moments: list[list[Crash]] = []
    for crash in ordered:
        if (
            moments
            and crash.at_seconds - moments[-1][0].at_seconds
            <= SAME_MOMENT_SECONDS
        ):
            moments[-1].append(crash)
        else:
            moments.append([crash])
    counts = [min(len(each), MAX_CAUSES_OF_A_MOMENT) for each in moments]
    doubts = (
        count - 1
        for count, moment in zip(counts, moments, strict=True)
        if not _has_nothing_else_in_common(cause, moment)
    )
    return sum(counts) - max(doubts, default=0)


def _has_nothing_else_in_common(cause: int, moment: list[Crash]) -> bool:
    return any(
        all(
            _is_implied(each, cause, one, other)
            for each in one.suspects.keys() & other.suspects.keys()
        )
        for one, other in itertools.combinations(moment, 2)
    )


def _is_implied(each: int, cause: int, one: Crash, other: Crash) -> bool:
    if each == cause:
        return True
    if not crash_causes.is_part(each):
        return False
    # The parts of a request run where it does.
    return not crash_causes.is_part(cause) or all(
        crash.copies[each] == crash.copies[cause] for crash in (one, other)
    )


def has_no_culprit(
    crash: Crash, is_repeated: Callable[[int], bool], *, settled: bool
) -> bool:
    """Tell whether an endpoint probably crashed by itself.

    :param crash: what is known of it
    :param is_repeated: whether several crashes speak against a suspect
    :param settled: whether a culprit would have been sent again since
    :return: whether none of its suspects can have caused it
    """
    if not crash.suspects:
        return True
    return settled and not any(map(is_repeated, crash.suspects))


__all__ = [
    "CONVICTION_CRASHES",
    "Crash",
    "MAX_SUSPECTS",
    "REPEATED_CRASHES",
    "count_causes",
    "cut_off_several",
    "drop_suspect",
    "group_by_suspect",
    "has_no_culprit",
    "merge",
]
