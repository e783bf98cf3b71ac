"""Which requests are convicted of crashing the endpoints that run them.

A conviction follows from the crashes under that request alone. It ends when
the request completes, or long after its last crash; news about other requests
or about other crashes doesn't end it.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from typing import NamedTuple

from boragefold.policy import crash_attribution

# Also the time from the last trial until the next.
CONVICTION_LIFETIME_SECONDS = 86_400.0
MAX_CONVICTIONS = 256


class Conviction(NamedTuple):
    """The evidence against a request; ``causes`` is the most ever counted."""

    causes: int
    first_crash_at_seconds: float
    last_crash_at_seconds: float


class Convictions:
    """The convicted requests, by fingerprint."""

    def __init__(self) -> None:
        """Start without any."""
        self._convictions: dict[int, Conviction] = {}

    def __contains__(self, fingerprint: int) -> bool:
        return fingerprint in self._convictions

    def __iter__(self) -> Iterator[int]:
        return iter(self._convictions)

    def __getitem__(self, fingerprint: int) -> Conviction:
        return self._convictions[fingerprint]

    def causes(self) -> dict[int, int]:
        """List how many crashes speak against each convict.

        :return: the most ever counted, by fingerprint
        """
        return {
            fingerprint: conviction.causes
            for fingerprint, conviction in self._convictions.items()
        }

    def update(
        self,
        by_suspect: Mapping[int, Iterable[crash_attribution.Crash]],
        causes: Mapping[int, int],
    ) -> None:
        """Convict the requests under which there were enough crashes.

        :param by_suspect: the known crashes by fingerprint
        :param causes: the count of these
        """
        for fingerprint, crashes in by_suspect.items():
            known = self._convictions.get(fingerprint)
            count = causes[fingerprint]
            if known is None and count < crash_attribution.CONVICTION_CRASHES:
                continue
            times = [crash.at_seconds for crash in crashes]
            if known is not None:
                count = max(count, known.causes)
                times += known[1:]
            self._convictions[fingerprint] = Conviction(
                count, min(times), max(times)
            )

    def end(self, fingerprint: int) -> bool:
        """Forget what speaks against a request that has completed.

        :param fingerprint: the request
        :return: whether it was convicted
        """
        return self._convictions.pop(fingerprint, None) is not None

    def expire(self, *, now_seconds: float) -> bool:
        """Forget convictions that are long over.

        :param now_seconds: reading of the process clock
        :return: whether there were any
        """
        oldest = now_seconds - CONVICTION_LIFETIME_SECONDS
        newest_first = sorted(
            self._convictions.items(),
            key=lambda item: (-item[1].last_crash_at_seconds, item[0]),
        )
        kept = {
            fingerprint: conviction
            for fingerprint, conviction in newest_first[:MAX_CONVICTIONS]
            if conviction.last_crash_at_seconds >= oldest
        }
        before, self._convictions = self._convictions, kept
        return len(kept) < len(before)


__all__ = [
    "CONVICTION_LIFETIME_SECONDS",
    "Conviction",
    "Convictions",
]
