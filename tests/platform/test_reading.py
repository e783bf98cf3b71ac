"""Bounds of what is read, whoever wrote it."""

from __future__ import annotations

import configuration
import endpoint_entry
import engines
import hypothesis
from hypothesis import strategies
import msgspec
import published
import pytest
import reading
import settings
import store

from boragefold.coordination.fleet import removal_grace
from boragefold.protocol import envelope
from boragefold.protocol import ids
from boragefold.protocol import peer_messages
from boragefold.settings import gateway
from boragefold.state import fleet as fleets
from boragefold.state import published_items
from boragefold.timing import clock as clocks
from boragefold.timing import timers as timing
from boragefold.transport import whole_answer
from tests.fakes import machines
from tests.fakes import odd_entries

NESTED = (odd_entries.DEEP.encode(), odd_entries.DEEP_OBJECT.encode())
JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(10**50), 10**50)
    | strategies.floats()
    | strategies.text(max_size=5),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=3), inner)
    ),
    max_leaves=5,
)


def subscriber(fleet):
    return published.FleetSubscriber(
        fleet=fleet,
        grace=removal_grace.RemovalGrace(
            timers=timing.TimerService(clock=clocks.VirtualClock()),
            drop=fleet.drop_endpoint,
        ),
    )


@pytest.mark.parametrize("kind", odd_entries.ENDPOINTS)
def test_an_odd_entry_costs_its_own_endpoint_alone(kind):
    fleet = fleets.Fleet()
    odd = odd_entries.ENDPOINTS[kind]
    sound = odd_entries.entry()
    items = [
        published_items.Item(f"servers/{name}", revision, value)
        for revision, (name, value) in enumerate(
            [("a", sound), ("odd", odd), ("z", sound)], start=1
        )
    ]
    subscriber(fleet).apply(items)
    assert sorted(fleet.names()) == ["a", "z"]


@pytest.mark.parametrize("kind", odd_entries.ENDPOINTS)
def test_an_endpoint_whose_entry_turns_odd_is_used_no_more(kind):
    fleet = fleets.Fleet()
    apply = subscriber(fleet).apply
    apply([published_items.Item("servers/a", 1, odd_entries.entry())])
    assert list(fleet.names()) == ["a"]
    odd = odd_entries.ENDPOINTS[kind]
    apply([published_items.Item("servers/a", 2, odd)])
    assert not list(fleet.names())


@pytest.mark.parametrize("kind", odd_entries.ENDPOINTS)
def test_an_odd_entry_is_relayed_as_it_is(kind):
    item = published_items.Item("servers/odd", 2, odd_entries.ENDPOINTS[kind])
    sound = published_items.Item("servers/odd", 1, odd_entries.entry())
    assert published.must_relay(sound, item)
    assert published.must_relay(item, sound)
    assert published.age(item, 5.0) == item


@pytest.mark.parametrize("kind", odd_entries.USABLE_PARTS)
def test_an_odd_part_that_isnt_needed_leaves_the_endpoint(kind):
    value = odd_entries.raw(*odd_entries.USABLE_PARTS[kind])
    assert endpoint_entry.read("a", value).service == "desk"


@pytest.mark.parametrize("name", ["a\r\nb", "é", "a\x00", " a"])
def test_a_name_that_no_header_can_hold_names_no_endpoint(name):
    with pytest.raises(reading.Unreadable, match="visible ASCII"):
        endpoint_entry.read(name, odd_entries.entry())


def sound_value(path):
    config = machines.deployment()
    target = config
    for step in path[:-1]:
        target = target[step]
    return config, target


@hypothesis.given(
    path=strategies.sampled_from(
        [
            ("version",),
            ("routes",),
            ("limits",),
            ("tenants",),
            ("services",),
            *(
                ("routes", 0, field)
                for field in machines.route("", "", "", "")
            ),
            ("routes", 0, "traffic_split"),
            ("services", 0, "name"),
            ("services", 0, "engine"),
            ("services", 0, "engine", "slots"),
            ("services", 0, "engine", "models"),
            ("tenants", 0, "api_keys"),
            ("tenants", 0, "rate_per_s"),
            ("tenants", 0, "name"),
            ("limits", "idle_timeout_ms"),
        ]
    ),
    value=JSON,
)
def test_a_configuration_is_read_within_bounds_or_refused(path, value):
    config, target = sound_value(path)
    target[path[-1]] = value
    try:
        data = msgspec.json.encode(config)
    except (OverflowError, ValueError):
        return
    try:
        found = configuration.read(data)
    except reading.Unreadable:
        return
    assert abs(found.version) <= reading.MAX_WHOLE
    assert all(isinstance(each.prefix, str) for each in found.routes)
    assert all(
        isinstance(key, str)
        for each in found.workspaces.values()
        for key in each.keys
    )


@hypothesis.given(
    field=strategies.sampled_from(
        [*odd_entries.SOUND, "remaining_ms", "cold_remaining_ms"]
    ),
    value=JSON,
)
def test_an_entry_is_read_within_bounds_or_refused(field, value):
    try:
        data = odd_entries.entry(**{field: value})
        record = endpoint_entry.read("a", data)
    except reading.Unreadable:
        return
    # What an instance keeps it must be able to tell its peers.
    msgspec.msgpack.encode(record)


@pytest.mark.parametrize(
    "value",
    [
        *NESTED,
        b"7",
        b"\xff",
        b'{"models": [{"name": "b", "adapters": ["a@\xc2\xb2"]}], "born": '
        + b"9" * 40
        + b"}",
        b'{"sequence": -1}',
        b'{"coming": [[]]}',
    ],
)
def test_an_odd_report_is_no_report(value):
    assert engines.PlatformEngines(instance_name="g").read_report(
        200, value
    ) is (None)


def test_a_version_in_other_digits_is_unknown():
    models = [{"name": "b", "adapters": ["a@²", "b@" + "9" * 5000, "c@3"]}]
    assert engines.loaded_adapters(models) == {"b": {"a": 0, "b": 0, "c": 3}}


@pytest.mark.parametrize(
    "body",
    [
        *NESTED,
        b"[]",
        b'{"store_revision": 3, "has_more": false}',
        b'{"items": [], "events": [], "has_more": false, "store_revision": '
        + b"9" * 40
        + b"}",
        b'{"items": [7], "events": [7], "has_more": false,'
        b' "store_revision": 3}',
    ],
)
def test_an_odd_answer_of_the_store_is_a_failure(body):
    dialect = store.PlatformStore(address="10.0.0.1:80")
    answer = whole_answer.WholeAnswer(200, {}, body)
    assert dialect.read_page(answer).reason == "unreadable"
    assert dialect.read_events(answer).reason == "unreadable"


@pytest.mark.parametrize("value", NESTED)
def test_a_nested_settings_file_is_refused(tmp_path, value):
    path = tmp_path / "settings.json"
    path.write_bytes(value)
    with pytest.raises(gateway.BadSettings):
        settings.read(path)


@pytest.mark.parametrize("value", NESTED)
def test_a_nested_document_isnt_whole(value):
    assert not whole_answer.is_document(value)


def test_a_nested_message_of_a_peer_is_malformed():
    codec = envelope.Codec(kinds=peer_messages.KINDS)
    sender = ids.InstanceId("a", "10.0.0.1:1", "x")
    body = msgspec.Raw(b"\x91" * 100_000 + b"\x90")
    data = msgspec.msgpack.encode(envelope.Envelope(sender, "Beat", body))
    assert isinstance(codec.decode(data), envelope.Malformed)
    assert isinstance(codec.decode(bytes(body)), envelope.Malformed)
