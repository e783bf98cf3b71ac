from __future__ import annotations

from boragefold.bench import bounds
from boragefold.bench import deployments
from boragefold.bench import measures
from boragefold.bench import runs
from boragefold.bench import scenarios

FIGURES = measures.Measures(
    requests=100,
    inside_rate=100,
    served=100,
    stalls=10,
    stall_seconds=10.0,
    first_token_p50_seconds=0.1,
    first_token_p99_seconds=1.0,
    batch_efficiency=0.5,
    worst_served=1.0,
    refused_inside=0,
    refused_inside_share=0.0,
    refused_outside=0,
    late=0,
    failed=0,
    over_rate_tokens=0.0,
    wrong_adapter=0,
    evictions_in_use=0,
    evictions=5,
    loads=5,
)


def comparisons(**changes: object) -> list[bounds.Comparison]:
    played = [
        runs.Run("steady", "caroni", name, FIGURES) for name in runs.BASELINES
    ]
    ours = FIGURES._replace(stall_seconds=4.0)._replace(**changes)
    played.append(runs.Run("steady", "caroni", runs.BORAGEFOLD, ours))
    return bounds.compare(played)


def broken(**changes: object) -> list[str]:
    committed = bounds.propose(comparisons())
    return list(bounds.violations(comparisons(**changes), committed))


def test_what_was_proposed_is_kept() -> None:
    assert broken() == []


def test_each_measure_that_gets_worse_is_named() -> None:
    assert "stall_ratio" in broken(stall_seconds=6.0)[0]
    assert "refused_inside" in broken(refused_inside=1)[0]
    assert "late" in broken(late=1)[0]
    assert "failed" in broken(failed=1)[0]
    assert "worst_served" in broken(worst_served=0.9)[0]
    assert "efficiency_ratio" in broken(batch_efficiency=0.3)[0]


def test_what_must_never_be_needs_no_bound() -> None:
    assert "evictions_in_use is 1" in broken(evictions_in_use=1)[0]
    assert "wrong_adapter is 1" in broken(wrong_adapter=1)[0]


def test_a_run_without_a_bound_is_no_pass() -> None:
    found = list(bounds.violations(comparisons(), {}))
    assert found == ["caroni, steady: no bound is committed"]


def test_the_committed_bounds_are_of_known_scenarios() -> None:
    committed = bounds.read()
    assert committed.keys() == deployments.DEPLOYMENTS.keys()
    for each in committed.values():
        assert each.keys() <= scenarios.SCENARIOS.keys()
