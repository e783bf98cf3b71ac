"""What surrounds the owners of engines in virtual time.

It holds the engines, the way of calls to them, and those who ask owners to
let requests run.
"""

from __future__ import annotations

import abc
from collections.abc import Callable
import itertools
import random
from typing import Any
from typing import NamedTuple

from boragefold.protocol import ids
from boragefold.protocol import peer_messages as messages
from boragefold.state import deployment
from boragefold.transport import http_client
from tests.fakes import engine_loads
from tests.fakes import model_engine
from tests.fakes import network as networks
from tests.fakes import plain_dialect

CONNECT_SECONDS = (0.0005, 0.004)
TRAVEL_SECONDS = (0.0005, 0.004)
# An order whose answer doesn't come may still arrive.
LATE_SECONDS = (0.05, 0.9)
TIMEOUT_SECONDS = 0.5
FIRST_EVENT_SECONDS = 0.05


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

    def __init__(self, *, call: Any, sink: http_client.AnswerSink) -> None:
        self.call = call
        self.sink = sink
        self.sent = False
        self.over = False


class Log:
    """Keeps what an instance logs, for whoever looks at one schedule."""

    def __init__(self, *, world: World, name: str) -> None:
        self._world = world
        self._name = name

    def write(self, event: str, **fields: object) -> None:
        self._world.log.append((self._world.now(), self._name, event, fields))


class World(abc.ABC):
    """Engines and callers; all chances come from one seed."""

    def __init__(self, *, seed: int, start_seconds: float) -> None:
        self.random = random.Random(seed)
        self.network = networks.Network(seed=seed)
        self.network.clock.move_to(start_seconds)
        self.log: list[tuple[float, str, str, dict[str, object]]] = []
        self._start_seconds = start_seconds
        self._outside = self.network.start("", "10.0.1.1:1")
        self._asker = self.network.start("", "10.0.1.2:1")
        self._asker.link.subscribe(messages.EngineGrant, self._run)
        self._asks = itertools.count()
        self._run_seconds: dict[str, tuple[str, float]] = {}
        self._bad_until_seconds: dict[int, float] = {}

    @abc.abstractmethod
    def engine_of(self, name: str) -> model_engine.ModelEngine:
        """Find an engine.

        :param name: its name
        :return: the engine
        """

    @abc.abstractmethod
    def engine_answer(self, call: Any, giver: str) -> tuple[int | None, bytes]:
        """Let an engine answer a call.

        :param call: as the dialect made it
        :param giver: the instance
        :return: status and body
        """

    def now(self) -> float:
        """Read the clock.

        :return: seconds since the start of the schedule
        """
        return self.network.clock.now_seconds() - self._start_seconds

    def later(self, delay_seconds: float, callback: Callable[[], None]):
        """Let something happen outside all processes.

        :param delay_seconds: when
        :param callback: what
        """
        self._outside.timers.once(
            delay_seconds=delay_seconds, callback=callback
        )

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

    def ask(
        self,
        owner: ids.InstanceId,
        engine: str,
        adapter: str,
        *,
        run_seconds: float,
    ) -> None:
        """Ask an owner to let a request run.

        :param owner: the instance
        :param engine: the engine's name
        :param adapter: what the request needs
        :param run_seconds: how long it takes
        """
        request_id = f"r{next(self._asks)}"
        self._run_seconds[request_id] = (adapter, run_seconds)
        ask = messages.EngineAsk(
            request_id=request_id,
            engine=engine,
            model=engine_loads.MODEL,
            adapter=adapter,
            prompt_tokens=200,
            output_tokens=50,
            priority=0,
            on_time_in_seconds=1.0,
            give_up_in_seconds=4.0,
            ends_in_seconds=6.0,
        )
        self._asker.link.send(to=owner, body=ask)

    def _run(self, owner: Any, grant: messages.EngineGrant) -> None:
        adapter, seconds = self._run_seconds[grant.request_id]
        key = deployment.AdapterKey(engine_loads.MODEL, adapter)
        runs = self.engine_of(grant.engine).run(key, seconds=seconds)
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


class Calls:
    """The calls of one process to engines."""

    def __init__(
        self, *, world: World, node: networks.Node, number: int, name: str
    ) -> None:
        self._world = world
        self._node = node
        self._number = number
        self._name = name
        handlers = node.link.handlers
        handlers[Connected] = lambda _, body: self._connected(body.exchange)
        handlers[Answered] = lambda _, body: self._answered(body)

    def send(self, call: Any, sink: http_client.AnswerSink) -> None:
        """Carry a call.

        :param call: as the dialect made it
        :param sink: takes the answer
        """
        exchange = Exchange(call=call, sink=sink)
        self._world.later(
            self._world.random.uniform(*CONNECT_SECONDS),
            lambda: self._receive(Connected(exchange)),
        )
        self._node.timers.once(
            delay_seconds=TIMEOUT_SECONDS,
            callback=lambda: self._fail(exchange, "timeout"),
        )

    def _receive(self, body: Any) -> None:
        if not self._node.dead:
            self._node.receive(self._node.self_id, body)

    def _connected(self, exchange: Exchange) -> None:
        if exchange.over:
            return
        if exchange.call is not None and not exchange.call.may_send():
            self._fail(exchange, "right_ended")
            return
        exchange.sent = True
        self._world.travel(
            self._number,
            lambda: self._arrived(exchange),
            late=exchange.call is not None,
        )

    def _arrived(self, exchange: Exchange) -> None:
        status, body = self._world.engine_answer(exchange.call, self._name)
        self._world.travel(
            self._number,
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
        exchange.sink.end(http_client.Framing.LENGTH)

    def _fail(self, exchange: Exchange, reason: str) -> None:
        if exchange.over:
            return
        exchange.over = True
        failure = http_client.Failure(
            reason=reason, may_have_arrived=exchange.sent
        )
        exchange.sink.failed(failure)


def answer(
    engine: model_engine.ModelEngine,
    dialect: plain_dialect.Dialect,
    call: plain_dialect.OrderCall | None,
    giver: str,
) -> tuple[int | None, bytes]:
    """Let an engine answer a call.

    :param engine: which
    :param dialect: writes its reports
    :param call: an order; None asks for a report
    :param giver: the instance
    :return: status and body
    """
    if call is None:
        report = engine.report()
        if report is None:
            return None, b""
        return model_engine.OK, dialect.write_report(report)
    status = engine.order(
        call.order, giver=giver, fence=call.fence, expected=call.expected
    )
    return status, b""


__all__ = [
    "Calls",
    "Log",
    "World",
    "answer",
]
