"""This instance's requests at an endpoint, in flight and recently ended.

Load pattern: reports lag, so a request may have begun or ended after the
last one was measured. Without its times it would count twice or not at all.
"""

from __future__ import annotations

from typing import NamedTuple

from boragefold.policy import work as works


class Sent(NamedTuple):
    """A request of this instance that is in flight at an endpoint."""

    adapter: works.AdapterVersion
    prompt_tokens: int
    sent_at_seconds: float


class Ended(NamedTuple):
    """An ended request that a later report may still count as running."""

    sent_at_seconds: float
    ended_at_seconds: float

    def is_counted_at(self, measured_at_seconds: float) -> bool:
        """Return whether a report counts this request as running.

        :param measured_at_seconds: when the report was measured
        :return: whether the request began before that and ended after it
        """
        began = self.sent_at_seconds <= measured_at_seconds
        return began and measured_at_seconds < self.ended_at_seconds


__all__ = [
    "Ended",
    "Sent",
]
