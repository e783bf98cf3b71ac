"""Measure what the decisions cost at the size of the plan.

Run it as ``python tools/measure_decisions.py``; it prints microseconds of one
core, the best of five repetitions, and nothing depends on its figures.
"""

from __future__ import annotations

from collections.abc import Callable
import functools
import itertools
import random
import time
import timeit
import tracemalloc
from typing import NamedTuple

from boragefold.entry import engine_messages
from boragefold.policy import admission
from boragefold.policy import endpoint_choice
from boragefold.policy import endpoints as fleet
from boragefold.policy import engine_decisions
from boragefold.policy import engine_schedule
from boragefold.policy import engine_slots
from boragefold.policy import fair_queue
from boragefold.policy import fair_share
from boragefold.policy import overload
from boragefold.policy import placement
from boragefold.policy import token_balance
from boragefold.policy import work as works
from boragefold.protocol import ids
from boragefold.state import deployment
from boragefold.telemetry import counters as telemetry

REPEAT = 5
NUMBER = 2_000
SLOTS = 16
BATCH_SIZE = 29
WORKSPACES = 40
ENGINE_QUEUES = (10, 100, 1_000)
ENGINE_ADAPTERS = 300
ENGINE = deployment.Engine(
    slots=64,
    kv_tokens=1_000_000,
    adapter_places=5,
    weights_mb=74_500.0,
    loads_per_second=4.0,
    models=(deployment.Model("m", 2.1, 72_700.0),),
)


class Size(NamedTuple):
    """How large the fleet and its queue are."""

    endpoints: int
    adapters: int
    waiting: int


SIZES = (
    Size(endpoints=41, adapters=1_800, waiting=100),
    Size(endpoints=414, adapters=18_000, waiting=100),
    Size(endpoints=414, adapters=18_000, waiting=2_000),
)


class UnlimitedBalance(token_balance.TokenBalance):
    """A token balance that always has enough."""

    def reserve(
        self, *, workspace: str, tokens: float
    ) -> token_balance.Reservation | token_balance.Shortfall:
        return token_balance.Reservation(workspace=workspace, tokens=tokens)

    def settle(
        self, reservation: token_balance.Reservation, *, used_tokens: float
    ) -> None:
        reservation.settled = True

    def subscribe(self, callback: Callable[[str], None]) -> None:
        del callback


class OpenBudget(placement.LoadBudget):
    """A budget of one load for each decision."""

    left = 0

    def try_acquire(self, *, now_seconds: float) -> bool:
        self.left -= 1
        return self.left >= 0

    def release(self, *, now_seconds: float) -> None:
        del now_seconds


class Setup:
    """Every decision of one instance, before a half-full fleet."""

    def __init__(self, size: Size) -> None:
        self.rng = random.Random(1)
        self.now = 100.0
        self.numbers = itertools.count()
        self.adapters = [
            works.AdapterVersion("m", f"adapter-{number}", "1")
            for number in range(size.adapters)
        ]
        counters = telemetry.Counters()
        self.endpoints = fleet.Endpoints()
        self.budget = OpenBudget()
        self.names = [f"endpoint-{n}" for n in range(size.endpoints)]
        for name in self.names:
            self._add_endpoint(name)
        self.admission = admission.Admission(
            token_balance=UnlimitedBalance(), counters=counters
        )
        self.overload = overload.Overload(counters=counters)
        self.share = fair_share.FairShare()
        self.queue = fair_queue.FairQueue(counters=counters)
        self.choice = endpoint_choice.EndpointChoice(
            endpoints=self.endpoints,
            rng=self.rng,
            counters=counters,
            instances=lambda: 30,
        )
        self.placement = placement.Placement(
            endpoints=self.endpoints,
            budget=self.budget,
            rng=self.rng,
            counters=counters,
        )
        held = [each for each in self.adapters if self._holders(each)]
        self.held = itertools.cycle(held)
        self.cold = [each for each in self.adapters if not self._holders(each)]
        for _ in range(size.waiting):
            self.queue.push(self.request(next(self.held)), now_seconds=0.0)

    def request(self, adapter_version: works.AdapterVersion) -> works.Work:
        number = next(self.numbers)
        return works.Work(
            request_id=f"request-{number}",
            workspace=self.workspace_of(adapter_version, number),
            adapter_version=adapter_version,
            prompt_tokens=500,
            max_tokens=300,
            arrived_at_seconds=self.now,
            deadline_at_seconds=self.now + 30,
            late_sensitive=number % 4 == 0,
            prefix=f"prefix-{number % 500}",
        )

    def workspace_of(
        self, adapter_version: works.AdapterVersion, number: int
    ) -> str:
        # Nine of ten requests are of the workspace that has the adapter.
        own = hash(adapter_version) if number % 10 else number
        return f"workspace-{own % WORKSPACES}"

    def _holders(self, adapter: works.AdapterVersion) -> int:
        return len(self.endpoints.holders(adapter))

    def _add_endpoint(self, name: str) -> None:
        self.endpoints.put(
            fleet.EndpointSpec(
                name=name,
                data_centre="here",
                model="m",
                role="serve",
                slots=SLOTS,
                batch_size=BATCH_SIZE,
            )
        )
        running = self.rng.randrange(BATCH_SIZE)
        self.endpoints.report(
            fleet.LoadReport(name, "1", running, 0, self.now - 1)
        )
        # Popularity is skewed: the square favours the first adapters.
        for _ in range(SLOTS):
            number = int(self.rng.random() ** 2 * len(self.adapters))
            self.endpoints.loaded(
                name, self.adapters[number], now_seconds=self.now - 60
            )

    def admit(self) -> None:
        self.admission.offer(
            self.request(next(self.held)), now_seconds=self.now
        )

    def shed(self) -> None:
        request = self.request(next(self.held))
        above = self.share.exceeds(
            request.workspace,
            800,
            throughput_tokens_per_second=1e6,
            now_seconds=self.now,
        )
        self.overload.check(request, above_share=above, cold=False)

    def queue_up(self) -> None:
        request = self.request(next(self.held))
        self.queue.offer(
            request, now_seconds=self.now, throughput_tokens_per_second=1e6
        )
        self.queue.pop(
            candidates=[request.adapter_version], now_seconds=self.now
        )

    def pop_of_endpoint(self) -> None:
        request = self.request(next(self.held))
        self.queue.push(request, now_seconds=self.now)
        state = self.endpoints.holders(request.adapter_version)[0]
        self.queue.pop(candidates=state.resident, now_seconds=self.now)

    def choose(self) -> None:
        self._choose(next(self.held))

    def choose_bare(self) -> None:
        self._choose(works.AdapterVersion("m", "", ""))

    def _choose(self, adapter_version: works.AdapterVersion) -> None:
        request = self.request(adapter_version)
        chosen = self.choice.choose(request)
        if not isinstance(chosen, endpoint_choice.Chosen):
            return
        name, number = chosen.endpoint, request.request_id
        self.endpoints.sent(name, request, now_seconds=self.now)
        self.endpoints.answered(name, number, now_seconds=self.now + 0.1)
        self.endpoints.finished(name, number, now_seconds=self.now + 1)

    def whole(self) -> None:
        request = self.request(next(self.held))
        self.now += 0.03
        self.admission.offer(request, now_seconds=self.now)
        above = self.share.exceeds(
            request.workspace,
            800,
            throughput_tokens_per_second=1e6,
            now_seconds=self.now,
        )
        self.overload.check(request, above_share=above, cold=False)
        self.placement.count_arrival(request, now_seconds=self.now)
        self.queue.offer(
            request, now_seconds=self.now, throughput_tokens_per_second=1e6
        )
        state = self.endpoints.holders(request.adapter_version)[0]
        popped = self.queue.pop(
            candidates=state.resident, now_seconds=self.now
        )
        if popped is None:
            return
        chosen = self.choice.choose(popped)
        if not isinstance(chosen, endpoint_choice.Chosen):
            return
        name, number = chosen.endpoint, popped.request_id
        self.endpoints.sent(name, popped, now_seconds=self.now)
        self.endpoints.answered(name, number, now_seconds=self.now + 0.1)
        self.endpoints.finished(name, number, now_seconds=self.now + 1)
        self.queue.settle(popped, used_tokens=700)

    def arrive(self) -> None:
        self.now += 0.03
        request = self.request(next(self.held))
        self.placement.count_arrival(request, now_seconds=self.now)

    def place(self, ordered: int, cold: int) -> None:
        self.now += 0.001
        self.budget.left = 1
        demand = {
            adapter: fair_queue.Demand(
                requests=1, tokens=800.0, by_workspace={"w": 800.0}
            )
            for adapter in self.cold[:cold]
        }
        for load in self.placement.decide(
            demand=demand,
            held_endpoints=self.names[:ordered],
            now_seconds=self.now,
        ):
            if isinstance(load, placement.Load):
                self.placement.load_failed(load, now_seconds=self.now)

    def refresh(self) -> None:
        self.endpoints.refresh(now_seconds=self.now)


class EngineSetup:
    """A full engine that an instance owns, with a queue."""

    def __init__(self, waiting: int) -> None:
        self.rng = random.Random(1)
        self.now = 100.0
        self.numbers = itertools.count()
        slots = engine_slots.EngineSlots(engine=ENGINE, newest_versions={})
        held = {f"a{number}": 0 for number in range(ENGINE.adapter_places)}
        slots.apply_report({"m": held}, {}, now_seconds=0.0)
        slots.may_order = True
        self.schedule = engine_schedule.EngineSchedule(
            engine=ENGINE, slots=slots
        )
        for number in range(ENGINE.slots):
            request = self.request(number % ENGINE.adapter_places)
            self.schedule.submit(request, now_seconds=self.now)
            self.schedule.advance(now_seconds=self.now)
            self.schedule.record_start(
                request.request_id, now_seconds=self.now
            )
        while self.schedule.queued < waiting:
            self.schedule.submit(self.request(), now_seconds=self.now)

    def request(
        self, adapter: int | None = None
    ) -> engine_decisions.EngineRequest:
        number = self.rng.randrange(ENGINE_ADAPTERS)
        held = self.rng.randrange(ENGINE.adapter_places)
        chosen = self.rng.choice((number, held))
        return engine_decisions.EngineRequest(
            request_id=f"request-{next(self.numbers)}",
            sender=ids.InstanceId("here", "10.0.0.1:7000", "one"),
            adapter=deployment.AdapterKey(
                "m", f"a{chosen if adapter is None else adapter}"
            ),
            prompt_tokens=500,
            output_tokens=300,
            priority=self.rng.randrange(3),
            start_deadline_at_seconds=self.now + self.rng.choice((0.5, 600)),
            queue_deadline_at_seconds=self.now + 9_000,
            end_deadline_at_seconds=self.now + 9_000,
            event_gap_seconds=0.5,
        )

    def submit(self) -> None:
        request = self.request()
        self.schedule.submit(request, now_seconds=self.now)
        self.schedule.remove(request.request_id, now_seconds=self.now)

    def advance(self) -> None:
        self.schedule.advance(now_seconds=self.now)

    def due(self) -> None:
        self.schedule.next_due_seconds(now_seconds=self.now)

    def status(self) -> None:
        engine_messages.write_status("e", self.schedule, now_seconds=self.now)

    def whole(self) -> None:
        request = self.request()
        self.schedule.submit(request, now_seconds=self.now)
        self.schedule.needs_order()
        self.schedule.advance(now_seconds=self.now)
        self.due()
        self.status()
        self.schedule.remove(request.request_id, now_seconds=self.now)


def measure_engine(waiting: int) -> None:
    setup = EngineSetup(waiting)
    print(f"engine with a queue of {setup.schedule.queued}")
    number = max(5, NUMBER // waiting)
    show("engine: request", setup.request, number)
    show("engine: submit and remove", setup.submit, number)
    show("engine: advance", setup.advance, number)
    show("engine: next due time", setup.due, number)
    show("engine: status", setup.status, number)
    show("engine: all of these", setup.whole, number)


def measure(size: Size) -> None:
    tracemalloc.start()
    setup = Setup(size)
    megabytes = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    print(size, f"{megabytes:.1f} MB with the names of the catalogue")
    adapter = setup.adapters[0]
    steps = {
        "make a request (in each line below)": functools.partial(
            setup.request, adapter
        ),
        "admission": setup.admit,
        "share and overload": setup.shed,
        "queue: offer, pop one adapter": setup.queue_up,
        "queue: push, pop an endpoint's": setup.pop_of_endpoint,
        "choice, sent, answered, finished": setup.choose,
        "the same for the bare model": setup.choose_bare,
        "placement: arrival": setup.arrive,
        "one request from arrival to end": setup.whole,
    }
    for name, function in steps.items():
        show(name, function, NUMBER)
    for ordered, cold in itertools.product((14, size.endpoints), (10, 300)):
        show(
            f"placement: {cold} cold, {ordered} endpoints",
            functools.partial(setup.place, ordered, cold),
            NUMBER // 20,
        )
    show("refresh of the weights, once a second", setup.refresh, NUMBER // 20)


def show(name: str, function: Callable[[], object], number: int) -> None:
    best = min(
        timeit.repeat(
            function,
            number=number,
            repeat=REPEAT,
            timer=time.process_time,
        )
    )
    print(f"  {name:40} {best / number * 1e6:8.1f}")


if __name__ == "__main__":
    for queue in ENGINE_QUEUES:
        measure_engine(queue)
    for each in SIZES:
        measure(each)
