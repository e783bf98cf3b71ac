"""Which convicts may have run beside culprits by chance.

Load pattern: the requests that crash endpoints share more with sound ones
than what crashes them, as the first part of their prompts. All that they
share has the same crashes, and so has whatever ran beside them each time.

Sending a request that holds only some of these convicts tells them apart.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import itertools
import math
from typing import NamedTuple

from boragefold.policy import crash_attribution
from boragefold.policy import crash_causes


class Limits(NamedTuple):
    """Up to how many crashes a convict is excused.

    ``unexplained`` is how many crashes may have no other explanation,
    ``failed_trials`` how many there may be since it was first tried, and
    ``failed_alone`` how many of these without another explanation. ``crashes``
    limits them all, for a trial of which the news is late.
    """

    crashes: float
    unexplained: int
    failed_trials: int
    failed_alone: int


REQUEST_LIMITS = Limits(
    crashes=crash_attribution.CONVICTION_CRASHES,
    unexplained=0,
    failed_trials=0,
    failed_alone=0,
)
# A part runs on many endpoints, of which some crash by themselves.
PART_LIMITS = Limits(
    crashes=math.inf, unexplained=2, failed_trials=2, failed_alone=1
)
# So many crashes without another explanation outweigh earlier successes.
MAX_CRASHES_OF_SOUND = 5
# Less likely ones explain little.
MAX_EXPLAINING = 32


class Excuses:
    """What else explains the crashes under each convict."""

    def __init__(
        self,
        *,
        by_suspect: Mapping[int, list[crash_attribution.Crash]],
        convicts: Collection[int],
    ) -> None:
        """Explain nothing yet.

        :param by_suspect: the known crashes by cause
        :param convicts: the convicted ones
        """
        self._by_suspect = by_suspect
        self._longest = {
            cause: max(crash.suspects[cause] for crash in by_suspect[cause])
            for cause in by_suspect.keys() & set(convicts)
        }
        likeliest = sorted(
            self._longest,
            key=lambda each: (
                -len(by_suspect[each]),
                self._longest[each],
                each,
            ),
        )
        self._explaining = frozenset(likeliest[:MAX_EXPLAINING])
        self._beside: dict[int, list[frozenset[int]]] = {}

    def find(
        self,
        cause: int,
        *,
        held: Collection[int],
        is_sound: Callable[[int], bool],
        tried_at_seconds: float,
    ) -> frozenset[int]:
        """Find the convicts that excuse a cause for a request that holds it.

        :param cause: a convict
        :param held: all causes of the request
        :param is_sound: whether a cause is known to be sound
        :param tried_at_seconds: when the cause was first tried
        :return: none if the request may not be sent
        """
        is_part = crash_causes.is_part(cause)
        limits = PART_LIMITS if is_part else REQUEST_LIMITS
        explained = [
            frozenset(itertools.filterfalse(is_sound, each.difference(held)))
            for each in self._explain(cause)
        ]
        crashes = self._by_suspect.get(cause, ())
        unexplained = [
            crash
            for crash, each in zip(crashes, explained, strict=True)
            if not each
        ]
        failed_trials, alone = (
            sum(crash.at_seconds >= tried_at_seconds for crash in each)
            for each in (crashes, unexplained)
        )
        if (
            len(unexplained) > limits.unexplained
            or failed_trials > limits.failed_trials
            or alone > limits.failed_alone
            or len(crashes) > limits.crashes
        ):
            return frozenset()
        return frozenset().union(*explained)

    def outweigh_success(
        self, cause: int, is_sound: Callable[[int], bool]
    ) -> bool:
        """Tell whether crashes speak against a cause that used to complete.

        :param cause: the cause
        :param is_sound: whether a cause completed lately
        :return: whether too many of them have no other explanation
        """
        unexplained = sum(
            all(map(is_sound, each)) for each in self._explain(cause)
        )
        return unexplained > MAX_CRASHES_OF_SOUND

    def _explain(self, cause: int) -> Iterable[frozenset[int]]:
        beside = self._beside.get(cause)
        if beside is None:
            beside = self._beside[cause] = [
                frozenset(
                    other
                    for other in self._explaining & crash.suspects.keys()
                    if other != cause and self._is_as_likely(other, cause)
                )
                for crash in self._by_suspect.get(cause, ())
            ]
        return beside

    def _is_as_likely(self, other: int, cause: int) -> bool:
        # Under more crashes, or cut off sooner after its start.
        if len(self._by_suspect[other]) > len(self._by_suspect[cause]):
            return True
        longest = self._longest.get(cause, 0)
        return self._longest[other] <= longest


__all__ = [
    "Excuses",
]
