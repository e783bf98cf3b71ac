from __future__ import annotations

import json
import math
import pathlib

import pytest
import settings

from boragefold.policy import caller_budget
from boragefold.policy import cold_limit
from boragefold.settings import gateway

SETTINGS = {
    "node_name": "front-a-1",
    "ip": "10.1.0.25",
    "zone": "a",
    "zones": {"a": "r", "b": "r"},
    "listen": {
        "front": "10.1.0.25:8221",
        "ready": "10.1.0.25:8224",
        "control": "10.1.0.25:8229",
    },
    "seeds": ["10.2.0.17:8229"],
    "platform": {"address": "10.200.1.7:8225", "form": "read"},
    "bounds": {
        "lease_ms": 3000,
        "grace_s": 8,
        "budget_ratio": 0.2,
        "retry_slack": 54,
        "quota_window_s": 8,
        "quota_overage": 0.25,
        "quota_slack": 17000,
    },
    "something_new": {"with": ["anything"]},
}


def read(tmp_path, given):
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(given))
    return settings.read(path)


def test_the_settings_are_read_and_new_fields_ignored(tmp_path) -> None:
    found = read(tmp_path, SETTINGS)
    gateway.check(found)
    assert found.instance_name == "front-a-1"
    assert found.data_centres == ("a", "b")
    assert found.peer_listen == "10.1.0.25:8229"
    assert found.order_lease_seconds == 3.0
    assert found.rate_tolerance.slack == 17000
    assert found.retry_limit.slack == 54
    assert found.evacuate_seconds == 5.0


@pytest.mark.parametrize(
    ("limits", "memory_mb", "max_fds"),
    [
        ({"memory_mb": 160, "max_fds": 3075}, 160, 3075),
        ({"memory_mb": 0}, caller_budget.DEFAULT_MEMORY_MB, 0),
        (None, caller_budget.DEFAULT_MEMORY_MB, 0),
    ],
)
def test_what_the_machine_has_is_read(tmp_path, limits, memory_mb, max_fds):
    given = SETTINGS if limits is None else {**SETTINGS, "limits": limits}
    found = read(tmp_path, given)
    gateway.check(found)
    assert (found.memory_mb, found.max_fds) == (memory_mb, max_fds)


@pytest.mark.parametrize(
    "limits", [{"memory_mb": -1}, {"memory_mb": 160, "max_fds": -1}]
)
def test_no_machine_has_less_than_nothing(tmp_path, limits) -> None:
    with pytest.raises(gateway.BadSettings, match="must"):
        gateway.check(read(tmp_path, {**SETTINGS, "limits": limits}))


def test_the_limit_of_an_evacuation_is_read(tmp_path) -> None:
    bounds = {**SETTINGS["bounds"], "evacuate_ms": 1500}
    found = read(tmp_path, {**SETTINGS, "bounds": bounds})
    assert found.evacuate_seconds == 1.5


def test_the_limits_of_cold_endpoints(tmp_path) -> None:
    # Without them, a cold endpoint gets no more than it sustains.
    assert read(tmp_path, SETTINGS).cold_tolerance == (1.0, 0.0)
    bounds = {**SETTINGS["bounds"], "cold_overage": 1.5, "cold_slack": 5}
    found = read(tmp_path, {**SETTINGS, "bounds": bounds})
    assert found.cold_tolerance == (1.5, 5.0)


def test_tunnels_use_the_first_port_that_is_free_for_instances(
    tmp_path,
) -> None:
    assert read(tmp_path, SETTINGS).tunnel_listen == ""
    ports = {"internal_port_range": [7600, 7615]}
    found = read(tmp_path, {**SETTINGS, **ports})
    assert found.tunnel_listen == "10.1.0.25:7600"


@pytest.mark.parametrize("missing", ["node_name", "listen", "platform"])
def test_a_missing_field_is_named(tmp_path, missing) -> None:
    given = {key: value for key, value in SETTINGS.items() if key != missing}
    with pytest.raises(gateway.BadSettings, match=missing):
        read(tmp_path, given)


def test_a_missing_file_is_reported_with_the_remedy() -> None:
    with pytest.raises(gateway.BadSettings, match="template"):
        settings.read(pathlib.Path("/nowhere/settings.json"))


@pytest.mark.parametrize(
    ("changes", "named"),
    [
        ({"callers_listen": "here"}, "callers_listen"),
        ({"seeds": ("10.1.1.1",)}, "seeds"),
        ({"data_centre": "z"}, "data_centre"),
        ({"order_lease_seconds": 0.0}, "order_lease_seconds"),
        ({"cold_tolerance": cold_limit.Tolerance(-1.0, 5.0)}, "cold_"),
        ({"cold_tolerance": cold_limit.Tolerance(1.5, math.nan)}, "cold_"),
        ({"evacuate_seconds": -1.0}, "evacuate_seconds"),
    ],
)
def test_values_that_cant_be_used_are_named(tmp_path, changes, named) -> None:
    found = read(tmp_path, SETTINGS)._replace(**changes)
    with pytest.raises(gateway.BadSettings, match=named):
        gateway.check(found)
