"""Records until when each endpoint is cold.

Endpoints state how long they stay cold: in their entries, which all instances
read or get from others, and in what they answer to one instance. Neither is
known to be newer than the other, so an endpoint counts as cold as long as the
newest statement of either says so. This module reads no clock.
"""

from __future__ import annotations

import dataclasses
import enum
import math
from typing import NamedTuple

# Restarted endpoints may have new names; beyond this number, warm ones are
# removed.
MAX_ENDPOINTS = 4_096


class Source(enum.Enum):
    """Where an endpoint states how long it stays cold."""

    ENTRY = "entry"
    ANSWER = "answer"


class ColdStatement(NamedTuple):
    """What an endpoint states about itself.

    ``cold_seconds`` is how long it stays cold, None if it states nothing
    usable. ``born_milliseconds`` identifies its life, 0 where it is unknown.
    """

    cold_seconds: float | None
    born_milliseconds: int = 0


@dataclasses.dataclass(kw_only=True)
class ColdTime:
    """What one endpoint has stated; times are readings of the process clock.

    ``lives`` are the last two. ``assumed_until_seconds`` holds for the life
    ``assumed_life`` until the endpoint states a time in it.
    """

    lives: tuple[int, ...] = ()
    stated_until_seconds: dict[Source, float] = dataclasses.field(
        default_factory=dict
    )
    assumed_until_seconds: float = -math.inf
    assumed_life: int = 0

    @property
    def until_seconds(self) -> float:
        """Return when the endpoint is warm.

        :return: the latest of all times
        """
        return max(
            (self.assumed_until_seconds, *self.stated_until_seconds.values())
        )


class ColdTimes:
    """Until when the endpoints are cold, by what they state."""

    def __init__(self) -> None:
        self._times: dict[str, ColdTime] = {}

    def record(
        self,
        endpoint: str,
        statement: ColdStatement,
        *,
        source: Source,
        cold_start_seconds: float,
        now_seconds: float,
    ) -> None:
        """Record a statement when it is first read.

        :param endpoint: its name
        :param statement: what the endpoint states
        :param source: where it states that
        :param cold_start_seconds: how long it is cold after it starts
        :param now_seconds: reading of the process clock
        """
        known = self._find(endpoint, now_seconds)
        if statement.cold_seconds is not None:
            known.stated_until_seconds[source] = (
                now_seconds + statement.cold_seconds
            )
        _record_life(known, statement, now_seconds + cold_start_seconds)

    def until_seconds(self, endpoint: str) -> float:
        """Return when an endpoint is warm.

        :param endpoint: its name
        :return: reading of the process clock, long ago if it never was cold
        """
        known = self._times.get(endpoint)
        return -math.inf if known is None else known.until_seconds

    def cold(self, *, now_seconds: float) -> dict[str, float]:
        """List the endpoints that are cold.

        :param now_seconds: reading of the process clock
        :return: the seconds that they stay so, by name
        """
        return {
            name: known.until_seconds - now_seconds
            for name, known in self._times.items()
            if known.until_seconds > now_seconds
        }

    def _find(self, endpoint: str, now_seconds: float) -> ColdTime:
        if endpoint not in self._times:
            if len(self._times) >= MAX_ENDPOINTS:
                cold = self.cold(now_seconds=now_seconds)
                self._times = {name: self._times[name] for name in cold}
            self._times[endpoint] = ColdTime()
        return self._times[endpoint]


def _record_life(
    known: ColdTime, statement: ColdStatement, assumed_until_seconds: float
) -> None:
    life = statement.born_milliseconds
    is_new = bool(life) and life not in known.lives
    if statement.cold_seconds is not None:
        if life == known.assumed_life:
            known.assumed_until_seconds = -math.inf
    elif is_new and known.lives:
        known.assumed_life = life
        known.assumed_until_seconds = assumed_until_seconds
    if is_new:
        # An entry of the previous life may still arrive.
        known.lives = (*known.lives[-1:], life)


__all__ = [
    "ColdStatement",
    "ColdTimes",
    "Source",
]
