"""Owners of one engine under a random schedule, in virtual time."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import itertools
import random
from typing import Any
from typing import NamedTuple

from boragefold.coordination.fleet import fencing_numbers
from boragefold.entry import engine_owner
from boragefold.protocol import ids
from boragefold.protocol import peer_messages as messages
from boragefold.state import deployment
from boragefold.telemetry import counters
from boragefold.transport import http_client
from tests.fakes import engine_loads
from tests.fakes import gateways
from tests.fakes import leases
from tests.fakes import model_engine
from tests.fakes import network as networks
from tests.fakes import plain_dialect

CENTRE = "dc-a"
START_SECONDS = 100.0
END_SECONDS = 14.0
LOOK_SECONDS = 0.1
CONNECT_SECONDS = (0.0005, 0.004)
TRAVEL_SECONDS = (0.0005, 0.004)
# An order whose answer doesn't come may still arrive.
LATE_SECONDS = (0.05, 0.9)
TIMEOUT_SECONDS = 0.5
# The store tells of an engine's new life after so long.
RECORD_SECONDS = 0.7
FIRST_EVENT_SECONDS = 0.05
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


class Connected(NamedTuple):
    """The connection of a call is open."""

    exchange: Exchange


class Answered(NamedTuple):
    """The answer to a call; ``status`` None where it was reset."""

    exchange: Exchange
    status: int | None
    body: bytes


class Exchange:
    """One call and whoever waits for its answer."""

    def __init__(
        self,
        *,
        call: plain_dialect.OrderCall | None,
        sink: http_client.AnswerSink,
    ) -> None:
        self.call = call
        self.sink = sink
        self.sent = False
        self.over = False


class Log:
    """Keeps what an instance logs, for whoever looks at one schedule."""

    def __init__(self, *, walk: OrderWalk, name: str) -> None:
        self._walk = walk
        self._name = name

    def write(self, event: str, **fields: object) -> None:
        self._walk.log.append((self._walk.now(), self._name, event, fields))


class Deployment:
    """What owners ask of the published deployment."""

    versions: dict[deployment.AdapterKey, int] = {}

    def engine_of(self, record: deployment.EndpointRecord) -> Any:
        return engine_loads.ENGINE

    def engines(self) -> Iterator[Any]:
        return iter([gateways.ENGINES[0]])


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
        handlers = self.node.link.handlers
        handlers[Connected] = lambda _, body: self._connected(body.exchange)
        handlers[Answered] = lambda _, body: self._answered(body)
        self.owner = engine_owner.EngineOwner(
            link=self.node.link,
            fleet=Deployment(),
            dialect=walk.dialect,
            client=self,
            timers=self.node.timers,
            counters=counters.Counters(),
            log=Log(walk=walk, name=self.name),
            lease_seconds=model_engine.LEASE_SECONDS,
            giver=fencing_numbers.giver_number(
                data_centres=[CENTRE], data_centre=CENTRE, address=address
            ),
            leases=leases.voted(
                self.node,
                walk.voters,
                rng=walk.random,
                log=Log(walk=walk, name=self.name),
                started_before_seconds=started_before_seconds,
            ),
            loads_elsewhere=lambda: 0,
            owner_change=gateways.no_change,
        )
        self.owner._started_at_seconds -= started_before_seconds
        self.node.timers.every(
            period_seconds=LOOK_SECONDS,
            first_delay_seconds=walk.random.uniform(0, LOOK_SECONDS),
            callback=self._look,
        )

    def send(self, call: Any, sink: http_client.AnswerSink) -> None:
        exchange = Exchange(call=call, sink=sink)
        self.walk.later(
            self.walk.random.uniform(*CONNECT_SECONDS),
            lambda: self._receive(Connected(exchange)),
        )
        self.node.timers.once(
            delay_seconds=TIMEOUT_SECONDS,
            callback=lambda: self._fail(exchange, "timeout"),
        )

    def _look(self) -> None:
        self.owner.hold([self.walk.record] if self.claims else [])

    def _receive(self, body: Any) -> None:
        if not self.node.dead:
            self.node.receive(self.node.self_id, body)

    def _connected(self, exchange: Exchange) -> None:
        if exchange.over:
            return
        if exchange.call is not None and not exchange.call.may_send():
            self._fail(exchange, "right_ended")
            return
        exchange.sent = True
        self.walk.travel(
            self.number,
            lambda: self._arrived(exchange),
            late=exchange.call is not None,
        )

    def _arrived(self, exchange: Exchange) -> None:
        status, body = self.walk.engine_answer(exchange.call, self.name)
        self.walk.travel(
            self.number,
            lambda: self._receive(Answered(exchange, status, body)),
            late=False,
        )

    def _answered(self, answer: Answered) -> None:
        exchange = answer.exchange
        if exchange.over:
            return
        if answer.status is None:
            self._fail(exchange, "reset")
            return
        exchange.over = True
        exchange.sink.head(answer.status, {})
        exchange.sink.data(answer.body)
        exchange.sink.end()

    def _fail(self, exchange: Exchange, reason: str) -> None:
        if exchange.over:
            return
        exchange.over = True
        failure = http_client.Failure(
            reason=reason, may_have_arrived=exchange.sent
        )
        exchange.sink.failed(failure)


class OrderWalk:
    """Plays one schedule; all chances come from one seed."""

    def __init__(
        self, *, seed: int, steps: list[Step], instances: int = 3
    ) -> None:
        self.random = random.Random(seed)
        self.network = networks.Network(seed=seed)
        self.network.clock.move_to(START_SECONDS)
        self.dialect = plain_dialect.Dialect()
        self.log: list[tuple[float, str, str, dict[str, object]]] = []
        self.engine = model_engine.ModelEngine(
            clock=self.network.clock,
            seed=seed,
            models=(engine_loads.MODEL,),
        )
        self.record = gateways.ENGINES[0]
        self._world = self.network.start(CENTRE, "10.0.1.1:1")
        self._asker = self.network.start(CENTRE, "10.0.1.2:1")
        self._asker.link.subscribe(messages.EngineGrant, self._run)
        self._asks = itertools.count()
        self._run_seconds: dict[str, tuple[str, float]] = {}
        self._bad_until_seconds: dict[int, float] = {}
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

    def now(self) -> float:
        """Read the clock.

        :return: seconds since the start of the schedule
        """
        return self.network.clock.now_seconds() - START_SECONDS

    def voters(self) -> list[ids.InstanceId]:
        """List who votes for owners of the engine.

        :return: all instances, also those that are paused
        """
        return [instance.node.self_id for instance in self._instances]

    def later(self, delay_seconds: float, callback: Callable[[], None]):
        """Let something happen outside all processes.

        :param delay_seconds: when
        :param callback: what
        """
        self._world.timers.once(delay_seconds=delay_seconds, callback=callback)

    def travel(
        self, number: int, arrive: Callable[[], None], *, late: bool
    ) -> None:
        """Carry a call or an answer.

        :param number: whose
        :param arrive: called unless it is lost
        :param late: whether on a bad network it may come late
        """
        delay_seconds = self.random.uniform(*TRAVEL_SECONDS)
        if self._bad_until_seconds.get(number, 0.0) > self.now():
            draw = self.random.random()
            if draw < 0.3:
                return
            if draw < 0.6 and late:
                delay_seconds = self.random.uniform(*LATE_SECONDS)
        self.later(delay_seconds, arrive)

    def engine_answer(
        self, call: plain_dialect.OrderCall | None, giver: str
    ) -> tuple[int | None, bytes]:
        """Let the engine answer a call.

        :param call: an order; None asks for a report
        :param giver: the instance
        :return: status and body
        """
        if call is None:
            report = self.engine.report()
            if report is None:
                return None, b""
            return model_engine.OK, self.dialect.write_report(report)
        status = self.engine.order(
            call.order, giver=giver, fence=call.fence, expected=call.expected
        )
        return status, b""

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
            self._ask_one(self.random.choice(owners), step)

    def _ask_one(self, instance: Instance, step: Step) -> None:
        request_id = f"r{next(self._asks)}"
        self._run_seconds[request_id] = (step.adapter, step.seconds)
        ask = messages.EngineAsk(
            request_id=request_id,
            engine=self.record.name,
            model=engine_loads.MODEL,
            adapter=step.adapter,
            prompt_tokens=200,
            output_tokens=50,
            priority=0,
            on_time_in_seconds=1.0,
            give_up_in_seconds=4.0,
            ends_in_seconds=6.0,
        )
        self._asker.link.send(to=instance.node.self_id, body=ask)

    def _run(self, owner: Any, grant: messages.EngineGrant) -> None:
        adapter, seconds = self._run_seconds[grant.request_id]
        key = deployment.AdapterKey(engine_loads.MODEL, adapter)
        runs = self.engine.run(key, seconds=seconds)
        if runs:
            started = messages.RunStarted(grant.request_id, grant.engine)
            self._tell(owner, started, min(seconds, FIRST_EVENT_SECONDS))
        ended = messages.RunEnded(grant.request_id, grant.engine, not runs)
        self._tell(owner, ended, seconds if runs else 0.0)

    def _tell(self, owner: Any, body: Any, delay_seconds: float) -> None:
        self.later(
            delay_seconds,
            lambda: self._asker.link.send(to=owner, body=body),
        )


__all__ = [
    "ADAPTERS",
    "ADAPTER_WEIGHTS",
    "END_SECONDS",
    "OrderWalk",
    "Step",
]
