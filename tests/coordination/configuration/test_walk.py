from __future__ import annotations

import collections
import itertools
import random

import pytest

from boragefold.bench import configuration_fleet as fleets
from boragefold.protocol import platform_api
from boragefold.standins import platform as platforms
from boragefold.state import tree as trees
from tests.fakes import configuration as scenes

STEPS = 40
PATHS = ("common/store", "common/models", "teams/quadro/workspaces")


def document(path: str, number: int):
    valid = number % 7 != 0
    match path:
        case "common/store":
            return {
                "loads_per_second": 4.0 if valid else 0.0,
                "loads_in_flight": number,
            }
        case "common/models":
            return {"m": {"context_tokens": number if valid else -1}}
    return {"w": {"max_tokens": number if valid else "many"}}


class Walk:
    """Applies random faults and changes and checks the invariants."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.scene = scenes.Scene(loss=0.05, doubling=0.05)
        self.fleet = self.scene.fleet
        self.platform = self.scene.platform
        self.numbers = itertools.count(1)
        self.addresses = itertools.count(100)
        for instance in self.fleet.instances.values():
            self.observe(instance)
        self.actions = (
            self.publish,
            self.publish,
            self.publish,
            self.delete,
            self.kill_and_start,
            self.start_on_lagging_copy,
            self.toggle_platform,
            self.cut,
            self.heal,
            self.cut_reader,
            self.restore,
        )

    def observe(self, instance: fleets.FleetInstance) -> None:
        newest: collections.Counter[str] = collections.Counter()

        def changed(change: trees.Change) -> None:
            assert change.revision >= newest[change.path], change
            newest[change.path] = change.revision

        instance.tree.subscribe(changed)
        instance.configuration.subscribe_ready(
            lambda _: self.check_start(instance)
        )

    def check_start(self, fresh: fleets.FleetInstance) -> None:
        """Compare a starting instance with the ready ones beside it."""
        others = [
            other
            for other in self.fleet.of(fresh.self_id.data_centre)
            if other.ready and other is not fresh
        ]
        # A change of the last second may not have reached all instances.
        settled_seconds = fleets.EPOCH_SECONDS - 1.0
        settled_seconds += self.scene.network.clock.now_seconds()
        held = [
            {record.path: record.revision for record in records}
            for other in others
            if (records := other.history.at(settled_seconds)) is not None
        ]
        for path in PATHS:
            oldest = min((paths.get(path, 0) for paths in held), default=0)
            assert fresh.revision(path) >= oldest

    def publish(self) -> None:
        path = self.rng.choice(PATHS)
        self.platform.put(path, document(path, next(self.numbers)))

    def delete(self) -> None:
        self.platform.delete("teams/quadro/workspaces")

    def kill_and_start(self) -> fleets.FleetInstance:
        address = self.rng.choice(list(self.fleet.instances))
        data_centre = self.fleet.instances[address].self_id.data_centre
        self.fleet.kill(address)
        fresh = self.fleet.start(data_centre, f"n{next(self.addresses)}")
        self.observe(fresh)
        return fresh

    def start_on_lagging_copy(self) -> None:
        self.kill_and_start().reader.lag_seconds = 20.0

    def toggle_platform(self) -> None:
        self.platform.faults.down = not self.platform.faults.down

    def cut(self) -> None:
        self.scene.cut(self.rng.choice(scenes.DATA_CENTRES))

    def heal(self) -> None:
        self.scene.network.is_cut = lambda one, other: False
        self.scene.cut_from_platform()

    def cut_reader(self) -> None:
        self.scene.cut_from_platform(self.rng.choice(scenes.DATA_CENTRES))

    def restore(self) -> None:
        """Undo the last change and keep counting revisions from there."""
        backup = self.platform.snapshot()
        self.publish()
        self.platform.restore(backup)

    def run(self) -> None:
        for _ in range(STEPS):
            self.rng.choice(self.actions)()
            self.scene.network.run_for(self.rng.uniform(0.0, 3.0))
        self.heal()
        self.platform.faults = platforms.Faults()
        for instance in self.fleet.instances.values():
            instance.reader.lag_seconds = None
        self.scene.network.run_for(40.0)

    def check_end(self) -> None:
        """Check that all agree and hold no older value than the platform."""
        instances = list(self.fleet.instances.values())
        assert all(instance.ready for instance in instances)
        roots = {i.configuration.status().root for i in instances}
        assert len(roots) == 1
        shown: platform_api.WatchResult = self.platform.peek(0)
        for change in shown.changes:
            # Only the instances that read the platform get invalid values.
            rejected = [
                rejection.revision
                for instance in instances
                if (rejection := instance.tree.rejections.own(change.path))
            ]
            in_force = instances[0].revision(change.path)
            assert max(in_force, *rejected, 0) >= change.revision


@pytest.mark.parametrize("seed", range(16))
def test_no_instance_goes_back_and_all_agree_in_the_end(seed: int) -> None:
    # Random faults for one to two minutes: the platform fails, lags or is
    # restored from a backup, data centres are partitioned, readers fail, and
    # instances start from lagging replicas, while changes, some of them
    # invalid, continue. No instance may replace a value by an older one, and
    # no starting instance may become ready with older values than its peers.
    walk = Walk(seed)
    walk.run()
    walk.check_end()
