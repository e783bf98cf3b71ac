from __future__ import annotations

import pytest

from boragefold.bench import decision_cost


def test_the_cost_of_a_request_does_not_grow_with_the_catalogue(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Counted in calls, which are the same in every run; seconds are not.
    monkeypatch.setattr(decision_cost, "BLOCKS", 1)
    monkeypatch.setattr(decision_cost, "COUNTED_REQUESTS", 300)
    small = decision_cost.measure(adapters=1_800)
    large = decision_cost.measure(adapters=18_000)
    assert large.request_calls < 1.1 * small.request_calls
