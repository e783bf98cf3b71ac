"""A whole fleet and its engines under a schedule, in virtual time.

Instances of several data centres find each other, share out the engines and
give them orders; callers ask every instance that takes itself for the owner.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import functools
import itertools
from typing import Any
from typing import NamedTuple

from boragefold.coordination.fleet import fencing_numbers
from boragefold.coordination.fleet import order_leases
from boragefold.coordination.fleet import voter_sets
from boragefold.entry import engine_owner
from boragefold.protocol import ids
from boragefold.state import deployment
from boragefold.telemetry import counters
from tests.fakes import engine_loads
from tests.fakes import engine_world
from tests.fakes import gateways
from tests.fakes import leases
from tests.fakes import model_engine
from tests.fakes import plain_dialect

START_SECONDS = 100.0
# All know each other by then, and each may own an engine.
WARM_UP_SECONDS = 6.0
ASK_GAP_SECONDS = 0.15
# Callers of several owners ask for one adapter within this time.
ASK_SPREAD_SECONDS = 0.3
RUN_SECONDS = (0.1, 0.6)
# Requests move on to adapters that no engine holds yet.
ADAPTER_SECONDS = 0.4
ADAPTERS_AT_A_TIME = 4
LOSS = 0.3
ADAPTER_WEIGHTS = [1 / (rank + 1) for rank in range(ADAPTERS_AT_A_TIME)]


class Fault(NamedTuple):
    """One event of a schedule.

    ``addresses`` are those it strikes, ``others`` the other side of a cut;
    ``seconds`` is how long it lasts, infinite for what never comes back.
    """

    at_seconds: float
    kind: str
    addresses: tuple[str, ...] = ()
    seconds: float = 0.0
    others: tuple[str, ...] = ()


class Cut(NamedTuple):
    """What is lost on the way from some instances to others."""

    senders: frozenset[str]
    receivers: frozenset[str]
    until_seconds: float


class Call(NamedTuple):
    """A call to one of several engines; without an order it asks a report."""

    engine: str
    order: plain_dialect.OrderCall | None = None
    may_send: Callable[[], bool] = lambda: True


class Dialect(plain_dialect.Dialect):
    """Hands reports and orders over with the name of their engine."""

    def report_call(self, record: deployment.EndpointRecord) -> Any:
        return Call(record.name)

    def order_call(
        self, record: deployment.EndpointRecord, *order: Any, **numbers: int
    ) -> Any:
        call = super().order_call(record, *order, **numbers)
        return Call(record.name, call)


class Deployment:
    """What owners ask of the published deployment."""

    versions: dict[deployment.AdapterKey, int] = {}

    def __init__(self, *, records: list[deployment.EndpointRecord]) -> None:
        self._records = records

    def engine_of(self, record: deployment.EndpointRecord) -> Any:
        return engine_loads.ENGINE

    def engines(self) -> Iterator[Any]:
        return iter(self._records)

    def is_evacuated(self, record: Any, adapter: Any = None) -> bool:
        return False


class AllHeld:
    """The leases of an owner that asks nobody."""

    def lease(
        self, engine: str, data_centre: str, *, changed: Callable[[], None]
    ) -> leases.Held:
        return leases.Held()


class Instance(gateways.Instance):
    """One incarnation of an instance that gives the engines it owns orders."""

    def __init__(self, walk: FleetWalk, centre: str, address: str) -> None:
        # The first heartbeat is composed while the parts are made.
        self.owner: engine_owner.EngineOwner | None = None
        super().__init__(walk, centre, address, walk.seeds)
        log = engine_world.Log(world=walk, name=address)
        self.owner = engine_owner.EngineOwner(
            link=self.node.link,
            fleet=Deployment(records=walk.engines),
            dialect=walk.dialect,
            client=engine_world.Calls(
                world=walk, node=self.node, number=0, name=address
            ),
            timers=self.node.timers,
            counters=counters.Counters(),
            log=log,
            lease_seconds=model_engine.LEASE_SECONDS,
            issuer=fencing_numbers.issuer_number(address=address),
            leases=self._leases(log) if walk.has_leases else AllHeld(),
            count_other_loads=lambda: 0,
            owner_change=self.ownership.change,
        )
        self.members.subscribe(
            on_beat=self.relay.on_beat, on_replaced=self.owner.remove_peer
        )

    def _leases(self, log: engine_world.Log) -> order_leases.OrderLeases:
        voters = voter_sets.Voters(
            self_id=self.node.self_id, members=self.members
        )
        return order_leases.OrderLeases(
            link=self.node.link,
            timers=self.node.timers,
            voters=voters.for_data_centre,
            majority_lost_seconds=voters.majority_lost_seconds,
            rng=self.fleet.random,
            log=log,
            started_at_seconds=self.node.timers.now_seconds(),
        )

    def _refresh(self) -> None:
        self.ownership.refresh(self.fleet.engines)
        claimed = self.ownership.owned
        self.owner.set_owned(
            record for record in self.fleet.engines if record.name in claimed
        )
        self.heartbeats.refresh()

    def _statuses(self) -> Any:
        return () if self.owner is None else self.owner.statuses()


class FleetWalk(engine_world.World):
    """Plays one schedule; all chances come from one seed."""

    def __init__(
        self,
        *,
        seed: int,
        centres: dict[str, int],
        faults: Iterable[Fault] = (),
        has_leases: bool = True,
    ) -> None:
        """Start the fleet.

        :param seed: of all chances
        :param centres: how many instances each data centre has; the first
            ones have an engine each
        :param faults: the schedule, counted from the end of the warm-up
        :param has_leases: whether owners ask for leases
        """
        super().__init__(seed=seed, start_seconds=START_SECONDS)
        self.dialect = Dialect()
        self.centres = sorted(centres)
        self.has_leases = has_leases
        self.engines = [
            gateways.engine(f"e-{centre}", centre) for centre in centres
        ]
        self.models = {
            record.name: model_engine.ModelEngine(
                clock=self.network.clock,
                seed=seed + number,
                models=(engine_loads.MODEL,),
            )
            for number, record in enumerate(self.engines)
        }
        self._centre_of = dict(_places(centres))
        self.seeds = [addresses_of(centre, centres)[0] for centre in centres]
        self.instances: dict[str, Instance] = {}
        self._cuts: list[Cut] = []
        self.network.is_cut = self._is_cut
        for address in self._centre_of:
            self.start(address)
        for fault in faults:
            self.later(
                WARM_UP_SECONDS + fault.at_seconds,
                lambda fault=fault: getattr(self, f"_{fault.kind}")(fault),
            )
        self.later(0.0, self._ask_owners)

    def run(self, seconds: float) -> list[model_engine.Breach]:
        """Play on.

        :param seconds: for how long, after the warm-up at first
        :return: what was broken up to then
        """
        if self.now() == 0.0:
            self.network.run_for(WARM_UP_SECONDS)
        self.network.run_for(seconds)
        return [
            breach
            for engine in self.models.values()
            for breach in engine.breaches()
        ]

    def start(self, address: str, centre: str = "") -> None:
        """Start an instance.

        :param address: where it listens
        :param centre: its data centre, if it is new
        """
        if centre:
            self._centre_of[address] = centre
        self.instances[address] = Instance(
            self, self._centre_of[address], address
        )

    def longest_gap_seconds(self, engine: str) -> float:
        """Tell how long an engine counted no order since the warm-up.

        :param engine: its name
        :return: the longest time, that before the end included
        """
        began_seconds = START_SECONDS + WARM_UP_SECONDS
        ordered = [
            given.at_seconds
            for given in self.models[engine].orders
            if given.counted and given.at_seconds > began_seconds
        ]
        ends_seconds = self.network.clock.now_seconds()
        times = [began_seconds, *ordered, ends_seconds]
        return max(after - at for at, after in itertools.pairwise(times))

    def engine_of(self, name: str) -> model_engine.ModelEngine:
        return self.models[name]

    def engine_answer(
        self, call: Call, giver: str
    ) -> tuple[int | None, bytes]:
        engine = self.models[call.engine]
        return engine_world.answer(engine, self.dialect, call.order, giver)

    def _ask_owners(self) -> None:
        first = int(self.now() / ADAPTER_SECONDS)
        for record in self.engines:
            rank = self.random.choices(
                range(ADAPTERS_AT_A_TIME), ADAPTER_WEIGHTS
            )[0]
            run_seconds = self.random.uniform(*RUN_SECONDS)
            owners = [
                instance.node.self_id
                for instance in self.instances.values()
                if record.name in instance.ownership.owned
            ]
            for owner in owners:
                self.later(
                    self.random.uniform(0.0, ASK_SPREAD_SECONDS),
                    functools.partial(
                        self.ask,
                        owner,
                        record.name,
                        f"a{first + rank}",
                        run_seconds=run_seconds,
                    ),
                )
        gap_seconds = self.random.expovariate(1 / ASK_GAP_SECONDS)
        self.later(gap_seconds, self._ask_owners)

    def _is_cut(self, sender: ids.InstanceId, to: ids.InstanceId) -> bool:
        now_seconds = self.now()
        return any(
            cut.until_seconds > now_seconds
            and sender.address in cut.senders
            and to.address in cut.receivers
            for cut in self._cuts
        )

    def _cut(self, fault: Fault) -> None:
        self._lose(fault.addresses, fault.others, fault.seconds)
        self._lose(fault.others, fault.addresses, fault.seconds)

    def _one_way(self, fault: Fault) -> None:
        self._lose(fault.addresses, fault.others, fault.seconds)

    def _lose(
        self,
        senders: Iterable[str],
        receivers: Iterable[str],
        seconds: float,
    ) -> None:
        now_seconds = self.now()
        self._cuts = [
            cut for cut in self._cuts if cut.until_seconds > now_seconds
        ]
        cut = Cut(
            frozenset(senders), frozenset(receivers), now_seconds + seconds
        )
        self._cuts.append(cut)

    def _pause(self, fault: Fault) -> None:
        for instance in self._running(fault):
            if not instance.node.paused:
                self.network.pause(instance.node)
                self.later(
                    fault.seconds,
                    lambda node=instance.node: self._resume(node),
                )

    def _resume(self, node: Any) -> None:
        if not node.dead:
            timers_first = self.random.random() < 0.5
            self.network.resume(node, timers_first=timers_first)

    def _kill(self, fault: Fault) -> None:
        for instance in self._running(fault):
            address = instance.node.self_id.address
            self.network.kill(self.instances.pop(address).node)
            if fault.seconds < float("inf"):
                self.later(
                    fault.seconds,
                    lambda address=address: self._start_again(address),
                )

    def _start_again(self, address: str) -> None:
        if address not in self.instances:
            self.start(address)

    def _leave(self, fault: Fault) -> None:
        for instance in self._running(fault):
            instance.leaving = True
        self.later(fault.seconds, lambda: self._kill_left(fault))

    def _kill_left(self, fault: Fault) -> None:
        for instance in self._running(fault):
            if instance.leaving:
                address = instance.node.self_id.address
                self.network.kill(self.instances.pop(address).node)

    def _join(self, fault: Fault) -> None:
        for address in fault.addresses:
            self.start(address, centre=fault.others[0])

    def _loss(self, fault: Fault) -> None:
        self.network.loss = LOSS
        self.later(fault.seconds, self._lose_none)

    def _lose_none(self) -> None:
        self.network.loss = 0.0

    def _running(self, fault: Fault) -> list[Instance]:
        return [
            self.instances[address]
            for address in fault.addresses
            if address in self.instances
        ]


def addresses_of(centre: str, centres: dict[str, int]) -> list[str]:
    """List where the instances of a data centre listen.

    :param centre: which
    :param centres: how many instances each data centre has
    :return: the addresses
    """
    place = list(centres).index(centre)
    return [
        f"10.{place}.0.{number + 1}:7000" for number in range(centres[centre])
    ]


def _places(centres: dict[str, int]) -> Iterator[tuple[str, str]]:
    for centre in centres:
        for address in addresses_of(centre, centres):
            yield address, centre


__all__ = [
    "Fault",
    "FleetWalk",
    "addresses_of",
]
