"""Instances that choose among uneven endpoints, in virtual time.

Each instance has its own choice, and hears of an endpoint only by its own
answers. All chances come from one seed.
"""

from __future__ import annotations

import collections
import dataclasses
import random
import types
from typing import NamedTuple

from boragefold.entry import finish_turn
from boragefold.entry import room_queue
from boragefold.policy import finish_admission
from boragefold.policy import service_choice
from boragefold.telemetry import counters
from boragefold.timing import clock as clocks
from boragefold.timing import timers as timing

INTERVAL_SECONDS = 0.6
SLOW_SHARE = 0.15
SLOW_FACTOR = 2.5
LINK_SECONDS = 0.0005
WARM_UP_SECONDS = 5.0
SERVICE = types.SimpleNamespace(name="desk")
# Of the logarithm of the work; the mean stays.
SPREAD = 0.6


class Site(NamedTuple):
    """The endpoints and the load; ``figures`` is how many they report.

    With ``admits``, requests wait or are refused where all endpoints are full;
    a refused one returns once.
    """

    rate: float
    figures: int = 4
    speeds: tuple[float, ...] = (0.7, 0.7, 1.7)
    work_seconds: float = 0.06
    objective_seconds: float = 0.3
    instances: int = 64
    slots: int = 6
    queue: int = 24
    seconds: float = 40.0
    admits: bool = False
    deadline_seconds: float = 1.2
    urgent_share: float = 0.3


@dataclasses.dataclass(kw_only=True)
class Request:
    """A request, and where it was sent."""

    choice: service_choice.ServiceChoice
    work_seconds: float
    arrived_at_seconds: float
    priority: int = 0
    returned: bool = False
    turn: Turn | None = None
    tried: list[str] = dataclasses.field(default_factory=list)
    sent_at_seconds: float = 0.0


class Endpoint:
    """Runs requests in its slots, in the order in which they come."""

    def __init__(self, replay: Replay, name: str, speed: float) -> None:
        self.name = name
        self._replay = replay
        self._speed = speed
        self._running = 0
        self._waiting: list[Request] = []
        self._factor = 1.0
        replay.timers.every(
            period_seconds=INTERVAL_SECONDS, callback=self._change_factor
        )

    def receive(self, request: Request) -> None:
        if self._running < self._replay.site.slots:
            self._start(request)
        elif len(self._waiting) < self._replay.site.queue:
            self._waiting.append(request)
        else:
            self._report(request)
            request.choice.withdrawn(self.name)
            self._replay.on_rejected(request)

    def _change_factor(self) -> None:
        is_slow = self._replay.rng.random() < SLOW_SHARE
        self._factor = SLOW_FACTOR if is_slow else 1.0

    def _start(self, request: Request) -> None:
        self._running += 1
        self._replay.timers.once(
            delay_seconds=request.work_seconds * self._factor / self._speed,
            callback=lambda: self._end(request),
        )

    def _end(self, request: Request) -> None:
        self._running -= 1
        if self._waiting:
            self._start(self._waiting.pop(0))
        self._report(request)
        now_seconds = self._replay.timers.now_seconds()
        request.choice.ended(
            self.name,
            failed=False,
            took_seconds=now_seconds - request.sent_at_seconds,
            now_seconds=now_seconds,
        )
        self._replay.on_answered(request)

    def _report(self, request: Request) -> None:
        if not self._replay.site.figures:
            return
        request.choice.reported(
            self.name,
            busy=self._running + len(self._waiting),
            slots=self._replay.site.slots,
            now_seconds=self._replay.timers.now_seconds(),
            work_factor=self._factor
            if self._replay.site.figures > 3
            else None,
        )


class Turn(room_queue.RoomWaiter):
    """A request that goes, waits or is refused."""

    finished = False

    def __init__(self, replay: Replay, request: Request, queue) -> None:
        self._replay = replay
        self._request = request
        self._queue = queue
        self._turn = finish_turn.FinishTurn(
            admitted=types.SimpleNamespace(
                route=replay.routes[request.priority],
                service=SERVICE,
                workspace=None,
                arrived_at_seconds=request.arrived_at_seconds,
            ),
            context=types.SimpleNamespace(
                timers=replay.timers,
                choice=request.choice,
                rooms=queue,
                fleet=types.SimpleNamespace(
                    deployment=types.SimpleNamespace(routes=replay.routes)
                ),
            ),
        )

    @property
    def rank(self):
        return self._turn.rank

    def begin(self) -> None:
        if self._queue.is_first(SERVICE.name, self.rank) and self.try_room():
            return
        if self._turn.can_wait(self._records, remaining_seconds=self._left):
            self._queue.add(SERVICE.name, self)
        else:
            self.refuse()

    def try_room(self) -> bool:
        verdict = self._turn.decide(
            self._records, remaining_seconds=self._left
        )
        if verdict is finish_admission.Verdict.SEND:
            self._replay.send(self._request)
        elif verdict is finish_admission.Verdict.REFUSE:
            self.refuse()
        return verdict is not finish_admission.Verdict.WAIT

    def refuse(self) -> None:
        request, replay = self._request, self._replay
        self._replay.count(request, "refused")
        if not request.returned:
            replay.timers.once(
                delay_seconds=self._turn.draw_return_seconds(self._records),
                callback=lambda: replay.begin(request, self._queue),
            )

    @property
    def _records(self):
        return [
            types.SimpleNamespace(name=name, slots=self._replay.site.slots)
            for name in self._replay.names
            if name not in self._request.tried
        ]

    @property
    def _left(self) -> float:
        return (
            self._request.arrived_at_seconds
            + self._replay.site.deadline_seconds
            - self._replay.timers.now_seconds()
        )


class Replay:
    """Plays one load; ``took_seconds`` are the times of the answers."""

    def __init__(self, site: Site, *, seed: int) -> None:
        self.site = site
        self.rng = random.Random(seed)
        self._clock = clocks.VirtualClock()
        self.timers = timing.TimerService(clock=self._clock)
        self.took_seconds: list[float] = []
        self.requests = self.refused = 0
        self.choices = [
            service_choice.ServiceChoice(rng=random.Random(f"{seed}/{number}"))
            for number in range(site.instances)
        ]
        self._endpoints = {
            f"e{number}": Endpoint(self, f"e{number}", speed)
            for number, speed in enumerate(site.speeds)
        }
        self.names = list(self._endpoints)
        self.routes = [
            types.SimpleNamespace(
                priority=priority,
                target_seconds=site.objective_seconds,
                services=(types.SimpleNamespace(service=SERVICE.name),),
            )
            for priority in (0, 1)
        ]
        # By priority: how many requests came, and what became of them.
        self.results = [collections.Counter(), collections.Counter()]
        self._queues = [
            room_queue.RoomQueue(
                timers=self.timers, counters=counters.Counters()
            )
            for _ in self.choices
        ]
        for choice in self.choices:
            choice.limits.count_instances = lambda: site.instances
        self._schedule_arrival()

    def run(self) -> Replay:
        while (due := self.timers.next_due_seconds()) is not None:
            if due > self.site.seconds:
                break
            self._clock.move_to(due)
            self.timers.run_due()
        self.took_seconds.sort()
        return self

    @property
    def on_time(self) -> float:
        limit = self.site.objective_seconds
        punctual = sum(each <= limit for each in self.took_seconds)
        return punctual / (len(self.took_seconds) + self.refused)

    @property
    def p99_seconds(self) -> float:
        return self.took_seconds[int(0.99 * len(self.took_seconds))]

    def send(self, request: Request) -> None:
        now_seconds = self.timers.now_seconds()
        name = request.choice.choose(
            (
                (name, self.site.slots, True)
                for name in self._endpoints
                if name not in request.tried
            ),
            now_seconds=now_seconds,
        )
        request.choice.sent(name, now_seconds=now_seconds)
        request.sent_at_seconds = now_seconds
        request.tried.append(name)
        self.timers.once(
            delay_seconds=LINK_SECONDS,
            callback=lambda: self._endpoints[name].receive(request),
        )

    def on_rejected(self, request: Request) -> None:
        if len(request.tried) < 2:
            self.send(
                request
            ) if request.turn is None else request.turn.begin()
        elif request.turn is not None:
            request.turn.refuse()
        elif request.arrived_at_seconds >= WARM_UP_SECONDS:
            self.refused += 1

    def on_answered(self, request: Request) -> None:
        if request.arrived_at_seconds >= WARM_UP_SECONDS:
            took_seconds = self.timers.now_seconds()
            took_seconds -= request.arrived_at_seconds
            self.took_seconds.append(took_seconds)
            on_time = took_seconds <= self.site.objective_seconds
            in_time = took_seconds <= self.site.deadline_seconds
            self.count(
                request,
                "on_time" if on_time else "late" if in_time else "dead",
            )

    def count(self, request: Request, result: str) -> None:
        if request.arrived_at_seconds >= WARM_UP_SECONDS:
            again = "_again" if request.returned else ""
            self.results[request.priority][result + again] += 1

    def begin(self, refused: Request, queue) -> None:
        request = dataclasses.replace(
            refused,
            arrived_at_seconds=self.timers.now_seconds(),
            returned=True,
            tried=[],
        )
        request.turn = Turn(self, request, queue)
        request.turn.begin()

    def _schedule_arrival(self) -> None:
        self.timers.once(
            delay_seconds=self.rng.expovariate(self.site.rate),
            callback=self._arrive,
        )

    def _arrive(self) -> None:
        self._schedule_arrival()
        work_seconds = self.site.work_seconds * self.rng.lognormvariate(
            -(SPREAD**2) / 2, SPREAD
        )
        number = self.rng.randrange(len(self.choices))
        request = Request(
            choice=self.choices[number],
            work_seconds=work_seconds,
            arrived_at_seconds=self.timers.now_seconds(),
        )
        if not self.site.admits:
            self.send(request)
            return
        request.priority = int(self.rng.random() >= self.site.urgent_share)
        self.count(request, "came")
        request.turn = Turn(self, request, self._queues[number])
        request.turn.begin()
