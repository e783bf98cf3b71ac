"""Instances with views in a fake network, and the platform's lists."""

from __future__ import annotations

from collections.abc import Iterable
import random

from boragefold.coordination import instance_list
from boragefold.coordination import rights
from boragefold.coordination import views
from boragefold.telemetry import counters
from tests.fakes import network as networks

WALL_CLOCK_START_MS = 1_800_000_000_000
LIST_PERIOD_SECONDS = 1.0


class Instance:
    """One process with its views, and how it reads the list."""

    def __init__(
        self, *, fleet: Fleet, node: networks.Node, list_lag_seconds: float
    ) -> None:
        self.node = node
        self.self_id = node.self_id
        self.list_lag_seconds = list_lag_seconds
        self.platform_up = True
        self.counters = counters.Counters()
        self.suspects: list[object] = []
        self.views = views.Views(
            peer_link=node.link,
            timer_service=node.timers,
            counters=self.counters,
            random_source=random.Random(fleet.network.random.random()),
            wall_clock_ms=lambda: (
                WALL_CLOCK_START_MS
                + int(fleet.network.clock.now_seconds() * 1000)
            ),
            on_suspect=self.suspects.append,
        )
        self._fleet = fleet
        node.timers.every(
            period_seconds=LIST_PERIOD_SECONDS,
            callback=self.read_list,
            first_delay_seconds=0.01,
        )
        self.views.start()

    def read_list(self) -> None:
        if self._fleet.platform_up and self.platform_up:
            self.views.update_list(
                self._fleet.listed(self.list_lag_seconds, self.self_id.address)
            )


class Fleet:
    """Starts, kills and watches instances; checks that rights are single."""

    def __init__(
        self, *, network: networks.Network, list_lag_seconds: float = 1.0
    ) -> None:
        self.network = network
        self.list_lag_seconds = list_lag_seconds
        self.platform_up = True
        self.instances: dict[str, Instance] = {}
        self.checks = 0
        self._history: list[
            tuple[float, tuple[instance_list.ListEntry, ...]]
        ] = [(float("-inf"), ())]
        network.after_step = self.check

    def start(
        self,
        data_centre: str,
        address: str,
        list_lag_seconds: float | None = None,
    ) -> Instance:
        lag_seconds = (
            self.list_lag_seconds
            if list_lag_seconds is None
            else list_lag_seconds
        )
        self.set_listed(address, data_centre, True)
        instance = Instance(
            fleet=self,
            node=self.network.start(data_centre, address),
            list_lag_seconds=lag_seconds,
        )
        self.instances[address] = instance
        return instance

    def start_all(self, data_centre: str, count: int) -> list[Instance]:
        return [
            self.start(data_centre, f"{data_centre}-{index:02d}:7000")
            for index in range(count)
        ]

    def kill(self, instance: Instance, *, listed: bool = False) -> None:
        self.network.kill(instance.node)
        del self.instances[instance.self_id.address]
        if not listed:
            self.set_listed(
                instance.self_id.address, instance.self_id.data_centre, False
            )

    def set_listed(self, address: str, data_centre: str, shown: bool) -> None:
        entries = {
            entry for entry in self._history[-1][1] if entry.address != address
        }
        if shown:
            entries.add(instance_list.ListEntry(address, data_centre, "live"))
        self._history.append(
            (self.network.clock.now_seconds(), tuple(sorted(entries)))
        )

    def listed(
        self, lag_seconds: float, reader: str
    ) -> Iterable[instance_list.ListEntry]:
        as_of_seconds = self.network.clock.now_seconds() - lag_seconds
        return next(
            entries
            for since_seconds, entries in reversed(self._history)
            if since_seconds <= as_of_seconds
        )

    def valid(self, data_centre: str) -> list[tuple[Instance, rights.View]]:
        return [
            (instance, view)
            for instance in self.instances.values()
            if instance.self_id.data_centre == data_centre
            and (view := instance.views.valid_view()) is not None
        ]

    def check(self) -> None:
        """Check that no two living processes can hold a right at once.

        With one valid view per data centre, the hash names one holder.
        """
        self.checks += 1
        seen: dict[str, rights.View] = {}
        for instance in self.instances.values():
            view = instance.views.valid_view()
            if view is None:
                continue
            assert instance.self_id in view.members
            first = seen.setdefault(view.data_centre, view)
            assert first == view, (first, view)

    def agreed(self, data_centre: str) -> rights.View | None:
        """Find the one view that all living instances have and are in."""
        running = [
            instance.self_id
            for instance in self.instances.values()
            if instance.self_id.data_centre == data_centre
        ]
        found = [view for _, view in self.valid(data_centre)]
        if len(found) != len(running) or len(set(found)) != 1:
            return None
        return found[0] if set(found[0].members) == set(running) else None

    def seconds_until_agreed(
        self, data_centre: str, limit_seconds: float
    ) -> float:
        start_seconds = self.network.clock.now_seconds()
        while self.agreed(data_centre) is None:
            spent_seconds = self.network.clock.now_seconds() - start_seconds
            assert spent_seconds < limit_seconds, self.valid(data_centre)
            self.network.run_for(0.02)
        return self.network.clock.now_seconds() - start_seconds


__all__ = [
    "Fleet",
    "Instance",
]
