"""Tracks unresponsive data centres for the choice of second registers."""

from __future__ import annotations

from boragefold.protocol import ids
from boragefold.timing import timers as timing

# An unresponsive data centre is tried again after this time.
SUSPECT_SECONDS = 10.0


class Reachability:
    """Remembers which data centres didn't answer lately.

    The directory keeps the views of a data centre that is partitioned off.
    Tickets that name a register there can't run, so without this class every
    run-once request would be refused for as long as the partition lasts.
    """

    def __init__(self, *, timers: timing.TimerService) -> None:
        self._timers = timers
        self._silent_at_seconds: dict[str, float] = {}

    def record_timeout(self, instance: ids.InstanceId) -> None:
        """Record that an instance didn't answer.

        :param instance: the instance
        """
        now_seconds = self._timers.now_seconds()
        self._silent_at_seconds[instance.data_centre] = now_seconds

    def record_answer(self, instance: ids.InstanceId) -> None:
        """Record that an instance answered.

        :param instance: the instance
        """
        self._silent_at_seconds.pop(instance.data_centre, None)

    def is_suspect(self, instance: ids.InstanceId) -> bool:
        """Return whether an instance's data centre didn't answer lately.

        :param instance: the instance
        :return: whether to prefer an instance of another data centre
        """
        at_seconds = self._silent_at_seconds.get(instance.data_centre)
        if at_seconds is None:
            return False
        return self._timers.now_seconds() - at_seconds < SUSPECT_SECONDS


__all__ = [
    "Reachability",
    "SUSPECT_SECONDS",
]
