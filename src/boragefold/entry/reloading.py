"""Settings that change while the process runs, with a signal or without."""

from __future__ import annotations

from collections.abc import Callable
import signal

import circuits

from boragefold.settings import gateway as gateway_settings
from boragefold.telemetry import counters as telemetry
from boragefold.telemetry import decision_log
from boragefold.timing import timers as timing

# The file may change without a signal.
CHECK_SECONDS = 2.0


class Reloading(circuits.BaseComponent):  # type: ignore[misc]
    """Puts changed settings into force; bad ones change nothing."""

    channel = "*"

    def __init__(
        self,
        *,
        timers: timing.TimerService,
        log: decision_log.DecisionLog,
        counters: telemetry.Counters,
        read: Callable[[], gateway_settings.GatewaySettings],
        current: gateway_settings.GatewaySettings,
        apply: Callable[[gateway_settings.GatewaySettings], None],
    ) -> None:
        """Begin with the settings of the start.

        :param timers: the process clock
        :param log: of this process
        :param counters: of this process
        :param read: reads the settings anew
        :param current: the settings in force
        :param apply: puts settings into force
        """
        super().__init__()
        self._timers = timers
        self._log = log
        self._counters = counters
        self._read = read
        self._current = current
        self._apply = apply

    def start(self) -> None:
        """Begin to look; from now on the signal doesn't end the process."""
        # Python's default for this signal ends the process.
        signal.signal(signal.SIGHUP, self._hang_up)
        self._timers.every(period_seconds=CHECK_SECONDS, callback=self.check)

    def check(self) -> None:
        """Read the settings, and put them into force if they changed."""
        try:
            settings = self._read()
        except gateway_settings.BadSettings as error:
            self._counters.add("settings_refused", "unusable")
            self._log.write("settings_refused", reason=str(error))
            return
        if settings == self._current:
            return
        changed = [
            name
            for name, before, after in zip(
                settings._fields, self._current, settings, strict=True
            )
            if before != after
        ]
        self._current = settings
        self._apply(settings)
        self._counters.add("settings_reloaded")
        self._log.write("settings_reloaded", changed=changed)

    def _hang_up(self, number: int, frame: object) -> None:
        self._timers.once(delay_seconds=0.0, callback=self.check)


__all__ = [
    "Reloading",
]
