"""The parts of prompts that completed lately at this instance.

Load pattern: half of the requests share a part, and endpoints crash for
another cause. Each crash cuts the part off, and the next success that clears
it may take seconds.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable

MAX_PARTS = 8192
# A part that used to be sound may crash another release of the endpoints.
SOUND_SECONDS = 600.0


class SoundParts:
    """When each part last completed, the latest of them."""

    def __init__(self) -> None:
        """Start without any."""
        self._completed: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )

    def record(self, parts: Iterable[int], *, now_seconds: float) -> None:
        """Record that a request completed.

        :param parts: the shared parts of its prompt
        :param now_seconds: reading of the process clock
        """
        for part in parts:
            self._completed[part] = now_seconds
            self._completed.move_to_end(part)
        while len(self._completed) > MAX_PARTS:
            self._completed.popitem(last=False)

    def is_sound(self, part: int, *, now_seconds: float) -> bool:
        """Tell whether a part completed lately.

        :param part: the part
        :param now_seconds: reading of the process clock
        :return: whether it did, at this instance
        """
        completed_at_seconds = self._completed.get(part)
        return (
            completed_at_seconds is not None
            and now_seconds - completed_at_seconds <= SOUND_SECONDS
        )


__all__ = [
    "SOUND_SECONDS",
    "SoundParts",
]
