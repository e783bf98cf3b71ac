"""A random walk of faults over the instances of one data centre."""

from __future__ import annotations

import random

from boragefold.protocol import ids
from tests.fakes import fleet as fleets
from tests.fakes import network as networks

# A paused process fails the platform's health check after so long.
DROPPED_AFTER_SECONDS = 5.0
STEP_SECONDS = (0.02, 0.9)
HEALED_SECONDS = 40.0
CALM_SECONDS = 8.0
GOOD_DELAY_SECONDS = (0.0005, 0.002)

# How often each fault is drawn, in the order of Walk.step: everything at
# once; a fixed set of instances on a bad network; pauses and isolation of
# few; a set that changes a lot.
PROFILES = (
    (2, 2, 4, 3, 6, 3, 5, 1, 1, 2, 1, 1, 6, 4, 36),
    (0, 0, 4, 3, 6, 6, 3, 0, 0, 0, 3, 9, 6, 4, 26),
    (0, 0, 4, 5, 6, 2, 5, 0, 1, 4, 1, 1, 5, 4, 26),
    (1, 4, 6, 2, 6, 2, 6, 4, 0, 0, 1, 2, 5, 4, 26),
)


class Walk:
    """Draws one fault after the other; the fleet checks at each step."""

    def __init__(
        self, *, seed: int, count: int, lag_spread_seconds: float = 1.0
    ) -> None:
        self.random = random.Random(seed)
        self.network = networks.Network(seed=seed)
        self.weights = PROFILES[seed % len(PROFILES)]
        self.cut_links: set[frozenset[str]] = set()
        self.fleet = fleets.Fleet(network=self.network)
        self.lag_spread_seconds = lag_spread_seconds
        self.count = count
        self.spare = count
        self.sides: dict[str, int] = {}
        self.isolated = ""
        self.deaf = ""
        self.unreachable_since: dict[str, float] = {}
        self.network.is_cut = self._is_cut
        self.covered_steps = 0
        for index in range(count):
            self._start(f"a-{index}")

    def step(self) -> None:
        faults = [
            self._kill,
            self._restart,
            self._start_one,
            self._pause,
            self._resume,
            self._cut,
            self._heal,
            self._leave,
            self._platform,
            self._isolate,
            self._cut_one_way,
            self._cut_link,
            self._calm,
            self._degrade,
            lambda: None,
        ]
        self.random.choices(faults, self.weights)[0]()
        self._drop_paused()
        self.network.run_for(self.random.uniform(*STEP_SECONDS))
        self.covered_steps += bool(self.fleet.valid("a"))

    def heal(self) -> float:
        """Undo all faults.

        :return: how long it took until all had one view
        """
        self._undo()
        start_seconds = self.network.clock.now_seconds()
        while True:
            self._kill_the_left()
            if not self.fleet.instances or self.fleet.agreed("a"):
                return self.network.clock.now_seconds() - start_seconds
            healing_seconds = self.network.clock.now_seconds() - start_seconds
            assert healing_seconds < HEALED_SECONDS, self.fleet.valid("a")
            self.network.run_for(0.05)

    def _kill_the_left(self) -> None:
        for instance in list(self.fleet.instances.values()):
            if instance.views.has_left:
                self.fleet.kill(instance)

    def _is_cut(self, one: ids.InstanceId, other: ids.InstanceId) -> bool:
        if self.isolated in (one.address, other.address):
            return True
        if self.deaf == other.address:
            return True
        if frozenset((one.address, other.address)) in self.cut_links:
            return True
        return self.sides.get(one.address, 0) != self.sides.get(
            other.address, 0
        )

    def _pick(self, *, paused: bool = False) -> fleets.Instance | None:
        found = [
            instance
            for _, instance in sorted(self.fleet.instances.items())
            if instance.node.paused == paused
        ]
        return self.random.choice(found) if found else None

    def _start(self, address: str) -> None:
        lag_seconds = 0.5 + self.random.uniform(0, self.lag_spread_seconds)
        self.fleet.start("a", address, lag_seconds)

    def _start_one(self) -> None:
        if len(self.fleet.instances) < self.count:
            self.spare += 1
            self._start(f"a-{self.spare}")

    def _kill(self) -> None:
        instance = self._pick()
        if instance is not None:
            self.unreachable_since.pop(instance.self_id.address, None)
            self.fleet.kill(instance)

    def _restart(self) -> None:
        instance = self._pick()
        if instance is not None:
            self.unreachable_since.pop(instance.self_id.address, None)
            self.fleet.kill(instance, listed=True)
            self._start(instance.self_id.address)

    def _pause(self) -> None:
        instance = self._pick()
        if instance is not None:
            self.network.pause(instance.node)
            self.unreachable_since[instance.self_id.address] = (
                self.network.clock.now_seconds()
            )

    def _resume(self) -> None:
        instance = self._pick(paused=True)
        if instance is not None:
            self._wake(instance)

    def _wake(self, instance: fleets.Instance) -> None:
        if instance.self_id.address != self.isolated:
            self.unreachable_since.pop(instance.self_id.address, None)
            self.fleet.set_listed(instance.self_id.address, "a", True)
        self.network.resume(
            instance.node, timers_first=self.random.random() < 0.5
        )
        self.fleet.check()

    def _drop_paused(self) -> None:
        now_seconds = self.network.clock.now_seconds()
        for address, since_seconds in list(self.unreachable_since.items()):
            if now_seconds - since_seconds > DROPPED_AFTER_SECONDS:
                del self.unreachable_since[address]
                if address in self.fleet.instances:
                    self.fleet.set_listed(address, "a", False)

    def _cut(self) -> None:
        self.sides = {
            address: self.random.randrange(2)
            for address in sorted(self.fleet.instances)
        }

    def _heal(self) -> None:
        self.sides = {}
        self.cut_links = set()
        self.deaf = ""
        instance = self.fleet.instances.get(self.isolated)
        if instance is not None:
            instance.platform_up = True
            if not instance.node.paused:
                self.unreachable_since.pop(self.isolated, None)
                self.fleet.set_listed(self.isolated, "a", True)
        self.isolated = ""

    def _isolate(self) -> None:
        # A switch fails: one instance lives on, without its peers and the
        # platform, which drops it from the list. An instance that has seen
        # nobody else on the list may go on alone; see docs/design/views.md.
        instance = self._pick()
        if self.isolated or instance is None:
            return
        if instance.views._instance_list.peers(
            self.network.clock.now_seconds()
        ):
            self.isolated = instance.self_id.address
            instance.platform_up = False
            self.unreachable_since[self.isolated] = (
                self.network.clock.now_seconds()
            )

    def _calm(self) -> None:
        # Back to a view with everyone, so that the next faults meet one.
        self._undo()
        while len(self.fleet.instances) < self.count:
            self._start_one()
        self.network.run_for(CALM_SECONDS)

    def _degrade(self) -> None:
        self.network.loss = self.random.choice([0.0, 0.02, 0.2])
        self.network.doubling = self.random.choice([0.0, 0.1])
        self.network.delay_seconds = self.random.choice(
            [GOOD_DELAY_SECONDS, (0.001, 0.1), (0.001, 0.4), (0.001, 2.0)]
        )

    def _undo(self) -> None:
        self._heal()
        self.network.loss = 0.0
        self.network.doubling = 0.0
        self.network.delay_seconds = GOOD_DELAY_SECONDS
        self.fleet.platform_up = True
        for instance in list(self.fleet.instances.values()):
            if instance.node.paused:
                self._wake(instance)
            elif instance.views.has_left:
                self.fleet.kill(instance)

    def _cut_link(self) -> None:
        addresses = sorted(self.fleet.instances)
        if len(addresses) > 1:
            pair = self.random.sample(addresses, 2)
            self.cut_links.add(frozenset(pair))

    def _cut_one_way(self) -> None:
        instance = self._pick()
        if instance is not None:
            self.deaf = instance.self_id.address

    def _leave(self) -> None:
        instance = self._pick()
        if instance is not None:
            instance.views.leave()

    def _platform(self) -> None:
        self.fleet.platform_up = not self.fleet.platform_up


__all__ = [
    "Walk",
]
