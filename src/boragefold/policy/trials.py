"""The trials of convicted requests, merged from all instances."""

from __future__ import annotations

from collections.abc import Container
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import math

from boragefold.policy import crash_causes
from boragefold.policy import crash_records
from boragefold.protocol import crash_messages as messages

# A trial may wait at its endpoint before it begins.
MIN_TRIAL_GAP_SECONDS = 4.0


def min_gap_seconds(cause: int) -> float:
    """Tell for how long copies are refused while one is tried.

    :param cause: the convict
    :return: nothing for a part, as other requests hold it; they wait for the
        lease of all trials
    """
    return 0.0 if crash_causes.is_part(cause) else MIN_TRIAL_GAP_SECONDS


class Trials:
    """When each convict was last sent once more, to find out about it."""

    def __init__(self) -> None:
        """Start without any trial."""
        self._begun: dict[int, float] = {}
        self._first_begun: dict[int, float] = {}
        self._changed: set[int] = set()

    def __iter__(self) -> Iterator[int]:
        return iter(self._begun)

    def begun_at_seconds(self, fingerprint: int) -> float:
        """Tell when the last trial of a request began.

        :param fingerprint: the request
        :return: a clock reading, negative infinity if there was none
        """
        return self._begun.get(fingerprint, -math.inf)

    def first_begun_at_seconds(self, fingerprint: int) -> float:
        """Tell when the first known trial of a request began.

        :param fingerprint: the request
        :return: a clock reading, infinity if there was none
        """
        return self._first_begun.get(fingerprint, math.inf)

    def begin(self, fingerprint: int, *, at_seconds: float) -> None:
        """Record that a convict is sent once more.

        :param fingerprint: the request
        :param at_seconds: a clock reading
        """
        self._record({fingerprint: at_seconds})

    def merge(
        self, reports: Iterable[messages.TrialReport], *, now_seconds: float
    ) -> bool:
        """Record what another instance knows of trials.

        :param reports: what it tells
        :param now_seconds: reading of the process clock
        :return: whether any was new
        """
        found = {
            report.fingerprint: now_seconds
            - report.age_milliseconds / crash_records.MILLISECONDS
            for report in reports
        }
        # Reports of one trial differ by the time that they travelled.
        new = {
            fingerprint: at_seconds
            for fingerprint, at_seconds in found.items()
            if at_seconds
            > self.begun_at_seconds(fingerprint) + MIN_TRIAL_GAP_SECONDS / 2
        }
        self._record(new)
        return bool(new)

    def _record(self, begun: Mapping[int, float]) -> None:
        self._begun.update(begun)
        self._first_begun = {**begun, **self._first_begun}
        self._changed.update(begun)

    def take_changed(self) -> set[int]:
        """Return the requests of which a trial was recorded, and forget them.

        :return: those since the last call
        """
        changed, self._changed = self._changed, set()
        return changed

    def report(
        self, fingerprints: Iterable[int], *, now_seconds: float
    ) -> tuple[messages.TrialReport, ...]:
        """Report the last trials of some requests.

        :param fingerprints: the requests
        :param now_seconds: reading of the process clock
        :return: a report of each that was tried
        """
        return tuple(
            messages.TrialReport(
                fingerprint,
                crash_records.to_age(self._begun[fingerprint], now_seconds),
            )
            for fingerprint in sorted(fingerprints)
            if fingerprint in self._begun
        )

    def keep(self, fingerprints: Container[int]) -> None:
        """Forget the trials of all other requests.

        :param fingerprints: the convicts
        """
        gone = [each for each in self._begun if each not in fingerprints]
        for fingerprint in gone:
            del self._begun[fingerprint]
            del self._first_begun[fingerprint]


__all__ = [
    "MIN_TRIAL_GAP_SECONDS",
    "Trials",
    "min_gap_seconds",
]
