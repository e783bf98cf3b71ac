"""Which data centres answered lately, for choosing second registers."""

from __future__ import annotations

from boragefold.protocol import ids
from boragefold.timing import timers as timing

# A silent data centre is tried again after this.
SUSPECT_SECONDS = 10.0


class Reach:
    """Remembers silence, by data centre.

    The views of a data centre that is cut off stay in the directory. Tickets
    that name a register there can't run, so without this every payout would
    be refused for as long as the cut lasts.
    """

    def __init__(self, *, timers: timing.TimerService) -> None:
        self._timers = timers
        self._silent_at_seconds: dict[str, float] = {}

    def note_silent(self, instance: ids.InstanceId) -> None:
        """Note that an instance gave no answer.

        :param instance: which
        """
        now_seconds = self._timers.now_seconds()
        self._silent_at_seconds[instance.data_centre] = now_seconds

    def note_heard(self, instance: ids.InstanceId) -> None:
        """Note that an instance answered.

        :param instance: which
        """
        self._silent_at_seconds.pop(instance.data_centre, None)

    def is_suspect(self, instance: ids.InstanceId) -> bool:
        """Tell whether an instance's data centre was silent lately.

        :param instance: which
        :return: whether to choose another
        """
        at_seconds = self._silent_at_seconds.get(instance.data_centre)
        if at_seconds is None:
            return False
        return self._timers.now_seconds() - at_seconds < SUSPECT_SECONDS


__all__ = [
    "Reach",
    "SUSPECT_SECONDS",
]
