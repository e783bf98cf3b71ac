from __future__ import annotations

from boragefold.coordination.rates import limits

SHARES = {"north": 0.5, "south": 0.3, "west": 0.2}


def test_whole_bursts_go_by_largest_remainder() -> None:
    whole = limits.Limit(1.0, 8.0, whole=True)
    parts = limits.split(whole, SHARES)
    bursts = {name: part.burst_tokens for name, part in parts.items()}
    assert bursts == {"north": 4.0, "south": 2.0, "west": 2.0}


def test_other_bursts_go_by_share() -> None:
    parts = limits.split(limits.Limit(10.0, 8.0), SHARES)
    assert parts["south"] == limits.Limit(3.0, 2.4)
