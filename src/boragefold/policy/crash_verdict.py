"""Whether a request may be sent that may crash its endpoint."""

from __future__ import annotations

import math
from typing import NamedTuple


class Verdict(NamedTuple):
    """Whether a request may be sent, and the evidence for that.

    ``crashes`` counts those that only this request may have caused, of which
    the last was ``newest_crash_seconds`` ago. ``retry_after_seconds`` is 0 if
    it may be sent, ``is_trial`` whether it may be although it is quarantined.
    ``cause`` is what is held guilty.
    """

    crashes: int
    newest_crash_seconds: float
    retry_after_seconds: float
    is_trial: bool = False
    cause: int = 0

    @property
    def quarantined(self) -> bool:
        """Tell whether the request may not be sent.

        :return: whether it has to wait
        """
        return self.retry_after_seconds > 0


NOT_SUSPECTED = Verdict(0, math.inf, 0.0)


__all__ = [
    "NOT_SUSPECTED",
    "Verdict",
]
