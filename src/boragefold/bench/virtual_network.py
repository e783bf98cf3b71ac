"""A peer network in virtual time for hundreds of instances."""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Iterable
import random
from typing import Any

from boragefold.coordination import link as links
from boragefold.protocol import envelope
from boragefold.protocol import ids
from boragefold.timing import clock as clocks
from boragefold.timing import timers as timing


class VirtualLink(links.PeerLink):
    """The link of one instance; counts what it sends and receives."""

    def __init__(
        self, *, network: VirtualNetwork, self_id: ids.InstanceId
    ) -> None:
        self._network = network
        self._self_id = self_id
        self.handlers: dict[type, Callable[[ids.InstanceId, Any], None]] = {}
        self.sent_bytes: collections.Counter[str] = collections.Counter()
        self.received_bytes: collections.Counter[str] = collections.Counter()
        self.sent: collections.Counter[str] = collections.Counter()

    @property
    def self_id(self) -> ids.InstanceId:
        """Tell who we are.

        :return: the identity
        """
        return self._self_id

    def send(self, *, to: ids.InstanceId, body: Any) -> None:
        """Send a message.

        :param to: the receiver
        :param body: the message
        """
        self._network.post(self, to, body)

    def subscribe(self, kind: Any, handler: Any) -> None:
        """Receive one kind of message.

        :param kind: the message type
        :param handler: called with the sender and the message
        """
        self.handlers[kind] = handler


class VirtualNode:
    """One instance: its link and the network's timers."""

    def __init__(
        self, *, network: VirtualNetwork, self_id: ids.InstanceId
    ) -> None:
        self.self_id = self_id
        self.link = VirtualLink(network=network, self_id=self_id)
        self.timers = timing.TimerService(clock=network.clock)
        self.dead = False


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
        node = VirtualNode(network=self, self_id=self_id)
        node.timers = _Timers(node=node, service=self._timers)
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


class _Timers(timing.TimerService):
    """The shared service, as seen by an instance that may die."""

    def __init__(
        self, *, node: VirtualNode, service: timing.TimerService
    ) -> None:
        self._node = node
        self._service = service

    def now_seconds(self) -> float:
        return self._service.now_seconds()

    def once(
        self, *, delay_seconds: float, callback: timing.Callback
    ) -> timing.Subscription:
        return self._service.once(
            delay_seconds=delay_seconds, callback=self._alive(callback)
        )

    def every(
        self,
        *,
        period_seconds: float,
        callback: timing.Callback,
        first_delay_seconds: float | None = None,
    ) -> timing.Subscription:
        return self._service.every(
            period_seconds=period_seconds,
            callback=self._alive(callback),
            first_delay_seconds=first_delay_seconds,
        )

    def _alive(self, callback: timing.Callback) -> timing.Callback:
        return lambda: None if self._node.dead else callback()


__all__ = [
    "VirtualLink",
    "VirtualNetwork",
    "VirtualNode",
]
