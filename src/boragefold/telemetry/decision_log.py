"""JSON lines on standard output, bounded, and never waited for."""

from __future__ import annotations

from collections.abc import Callable
import os
import time
from typing import Any

import msgspec

from boragefold.telemetry import counters as telemetry

# Only lines of ordinary successes are limited.
ORDINARY_PER_SECOND = 60.0
# A stopped reader costs lines, not memory.
MAX_UNWRITTEN_BYTES = 262_144


class DecisionLog:
    """Writes one line for each decision.

    The descriptor is written to without blocking. What it doesn't take waits
    in a bounded buffer; lines that don't fit are counted, and the count is
    written when there is room again.
    """

    def __init__(
        self,
        *,
        descriptor: int,
        now_seconds: Callable[[], float],
        counters: telemetry.Counters,
    ) -> None:
        """Begin to write.

        :param descriptor: where to, usually standard output
        :param now_seconds: the process clock
        :param counters: counts the lines that were lost
        """
        self._descriptor = descriptor
        self._now_seconds = now_seconds
        self._counters = counters
        self._unwritten = bytearray()
        self._lost = 0
        self._allowance = ORDINARY_PER_SECOND
        self._allowed_at_seconds = now_seconds()
        self._encoder = msgspec.json.Encoder()
        os.set_blocking(descriptor, False)

    def write(self, event: str, **fields: Any) -> None:
        """Write a line that is always wanted.

        ``time_seconds`` is the time of day, to put the lines of several
        machines in order; ``at_seconds`` is the process clock, which no
        change of the time of day moves.

        :param event: what happened, one of a small fixed set
        :param fields: what decided it; durations in seconds
        """
        line = {
            "time_seconds": round(time.time(), 4),
            "at_seconds": round(self._now_seconds(), 4),
            "event": event,
            **fields,
        }
        self._append(self._encoder.encode(line) + b"\n")
        self.flush()

    def write_ordinary(self, event: str, **fields: Any) -> None:
        """Write a line unless there are very many of its kind.

        :param event: what happened
        :param fields: what decided it
        """
        now_seconds = self._now_seconds()
        elapsed_seconds = now_seconds - self._allowed_at_seconds
        self._allowed_at_seconds = now_seconds
        self._allowance = min(
            ORDINARY_PER_SECOND,
            self._allowance + ORDINARY_PER_SECOND * elapsed_seconds,
        )
        if self._allowance < 1:
            self._counters.add("log_lines_lost", "thinned")
            return
        self._allowance -= 1
        self.write(event, **fields)

    def flush(self) -> None:
        """Write what the descriptor takes now."""
        while self._unwritten:
            try:
                written = os.write(self._descriptor, self._unwritten)
            except OSError:
                # The buffer is bounded; what doesn't fit is counted.
                return
            del self._unwritten[:written]

    def _append(self, line: bytes) -> None:
        if len(self._unwritten) + len(line) > MAX_UNWRITTEN_BYTES:
            self._lost += 1
            self._counters.add("log_lines_lost", "not_read")
            return
        if self._lost:
            lost, self._lost = self._lost, 0
            note = {"event": "log_lines_lost", "lines": lost}
            self._unwritten += self._encoder.encode(note) + b"\n"
        self._unwritten += line


__all__ = [
    "DecisionLog",
]
