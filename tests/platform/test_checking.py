"""Checks of a configuration before it is published."""

from __future__ import annotations

import copy
import json
import pathlib
import subprocess
import sys

import checking
from click import testing
import pytest

from boragefold.state import deployment_check
from tests.fakes import machines
from tests.platform import test_published

RUN = pathlib.Path(__file__).resolve().parents[2] / "platform/run.py"
ENTRY = {
    "service": "desk",
    "address": "10.0.0.1:80",
    "zone": "dc-a",
    "slots": 6,
    "state": "ready",
}
ENGINE = {"slots": 0, "kv_capacity_tokens": 0, "models": []}


def route(name, prefix, **changes):
    sound = machines.route(name, prefix, "idempotent", "desk")
    return {**sound, **changes}


def workspace(name, *keys, **changes):
    return {"name": name, "api_keys": list(keys), **changes}


BROKEN = machines.deployment(
    routes=[
        route("first", "/same/"),
        route("second", "/same/"),
        route("port", "/a/", host="press.example:80"),
        route("query", "/a/?b"),
        route("bare", "a/"),
        route("lost", "/b/", service="gone"),
        route("empty", "/c/", traffic_split=[]),
        route(
            "minus", "/d/", traffic_split=[{"service": "desk", "weight": -1}]
        ),
        route("timeless", "/e/", timeout_ms=0),
        route("late", "/f/", timeout_ms=500, target_latency_ms=1000),
        route("gap", "/g/", timeout_ms=1000, gap_aim_ms=2000),
        route("never", "/h/", max_attempts=0),
        route("twin", "/i/"),
        route("twin", "/j/"),
    ],
    services=[
        {"name": "desk"},
        {"name": "idle"},
        {"name": "llm", "engine": ENGINE},
        {"name": "desk"},
    ],
    tenants=[
        workspace("owner", "key-1"),
        workspace("thief", "key-1", "key-2"),
        workspace("keyless"),
        workspace("negative", "key-3", rate_per_s=-1),
        workspace("small", "key-4", rate_per_s=0.5),
        workspace(
            "tokens",
            "key-5",
            unit="tokens",
            rate_per_s=100,
            burst=5,
            plain_tokens=10,
        ),
    ],
    limits={
        "max_header_bytes": 16384,
        "max_body_bytes": 0,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 1000,
    },
)
ERRORS = {
    ("routes/twin", "stands 2 times"),
    ("services/desk", "stands 2 times"),
    ("routes/second", "route 'first' has the same host and prefix"),
    ("routes/port", "'press.example:80' is no host name"),
    ("routes/query", "no path begins with '/a/?b'"),
    ("routes/bare", "no path begins with 'a/'"),
    ("routes/lost", "unknown service 'gone'"),
    ("routes/minus", "the weight -1"),
    ("routes/minus", "add up to nothing"),
    ("routes/timeless", "a time-out of 0 s"),
    ("routes/late", "below its objective of 1 s"),
    ("routes/gap", "between two events"),
    ("routes/never", "0 attempts"),
    ("services/llm", "0 slots"),
    ("services/llm", "0 tokens"),
    ("services/llm", "0 models"),
    ("workspaces/thief", "a key with workspace 'owner'"),
    ("workspaces/negative", "below zero"),
    ("workspaces/small", "below one request, which takes 1"),
    ("workspaces/tokens", "below one request, which takes 10"),
    ("limits/max_body_bytes", "lets no request through"),
    ("endpoints/torn", "can't be read"),
}
WARNINGS = {
    ("services/idle", "no route leads to it"),
    ("services/llm", "no route leads to it"),
    ("services/idle", "has no endpoint"),
    ("services/llm", "has no endpoint"),
    ("endpoints/stray", "unknown service 'other'"),
    ("workspaces/keyless", "has no key"),
    ("limits/idle_timeout_seconds", "a head may take"),
}


def folder(path, configuration, **endpoints):
    files = {
        "op/config": configuration,
        **{f"servers/{name}": entry for name, entry in endpoints.items()},
    }
    for key, value in files.items():
        file = path / f"{key}.json"
        file.parent.mkdir(parents=True, exist_ok=True)
        file.write_text(json.dumps(value))
    return str(path)


def file(path, configuration):
    path.write_text(json.dumps(configuration))
    return str(path)


def run(*arguments):
    return testing.CliRunner().invoke(checking.check, list(arguments))


@pytest.fixture
def broken(tmp_path):
    return folder(
        tmp_path / "broken",
        BROKEN,
        sound=ENTRY,
        stray={**ENTRY, "service": "other"},
        torn={**ENTRY, "state": "asleep"},
    )


def test_every_fault_of_a_broken_example_is_named(broken) -> None:
    # What isn't found is published, and shows when callers are refused.
    result = run(broken, "--json")
    assert result.exit_code == 1
    findings = json.loads(result.stdout)["findings"]
    for severity, expected in (("error", ERRORS), ("warning", WARNINGS)):
        found = [each for each in findings if each["severity"] == severity]
        for place, text in expected:
            assert any(
                each["place"] == place and text in each["what"]
                for each in found
            ), (place, text)
        # "empty" falls back to its only service.
        assert len(found) == len(expected), found
    assert all(each["remedy"] for each in findings)


def test_findings_are_printed_with_their_remedies(broken) -> None:
    result = run(broken)
    assert result.exit_code == 1
    assert "error    routes/lost: leads to the unknown" in result.output
    assert "warning  workspaces/keyless: has no key" in result.output
    assert "; grant it a key, or remove it" in result.output


@pytest.mark.parametrize(
    "configuration", [machines.deployment(), test_published.CONFIG]
)
def test_a_sound_configuration_has_no_findings(
    tmp_path, configuration
) -> None:
    # A check that cries wolf isn't run.
    result = run(file(tmp_path / "config.json", configuration))
    assert (result.exit_code, result.output) == (
        0,
        "0 findings, 0 differences\n",
    )


@pytest.mark.parametrize(
    ("changes", "text"),
    [
        ({"version": None}, "'version' is missing"),
        ({"version": "2"}, "version is '2'; a whole number"),
        ({"routes": [{"name": "x"}]}, "routes[0]: 'service' is missing"),
        ({"services": [{}]}, "services[0]: 'name' is missing"),
        ({"tenants": ["x"]}, "tenants[0]"),
        ({"limits": {}}, "'max_header_bytes' is missing"),
    ],
)
def test_what_instances_cant_read_is_told_apart(
    tmp_path, changes, text
) -> None:
    # Instances go on with the version that they have.
    result = run(file(tmp_path / "x.json", machines.deployment(**changes)))
    assert result.exit_code == 2
    assert text in result.stderr
    assert not result.stdout


@pytest.mark.parametrize("text", ["{", "[]", '"x"', "{}"])
def test_a_file_that_holds_no_configuration_is_unreadable(
    tmp_path, text
) -> None:
    path = tmp_path / "x.json"
    path.write_text(text)
    assert run(str(path)).exit_code == 2
    assert run(str(tmp_path / "none.json")).exit_code == 2


def test_differences_from_the_version_in_force_are_listed(tmp_path) -> None:
    # A key must not end up in a log of differences.
    before = machines.deployment()
    after = copy.deepcopy(before)
    after["version"] = 2
    after["routes"][0]["timeout_ms"] = 5000
    del after["routes"][1]
    after["tenants"][0]["api_keys"] = ["fresh-key"]
    result = run(
        file(tmp_path / "after.json", after),
        "--against",
        folder(tmp_path / "before", before),
    )
    assert result.exit_code == 0, result.output
    for line in (
        "changed  version: 1 -> 2",
        "changed  routes/notes/timeout_seconds: 4.0 -> 5.0",
        "changed  routes/drafts/prefix: '/drafts/' -> -",
        "changed  workspaces/press/keys: 1 keys, 1 withdrawn -> 1 keys, 1",
    ):
        assert line in result.output, result.output
    assert "fresh-key" not in result.output
    assert machines.KEY not in result.output


def test_a_change_under_the_same_version_is_found(tmp_path) -> None:
    # Instances ignore it without a word.
    before = file(tmp_path / "before.json", machines.deployment())
    changed = machines.deployment(tenants=[])
    after = file(tmp_path / "after.json", changed)
    result = run(after, "--against", before, "--json")
    (finding,) = json.loads(result.stdout)["findings"]
    assert finding["severity"] == deployment_check.Severity.ERROR.value
    assert finding["place"] == "version"
    assert run(before, "--against", before).exit_code == 0


def test_the_program_of_an_instance_checks(tmp_path) -> None:
    # It reads what instances read, with the same code.
    good = file(tmp_path / "good.json", machines.deployment())
    ended = subprocess.run(
        [sys.executable, RUN, "check", good], capture_output=True, text=True
    )
    assert (ended.returncode, ended.stderr) == (0, "")
