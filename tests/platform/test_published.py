from __future__ import annotations

import json

import published
import pytest

from boragefold.coordination.fleet import removal_grace
from boragefold.state import deployment
from boragefold.state import fleet as fleets
from boragefold.state import published_items
from boragefold.timing import clock as clocks
from boragefold.timing import timers as timing

ROUTE = {
    "name": "r-1",
    "host": "Press.Example",
    "prefix": "/notes/",
    "route_type": "stream",
    "timeout_ms": 4000,
    "target_latency_ms": 1000,
    "gap_aim_ms": 400,
    "priority": 1,
    "service": "llm",
    "max_attempts": 2,
    "public": False,
    "resumable": True,
}
SPLIT = {
    **ROUTE,
    "name": "r-2",
    "prefix": "/notes/long/",
    "route_type": "non_idempotent",
    "traffic_split": [
        {"service": "llm", "weight": 90},
        {"service": "plain", "weight": 10},
    ],
}
ENGINE = {
    "slots": 64,
    "kv_capacity_tokens": 129722,
    "weights_mb": 74500.0,
    "adapter_slots": 5,
    "loads_per_s": 4.2,
    "models": [{"name": "base", "weights_mb": 72700.0, "load_s": 2.1}],
}
CONFIG = {
    "version": 7,
    "routes": [ROUTE, SPLIT],
    "services": [
        {
            "name": "llm",
            "health_path": "/health",
            "max_connections": 360,
            "engine": ENGINE,
        },
        {"name": "plain", "health_path": "/health", "max_connections": 100},
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
    "tenants": [
        {
            "name": "press",
            "api_keys": ["k1", "k2"],
            "priority": 1,
            "unit": "tokens",
            "plain_tokens": 200,
            "rate_per_s": 500,
            "burst": 700,
        }
    ],
}
ENTRY = {
    "service": "llm",
    "address": "10.0.0.9:8080",
    "zone": "a",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "cold_remaining_ms": 0,
    "stage": "colocated",
    "models": [{"name": "base", "version": 1, "adapters": ["a1@2"]}],
    "sequence": 4,
    "born": 1790982281340,
}


@pytest.fixture
def fleet():
    return fleets.Fleet()


@pytest.fixture
def apply(fleet):
    timers = timing.TimerService(clock=clocks.VirtualClock())
    subscriber = published.FleetSubscriber(
        fleet=fleet,
        grace=removal_grace.RemovalGrace(
            timers=timers, drop=fleet.drop_endpoint
        ),
    )
    revisions = iter(range(1, 100))

    def apply(key, value):
        data = (
            value
            if isinstance(value, bytes | None)
            else json.dumps(value).encode()
        )
        subscriber.apply([published_items.Item(key, next(revisions), data)])

    return apply


def test_the_configuration(fleet, apply) -> None:
    apply("op/config", CONFIG)
    current = fleet.deployment
    route = current.route_of("press.example", "/notes/x")
    assert route.name == "r-1"
    assert route.kind is deployment.RouteKind.STREAM
    assert route.repeatable
    assert route.timeout_seconds == 4.0
    assert route.event_gap_seconds == 0.4
    longest = current.route_of("press.example", "/notes/long/x")
    assert longest.name == "r-2"
    assert [each.weight for each in longest.services] == [90.0, 10.0]
    assert not longest._replace(resumable=False).repeatable
    assert current.route_of("press.example", "/other/") is None
    assert current.route_of("else.example", "/notes/x") is None
    assert current.services["llm"].engine.adapter_places == 5
    assert current.services["plain"].engine is None
    assert current.limits.idle_timeout_seconds == 15.0


def test_workspaces_and_their_keys(fleet, apply) -> None:
    apply("op/config", CONFIG)
    workspace = fleet.deployment.workspace_of("k2")
    assert workspace.name == "press"
    assert (workspace.rate_per_second, workspace.burst) == (500.0, 700.0)
    assert workspace.in_tokens
    assert fleet.deployment.workspace_of("k3") is None


def test_an_older_configuration_changes_nothing(fleet, apply) -> None:
    apply("op/config", CONFIG)
    apply("op/config", {**CONFIG, "version": 6, "routes": []})
    assert fleet.deployment.version == 7
    assert fleet.deployment.routes


def test_a_configuration_that_cant_be_read_leaves_the_last(
    fleet, apply
) -> None:
    apply("op/config", CONFIG)
    apply("op/config", b"\xff not JSON")
    apply("op/config", {"version": 8})
    assert fleet.deployment.version == 7


def test_an_endpoint(fleet, apply) -> None:
    apply("servers/i-1", ENTRY)
    record = fleet.endpoint("i-1")
    assert record.service == "llm"
    assert record.data_centre == "a"
    assert record.held == {"base": {"a1": 2}}
    assert record.born_milliseconds == 1790982281340
    assert [each.name for each in fleet.endpoints_of("llm")] == ["i-1"]


@pytest.mark.parametrize(
    ("stated", "version"),
    [({"version": "v1.2"}, "v1.2"), ({}, ""), ({"version": 3}, "")],
    ids=["text", "none", "number"],
)
def test_the_software_version_of_an_endpoint(
    fleet, apply, stated, version
) -> None:
    entry = {k: v for k, v in ENTRY.items() if k != "version"}
    apply("servers/i-1", {**entry, **stated})
    assert fleet.endpoint("i-1").software_version == version


def test_a_leaving_endpoint_gets_nothing_new(fleet, apply) -> None:
    apply("servers/i-1", {**ENTRY, "state": "draining", "remaining_ms": 1800})
    record = fleet.endpoint("i-1")
    assert record.leaving
    assert record.leaves_in_seconds == 1.8
    assert not list(fleet.endpoints_of("llm"))


def test_an_endpoint_that_is_gone_is_dropped(fleet, apply) -> None:
    apply("servers/i-1", ENTRY)
    apply("servers/i-1", None)
    assert fleet.endpoint("i-1") is None


@pytest.mark.parametrize(
    "value",
    [
        b"\x00\x01",
        {"service": "llm"},
        {**ENTRY, "state": "resting"},
        {**ENTRY, "address": "nowhere"},
        {**ENTRY, "slots": "many"},
        {**ENTRY, "models": 3},
    ],
    ids=["bytes", "fields", "state", "address", "type", "models"],
)
def test_an_unreadable_entry_adds_no_endpoint(fleet, apply, value) -> None:
    apply("servers/i-1", ENTRY)
    apply("servers/ghost", value)
    assert fleet.endpoint("ghost") is None
    assert fleet.endpoint("i-1") is not None


def test_versions_of_adapters_only_rise(fleet, apply) -> None:
    key = deployment.AdapterKey("base", "a1")
    entry = {"model": "base", "adapter": "a1", "version": 3}
    apply("op/version/base.a1", entry)
    apply("op/version/base.a1", {**entry, "version": 2})
    assert fleet.versions == {key: 3}


def test_nothing_goes_to_an_evacuated_data_centre_until_the_removal(
    fleet, apply
) -> None:
    apply("op/config", CONFIG)
    apply("servers/i-1", ENTRY)
    apply("op/evacuate/a", {})
    assert not list(fleet.endpoints_of("llm"))
    # Its requests that run still need the engine's owner.
    assert [record.name for record in fleet.engines()] == ["i-1"]
    apply("op/evacuate/a", None)
    assert list(fleet.endpoints_of("llm"))


@pytest.mark.parametrize("value", [b"\xff not JSON", [], b""])
def test_an_evacuation_whose_value_cant_be_read_counts(
    fleet, apply, value, caplog
) -> None:
    # Requests would go on to a data centre that its operators switch off.
    apply("servers/i-1", ENTRY)
    apply("op/evacuate/a", value)
    assert fleet.is_evacuated(fleet.endpoint("i-1"))
    assert "op/evacuate/a" in caplog.text


def test_an_unknown_data_centre_is_named_once_and_not_evacuated(
    fleet, apply, caplog
) -> None:
    apply("servers/i-1", ENTRY)
    apply("op/evacuate/zz", {})
    apply("op/evacuate/zz", {})
    assert caplog.text.count("op/evacuate/zz") == 1
    assert "remove the key" in caplog.text
    assert list(fleet.endpoints_of("llm"))
    assert not fleet.evacuated_data_centres()


def test_evacuations_reach_instances_that_dont_read_the_store() -> None:
    item = published_items.Item("op/evacuate/a", 3, b"{}")
    assert published.must_relay(None, item)
    assert published.must_relay(item, item._replace(value=None))


@pytest.mark.parametrize(
    "changes",
    [
        {"routes": [{**ROUTE, "host": None}]},
        {"routes": ["r-1"]},
        {"services": [None]},
        {"routes": [{**ROUTE, "timeout_ms": 10**400}]},
    ],
)
def test_a_value_of_another_type_keeps_what_was_applied(changes) -> None:
    # Its error left the subscriber, and the items behind it were lost.
    text = json.dumps({**CONFIG, **changes})
    fleet = fleets.Fleet()
    subscriber = published.FleetSubscriber(fleet=fleet, grace=None)
    version = {"model": "base", "adapter": "u1", "version": 3}
    subscriber.apply(
        [
            published_items.Item("op/config", 1, text.encode()),
            published_items.Item(
                "op/version/base/u1", 2, json.dumps(version).encode()
            ),
        ]
    )
    assert fleet.deployment is None
    assert fleet.versions
