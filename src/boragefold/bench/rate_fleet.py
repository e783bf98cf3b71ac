"""A fleet of instances in virtual time, for measuring rates."""

from __future__ import annotations

from collections.abc import Callable
import random
from typing import Any

from boragefold.bench import virtual_process
import boragefold.coordination.rights as membership
from boragefold.protocol import envelope
from boragefold.protocol import ids
from boragefold.protocol import rate_messages
from boragefold.timing import clock as clocks
from boragefold.timing import timers as timing

# One way, inside and between the data centres of today's users.
NEAR_SECONDS = 0.0005
FAR_SECONDS = 0.0015


class Instance:
    """One process: a clock of its own makes pauses possible."""

    def __init__(self, *, fleet: VirtualFleet, self_id: ids.InstanceId):
        """Start a process.

        :param fleet: where it runs
        :param self_id: its identity
        """
        self.self_id = self_id
        self.paused = False
        self.dead = False
        self.late: list[timing.Callback] = []
        self.link = virtual_process.ProcessLink(
            self_id=self_id, post=fleet.post
        )
        self.rights = _Rights(fleet=fleet, self_id=self_id)
        self.timers = virtual_process.ProcessTimers(
            shared=fleet.timers, run=self.run
        )

    def run(self, callback: timing.Callback) -> None:
        """Run something now, or when the process wakes up.

        :param callback: what to run
        """
        if self.paused:
            self.late.append(callback)
        elif not self.dead:
            callback()

    def resume(self) -> None:
        """Continue after a pause, with all that waited."""
        self.paused = False
        late, self.late = self.late, []
        for callback in late:
            callback()


class _Rights(membership.Rights):
    """Views that change for all members of a data centre at once."""

    def __init__(
        self, *, fleet: VirtualFleet, self_id: ids.InstanceId
    ) -> None:
        self._fleet = fleet
        self._self_id = self_id
        self.view: membership.View | None = None
        self.left = False
        self.callbacks: list[Callable[[membership.View | None], None]] = []

    @property
    def self_id(self) -> ids.InstanceId:
        return self._self_id

    def valid_view(self) -> membership.View | None:
        return self.view

    def valid_for_seconds(self) -> float:
        return 1.0 if self.view else 0.0

    def directory(self) -> dict[str, membership.View]:
        return self._fleet.views

    def subscribe(
        self, callback: Callable[[membership.View | None], None]
    ) -> None:
        self.callbacks.append(callback)

    def tell(self) -> None:
        for callback in self.callbacks:
            callback(self.view)


class VirtualFleet:
    """Instances in data centres, on one virtual clock and one seed."""

    def __init__(self, *, seed: int, data_centres: tuple[str, ...]) -> None:
        """Start without instances.

        :param seed: of every random choice
        :param data_centres: their names
        """
        self.random = random.Random(seed)
        self.clock = clocks.VirtualClock()
        self.timers = timing.TimerService(clock=self.clock)
        self.data_centres = data_centres
        self.views: dict[str, membership.View] = {}
        self.instances: dict[ids.InstanceId, Instance] = {}
        self.cut_off: str | None = None
        self.messages = 0
        self.message_bytes = 0
        self._codec = envelope.Codec(kinds=rate_messages.KINDS)
        self._started = 0

    def start(self, data_centre: str) -> Instance:
        """Start an instance; it belongs to the next view.

        :param data_centre: where
        :return: the instance
        """
        self._started += 1
        host = f"10.{len(data_centre)}.{self._started >> 8}"
        self_id = ids.InstanceId(
            data_centre,
            f"{host}.{self._started & 255}:7400",
            f"{self.random.getrandbits(128):032x}",
        )
        instance = Instance(fleet=self, self_id=self_id)
        self.instances[self_id] = instance
        return instance

    def kill(self, instance: Instance) -> None:
        """End an instance without a farewell.

        :param instance: which
        """
        instance.dead = True
        del self.instances[instance.self_id]

    def change_view(self, data_centre: str) -> None:
        """Begin the next view, of all that run and are not paused.

        :param data_centre: whose
        """
        before = self.views.get(data_centre)
        able = [
            instance
            for instance in self.instances.values()
            if instance.self_id.data_centre == data_centre
        ]
        able = [each for each in able if not each.dead]
        members = tuple(
            each.self_id
            for each in able
            if not each.paused and not each.rights.left
        )
        number = before.number + 1 if before else 1
        view = membership.View(data_centre, 1, number, members)
        self.views = {**self.views, data_centre: view}
        for instance in able:
            instance.rights.view = (
                view if instance.self_id in members else None
            )
        for instance in able:
            instance.run(instance.rights.tell)

    def post(
        self, sender: ids.InstanceId, to: ids.InstanceId, body: Any
    ) -> None:
        """Send a message; a cut loses it.

        :param sender: who sends
        :param to: the receiver
        :param body: the message
        """
        data = self._codec.encode(sender=sender, body=body)
        self.messages += 1
        self.message_bytes += len(data)
        far = sender.data_centre != to.data_centre
        if far and self.cut_off in (sender.data_centre, to.data_centre):
            return
        mean_seconds = FAR_SECONDS if far else NEAR_SECONDS
        self.timers.once(
            delay_seconds=mean_seconds * self.random.uniform(0.8, 1.6),
            callback=lambda: self._deliver(sender, to, body),
        )

    def run_until(self, end_seconds: float) -> None:
        """Let time pass.

        :param end_seconds: the reading of the clock to stop at
        """
        while (due := self.timers.next_due_seconds()) is not None:
            if due > end_seconds:
                break
            self.clock.move_to(due)
            self.timers.run_due()
        self.clock.move_to(end_seconds)

    def _deliver(
        self, sender: ids.InstanceId, to: ids.InstanceId, body: Any
    ) -> None:
        instance = self.instances.get(to)
        if instance is not None:
            handler = instance.link.handlers[type(body)]
            instance.run(lambda: handler(sender, body))


__all__ = [
    "FAR_SECONDS",
    "Instance",
    "NEAR_SECONDS",
    "VirtualFleet",
]
