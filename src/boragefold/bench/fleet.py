"""The modelled fleet: engines, store and network delays in virtual time."""

from __future__ import annotations

from collections.abc import Callable
import random

from boragefold.bench import deployments
from boragefold.bench import engine as engines
from boragefold.bench import ledger as ledgers
from boragefold.bench import loading
from boragefold.bench import reporting
from boragefold.bench import store as stores
from boragefold.bench import system as systems
from boragefold.bench import traffic
from boragefold.timing import clock as clocks
from boragefold.timing import timers

# An instance and an engine of one data centre, as a part of the way between
# two data centres.
INSIDE_PART = 0.2


class Fleet:
    """Engines and store, with the delays of the network between."""

    def __init__(
        self,
        *,
        deployment: deployments.Deployment,
        seed: int,
        loads_at_engine: bool,
    ) -> None:
        self.deployment = deployment
        self.clock = clocks.VirtualClock()
        self.service = timers.TimerService(clock=self.clock)
        self.ledger = ledgers.Ledger()
        self.centres = deployment.instance_centres()
        self.system: systems.System
        self.store = stores.Store(
            service=self.service,
            loads_per_second=deployment.loads_per_second,
            rng=random.Random(f"store {seed}"),
        )
        self.loading = loading.Loading(
            service=self.service, store=self.store, ledger=self.ledger
        )
        self._rng = random.Random(f"fleet {seed}")
        self.engines = {
            size.name: engines.Engine(
                size=size,
                service=self.service,
                events=engines.Events(
                    self._first_token, self._finished, self._missing
                ),
                loads_itself=self.loading.load_lru
                if loads_at_engine
                else None,
            )
            for size in deployment.engines()
        }

    def now_seconds(self) -> float:
        """Read the virtual clock.

        :return: seconds since the start
        """
        return self.clock.now_seconds()

    def delay_seconds(self, instance: int, endpoint: str) -> float:
        """Tell how long a message between an instance and an engine takes.

        :param instance: its number
        :param endpoint: the engine's name
        :return: seconds, one way
        """
        centre = self.engines[endpoint].size.data_centre
        same = self.centres[instance] == centre
        return self.deployment.between_seconds * (INSIDE_PART if same else 1)

    def send(self, *, request_id: str, endpoint: str) -> None:
        """Send a request from its instance to an engine.

        :param request_id: which one
        :param endpoint: the engine's name
        """
        record = self.ledger.records[request_id]
        record.sends += 1
        record.endpoint = endpoint
        self._later(
            self.delay_seconds(record.instance, endpoint),
            lambda: self._accept(record, endpoint),
        )

    def withdraw(self, *, request_id: str) -> None:
        """Cancel an attempt.

        :param request_id: which one
        """
        record = self.ledger.records[request_id]
        if record.endpoint:
            self.engines[record.endpoint].cancel(request_id)
            record.endpoint = ""

    def refuse(
        self,
        *,
        request_id: str,
        reason: str,
        retry_after_seconds: float | None = None,
    ) -> None:
        """Answer a request with "not run".

        :param request_id: which one
        :param reason: why
        :param retry_after_seconds: when the caller may come back
        """
        record = self.ledger.records[request_id]
        if not record.over:
            record.refused_at_seconds = self.now_seconds()
            record.refused_because = reason
            record.retry_after_seconds = retry_after_seconds
            self.ledger.close(record, self.now_seconds())

    def fail(self, *, request_id: str) -> None:
        """Answer a request with an error, or with "unknown".

        :param request_id: which one
        """
        record = self.ledger.records[request_id]
        if not record.over:
            record.failed = True
            self.ledger.close(record, self.now_seconds())

    def load(
        self,
        *,
        instance: int,
        endpoint: str,
        adapter: str,
        done: Callable[[bool], None],
    ) -> None:
        """Order an engine to load an adapter.

        :param instance: who orders
        :param endpoint: the engine's name
        :param adapter: what to load
        :param done: called at the instance with whether it is ready
        """
        delay = self.delay_seconds(instance, endpoint)

        def answer(succeeded: bool) -> None:
            self._later(delay, lambda: done(succeeded))

        self._later(
            delay,
            lambda: self.loading.load(self.engines[endpoint], adapter, answer),
        )

    def evict(self, *, instance: int, endpoint: str, adapter: str) -> None:
        """Order an engine to evict an adapter.

        :param instance: who orders
        :param endpoint: the engine's name
        :param adapter: what to evict
        """
        self._later(
            self.delay_seconds(instance, endpoint),
            lambda: self.loading.evict(self.engines[endpoint], adapter),
        )

    def restart(self, endpoint: str) -> None:
        """Restart an engine, which comes back empty.

        :param endpoint: its name
        """
        engine = self.engines[endpoint]
        for adapter in engine.ready:
            self.ledger.gone(adapter)
        for request_id in engine.restart():
            self._lose(request_id, endpoint, reached=True)

    def run(
        self,
        *,
        system: systems.System,
        arrivals: list[traffic.Arrival],
        end_seconds: float,
        oracle: ledgers.RateOracle,
    ) -> None:
        """Play the arrivals against a system until all callers have answers.

        :param system: who decides
        :param arrivals: in order of time
        :param end_seconds: when the last has arrived
        :param oracle: who judges what was inside the rate
        """
        self.system = system
        reporting.start(
            service=self.service,
            engines=self.engines.values(),
            rng=self._rng,
            instances=len(self.centres),
            deliver=system.report,
        )
        pending = iter(arrivals)
        upcoming = next(pending, None)
        while upcoming is not None or self.ledger.open:
            due = self.service.next_due_seconds()
            if upcoming is not None and (
                due is None or upcoming.at_seconds <= due
            ):
                self.clock.move_to(upcoming.at_seconds)
                self._arrive(upcoming, oracle.offer(upcoming))
                upcoming = next(pending, None)
            elif due is not None:
                self.clock.move_to(due)
                self.service.run_due()

    def _arrive(self, arrival: traffic.Arrival, inside_rate: bool) -> None:
        instance = int(arrival.draw * len(self.centres))
        record = ledgers.Record(
            arrival=arrival, instance=instance, inside_rate=inside_rate
        )
        self.ledger.arrive(record)
        work = arrival.work
        self._later(
            work.deadline_at_seconds - arrival.at_seconds,
            lambda: self._give_up(record),
        )
        self.system.arrive(instance, arrival)

    def _give_up(self, record: ledgers.Record) -> None:
        if record.over or record.first_token_at_seconds is not None:
            return
        record.given_up = True
        self.ledger.close(record, self.now_seconds())
        request_id = record.arrival.work.request_id
        self.withdraw(request_id=request_id)
        self.system.cancel(record.instance, request_id)

    def _accept(self, record: ledgers.Record, endpoint: str) -> None:
        if record.over or record.endpoint != endpoint:
            return
        engine = self.engines[endpoint]
        adapter = record.arrival.work.adapter_version.adapter
        if adapter and adapter not in engine.ready:
            self.ledger.begin_stall(record, self.now_seconds())
        engine.accept(record.arrival)

    def _first_token(self, request_id: str, endpoint: str) -> None:
        record = self.ledger.records[request_id]
        if record.first_token_at_seconds is None:
            record.first_token_at_seconds = self.now_seconds()
            self.ledger.start(record, self.now_seconds())
        self._tell(
            record,
            lambda: self.system.first_token(record.instance, request_id),
        )

    def _finished(self, request_id: str, endpoint: str) -> None:
        record = self.ledger.records[request_id]
        record.finished_at_seconds = self.now_seconds()
        self.ledger.close(record, self.now_seconds())
        self._tell(
            record, lambda: self.system.finished(record.instance, request_id)
        )

    def _missing(self, request_id: str, endpoint: str) -> None:
        self._lose(request_id, endpoint, reached=False)

    def _lose(self, request_id: str, endpoint: str, *, reached: bool) -> None:
        record = self.ledger.records[request_id]
        record.endpoint = ""
        self._tell(
            record,
            lambda: self.system.failed(
                record.instance, request_id, endpoint, reached
            ),
        )

    def _tell(self, record: ledgers.Record, event: Callable[[], None]) -> None:
        self._later(self.deployment.between_seconds, event)

    def _later(
        self, delay_seconds: float, callback: Callable[[], None]
    ) -> None:
        self.service.once(delay_seconds=delay_seconds, callback=callback)


__all__ = [
    "Fleet",
]
