"""What is refused first when the queue's delay grows.

Load pattern: more work inside the rates than the endpoints can serve.
Without this, every queue grows until callers give up, and the endpoints work
for callers that are no longer there.
"""

from __future__ import annotations

import enum

from boragefold.policy import refusal
from boragefold.policy import work as works
from boragefold.telemetry import counters as telemetry


class Level(enum.IntEnum):
    """What is shed; each level includes those before it."""

    NORMAL = 0
    NO_EXTRAS = 1
    ABOVE_SHARE = 2
    ORDINARY_COLD = 3
    ORDINARY = 4


class Overload:
    """Raises and lowers the level by the estimated queue delay."""

    def __init__(self, *, counters: telemetry.Counters) -> None:
        self._counters = counters

    @property
    def level(self) -> Level:
        """Tell what is shed now.

        :return: the level
        """
        raise NotImplementedError

    def observe(
        self, *, queue_delay_seconds: float, now_seconds: float
    ) -> Level:
        """Take in the queue's delay; call it several times a second.

        :param queue_delay_seconds: estimated wait of a request pushed now
        :param now_seconds: reading of the process clock
        :return: the level from now on
        """
        raise NotImplementedError

    def check(
        self, work: works.Work, *, above_share: bool, cold: bool
    ) -> refusal.Refused | None:
        """Decide whether a request is shed.

        :param work: an admitted request, before it is queued
        :param above_share: its workspace has more than its share waiting
        :param cold: no endpoint holds its adapter
        :return: the refusal, or None when it may be queued
        """
        raise NotImplementedError


__all__ = [
    "Level",
    "Overload",
]
