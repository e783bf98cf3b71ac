"""A peer network in virtual time for hundreds of instances."""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Iterable
import random
from typing import Any

from boragefold.bench import virtual_process
from boragefold.protocol import envelope
from boragefold.protocol import ids
from boragefold.timing import clock as clocks
from boragefold.timing import timers as timing


class VirtualLink(virtual_process.ProcessLink):
    """The link of one instance; counts what it sends and receives."""

    def __init__(
        self, *, network: VirtualNetwork, self_id: ids.InstanceId
    ) -> None:
        super().__init__(
            self_id=self_id,
            post=lambda sender, to, body: network.post(self, to, body),
        )
        self.sent_bytes: collections.Counter[str] = collections.Counter()
        self.received_bytes: collections.Counter[str] = collections.Counter()
        self.sent: collections.Counter[str] = collections.Counter()


class VirtualNode:
    """One instance: its link and the network's timers."""

    def __init__(
        self,
        *,
        network: VirtualNetwork,
        self_id: ids.InstanceId,
        shared_timers: timing.TimerService,
    ) -> None:
        self.self_id = self_id
        self.link = VirtualLink(network=network, self_id=self_id)
        self.timers = virtual_process.ProcessTimers(
            shared=shared_timers, run=self._run
        )
        self.dead = False

    def _run(self, callback: timing.Callback) -> None:
        if not self.dead:
            callback()


class VirtualNetwork:
    """Instances on one virtual clock; every choice comes from one seed.

    The timers of all instances stand in one heap, so a step costs the same
    for nine instances and for nine hundred.
    """

    def __init__(
        self,
        *,
        seed: int,
        kinds: Iterable[type],
        local_seconds: tuple[float, float] = (0.0002, 0.001),
        remote_seconds: tuple[float, float] = (0.0015, 0.003),
        loss: float = 0.0,
    ) -> None:
        self.clock = clocks.VirtualClock()
        self.random = random.Random(seed)
        self.nodes: dict[str, VirtualNode] = {}
        self.loss = loss
        self.is_cut: Callable[[ids.InstanceId, ids.InstanceId], bool] = (
            lambda one, other: False
        )
        self._codec = envelope.Codec(kinds=kinds)
        self._delays = (remote_seconds, local_seconds)
        self._timers = timing.TimerService(clock=self.clock)

    def start(self, data_centre: str, address: str) -> VirtualNode:
        """Start an instance.

        :param data_centre: where
        :param address: its address, which a former one may have had
        :return: the instance
        """
        incarnation = f"{self.random.getrandbits(128):032x}"
        self_id = ids.InstanceId(data_centre, address, incarnation)
        node = VirtualNode(
            network=self, self_id=self_id, shared_timers=self._timers
        )
        self.nodes[address] = node
        return node

    def kill(self, node: VirtualNode) -> None:
        """End an instance without notice.

        :param node: the instance
        """
        node.dead = True
        if self.nodes.get(node.self_id.address) is node:
            del self.nodes[node.self_id.address]

    def post(self, sender: VirtualLink, to: ids.InstanceId, body: Any) -> None:
        """Carry a message, or lose it.

        :param sender: the link it comes from
        :param to: the receiver
        :param body: the message
        """
        kind = type(body).__name__
        size_bytes = len(self._codec.encode(sender=sender.self_id, body=body))
        sender.sent[kind] += 1
        sender.sent_bytes[kind] += size_bytes
        if self.random.random() < self.loss:
            return
        is_local = sender.self_id.data_centre == to.data_centre
        self._timers.once(
            delay_seconds=self.random.uniform(*self._delays[is_local]),
            callback=lambda: self._deliver(
                sender.self_id, to, body, size_bytes
            ),
        )

    def run_for(self, duration_seconds: float) -> None:
        """Let virtual time pass.

        :param duration_seconds: how much
        """
        end_seconds = self.clock.now_seconds() + duration_seconds
        while (due := self._timers.next_due_seconds()) is not None:
            if due > end_seconds:
                break
            self.clock.move_to(due)
            self._timers.run_due()
        self.clock.move_to(end_seconds)

    def _deliver(
        self,
        sender: ids.InstanceId,
        to: ids.InstanceId,
        body: Any,
        size_bytes: int,
    ) -> None:
        node = self.nodes.get(to.address)
        if node is None or self.is_cut(sender, to):
            return
        if to.incarnation not in ("", node.self_id.incarnation):
            return
        node.link.received_bytes[type(body).__name__] += size_bytes
        handler = node.link.handlers.get(type(body))
        if handler is not None:
            handler(sender, body)


__all__ = [
    "VirtualLink",
    "VirtualNetwork",
    "VirtualNode",
]
