"""State of a token bucket at one moment, and the events that change it."""

from __future__ import annotations

import dataclasses
from typing import NamedTuple

from boragefold.coordination.rates import limits


@dataclasses.dataclass(kw_only=True)
class Entry:
    """Tokens granted to one request."""

    granted_at_seconds: float
    charged_tokens: float
    free_at_seconds: float
    final: bool = False


class Event(NamedTuple):
    """The moment at which an entry is granted or stops occupying tokens."""

    at_seconds: float
    order: int
    entry: Entry
    given: bool


@dataclasses.dataclass(kw_only=True)
class Bucket:
    """Level and occupied tokens at one moment."""

    at_seconds: float
    level_tokens: float = 0.0
    occupied_tokens: float = 0.0

    def refill(self, limit: limits.Limit, now_seconds: float) -> None:
        """Advance to a later moment and add the refill.

        :param limit: rate and burst
        :param now_seconds: the new moment; an earlier one adds nothing
        """
        elapsed_seconds = now_seconds - self.at_seconds
        if elapsed_seconds > 0:
            self.at_seconds = now_seconds
            self.level_tokens += elapsed_seconds * limit.rate_tokens_per_second
        self.clamp(limit)

    def clamp(self, limit: limits.Limit) -> None:
        """Limit the sum of level and occupied tokens to the burst.

        :param limit: rate and burst
        """
        room = max(0.0, limit.burst_tokens - self.occupied_tokens)
        self.level_tokens = min(self.level_tokens, room)

    def apply(self, limit: limits.Limit, event: Event) -> None:
        """Advance to an event and apply it.

        :param limit: rate and burst
        :param event: event that is not earlier than the bucket
        """
        self.refill(limit, event.at_seconds)
        tokens = event.entry.charged_tokens
        if event.given:
            self.level_tokens -= tokens
            self.occupied_tokens += tokens
        elif event.entry.free_at_seconds == event.at_seconds:
            self.occupied_tokens -= tokens


__all__ = [
    "Bucket",
    "Entry",
    "Event",
]
