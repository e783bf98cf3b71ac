from __future__ import annotations

import pathlib

from click import testing
import msgspec
import pytest

from boragefold.bench import bounds
from boragefold.bench import scenarios
from boragefold.cli import bench


@pytest.fixture
def runner(monkeypatch: pytest.MonkeyPatch) -> testing.CliRunner:
    monkeypatch.setattr(scenarios, "WARM_UP_SECONDS", 5.0)
    monkeypatch.setattr(scenarios, "END_SECONDS", 20.0)
    return testing.CliRunner()


def test_a_scenario_is_shown_and_written(
    runner: testing.CliRunner,
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(bench, "_measure_cost", lambda: None)
    arguments = ["--scenario", "steady", "--deployment", "caroni"]
    result = runner.invoke(bench.bench, [*arguments, "--out", str(tmp_path)])
    assert result.exit_code == 0, result.output
    assert "least loaded" in result.output
    written = msgspec.json.decode((tmp_path / "results.json").read_bytes())
    assert [run["system"] for run in written["runs"]] == [
        "boragefold",
        "round robin",
        "least loaded",
    ]


@pytest.mark.parametrize(("stall_ratio", "exit_code"), [(9.0, 0), (0.0, 1)])
def test_the_check_fails_when_a_bound_is_broken(
    runner: testing.CliRunner,
    monkeypatch: pytest.MonkeyPatch,
    stall_ratio: float,
    exit_code: int,
) -> None:
    bound = bounds.Bound(stall_ratio, 0.0, 99, 99, 99, 0.0)
    monkeypatch.setattr(bounds, "read", lambda: {"caroni": {"steady": bound}})
    result = runner.invoke(bench.bench, ["--check"])
    assert result.exit_code == exit_code, result.output
