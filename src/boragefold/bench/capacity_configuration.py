"""What the published configuration costs a fleet, by its size."""

from __future__ import annotations

import collections
from collections.abc import Sequence
from typing import Any
from typing import NamedTuple

from boragefold.bench import capacity_configuration_instance as single
from boragefold.bench import configuration_fleet as fleets
from boragefold.bench import virtual_network
from boragefold.protocol import config_messages as messages
from boragefold.standins import example_tree
from boragefold.standins import platform as platforms

INSTANCE_COUNTS = (3, 7, 15, 31)
QUIET_SECONDS = 60.0
# Changes that are followed, and the time that each gets to settle.
CHANGES = 20
CHANGE_SECONDS = 8.0


class Traffic(NamedTuple):
    """Peer messages of an instance, in one data centre of ``instances``.

    ``busiest`` is the instance that sent most, the steward as a rule.
    """

    instances: int
    idle_sent_bytes_per_second: float
    idle_messages_per_second: float
    change_sent_bytes: float
    change_sent_bytes_busiest: float
    change_received_bytes: float
    budgeted_bytes_per_second: float
    budgeted_bytes_per_second_busiest: float


class Spread(NamedTuple):
    """How a change came into force on a whole fleet, in virtual time."""

    data_centres: int
    instances: int
    platform_seen_by: int
    loss: float
    median_seconds: float
    longest_seconds: float


class MassStart(NamedTuple):
    """A start of every instance at one moment, in virtual time."""

    data_centres: int
    instances: int
    ready_seconds: float
    tree_calls_peak_per_second: int
    calls_peak_per_second: int
    refused_calls: int
    sent_bytes_per_instance: float


def measure_traffic(
    *, counts: Sequence[int] = INSTANCE_COUNTS, adapters: int = 3000
) -> list[Traffic]:
    """Measure peer traffic in one data centre.

    :param counts: numbers of instances
    :param adapters: size of the catalogue
    :return: a result for each number
    """
    return [_traffic(count, adapters) for count in counts]


def measure_spread(
    *,
    data_centres: int = 3,
    instances: int = 7,
    platform_seen_by: int | None = None,
    loss: float = 0.0,
    remote_seconds: tuple[float, float] = (0.0015, 0.003),
) -> Spread:
    """Measure how long changes take to be in force on every instance.

    :param data_centres: how many
    :param instances: how many in each
    :param platform_seen_by: how many data centres reach the platform; all
        when left out
    :param loss: the share of peer messages that are lost
    :param remote_seconds: one-way delays between data centres
    :return: the times
    """
    fleet, names = _start(
        data_centres, instances, 100, loss=loss, remote_seconds=remote_seconds
    )
    seeing = data_centres if platform_seen_by is None else platform_seen_by
    for instance in fleet.instances.values():
        instance.reader.cut_off = (
            instance.self_id.data_centre not in names[:seeing]
        )
    fleet.network.run_for(QUIET_SECONDS)
    took_seconds = sorted(_follow_change(fleet, n) for n in range(CHANGES))
    return Spread(
        data_centres=data_centres,
        instances=instances,
        platform_seen_by=seeing,
        loss=loss,
        median_seconds=took_seconds[CHANGES // 2],
        longest_seconds=took_seconds[-1],
    )


def measure_mass_start(
    *, data_centres: int = 3, instances: int = 7, adapters: int = 3000
) -> MassStart:
    """Measure a start of everything at one moment.

    :param data_centres: how many
    :param instances: how many in each
    :param adapters: size of the catalogue
    :return: the time until all are ready, and the calls on the platform
    """
    fleet, names = _build(data_centres, adapters)
    tree_calls: collections.Counter[int] = collections.Counter()
    fleet.start_all(names, instances)
    ready_seconds = fleet.settle_seconds(
        lambda instance: instance.ready, QUIET_SECONDS
    )
    for instance in fleet.instances.values():
        tree_calls.update(instance.reader.tree_calls)
    total = data_centres * instances
    sent_bytes = sum(_sent(instance) for instance in fleet.instances.values())
    return MassStart(
        data_centres=data_centres,
        instances=instances,
        ready_seconds=ready_seconds,
        tree_calls_peak_per_second=max(tree_calls.values()),
        calls_peak_per_second=fleet.platform.peak_calls_per_second(),
        refused_calls=fleet.platform.refused_calls,
        sent_bytes_per_instance=sent_bytes / total,
    )


def _build(
    data_centres: int, adapters: int, **network: Any
) -> tuple[fleets.ConfigurationFleet, list[str]]:
    net = virtual_network.VirtualNetwork(
        seed=1, kinds=messages.KINDS, **network
    )
    platform = platforms.Platform(now_seconds=net.clock.now_seconds)
    names = [f"dc-{number}" for number in range(data_centres)]
    example = example_tree.make(seed=1, data_centres=names, adapters=0)
    platform.load(example.tree)
    platform.load(single.realistic_tree(adapters=adapters, per_path=100))
    fleet = fleets.ConfigurationFleet(network=net, platform=platform, seed=1)
    return fleet, names


def _start(
    data_centres: int, instances: int, adapters: int, **network: Any
) -> tuple[fleets.ConfigurationFleet, list[str]]:
    fleet, names = _build(data_centres, adapters, **network)
    fleet.start_all(names, instances)
    fleet.settle_seconds(lambda instance: instance.ready, QUIET_SECONDS)
    fleet.network.run_for(QUIET_SECONDS)
    return fleet, names


def _traffic(count: int, adapters: int) -> Traffic:
    fleet, _ = _start(1, count, adapters)
    instances = list(fleet.instances.values())
    before = [_sent(instance) for instance in instances]
    messages_before = [_messages(instance) for instance in instances]
    fleet.network.run_for(QUIET_SECONDS)
    idle = [
        (_sent(instance) - sent) / QUIET_SECONDS
        for instance, sent in zip(instances, before, strict=True)
    ]
    idle_messages = [
        (_messages(instance) - sent) / QUIET_SECONDS
        for instance, sent in zip(instances, messages_before, strict=True)
    ]
    before = [_sent(instance) for instance in instances]
    received_before = [_received(instance) for instance in instances]
    for number in range(CHANGES):
        _follow_change(fleet, number)
    spent_seconds = CHANGES * CHANGE_SECONDS
    sent = [
        (_sent(instance) - earlier - at_rest * spent_seconds) / CHANGES
        for instance, earlier, at_rest in zip(
            instances, before, idle, strict=True
        )
    ]
    mean_idle = sum(idle) / count
    received = [
        (_received(instance) - earlier - mean_idle * spent_seconds) / CHANGES
        for instance, earlier in zip(instances, received_before, strict=True)
    ]
    per_second = single.CHANGES_PER_DAY / single.DAY_SECONDS
    return Traffic(
        instances=count,
        idle_sent_bytes_per_second=mean_idle,
        idle_messages_per_second=sum(idle_messages) / count,
        change_sent_bytes=sum(sent) / count,
        change_sent_bytes_busiest=max(sent),
        change_received_bytes=sum(received) / count,
        budgeted_bytes_per_second=mean_idle + per_second * sum(sent) / count,
        budgeted_bytes_per_second_busiest=mean_idle + per_second * max(sent),
    )


def _follow_change(fleet: fleets.ConfigurationFleet, number: int) -> float:
    document = dict(fleet.platform.documents()[single.ADAPTER_PATH])
    name = next(iter(document))
    document[name] = {**document[name], "versions": ["a", f"b{number}"]}
    revision = fleet.platform.put(single.ADAPTER_PATH, document)
    began_seconds = fleet.network.clock.now_seconds()
    took_seconds = fleet.settle_seconds(
        lambda instance: instance.revision(single.ADAPTER_PATH) >= revision,
        QUIET_SECONDS,
    )
    passed_seconds = fleet.network.clock.now_seconds() - began_seconds
    fleet.network.run_for(max(0.0, CHANGE_SECONDS - passed_seconds))
    return took_seconds


def _sent(instance: fleets.FleetInstance) -> int:
    return int(instance.node.link.sent_bytes.total())


def _messages(instance: fleets.FleetInstance) -> int:
    return int(instance.node.link.sent.total())


def _received(instance: fleets.FleetInstance) -> int:
    return int(instance.node.link.received_bytes.total())


__all__ = [
    "MassStart",
    "Spread",
    "Traffic",
    "measure_mass_start",
    "measure_spread",
    "measure_traffic",
]
