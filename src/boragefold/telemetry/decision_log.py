"""A non-blocking log of decisions, as JSON lines with a bounded buffer."""

from __future__ import annotations

from collections.abc import Callable
import os
import time
from typing import Any

import msgspec

from boragefold.telemetry import counters as telemetry
from boragefold.telemetry import line_rate

# Limits only the lines of ordinary successes.
ORDINARY_PER_SECOND = 60.0
# If nothing reads the log, lines are dropped instead of using more memory.
MAX_UNWRITTEN_BYTES = 262_144


class DecisionLog:
    """Writes one line for each decision.

    Writes to the descriptor never block. Output that it doesn't accept is
    kept in a bounded buffer; lines that don't fit are counted, and the count
    is written when there is room again.
    """

    def __init__(
        self,
        *,
        descriptor: int,
        now_seconds: Callable[[], float],
        counters: telemetry.Counters,
    ) -> None:
        """Set the descriptor to non-blocking mode.

        :param descriptor: the output, usually standard output
        :param now_seconds: the process clock
        :param counters: counts the lines that were lost
        """
        self._descriptor = descriptor
        self._now_seconds = now_seconds
        self._counters = counters
        self._unwritten = bytearray()
        self._lost_lines = 0
        self._ordinary = line_rate.LineRate(per_second=ORDINARY_PER_SECOND)
        self._encoder = msgspec.json.Encoder()
        os.set_blocking(descriptor, False)

    def write(self, event: str, **fields: Any) -> None:
        """Write a line that isn't rate-limited.

        ``time_seconds`` is the wall-clock time, which orders the lines of
        several machines; ``at_seconds`` is the process clock, which doesn't
        change when the wall clock is set.

        :param event: the kind of event, one of a small fixed set
        :param fields: the values that led to the decision; durations in
            seconds
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
        """Write a line, or drop it above the rate limit of ordinary lines.

        :param event: the kind of event, one of a small fixed set
        :param fields: the values that led to the decision
        """
        if self._ordinary.allows(now_seconds=self._now_seconds()):
            self.write(event, **fields)
        else:
            self._counters.add("log_lines_lost", "thinned")

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts."""
        while self._unwritten:
            try:
                written = os.write(self._descriptor, self._unwritten)
            except OSError:
                # Kept for the next call; the buffer is bounded.
                return
            del self._unwritten[:written]

    def _append(self, line: bytes) -> None:
        if len(self._unwritten) + len(line) > MAX_UNWRITTEN_BYTES:
            self._lost_lines += 1
            self._counters.add("log_lines_lost", "not_read")
            return
        if self._lost_lines:
            lost, self._lost_lines = self._lost_lines, 0
            note = {"event": "log_lines_lost", "lines": lost}
            self._unwritten += self._encoder.encode(note) + b"\n"
        self._unwritten += line


__all__ = [
    "DecisionLog",
]
