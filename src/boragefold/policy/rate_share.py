"""The part of all rates that belongs to the reachable instances, over time.

During a network partition, each side fills its buckets only with the part of
the rate that equals its share of the instances, so that the sum over all
sides stays the rate.
"""

from __future__ import annotations

from collections.abc import Iterable
import math
from typing import NamedTuple

# After this, the callers of an ended instance use other instances.
PEER_EXPIRY_SECONDS = 20.0


class Reading(NamedTuple):
    """The time since the start, split by the share of the rate.

    A rate filled ``rate * filled_seconds`` into a bucket since the start, and
    ``rate * withheld_seconds`` belonged to unreachable instances.
    """

    filled_seconds: float
    withheld_seconds: float
    at_seconds: float


class ShareClock:
    """Adds up the share of the rates that fills the buckets here."""

    def __init__(self, *, started_at_seconds: float) -> None:
        """Begin with the whole rate.

        :param started_at_seconds: reading of the process clock; negative
            infinity for a process that has run for ever
        """
        self.share = 1.0
        self._filled_seconds = 0.0
        self._withheld_seconds = 0.0
        self._at_seconds = started_at_seconds
        self._withheld_at_seconds = -math.inf

    def set_share(self, share: float, *, now_seconds: float) -> None:
        """Change the share from now on.

        :param share: from 0 to 1
        :param now_seconds: reading of the process clock
        """
        self.read(now_seconds=now_seconds)
        self.share = share

    def read(self, *, now_seconds: float) -> Reading:
        """Add up the share until now.

        :param now_seconds: reading of the process clock
        :return: the sums
        """
        elapsed_seconds = max(0.0, now_seconds - self._at_seconds)
        self._at_seconds = max(self._at_seconds, now_seconds)
        if elapsed_seconds < math.inf:
            self._filled_seconds += self.share * elapsed_seconds
            self._withheld_seconds += (1 - self.share) * elapsed_seconds
        if self.share < 1:
            self._withheld_at_seconds = self._at_seconds
        return Reading(
            self._filled_seconds, self._withheld_seconds, self._at_seconds
        )

    def withheld_lately(self, *, now_seconds: float) -> bool:
        """Tell whether unreachable instances may still report late amounts.

        :param now_seconds: reading of the process clock
        :return: whether a part of the rate was withheld for them lately
        """
        since_seconds = now_seconds - self._withheld_at_seconds
        return since_seconds <= PEER_EXPIRY_SECONDS


def reachable_share(
    peer_ages_seconds: Iterable[float], silent_seconds: float
) -> float:
    """Compute the fraction of a rate that belongs to reachable instances.

    :param peer_ages_seconds: seconds since each known peer was heard
    :param silent_seconds: age from which a peer counts as unreachable
    :return: 1 when all peers are reachable
    """
    ages = [age for age in peer_ages_seconds if age <= PEER_EXPIRY_SECONDS]
    reached = 1 + sum(age <= silent_seconds for age in ages)
    return reached / math.fsum((1, len(ages)))


__all__ = [
    "PEER_EXPIRY_SECONDS",
    "Reading",
    "ShareClock",
    "reachable_share",
]
