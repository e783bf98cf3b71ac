"""Reloads the settings of a running process, with or without a signal."""

from __future__ import annotations

from collections.abc import Callable
import signal

import circuits

from boragefold.settings import gateway as gateway_settings
from boragefold.telemetry import counters as telemetry
from boragefold.telemetry import decision_log
from boragefold.timing import timers as timing

# The file is polled because it may change without a signal.
CHECK_SECONDS = 2.0


class SettingsReloader(circuits.BaseComponent):  # type: ignore[misc]
    """Applies changed settings; invalid ones are logged and ignored."""

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
        """Create a reloader that starts from the current settings.

        :param timers: the process clock
        :param log: decision log of this process
        :param counters: metrics of this process
        :param read: reads the settings again
        :param current: the settings in use
        :param apply: applies settings
        """
        super().__init__()
        self._timers = timers
        self._log = log
        self._counters = counters
        self._read = read
        self._current = current
        self._apply = apply

    def start(self) -> None:
        """Start polling, and handle SIGHUP as a request to reload."""
        # Python's default for this signal ends the process.
        signal.signal(signal.SIGHUP, self._on_sighup)
        self._timers.every(period_seconds=CHECK_SECONDS, callback=self.check)

    def check(self) -> None:
        """Read the settings, and apply them if they changed."""
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

    def _on_sighup(self, number: int, frame: object) -> None:
        self._timers.once(delay_seconds=0.0, callback=self.check)


__all__ = [
    "SettingsReloader",
]
