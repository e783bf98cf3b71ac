from __future__ import annotations

from click import testing
import msgspec

from boragefold.cli import check
from boragefold.standins import example_tree

ENDPOINT = example_tree.ExampleEndpoint("east", "a", "10.0.0.1:8000")


def run(tmp_path, tree: dict[str, object], *options: str) -> testing.Result:
    file = tmp_path / "tree.json"
    file.write_bytes(msgspec.json.encode(tree))
    return testing.CliRunner().invoke(check.check, [str(file), *options])


def example() -> dict[str, object]:
    return example_tree.make(
        seed=1, data_centres=["east"], endpoints=[ENDPOINT], adapters=8
    ).tree


def test_a_good_tree_passes_with_its_digests(tmp_path) -> None:
    result = run(tmp_path, example(), "--strict")
    assert result.exit_code == 0, result.output
    assert "8 accepted, 0 rejected, 0 warnings" in result.output


def test_a_rejected_path_is_named_with_its_remedy(tmp_path) -> None:
    tree = example()
    tree["common/store"] = {"loads_per_second": 0.0, "loads_in_flight": 8}
    result = run(tmp_path, tree)
    assert result.exit_code == 1
    assert "rejected common/store: not_positive" in result.output
    assert "above zero" in result.output


def test_what_does_not_fit_together_is_a_warning(tmp_path) -> None:
    tree = example()
    tree["common/models"] = {"other": {"context_tokens": 1}}
    tree["teams/caroni/keys"] = tree["teams/quadro/keys"]
    tree["teams/quadro/workspaces"] = {
        f"workspace-{number}": {"burst_tokens": 1.0} for number in range(5)
    }
    result = run(tmp_path, tree)
    assert result.exit_code == 0
    for part in (
        "endpoints/east: unknown model: base-0",
        "teams/quadro/adapters/0: unknown model: base-0",
        "unknown workspace: caroni/workspace-0",
        "stands in teams/caroni/keys too",
        "workspace-0 has a burst below its max_tokens",
    ):
        assert part in result.output, result.output
    assert run(tmp_path, tree, "--strict").exit_code == 1


def test_a_directory_with_a_file_per_path_is_read(tmp_path) -> None:
    for path, document in example().items():
        file = tmp_path / f"{path}.json"
        file.parent.mkdir(parents=True, exist_ok=True)
        file.write_bytes(msgspec.json.encode(document))
    result = testing.CliRunner().invoke(check.check, [str(tmp_path)])
    assert "8 accepted, 0 rejected, 0 warnings" in result.output


def test_a_source_that_cannot_be_read_says_what_to_check(tmp_path) -> None:
    for source in (str(tmp_path / "no"), "http://127.0.0.1:9"):
        result = testing.CliRunner().invoke(check.check, [source])
        assert result.exit_code == 1
        assert "check" in result.output


def test_a_value_that_would_hold_up_streams_is_a_warning(tmp_path) -> None:
    tree = example_tree.make(
        seed=1, data_centres=["east"], adapters=2000, adapters_per_path=2000
    ).tree
    result = run(tmp_path, tree)
    assert "teams/quadro/adapters/0: a large value" in result.output
    assert result.exit_code == 0
