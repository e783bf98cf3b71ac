"""Measures what the view of a data centre costs each instance."""

from __future__ import annotations

import collections
import heapq
import itertools
import random
import time
from typing import Any
from typing import NamedTuple

from boragefold.bench import virtual_process
from boragefold.coordination import instance_list
from boragefold.coordination import views
from boragefold.protocol import envelope
from boragefold.protocol import ids
from boragefold.protocol import view_messages as messages
from boragefold.telemetry import counters as telemetry
from boragefold.timing import clock as clocks
from boragefold.timing import timers

DELAY_SECONDS = 0.001
# The views have reached everyone by then.
WARM_SECONDS = 60.0
LIST_PERIOD_SECONDS = 1.0
EPOCH_START_MS = 1_800_000_000_000


class ViewsCost(NamedTuple):
    """What one data centre's members send and receive, steadily.

    Rates are sums of both directions. ``busiest`` is the leader.
    """

    members: int
    data_centres: int
    mean_messages_per_second: float
    mean_bytes_per_second: float
    busiest_messages_per_second: float
    busiest_bytes_per_second: float
    cpu_seconds_per_second: float
    change_bytes: float


class _Network:
    """Delivers encoded messages in virtual time and counts their bytes."""

    def __init__(self) -> None:
        self.clock = clocks.VirtualClock()
        self.timers = timers.TimerService(clock=self.clock)
        self.links: dict[str, virtual_process.ProcessLink] = {}
        self.bytes: collections.Counter[str] = collections.Counter()
        self.messages: collections.Counter[str] = collections.Counter()
        self._codec = envelope.Codec(kinds=messages.KINDS)
        self._flying: list[tuple[float, int, str, bytes]] = []
        self._order = itertools.count()

    def post(
        self, sender: ids.InstanceId, to: ids.InstanceId, body: Any
    ) -> None:
        data = self._codec.encode(sender=sender, body=body)
        self._count(sender.address, data)
        arrival_seconds = self.clock.now_seconds() + DELAY_SECONDS
        heapq.heappush(
            self._flying,
            (arrival_seconds, next(self._order), to.address, data),
        )

    def run_for(self, duration_seconds: float) -> None:
        end_seconds = self.clock.now_seconds() + duration_seconds
        while (at := self._next_seconds()) <= end_seconds:
            self.clock.move_to(at)
            while self._flying and self._flying[0][0] <= at:
                self._deliver(*heapq.heappop(self._flying)[2:])
            self.timers.run_due()
        self.clock.move_to(end_seconds)

    def _next_seconds(self) -> float:
        due_seconds = self.timers.next_due_seconds()
        flying_seconds = self._flying[0][0] if self._flying else float("inf")
        if due_seconds is None:
            return flying_seconds
        return min(due_seconds, flying_seconds)

    def _deliver(self, address: str, data: bytes) -> None:
        receiver = self.links.get(address)
        received = self._codec.decode(data)
        if receiver is None or isinstance(received, envelope.Malformed):
            return
        self._count(address, data)
        receiver.handlers[type(received.body)](received.sender, received.body)

    def _count(self, address: str, data: bytes) -> None:
        self.bytes[address] += len(data)
        self.messages[address] += 1


class _Fleet:
    def __init__(self, *, members: int, data_centres: int) -> None:
        self.network = _Network()
        self.instances: list[views.Views] = []
        self.entries = [
            instance_list.ListEntry(
                f"10.{centre}.0.{member}:7000", f"dc-{centre:02d}", "live"
            )
            for centre in range(data_centres)
            for member in range(members)
        ]
        for index, entry in enumerate(self.entries):
            self.start(index, entry)
        self.network.timers.every(
            period_seconds=LIST_PERIOD_SECONDS,
            callback=self._list,
            first_delay_seconds=0.0,
        )

    def start(self, index: int, entry: instance_list.ListEntry) -> views.Views:
        source = random.Random(index)
        self_id = ids.InstanceId(
            entry.data_centre, entry.address, f"{source.getrandbits(128):032x}"
        )
        peer_link = virtual_process.ProcessLink(
            self_id=self_id, post=self.network.post
        )
        self.network.links[entry.address] = peer_link
        instance = views.Views(
            peer_link=peer_link,
            timer_service=self.network.timers,
            counters=telemetry.Counters(),
            random_source=source,
            wall_clock_ms=lambda: (
                EPOCH_START_MS + int(self.network.clock.now_seconds() * 1000)
            ),
        )
        instance.start()
        self.instances.append(instance)
        return instance

    def _list(self) -> None:
        for instance in self.instances:
            instance.update_list(self.entries)


def measure_views(
    *, members: int, data_centres: int, duration_seconds: float = 20.0
) -> ViewsCost:
    """Run the views of a whole fleet in virtual time and count.

    :param members: instances in each data centre
    :param data_centres: how many data centres
    :param duration_seconds: the virtual time that is counted
    :return: the cost for an instance of the first data centre
    """
    fleet = _Fleet(members=members, data_centres=data_centres)
    network = fleet.network
    network.run_for(WARM_SECONDS)
    network.bytes.clear()
    network.messages.clear()
    begin_seconds = time.process_time()
    network.run_for(duration_seconds)
    cpu_seconds = time.process_time() - begin_seconds
    _check(fleet)
    first = [entry.address for entry in fleet.entries[:members]]
    busiest = max(first, key=lambda address: network.bytes[address])
    all_bytes = sum(network.bytes[address] for address in first)
    all_messages = sum(network.messages[address] for address in first)
    busiest_bytes = network.bytes[busiest]
    busiest_messages = network.messages[busiest]
    return ViewsCost(
        members=members,
        data_centres=data_centres,
        mean_messages_per_second=all_messages / members / duration_seconds,
        mean_bytes_per_second=all_bytes / members / duration_seconds,
        busiest_messages_per_second=busiest_messages / duration_seconds,
        busiest_bytes_per_second=busiest_bytes / duration_seconds,
        cpu_seconds_per_second=(
            cpu_seconds / duration_seconds / members / data_centres
        ),
        change_bytes=_change_bytes(fleet, members, first),
    )


def _check(fleet: _Fleet) -> None:
    lacking = [one for one in fleet.instances if one.valid_view() is None]
    if lacking:
        raise RuntimeError(f"{len(lacking)} instances are in no view")


def _change_bytes(fleet: _Fleet, members: int, first: list[str]) -> float:
    """Count what a leave and its spreading cost beyond the steady rate."""
    network = fleet.network
    seconds = 5.0
    network.bytes.clear()
    network.run_for(seconds)
    before = sum(network.bytes[address] for address in first)
    network.bytes.clear()
    fleet.instances[members - 1].leave()
    network.run_for(seconds)
    after = sum(network.bytes[address] for address in first)
    return float(max(0, after - before)) / members


__all__ = [
    "ViewsCost",
    "measure_views",
]
