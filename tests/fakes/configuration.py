"""Three data centres whose instances hold the published configuration."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from boragefold.bench import configuration_fleet as fleets
from boragefold.coordination.configuration import peers
from boragefold.standins import example_tree
from boragefold.standins import platform as platforms
from tests.fakes import network as networks

STORE = "common/store"
KEYS = "teams/quadro/keys"
DATA_CENTRES = ("east", "west", "south")


class Scene:
    """Data centres of some instances each, up and ready."""

    def __init__(
        self,
        *,
        ready: bool = True,
        data_centres: Sequence[str] = DATA_CENTRES,
        instances: int = 3,
        **network: Any,
    ) -> None:
        self.network = networks.Network(seed=7, **network)
        self.platform = platforms.Platform(
            now_seconds=self.network.clock.now_seconds
        )
        self.example = example_tree.make(seed=1, data_centres=data_centres)
        self.platform.load(self.example.tree)
        self.fleet = fleets.ConfigurationFleet(
            network=self.network, platform=self.platform, seed=3
        )
        if ready:
            self.fleet.start_all(data_centres, instances)
            assert self.settle(lambda instance: instance.ready, 12) < 12
            self.network.run_for(3.0)

    def put_store(self, loads_in_flight: int) -> int:
        document = {
            "loads_per_second": 4.0,
            "loads_in_flight": loads_in_flight,
        }
        return self.platform.put(STORE, document)

    def settle(self, holds: Any, limit_seconds: float = 30.0) -> float:
        return self.fleet.settle_seconds(holds, limit_seconds)

    def settle_on(self, revision: int, limit_seconds: float = 30.0) -> float:
        return self.settle(
            lambda instance: instance.revision(STORE) >= revision,
            limit_seconds,
        )

    def loads_in_flight(self) -> set[int]:
        return {
            instance.tree.document(STORE)["loads_in_flight"]
            for instance in self.fleet.instances.values()
        }

    def reader(self, data_centre: str, role: peers.Role) -> str:
        return next(
            instance.self_id.address
            for instance in self.fleet.of(data_centre)
            if instance.configuration.status().role is role
        )

    def cut(self, data_centre: str) -> None:
        self.network.is_cut = lambda one, other: (
            one.data_centre != other.data_centre
            and data_centre in (one.data_centre, other.data_centre)
        )

    def cut_from_platform(self, *data_centres: str) -> None:
        for instance in self.fleet.instances.values():
            instance.reader.cut_off = (
                instance.self_id.data_centre in data_centres
            )


__all__ = [
    "DATA_CENTRES",
    "KEYS",
    "STORE",
    "Scene",
]
