from __future__ import annotations

from boragefold.bench import configuration_fleet as fleets
from boragefold.protocol import platform_api
from boragefold.standins import example_tree
from tests.fakes import configuration as scenes

ADDRESS = "10.0.0.1:8000"


class Scene(scenes.Scene):
    """A scene with one endpoint in both the tree and the platform's list."""

    def __init__(self) -> None:
        super().__init__()
        endpoint = example_tree.ExampleEndpoint("east", "a", ADDRESS)
        example = example_tree.make(
            seed=1, data_centres=["east"], endpoints=[endpoint]
        )
        path = "endpoints/east"
        self.platform.put(path, example.tree[path])
        self.fleet.publish_list = lambda: None
        self.list_endpoint("live")
        self.network.run_for(3.0)

    def list_endpoint(self, state: str) -> None:
        listed = self.platform.list_instances(lag_seconds=0.0).instances
        others = [entry for entry in listed if entry.address != ADDRESS]
        endpoint = platform_api.ListedInstance(
            ADDRESS, "east", "endpoint", state
        )
        self.platform.put_list([*others, endpoint])

    def let_lists_lag_but(self, address: str) -> None:
        for instance in self.fleet.instances.values():
            if instance.self_id.address != address:
                instance.reader.list_lag_seconds = 60.0

    def states(self) -> set[str]:
        return set(map(state, self.fleet.instances.values()))


def state(instance: fleets.FleetInstance) -> str:
    record = instance.catalogue.endpoints.at(ADDRESS)
    assert record is not None
    return record.state


def test_a_list_that_only_one_instance_saw_is_passed_on() -> None:
    # One instance has read that an endpoint is leaving; the replicas that the
    # others read lag by a minute. Those would route requests to the endpoint
    # that are then interrupted.
    scene = Scene()
    scene.let_lists_lag_but("west-1")
    scene.list_endpoint("leaving")
    took_seconds = scene.settle(lambda instance: state(instance) == "leaving")
    assert took_seconds < 5.0
    scene.network.run_for(20.0)
    assert scene.states() == {"leaving"}


def test_an_endpoint_that_stays_after_all_is_live_again_everywhere() -> None:
    # The operator revokes the mark, which one instance reads. Peers that
    # still hold the older mark must not restore it at each comparison.
    scene = Scene()
    scene.let_lists_lag_but("west-1")
    scene.list_endpoint("leaving")
    scene.network.run_for(5.0)
    assert scene.states() == {"leaving"}
    scene.list_endpoint("live")
    assert scene.settle(lambda instance: state(instance) == "live") < 5.0
    scene.network.run_for(10.0)
    assert scene.states() == {"live"}


def test_the_list_speaks_where_the_tree_is_silent_and_the_other_way() -> None:
    # The list is unavailable, and the tree marks the endpoint as leaving.
    scene = Scene()
    path = "endpoints/east"
    endpoints = scene.platform.documents()[path]
    endpoints["a"]["state"] = "leaving"
    scene.platform.put(path, endpoints)
    took_seconds = scene.settle(lambda instance: state(instance) == "leaving")
    assert took_seconds < 1.0
