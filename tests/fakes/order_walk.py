"""Owners of one engine under a random schedule, in virtual time."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any
from typing import NamedTuple

from boragefold.coordination.fleet import fencing_numbers
from boragefold.entry import engine_owner
from boragefold.protocol import ids
from boragefold.state import deployment
from boragefold.telemetry import counters
from tests.fakes import engine_loads
from tests.fakes import engine_world
from tests.fakes import gateways
from tests.fakes import leases
from tests.fakes import model_engine
from tests.fakes import network as networks
from tests.fakes import plain_dialect

CENTRE = "dc-a"
START_SECONDS = 100.0
END_SECONDS = 14.0
LOOK_SECONDS = 0.1
# The store tells of an engine's new life after so long.
RECORD_SECONDS = 0.7
ADAPTERS = 9
ADAPTER_WEIGHTS = [1 / (rank + 1) for rank in range(ADAPTERS)]


class Step(NamedTuple):
    """One event of a schedule.

    ``instance`` is an index; ``seconds`` how long a pause, cut, restart, bad
    network or run lasts; ``adapter`` which one a request asks for.
    """

    at_seconds: float
    kind: str
    instance: int = 0
    seconds: float = 0.0
    adapter: str = ""


class Deployment:
    """What owners ask of the published deployment."""

    versions: dict[deployment.AdapterKey, int] = {}

    def engine_of(self, record: deployment.EndpointRecord) -> Any:
        return engine_loads.ENGINE

    def engines(self) -> Iterator[Any]:
        return iter([gateways.ENGINES[0]])

    def is_evacuated(self, record: Any, adapter: Any = None) -> bool:
        return False


class Instance:
    """One incarnation of an instance that may own the engine."""

    def __init__(
        self,
        *,
        walk: OrderWalk,
        number: int,
        started_before_seconds: float = 0.0,
    ) -> None:
        self.walk = walk
        self.number = number
        self.name = f"instance-{number}"
        address = f"10.0.0.{number + 1}:7000"
        self.node = walk.network.start(CENTRE, address)
        self.claims = False
        log = engine_world.Log(world=walk, name=self.name)
        self.owner = engine_owner.EngineOwner(
            link=self.node.link,
            fleet=Deployment(),
            dialect=walk.dialect,
            client=engine_world.Calls(
                world=walk, node=self.node, number=number, name=self.name
            ),
            timers=self.node.timers,
            counters=counters.Counters(),
            log=log,
            lease_seconds=model_engine.LEASE_SECONDS,
            issuer=fencing_numbers.issuer_number(address=address),
            leases=leases.voted(
                self.node,
                walk.voters,
                rng=walk.random,
                log=log,
                started_before_seconds=started_before_seconds,
            ),
            count_other_loads=lambda: 0,
            owner_change=gateways.no_change,
        )
        self.owner._started_at_seconds -= started_before_seconds
        self.node.timers.every(
            period_seconds=LOOK_SECONDS,
            first_delay_seconds=walk.random.uniform(0, LOOK_SECONDS),
            callback=self._look,
        )

    def _look(self) -> None:
        self.owner.set_owned([self.walk.record] if self.claims else [])


class OrderWalk(engine_world.World):
    """Plays one schedule; all chances come from one seed."""

    def __init__(
        self,
        *,
        seed: int,
        steps: list[Step],
        instances: int = 3,
        tells_start: bool = False,
    ) -> None:
        super().__init__(seed=seed, start_seconds=START_SECONDS)
        self.dialect = plain_dialect.Dialect()
        self.engine = model_engine.ModelEngine(
            clock=self.network.clock,
            seed=seed,
            models=(engine_loads.MODEL,),
            tells_start=tells_start,
        )
        self.record = gateways.ENGINES[0]
        self._cut_until_seconds: dict[str, float] = {}
        self.network.is_cut = self._is_cut
        self._instances = [
            Instance(walk=self, number=number, started_before_seconds=60.0)
            for number in range(instances)
        ]
        for step in steps:
            self.later(step.at_seconds, lambda step=step: self._take(step))

    def run(self) -> list[model_engine.Breach]:
        """Play the schedule.

        :return: what it broke
        """
        self.network.run_for(END_SECONDS)
        return self.engine.breaches()

    def voters(self) -> list[ids.InstanceId]:
        """List who votes for owners of the engine.

        :return: all instances, also those that are paused
        """
        return [instance.node.self_id for instance in self._instances]

    def engine_of(self, name: str) -> model_engine.ModelEngine:
        return self.engine

    def engine_answer(
        self, call: plain_dialect.OrderCall | None, giver: str
    ) -> tuple[int | None, bytes]:
        return engine_world.answer(self.engine, self.dialect, call, giver)

    def _take(self, step: Step) -> None:
        getattr(self, f"_{step.kind}")(step)

    def _claim(self, step: Step) -> None:
        self._instances[step.instance].claims = True

    def _release(self, step: Step) -> None:
        self._instances[step.instance].claims = False

    def _pause(self, step: Step) -> None:
        node = self._instances[step.instance].node
        if node.paused or node.dead:
            return
        self.network.pause(node)
        self.later(step.seconds, lambda: self._resume(node))

    def _resume(self, node: networks.Node) -> None:
        if not node.dead:
            timers_first = self.random.random() < 0.5
            self.network.resume(node, timers_first=timers_first)

    def _kill(self, step: Step) -> None:
        before = self._instances[step.instance]
        self.network.kill(before.node)
        self._instances[step.instance] = Instance(
            walk=self, number=step.instance
        )
        self._instances[step.instance].claims = before.claims

    def _cut(self, step: Step) -> None:
        address = self._instances[step.instance].node.self_id.address
        self._cut_until_seconds[address] = self.now() + step.seconds

    def _is_cut(self, one: ids.InstanceId, other: ids.InstanceId) -> bool:
        instances = {each.node.self_id.address for each in self._instances}
        ends_seconds = (
            self._cut_until_seconds.get(peer.address, 0.0)
            for peer in (one, other)
        )
        is_between = {one.address, other.address} <= instances
        return is_between and max(ends_seconds) > self.now()

    def _bad(self, step: Step) -> None:
        self._bad_until_seconds[step.instance] = self.now() + step.seconds

    def _restart(self, step: Step) -> None:
        self.engine.down = True
        self.later(step.seconds, self._start)

    def _start(self) -> None:
        self.engine.restart()
        born = int(self.network.clock.now_seconds() * 1000)
        self.later(RECORD_SECONDS, lambda: self._renew(born))

    def _renew(self, born_milliseconds: int) -> None:
        self.record = self.record._replace(born_milliseconds=born_milliseconds)

    def _ask(self, step: Step) -> None:
        owners = [one for one in self._instances if one.claims]
        if owners:
            owner = self.random.choice(owners).node.self_id
            self.ask(
                owner, self.record.name, step.adapter, run_seconds=step.seconds
            )


__all__ = [
    "ADAPTERS",
    "ADAPTER_WEIGHTS",
    "END_SECONDS",
    "OrderWalk",
    "Step",
]
