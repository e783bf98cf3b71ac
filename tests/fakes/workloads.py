"""A rate, a workload and a few engines, in virtual time."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import functools
import heapq
import itertools
import random

from boragefold.policy import admission
from boragefold.policy import endpoint_choice
from boragefold.policy import endpoints as fleet
from boragefold.policy import fair_queue
from boragefold.policy import fair_share
from boragefold.policy import overload
from boragefold.policy import placement
from boragefold.policy import refusal
from boragefold.policy import token_balance
from boragefold.policy import work as works
from boragefold.telemetry import counters as telemetry

NUMBERS = itertools.count()


def adapter(name: str, *, model: str = "m") -> works.AdapterVersion:
    return works.AdapterVersion(model, name, "1" if name else "")


def work(
    workspace: str = "quadro",
    *,
    needs: str = "",
    tokens: int = 100,
    at: float = 0.0,
    patience: float = 30.0,
    late_sensitive: bool = False,
    prefix: str = "",
) -> works.Work:
    return works.Work(
        request_id=f"r{next(NUMBERS)}",
        workspace=workspace,
        adapter_version=adapter(needs),
        prompt_tokens=0,
        max_tokens=tokens,
        arrived_at_seconds=at,
        deadline_at_seconds=at + patience,
        late_sensitive=late_sensitive,
        prefix=prefix,
    )


def spec(name: str, **changes: object) -> fleet.EndpointSpec:
    base = fleet.EndpointSpec(
        name=name,
        data_centre="here",
        model="m",
        role="serve",
        slots=4,
        batch_size=4,
    )
    return base._replace(**changes)  # type: ignore[arg-type]


def report(
    name: str, running: int, at: float, incarnation: str = "i1"
) -> fleet.LoadReport:
    return fleet.LoadReport(name, incarnation, running, 0, at)


def demand(*waiting: works.Work) -> dict[works.AdapterVersion, object]:
    queue = fair_queue.FairQueue(counters=telemetry.Counters())
    for each in waiting:
        queue.push(each, now_seconds=0.0)
    return dict(queue.waiting_by_adapter())


class BucketBalance(token_balance.TokenBalance):
    """One token bucket per workspace; counts every settlement."""

    def __init__(self, *, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = burst
        self.now = 0.0
        self.settlements: list[token_balance.Reservation] = []
        self._levels: dict[str, tuple[float, float]] = {}

    def reserve(
        self, *, workspace: str, tokens: float
    ) -> token_balance.Reservation | token_balance.Shortfall:
        if tokens > self.burst:
            return token_balance.Shortfall(ready_in_seconds=None)
        level = self.level(workspace)
        if tokens > level + 1e-9:
            missing = (tokens - level) / self.rate
            return token_balance.Shortfall(ready_in_seconds=missing)
        self._levels[workspace] = (level - tokens, self.now)
        return token_balance.Reservation(workspace=workspace, tokens=tokens)

    def settle(
        self, reservation: token_balance.Reservation, *, used_tokens: float
    ) -> None:
        if reservation.settled:
            return
        reservation.settled = True
        self.settlements.append(reservation)
        back = reservation.tokens - used_tokens
        level = self.level(reservation.workspace) + back
        self._levels[reservation.workspace] = (level, self.now)

    def subscribe(self, callback: Callable[[str], None]) -> None:
        raise NotImplementedError

    def level(self, workspace: str) -> float:
        level, at = self._levels.get(workspace, (self.burst, 0.0))
        return min(self.burst, level + (self.now - at) * self.rate)


class Budget(placement.LoadBudget):
    """So many loads in flight at once."""

    def __init__(self, *, loads: int) -> None:
        self.left = loads

    def try_acquire(self, *, now_seconds: float) -> bool:
        if not self.left:
            return False
        self.left -= 1
        return True

    def release(self, *, now_seconds: float) -> None:
        self.left += 1


@dataclasses.dataclass(kw_only=True)
class Answer:
    """What one caller received."""

    work: works.Work
    refused: refusal.Refused | None = None
    endpoint: str = ""
    started_at: float | None = None
    ended_at: float | None = None

    @property
    def wait(self) -> float:
        assert self.started_at is not None
        return self.started_at - self.work.arrived_at_seconds


class Rig:
    """One entry instance before engines that generate token by token.

    It admits, queues, chooses and sends; engines report once a second.
    """

    def __init__(
        self,
        *,
        specs: list[fleet.EndpointSpec],
        bucket: token_balance.TokenBalance,
        token_seconds: float = 0.01,
        seed: int = 1,
    ) -> None:
        self.counters = telemetry.Counters()
        self.endpoints = fleet.Endpoints()
        self.bucket = bucket
        self.admission = admission.Admission(
            token_balance=bucket, counters=self.counters
        )
        self.queue = fair_queue.FairQueue(counters=self.counters)
        self.share = fair_share.FairShare()
        self.overload = overload.Overload(counters=self.counters)
        self.choice = endpoint_choice.EndpointChoice(
            endpoints=self.endpoints,
            rng=random.Random(seed),
            counters=self.counters,
        )
        self.token_seconds = {each.name: token_seconds for each in specs}
        self.answers: dict[str, Answer] = {}
        self.reservations: dict[str, token_balance.Reservation] = {}
        self.rate = sum(each.batch_size for each in specs) / token_seconds
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        for each in specs:
            self.endpoints.put(each)
        self.at(1.0, self._tick)

    def at(self, seconds: float, callback: Callable[[], None]) -> None:
        heapq.heappush(self._events, (seconds, next(self._order), callback))

    def submit(self, *requests: works.Work) -> None:
        for each in requests:
            self.answers[each.request_id] = Answer(work=each)
            self.at(
                each.arrived_at_seconds,
                functools.partial(self._arrive, each),
            )

    def run(self, until: float) -> list[Answer]:
        while self._events and self._events[0][0] <= until:
            self.now, _order, callback = heapq.heappop(self._events)
            self.bucket.now = self.now  # type: ignore[attr-defined]
            for decided in self.admission.advance(now_seconds=self.now):
                self._decided(decided.work, decided.outcome)
            for each in self.queue.expire(now_seconds=self.now):
                self._end(
                    each,
                    refused=refusal.Refused(
                        status=504, reason="caller_gave_up", remedy=""
                    ),
                )
            callback()
            due = self.admission.next_due_seconds()
            if due is not None:
                self.at(max(due, self.now + 0.001), lambda: None)
        return list(self.answers.values())

    def _tick(self) -> None:
        self.endpoints.refresh(now_seconds=self.now)
        self.at(self.now + 1.0, self._tick)

    def _arrive(self, each: works.Work) -> None:
        outcome = self.admission.offer(each, now_seconds=self.now)
        self._decided(each, outcome)

    def _decided(self, each: works.Work, outcome: object) -> None:
        if isinstance(outcome, refusal.Refused):
            self._end(each, refused=outcome)
        if not isinstance(outcome, admission.Admitted):
            return
        self.reservations[each.request_id] = outcome.reservation
        delay = self.queue.delay_seconds(
            throughput_tokens_per_second=self.rate
        )
        self.overload.observe(queue_delay_seconds=delay, now_seconds=self.now)
        refused = self.overload.check(
            each,
            above_share=self.share.exceeds(
                each.workspace,
                works.charged_tokens(each),
                throughput_tokens_per_second=(
                    self.overload.divided_share * self.rate
                ),
                now_seconds=self.now,
            ),
            cold=False,
        ) or self.queue.offer(
            each, now_seconds=self.now, throughput_tokens_per_second=self.rate
        )
        if isinstance(refused, refusal.Refused):
            self._end(each, refused=refused)
            return
        self._serve([each.adapter_version])

    def _serve(self, candidates: list[works.AdapterVersion]) -> None:
        while any(self.choice.has_room(each) for each in candidates):
            each = self.queue.pop(candidates=candidates, now_seconds=self.now)
            if each is None:
                return
            chosen = self.choice.choose(each)
            assert isinstance(chosen, endpoint_choice.Chosen), chosen
            self._send(each, chosen.endpoint)

    def _send(self, each: works.Work, endpoint: str) -> None:
        self.endpoints.sent(endpoint, each, now_seconds=self.now)
        answer = self.answers[each.request_id]
        answer.endpoint = endpoint
        first = self.now + 10 * self.token_seconds[endpoint]
        last = self.now + each.max_tokens * self.token_seconds[endpoint]
        self.at(first, functools.partial(self._answer, each, endpoint))
        self.at(last, functools.partial(self._finish, each, endpoint))

    def _answer(self, each: works.Work, endpoint: str) -> None:
        self.answers[each.request_id].started_at = self.now
        self.endpoints.answered(
            endpoint, each.request_id, now_seconds=self.now
        )

    def _finish(self, each: works.Work, endpoint: str) -> None:
        self.endpoints.finished(
            endpoint, each.request_id, now_seconds=self.now
        )
        self.queue.settle(each, used_tokens=each.max_tokens)
        self._end(each)
        self._serve(list(self.queue.waiting_by_adapter()))

    def _end(
        self, each: works.Work, *, refused: refusal.Refused | None = None
    ) -> None:
        reservation = self.reservations.pop(each.request_id, None)
        if reservation is not None:
            used = 0 if refused else each.max_tokens
            self.bucket.settle(reservation, used_tokens=used)
        self.answers[each.request_id].refused = refused
        self.answers[each.request_id].ended_at = self.now
