"""Keeps an error within the one callback that raised it."""

from __future__ import annotations

from collections.abc import Callable
import functools
import traceback
from typing import ParamSpec
from typing import Protocol

from boragefold.telemetry import counters as telemetry

# Lines with a traceback; a callback that fails for ever would fill the log.
MAX_LOGGED = 100
# Innermost frames that a line names.
MAX_FRAMES = 6
MAX_TEXT = 200

Arguments = ParamSpec("Arguments")


class ErrorLog(Protocol):
    """Where a guard writes."""

    def write(self, event: str, **fields: object) -> None:
        """Write a line.

        :param event: the kind of event
        :param fields: what it says
        """


class ErrorGuard:
    """Runs callbacks of a loop; none of them can end another's work.

    An error that leaves a callback ends the chain of calls behind it, and what
    else was due in the same pass. Both look like silence from outside.
    """

    def __init__(
        self,
        *,
        counters: telemetry.Counters,
        log: ErrorLog,
    ) -> None:
        """Begin without errors.

        :param counters: count errors by where they were caught
        :param log: gets a line for each error, up to a limit
        """
        self._counters = counters
        self._log = log
        self._logged = 0

    def run(
        self,
        where: str,
        callback: Callable[Arguments, object],
        *args: Arguments.args,
        **kwargs: Arguments.kwargs,
    ) -> bool:
        """Run a callback.

        :param where: one of a small fixed set
        :param callback: the function to call
        :return: whether it raised nothing
        """
        try:
            callback(*args, **kwargs)
        except Exception as error:
            self.record(where, error)
            return False
        return True

    def runner(self, where: str) -> Callable[[Callable[[], None]], bool]:
        """Return a function that runs callbacks of one kind.

        :param where: one of a small fixed set
        :return: runs a callback, and returns whether it raised nothing
        """
        return functools.partial(self.run, where)

    def record(self, where: str, error: Exception) -> None:
        """Count and log an error that was caught.

        :param where: one of a small fixed set
        :param error: what was raised
        """
        self._counters.add("callback_errors", where)
        if self._logged >= MAX_LOGGED:
            return
        self._logged += 1
        frames = traceback.extract_tb(error.__traceback__)[-MAX_FRAMES:]
        self._log.write(
            "callback_failed",
            where=where,
            error=type(error).__name__,
            text=str(error)[:MAX_TEXT],
            frames=[f"{each.name}:{each.lineno}" for each in frames],
        )


__all__ = [
    "ErrorGuard",
]
