"""An owner of one engine, and calls that travel between the two."""

from __future__ import annotations

from collections.abc import Callable
import itertools
import types
from typing import Any
from typing import NamedTuple

from boragefold.coordination.fleet import order_turns
from boragefold.entry import owned_engine
from boragefold.policy import engine_decisions
from boragefold.policy import engine_schedule
from boragefold.policy import engine_slots
from boragefold.state import deployment
from boragefold.telemetry import counters
from boragefold.timing import clock as clocks
from boragefold.timing import timers as timing
from boragefold.transport import http_client
from tests.fakes import engine_loads
from tests.fakes import gateways
from tests.fakes import leases
from tests.fakes import model_engine
from tests.fakes import plain_dialect

START_SECONDS = 100.0
LOOK_SECONDS = 0.05
FIRST_EVENT_SECONDS = 0.01
GIVER = 5


class Travel(NamedTuple):
    """How long a call and its answer take; ``lost`` resets it."""

    there_seconds: float = 0.002
    back_seconds: float = 0.002
    lost: bool = False


class EngineWire:
    """The only owner of an engine, which gives orders from the start.

    What ``report_travel`` and ``order_travel`` say holds for the calls that
    are sent from then on.
    """

    def __init__(self, *, seed: int = 0) -> None:
        self.clock = clocks.VirtualClock(start_seconds=START_SECONDS)
        self.timers = timing.TimerService(clock=self.clock)
        self.engine = model_engine.ModelEngine(
            clock=self.clock, seed=seed, models=(engine_loads.MODEL,)
        )
        self.report_travel = Travel()
        self.order_travel = Travel()
        self._paused_until_seconds = 0.0
        self._numbers = itertools.count()
        self._dialect = plain_dialect.Dialect()
        self.newest: dict[deployment.AdapterKey, int] = {}
        self.owned = self._owner()
        self.timers.every(
            period_seconds=LOOK_SECONDS,
            callback=lambda: self._in_process(self.advance),
        )
        self.run_for(1.0)

    def send(self, call: Any, sink: http_client.AnswerSink) -> None:
        """Carry a call of the owner.

        :param call: an order; None asks for a report
        :param sink: takes the answer
        """
        if call is not None and not call.may_send():
            sink.failed(_failure("right_ended", False))
            return
        travel = self.report_travel if call is None else self.order_travel
        self._later(
            travel.there_seconds, lambda: self._arrive(call, sink, travel)
        )

    def submit(self, adapter: str, *, run_seconds: float = 0.05) -> str:
        """Submit a request for an adapter.

        :param adapter: its name
        :param run_seconds: how long its answer takes
        :return: the request
        """
        now_seconds = self.clock.now_seconds()
        request = engine_loads.make_request(
            f"{next(self._numbers)}/{run_seconds}", adapter, at=now_seconds
        )
        self.owned.schedule.submit(request, now_seconds=now_seconds)
        self._in_process(self.advance)
        return request.request_id

    def give_up(self, request_id: str) -> None:
        """Let the caller of a request leave.

        :param request_id: which
        """
        self.owned.schedule.remove(
            request_id, now_seconds=self.clock.now_seconds()
        )

    def pause(self, seconds: float) -> None:
        """Stop the owner's process for a while.

        :param seconds: how long
        """
        self._paused_until_seconds = self.clock.now_seconds() + seconds

    def run_for(self, seconds: float) -> None:
        """Let time pass.

        :param seconds: how much
        """
        end_seconds = self.clock.now_seconds() + seconds
        while (due := self.timers.next_due_seconds()) is not None:
            if due > end_seconds:
                break
            self.clock.move_to(max(due, self.clock.now_seconds()))
            self.timers.run_due()
        self.clock.move_to(end_seconds)

    def advance(self) -> None:
        """Let the owner decide, and carry its grants out."""
        for action in self.owned.advance():
            if isinstance(action, engine_decisions.Grant):
                self._run(action.request)

    def _owner(self) -> owned_engine.OwnedEngine:
        slots = engine_slots.EngineSlots(
            engine=engine_loads.ENGINE, newest_versions=self.newest
        )
        return owned_engine.OwnedEngine(
            record=gateways.ENGINES[0],
            schedule=engine_schedule.EngineSchedule(
                engine=engine_loads.ENGINE, slots=slots
            ),
            turns=order_turns.OrderTurns(lease_seconds=3.0, issuer=GIVER),
            lease=leases.Held(),
            dialect=self._dialect,
            client=self,
            timers=self.timers,
            counters=counters.Counters(),
            log=types.SimpleNamespace(write=lambda event, **fields: None),
            on_changed=self.advance,
        )

    def _arrive(
        self,
        call: plain_dialect.OrderCall | None,
        sink: http_client.AnswerSink,
        travel: Travel,
    ) -> None:
        status, body = self._answer(call)
        if travel.lost or status is None:
            failure = _failure("reset", True)
            self._later(
                travel.back_seconds,
                lambda: self._in_process(lambda: sink.failed(failure)),
            )
            return
        self._later(
            travel.back_seconds,
            lambda: self._in_process(lambda: _deliver(sink, status, body)),
        )

    def _answer(
        self, call: plain_dialect.OrderCall | None
    ) -> tuple[int | None, bytes]:
        if call is not None:
            status = self.engine.order(
                call.order,
                giver="one",
                fence=call.fence,
                expected=call.expected,
            )
            return status, b""
        report = self.engine.report()
        if report is None:
            return None, b""
        return model_engine.OK, self._dialect.write_report(report)

    def _run(self, request: engine_decisions.EngineRequest) -> None:
        run_seconds = float(request.request_id.partition("/")[2])
        if not self.engine.run(request.adapter, seconds=run_seconds):
            self._end(request)
            self.owned.record_missing(request.adapter)
            return
        first_seconds = min(run_seconds, FIRST_EVENT_SECONDS)
        self._later(
            first_seconds,
            lambda: self._in_process(lambda: self._start(request)),
        )
        self._later(
            run_seconds, lambda: self._in_process(lambda: self._end(request))
        )

    def _start(self, request: engine_decisions.EngineRequest) -> None:
        self.owned.schedule.record_start(
            request.request_id, now_seconds=self.clock.now_seconds()
        )

    def _end(self, request: engine_decisions.EngineRequest) -> None:
        self.owned.schedule.remove(
            request.request_id, now_seconds=self.clock.now_seconds()
        )

    def _later(self, seconds: float, callback: Callable[[], None]) -> None:
        self.timers.once(delay_seconds=seconds, callback=callback)

    def _in_process(self, callback: Callable[[], None]) -> None:
        # What reaches a paused process waits until it goes on.
        paused_seconds = self._paused_until_seconds - self.clock.now_seconds()
        if paused_seconds > 0:
            self._later(paused_seconds, lambda: self._in_process(callback))
        else:
            callback()


def _failure(reason: str, may_have_arrived: bool) -> http_client.Failure:
    return http_client.Failure(
        reason=reason, may_have_arrived=may_have_arrived
    )


def _deliver(sink: http_client.AnswerSink, status: int, body: bytes) -> None:
    sink.head(status, {})
    sink.data(body)
    sink.end(http_client.Framing.LENGTH)


__all__ = [
    "EngineWire",
    "Travel",
]
