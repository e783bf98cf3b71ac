"""A fleet of instances that hold nothing but the published configuration."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import itertools
import math
import random
from typing import Any

from boragefold.bench import virtual_reader
from boragefold.coordination.configuration import list_poller as list_pollers
from boragefold.coordination.configuration import readiness
from boragefold.coordination.configuration import service
import boragefold.coordination.rights as rights
from boragefold.protocol import ids
from boragefold.protocol import platform_api
from boragefold.standins import platform as platforms
from boragefold.state import catalogue as catalogues
from boragefold.state import history as histories
from boragefold.state import tree as trees
from boragefold.telemetry import counters as telemetry

# How long a view goes on with a member that has died, and how long a fresh
# instance waits until it is a member.
VIEW_CHANGE_SECONDS = 3.0
JOIN_SECONDS = 1.0
EPOCH_SECONDS = 1_800_000_000.0


class FleetRights(rights.Rights):
    """Rights over views that the fleet changes."""

    def __init__(
        self, *, self_id: ids.InstanceId, views: dict[str, rights.View]
    ) -> None:
        self._self_id = self_id
        self._views = views
        self.view: rights.View | None = None
        self._callbacks: list[Callable[[rights.View | None], None]] = []

    @property
    def self_id(self) -> ids.InstanceId:
        """Tell who we are.

        :return: the identity
        """
        return self._self_id

    def valid_view(self) -> rights.View | None:
        """Read the view.

        :return: the view, or None
        """
        return self.view

    def valid_for_seconds(self) -> float:
        """Tell how long the lease lasts.

        :return: for ever, or not at all
        """
        return math.inf if self.view else 0.0

    def directory(self) -> dict[str, rights.View]:
        """Read the views of all data centres.

        :return: views by data centre
        """
        return self._views

    def subscribe(
        self, callback: Callable[[rights.View | None], None]
    ) -> None:
        """Be told of a new view.

        :param callback: called with it
        """
        self._callbacks.append(callback)

    def change(self, view: rights.View | None) -> None:
        """Take a new view.

        :param view: the view, None without a lease
        """
        self.view = view
        for callback in self._callbacks:
            callback(view)


class FleetInstance:
    """Everything of one instance that has to do with the configuration."""

    def __init__(
        self,
        *,
        node: Any,
        platform: platforms.Platform,
        views: dict[str, rights.View],
        seed: int,
        seeds: Sequence[ids.InstanceId],
    ) -> None:
        self.node = node
        self.self_id: ids.InstanceId = node.self_id
        self.counters = telemetry.Counters()
        self.tree = trees.Tree(counters=self.counters)
        self.catalogue = catalogues.Catalogue(
            tree=self.tree, counters=self.counters
        )
        self.history = histories.History(
            tree=self.tree,
            wall_seconds=lambda: EPOCH_SECONDS + node.timers.now_seconds(),
        )
        self.rights = FleetRights(self_id=node.self_id, views=views)
        self.reader = virtual_reader.VirtualReader(
            platform=platform, timers=node.timers
        )
        self.configuration = service.Configuration(
            tree=self.tree,
            catalogue=self.catalogue,
            history=self.history,
            link=node.link,
            rights=self.rights,
            reader=self.reader,
            timers=node.timers,
            counters=self.counters,
            random=random.Random(seed),
            seeds=seeds,
        )
        self.poller = list_pollers.ListPoller(
            reader=self.reader, timers=node.timers, counters=self.counters
        )
        self.poller.subscribe(self.configuration.receive_listing)

    @property
    def ready(self) -> bool:
        """Tell whether the instance is ready.

        :return: whether it is
        """
        judged = self.configuration.readiness()
        return isinstance(judged, readiness.Ready)

    def revision(self, path: str) -> int:
        """Read the revision in force at a path.

        :param path: the path
        :return: the revision, zero for none
        """
        entry = self.tree.entry(path)
        return 0 if entry is None else entry.revision


class ConfigurationFleet:
    """Starts and kills instances and keeps their views.

    ``network`` is a :class:`virtual_network.VirtualNetwork`, or another
    network in virtual time with the same methods.
    """

    def __init__(
        self,
        *,
        network: Any,
        platform: platforms.Platform,
        seed: int,
        with_list: bool = True,
    ) -> None:
        self.network = network
        self.platform = platform
        self.instances: dict[str, FleetInstance] = {}
        self.views: dict[str, rights.View] = {}
        self._with_list = with_list
        self._seeds = random.Random(seed)

    def start_all(self, data_centres: Sequence[str], count: int) -> None:
        """Start a fleet at one moment.

        :param data_centres: names
        :param count: instances in each
        """
        for name, number in itertools.product(data_centres, range(count)):
            self.start(name, f"{name}-{number}")

    def start(self, data_centre: str, address: str) -> FleetInstance:
        """Start an instance.

        :param data_centre: where
        :param address: its address
        :return: the instance
        """
        others = [
            ids.InstanceId(other.self_id.data_centre, other_address, "")
            for other_address, other in self.instances.items()
        ]
        instance = FleetInstance(
            node=self.network.start(data_centre, address),
            platform=self.platform,
            views=self.views,
            seed=self._seeds.getrandbits(32),
            seeds=others[-3:],
        )
        self.instances[address] = instance
        instance.configuration.start()
        if self._with_list:
            delay_seconds = self._seeds.uniform(0, list_pollers.PERIOD_SECONDS)
            instance.poller.start(delay_seconds=delay_seconds)
        self.publish_list()
        instance.node.timers.once(
            delay_seconds=JOIN_SECONDS,
            callback=lambda: self.change_view(data_centre),
        )
        return instance

    def kill(self, address: str) -> None:
        """End an instance; its view goes on with it for a while.

        :param address: its address
        """
        instance = self.instances.pop(address)
        self.network.kill(instance.node)
        self.publish_list()
        data_centre = instance.self_id.data_centre
        survivor = next(self.of(data_centre), None)
        if survivor is not None:
            survivor.node.timers.once(
                delay_seconds=VIEW_CHANGE_SECONDS,
                callback=lambda: self.change_view(data_centre),
            )

    def change_view(self, data_centre: str) -> None:
        """Put all living instances of a data centre into a new view.

        :param data_centre: its name
        """
        members = tuple(sorted(i.self_id for i in self.of(data_centre)))
        before = self.views.get(data_centre)
        if before is not None and before.members == members:
            return
        number = 1 if before is None else before.number + 1
        self.views[data_centre] = rights.View(data_centre, 1, number, members)
        for instance in self.of(data_centre):
            instance.rights.change(self.views[data_centre])

    def publish_list(self) -> None:
        """Let the platform list the living instances."""
        if self._with_list:
            self.platform.put_list(
                platform_api.ListedInstance(
                    address, instance.self_id.data_centre, "entry", "live"
                )
                for address, instance in self.instances.items()
            )

    def of(self, data_centre: str) -> Iterator[FleetInstance]:
        """Go through the instances of a data centre.

        :param data_centre: its name
        :return: its instances
        """
        return (
            instance
            for instance in self.instances.values()
            if instance.self_id.data_centre == data_centre
        )

    def settle_seconds(
        self, holds: Callable[[FleetInstance], bool], limit_seconds: float
    ) -> float:
        """Run until something holds on every instance.

        :param holds: what
        :param limit_seconds: when to give up
        :return: how long it took; infinite when it did not come to hold
        """
        step_seconds = 0.02
        for step in range(int(limit_seconds / step_seconds) + 1):
            if all(map(holds, self.instances.values())):
                return step * step_seconds
            self.network.run_for(step_seconds)
        return math.inf


__all__ = [
    "ConfigurationFleet",
    "FleetInstance",
    "FleetRights",
]
