"""How many lines are written of what callers can cause at any rate."""

from __future__ import annotations

from boragefold.telemetry import line_rate


def test_a_burst_is_written_and_then_so_many_a_second() -> None:
    # Refusals wrote a line each, however many came.
    rate = line_rate.LineRate(per_second=10.0)
    assert sum(rate.allows(now_seconds=1.0) for _ in range(50)) == 10
    assert sum(rate.allows(now_seconds=1.5) for _ in range(50)) == 5
    assert sum(rate.allows(now_seconds=99.0) for _ in range(50)) == 10
