from __future__ import annotations

import pytest

from boragefold.bench import deployments
from boragefold.bench import runs
from boragefold.bench import scenarios


@pytest.fixture
def short(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(scenarios, "WARM_UP_SECONDS", 5.0)
    monkeypatch.setattr(scenarios, "END_SECONDS", 25.0)


def play(name: str, system: str = runs.BORAGEFOLD) -> runs.Run:
    return runs.play(
        scenario=scenarios.SCENARIOS[name],
        deployment=deployments.CARONI,
        system=system,
    )


@pytest.mark.usefixtures("short")
@pytest.mark.parametrize("system", runs.SYSTEMS)
def test_the_same_run_gives_the_same_figures(system: str) -> None:
    assert play("steady", system) == play("steady", system)


@pytest.mark.usefixtures("short")
def test_every_caller_gets_a_last_word_and_nothing_forbidden_happens() -> None:
    figures = play("overload").measures
    refused = figures.requests - figures.served - figures.failed
    assert figures.served > 0
    assert refused > 0
    assert figures.wrong_adapter == 0
    assert figures.evictions_in_use == 0


def test_stalls_are_at_most_half_of_the_better_baselines() -> None:
    ours = play("steady").measures.stall_seconds
    plain = min(
        play("steady", name).measures.stall_seconds for name in runs.BASELINES
    )
    assert ours <= 0.5 * plain
