from __future__ import annotations

import hashlib

import msgspec
import pytest

from boragefold.standins import example_tree
from boragefold.state import validation

DIGEST = hashlib.sha256(b"key").hexdigest()
ENDPOINT = {
    "address": "10.0.0.1:8000",
    "model": "base-0",
    "role": "decode",
    "slots": 8,
    "batch_size": 16,
    "checks_fencing": True,
    "state": "live",
}


def judge(path: str, document: object):
    return validation.validate(path, msgspec.json.encode(document))


def test_the_example_tree_is_accepted_whatever_its_layout() -> None:
    endpoint = example_tree.ExampleEndpoint("east", "a", "10.0.0.1:8000")
    example = example_tree.make(
        seed=1, data_centres=["east"], endpoints=[endpoint], adapters=250
    )
    for path, document in example.tree.items():
        spread = msgspec.json.format(msgspec.json.encode(document))
        compact = judge(path, document)
        assert isinstance(compact, validation.Accepted), compact
        loose = validation.validate(path, spread)
        assert loose.digest == compact.digest


@pytest.mark.parametrize(
    ("path", "document", "kind"),
    [
        ("common/unheard_of", {}, "unknown_path"),
        ("teams/a b/keys", {}, "unknown_path"),
        ("common/store", {"loads_per_second": 1}, "bad_type"),
        (
            "common/store",
            {"loads_per_second": -1, "loads_in_flight": 8},
            "not_positive",
        ),
        (
            "common/data_centres",
            {"east": {"region": "r", "weight": 0}},
            "not_positive",
        ),
        ("teams/a/workspaces", {"w": {"rate_tokens": 3}}, "unknown_field"),
        ("teams/a/workspaces", {"w/x": {}}, "bad_name"),
        (
            "teams/a/keys",
            {DIGEST[:-1]: {"workspace": "w", "state": "granted"}},
            "bad_digest",
        ),
        (
            "endpoints/east",
            {"a": {**ENDPOINT, "address": "engine.example:80"}},
            "bad_address",
        ),
        ("endpoints/east", {"a": ENDPOINT, "b": ENDPOINT}, "address_twice"),
        (
            "teams/a/adapters/0",
            {"x": {"model": "m", "versions": [], "workspaces": []}},
            "bad_versions",
        ),
    ],
)
def test_a_mistake_is_named_by_kind_and_remedy(path, document, kind) -> None:
    rejected = judge(path, document)
    assert isinstance(rejected, validation.Rejected)
    assert rejected.kind == kind
    assert rejected.remedy


@pytest.mark.parametrize("data", [b"{", b"\xff\xfe", b"[" * 100_000, b"1e999"])
def test_bytes_that_are_no_document_are_rejected(data: bytes) -> None:
    assert isinstance(
        validation.validate("common/store", data), validation.Rejected
    )


def test_a_value_over_a_mebibyte_is_rejected() -> None:
    rejected = validation.validate("common/store", b" " * (1 << 20) + b"{}")
    assert isinstance(rejected, validation.Rejected)
    assert rejected.kind == "too_large"


@pytest.mark.parametrize("state", ["granted", 7])
def test_a_key_published_in_plain_is_not_repeated(state: object) -> None:
    # An operator pastes the key itself where its digest belongs. The reason
    # for the rejection is counted, shown to the auditor and told to peers;
    # with the key in it, all of them would hold a working secret.
    rejected = judge(
        "teams/a/keys", {"sk-secret": {"workspace": "w", "state": state}}
    )
    assert isinstance(rejected, validation.Rejected)
    assert "sk-secret" not in repr(rejected)
