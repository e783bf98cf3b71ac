from __future__ import annotations

from typing import Any

import msgspec

from boragefold.protocol import config_messages as messages
from boragefold.standins import example_tree
from boragefold.state import catalogue as catalogues
from boragefold.state import tree as trees
from boragefold.telemetry import counters as telemetry


class Instance:
    def __init__(self, tree: dict[str, Any]) -> None:
        self.counters = telemetry.Counters()
        self.tree = trees.Tree(counters=self.counters)
        self.catalogue = catalogues.Catalogue(
            tree=self.tree, counters=self.counters
        )
        self.revision = 0
        for path, document in tree.items():
            self.publish(path, document)

    def publish(self, path: str, document: Any | None) -> None:
        self.revision += 1
        data = None if document is None else msgspec.json.encode(document)
        outcome = self.tree.apply(path=path, revision=self.revision, data=data)
        assert isinstance(outcome, trees.Applied), outcome


def make(**kwargs: Any) -> tuple[Instance, example_tree.Example]:
    example = example_tree.make(
        seed=1,
        data_centres=["east"],
        endpoints=[example_tree.ExampleEndpoint("east", "a", "10.0.0.1:1")],
        teams=["quadro", "caroni"],
        **kwargs,
    )
    return Instance(example.tree), example


def test_a_key_leads_to_its_workspace_and_the_inherited_settings() -> None:
    instance, example = make()
    for workspace, key in example.keys.items():
        digest = example_tree.digest(key)
        assert instance.catalogue.workspace_for_key(digest) == workspace
        settings = instance.catalogue.workspace(workspace)
        assert settings is not None
        assert settings.burst_tokens == 60_000.0
    defaults = {**example.tree["common/defaults"], "burst_tokens": 5.0}
    instance.publish("common/defaults", defaults)
    settings = instance.catalogue.workspace("quadro/workspace-0")
    assert settings is not None
    assert settings.burst_tokens == 5.0


def test_a_withdrawn_key_is_told_at_once() -> None:
    # A key leaks and the operator withdraws it. Callers may hold open
    # connections and streams, so whoever serves them must hear of it; a
    # check at the next request alone would leave a stream running.
    instance, example = make()
    told: list[str] = []
    instance.catalogue.subscribe_withdrawn(told.append)
    digest = example_tree.digest(example.keys["quadro/workspace-0"])
    path = "teams/quadro/keys"
    keys = dict(example.tree[path])
    keys[digest] = {**keys[digest], "state": "withdrawn"}
    instance.publish(path, keys)
    assert told == [digest]
    assert instance.catalogue.workspace_for_key(digest) is None


def test_a_key_that_two_teams_publish_works_for_neither() -> None:
    # A team copies another team's key document. The key would run requests
    # for whichever workspace was read last, and differ between instances.
    instance, example = make()
    told: list[str] = []
    instance.catalogue.subscribe_withdrawn(told.append)
    digest = example_tree.digest(example.keys["quadro/workspace-0"])
    path = "teams/caroni/keys"
    keys = dict(example.tree[path])
    keys[digest] = {"workspace": "workspace-1", "state": "granted"}
    instance.publish(path, keys)
    assert instance.catalogue.workspace_for_key(digest) is None
    assert told == [digest]
    assert instance.counters.total("configuration_conflicts") == 1
    instance.publish(path, example.tree[path])
    owner = instance.catalogue.workspace_for_key(digest)
    assert owner == "quadro/workspace-0"


def test_a_deleted_workspace_takes_its_keys_along() -> None:
    instance, example = make()
    told: list[str] = []
    instance.catalogue.subscribe_withdrawn(told.append)
    instance.publish("teams/quadro/workspaces", None)
    digest = example_tree.digest(example.keys["quadro/workspace-0"])
    assert digest in told
    assert instance.catalogue.workspace_for_key(digest) is None


def test_an_adapter_is_found_only_by_those_it_allows() -> None:
    instance, _ = make()
    find = instance.catalogue.adapter
    found = find(workspace="quadro/workspace-0", name="adapter-0")
    assert found is not None
    assert found.qualified == "quadro/adapter-0"
    assert found.versions == ("v1", "v2")
    assert find(workspace="caroni/workspace-1", name="adapter-0") is None
    foreign = "quadro/adapter-0"
    assert find(workspace="caroni/workspace-1", name=foreign) is None


def test_an_adapter_that_moves_between_pieces_is_never_lost() -> None:
    # An operator splits a subtree: the adapter is published in the new piece
    # first and then removed from the old one. Requests go on in between.
    instance, example = make(adapters=8)
    old = "teams/quadro/adapters/0"
    adapter = example.tree[old]["adapter-0"]
    newer = {**adapter, "versions": ["v1", "v2", "v3"]}

    def versions() -> tuple[str, ...]:
        found = instance.catalogue.adapter(
            workspace="quadro/workspace-0", name="adapter-0"
        )
        assert found is not None
        return found.versions

    instance.publish("teams/quadro/adapters/1", {"adapter-0": newer})
    assert versions() == ("v1", "v2")
    rest = {k: v for k, v in example.tree[old].items() if k != "adapter-0"}
    instance.publish(old, rest)
    assert versions() == ("v1", "v2", "v3")


def test_leaving_by_the_tree_or_by_the_list_is_leaving() -> None:
    # An endpoint is marked in the list first; the tree still says live, and
    # an older list, read by a peer, arrives later. Work sent there would be
    # cut off when the endpoint goes.
    instance, example = make()
    told: list[str] = []
    instance.catalogue.subscribe_leaving(
        lambda record: told.append(record.address)
    )
    index = instance.catalogue.endpoints
    index.mark([messages.LeavingMark("10.0.0.1:1", 5, True)])
    index.mark([messages.LeavingMark("10.0.0.1:1", 4, False)])
    instance.publish("endpoints/east", example.tree["endpoints/east"])
    assert [record.state for record in index] == ["leaving"]
    assert told == ["10.0.0.1:1"]
    index.mark([messages.LeavingMark("10.0.0.1:1", 6, False)])
    assert [record.state for record in index] == ["live"]
