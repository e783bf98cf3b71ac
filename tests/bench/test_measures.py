from __future__ import annotations

import pytest

from boragefold.bench import measures


def test_capacity_goes_by_weight_to_nobody_more_than_asked_for() -> None:
    entitled = measures.entitlements(
        demand={"a": 10.0, "b": 100.0, "c": 100.0},
        weights={"a": 1.0, "b": 1.0, "c": 2.0},
        capacity_tokens=100.0,
    )
    assert entitled == pytest.approx({"a": 10.0, "b": 30.0, "c": 60.0})


def test_enough_capacity_entitles_everyone_to_all_they_asked_for() -> None:
    entitled = measures.entitlements(
        demand={"a": 10.0, "b": 50.0},
        weights={"a": 3.0, "b": 1.0},
        capacity_tokens=100.0,
    )
    assert entitled == {"a": 10.0, "b": 50.0}
