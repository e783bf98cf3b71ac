from __future__ import annotations

from collections.abc import Callable
from collections.abc import Collection
import random

import pytest

from boragefold.policy import actions
from boragefold.policy import assembly
from boragefold.policy import dispatcher
from boragefold.policy import endpoints
from boragefold.policy import homes
from boragefold.policy import token_balance
from boragefold.policy import work as works
from boragefold.telemetry import counters
from tests.fakes import workloads


class RecordingBalance(workloads.BucketBalance):
    def __init__(self, *, rate: float = 1e6, burst: float = 1e6) -> None:
        super().__init__(rate=rate, burst=burst)
        self.callbacks: list[Callable[[str], None]] = []
        self.used: list[float] = []

    def subscribe(self, callback: Callable[[str], None]) -> None:
        self.callbacks.append(callback)

    def settle(
        self, reservation: token_balance.Reservation, *, used_tokens: float
    ) -> None:
        assert not reservation.settled
        self.used.append(used_tokens)
        super().settle(reservation, used_tokens=used_tokens)


class Rights(homes.OrderRights):
    def __init__(self, incarnation: str, holders: dict[str, str | None]):
        self._incarnation = incarnation
        self._holders = holders

    @property
    def incarnation(self) -> str:
        return self._incarnation

    def held_endpoints(self) -> Collection[str]:
        return [
            name
            for name, holder in self._holders.items()
            if holder == self._incarnation
        ]

    def holder(self, endpoint: str) -> str | None:
        return self._holders[endpoint]


def build(
    *,
    held: dict[str, list[str]],
    bucket: RecordingBalance | None = None,
    incarnation: str = "i1",
    holders: dict[str, str | None] | None = None,
) -> dispatcher.Dispatcher:
    known = endpoints.Endpoints()
    for name, adapters in held.items():
        known.put(workloads.spec(name))
        for adapter in adapters:
            known.loaded(name, workloads.adapter(adapter), now_seconds=0.0)
    return assembly.assemble(
        endpoints=known,
        token_balance=bucket or RecordingBalance(),
        load_budget=workloads.Budget(loads=8),
        rights=Rights(
            incarnation, holders or dict.fromkeys(held, incarnation)
        ),
        instances=lambda: 1,
        rng=random.Random(1),
        counters=counters.Counters(),
    )


def offer(
    each: dispatcher.Dispatcher,
    *requests: works.Work,
    idempotent: bool = True,
    at: float = 0.0,
) -> list[actions.Action]:
    for request in requests:
        refused = each.offer(request, idempotent=idempotent, now_seconds=at)
        assert refused is None
    return each.next_actions(now_seconds=at)


def sends(done: list[actions.Action]) -> list[tuple[str, str, int]]:
    return [
        (each.work.request_id, each.endpoint, each.attempt)
        for each in done
        if isinstance(each, actions.Send)
    ]


def test_a_request_for_a_cold_adapter_blocks_no_other() -> None:
    # A request for an adapter that no endpoint holds is followed by one for a
    # held adapter from the same workspace. The second must start at once, the
    # first only when its load has ended.
    system = build(held={"a": ["warm"]})
    cold = workloads.work(needs="cold")
    warm = workloads.work(needs="warm")
    done = offer(system, cold, warm)
    assert sends(done) == [(warm.request_id, "a", 1)]
    (order,) = [each for each in done if isinstance(each, actions.OrderLoad)]
    assert order.load.adapter == cold.adapter_version
    system.fleet.load_succeeded(order.load, now_seconds=0.25)
    assert sends(system.next_actions(now_seconds=0.25)) == [
        (cold.request_id, "a", 1)
    ]


def test_a_cold_adapter_asked_for_at_two_instances_is_loaded_once() -> None:
    # Requests for one cold adapter reach two instances, each of which gives
    # orders to one endpoint. Without coordination, each would load it.
    holders: dict[str, str | None] = {"a": "i1", "b": "i2"}
    pair = {
        name: build(held={"a": [], "b": []}, incarnation=name, holders=holders)
        for name in ("i1", "i2")
    }
    orders = []
    for now in (0.0, 0.05, 0.4):
        for name, system in pair.items():
            new = [workloads.work(needs="cold", at=now)] if not now else []
            for action in offer(system, *new, at=now):
                if isinstance(action, actions.OrderLoad):
                    orders.append((name, action.load))
                if isinstance(action, actions.SendDigest):
                    pair[action.peer].fleet.receive_digest(
                        name, action.digest, now_seconds=now
                    )
    assert len(orders) == 1


def test_adapters_of_an_unreachable_holder_are_decided_on_here() -> None:
    # A partition separates this instance from the one that orders b. Cold
    # adapters whose home is b would otherwise wait until it ends, possibly
    # for hours.
    system = build(held={"a": [], "b": []}, holders={"a": "i1", "b": None})
    done = offer(
        system, *(workloads.work(needs=f"cold-{n}") for n in range(4))
    )
    ordered = {
        each.load.adapter.adapter
        for each in done
        if isinstance(each, actions.OrderLoad)
    }
    assert ordered == {"cold-0", "cold-1", "cold-2", "cold-3"}


def test_a_request_that_may_not_run_twice_is_sent_once() -> None:
    # The connection breaks after a payout was sent. A second attempt might
    # pay it twice, so the caller is told that the outcome is unknown.
    bucket = RecordingBalance()
    system = build(held={"a": [], "b": []}, bucket=bucket)
    request = workloads.work()
    ((_, endpoint, _),) = sends(offer(system, request, idempotent=False))
    system.failed(request.request_id, bytes_sent=True, now_seconds=1.0)
    assert system.next_actions(now_seconds=1.0)[0] == actions.Fail(
        request, "attempt_failed", True
    )
    assert bucket.used == [0.0]


def test_an_unsent_request_is_retried_elsewhere() -> None:
    system = build(held={"a": [], "b": []})
    request = workloads.work()
    ((_, first, _),) = sends(offer(system, request, idempotent=False))
    system.failed(request.request_id, bytes_sent=False, now_seconds=1.0)
    ((_, second, attempt),) = sends(system.next_actions(now_seconds=1.0))
    assert (first != second, attempt) == (True, 2)


def test_a_request_that_ran_in_part_is_never_called_not_run() -> None:
    # The only endpoint fails with an idempotent request in flight; the
    # request is queued again and waits until its caller times out. The answer
    # "not run" would then be false.
    system = build(held={"a": ["x"]})
    request = workloads.work(needs="x", patience=5.0)
    offer(system, request)
    system.failed(request.request_id, bytes_sent=True, now_seconds=1.0)
    system.fleet.endpoint_gone("a")
    system.next_actions(now_seconds=1.0)
    done = system.next_actions(now_seconds=6.0)
    assert done[0] == actions.Fail(request, "caller_gave_up", True)


def test_an_endpoint_that_lost_the_adapter_gets_no_more_of_it() -> None:
    # An engine restarts empty, and until its next report this instance
    # believes that it holds the adapter. Its refusals must not count as failed
    # attempts: limited by the retry budget, every request sent there before
    # that report would be lost.
    system = build(held={"a": ["x"], "b": ["x"]})
    requests = [workloads.work(needs="x") for _ in range(3)]
    placed = sends(offer(system, *requests, idempotent=False))
    empty = placed[0][1]
    for request_id, endpoint, _ in placed:
        if endpoint == empty:
            system.adapter_missing(request_id, now_seconds=0.1)
    again = sends(system.next_actions(now_seconds=0.1))
    assert again
    assert {endpoint for _, endpoint, _ in again} == {"a", "b"} - {empty}


def test_a_request_is_sent_when_its_tokens_are_returned() -> None:
    # Tokens are returned early, because the first answer was short; a request
    # that waits for them must not wait until the estimated time.
    bucket = RecordingBalance(rate=1000.0, burst=100.0)
    system = build(held={"a": []}, bucket=bucket)
    first, second = workloads.work(), workloads.work()
    assert len(sends(offer(system, first, second))) == 1
    bucket.now = 0.01
    system.finished(first.request_id, used_tokens=1.0, now_seconds=0.01)
    for callback in bucket.callbacks:
        callback("quadro")
    assert sends(system.next_actions(now_seconds=0.01)) == [
        (second.request_id, "a", 1)
    ]


def test_a_request_over_the_rate_is_refused_with_a_retry_time() -> None:
    bucket = RecordingBalance(rate=10.0, burst=100.0)
    system = build(held={"a": []}, bucket=bucket)
    offer(system, workloads.work())
    refused = system.offer(workloads.work(), idempotent=True, now_seconds=0.0)
    assert refused is not None
    assert refused.retry_after_seconds == pytest.approx(10.0)


@pytest.mark.parametrize("stage", ["waiting", "sent"])
def test_a_cancelled_request_is_settled_once(stage: str) -> None:
    bucket = RecordingBalance()
    system = build(held={"a": ["x"]}, bucket=bucket)
    request = workloads.work(needs="x" if stage == "sent" else "cold")
    done = offer(system, request)
    system.cancel(request.request_id, used_tokens=7.0, now_seconds=0.5)
    system.cancel(request.request_id, used_tokens=7.0, now_seconds=0.6)
    system.finished(request.request_id, used_tokens=9.0, now_seconds=0.7)
    for order in done:
        if isinstance(order, actions.OrderLoad):
            system.fleet.load_succeeded(order.load, now_seconds=0.7)
    assert bucket.used == [7.0]
    assert not sends(system.next_actions(now_seconds=0.7))


def test_the_end_of_one_request_lets_the_next_start() -> None:
    system = build(held={"a": ["x"]})
    requests = [workloads.work(needs="x") for _ in range(5)]
    started = sends(offer(system, *requests))
    assert len(started) == 4
    system.finished(started[0][0], used_tokens=1.0, now_seconds=0.01)
    assert len(sends(system.next_actions(now_seconds=0.01))) == 1


def test_no_request_goes_to_an_adapter_that_is_about_to_be_evicted() -> None:
    system = build(held={"a": ["x"], "b": ["x"]})
    request = workloads.work(needs="x")
    ((_, used, _),) = sends(offer(system, request))
    idle = ({"a", "b"} - {used}).pop()
    adapter = request.adapter_version
    assert system.fleet.stop_using(used, adapter, now_seconds=0.1)
    assert not system.fleet.stop_using(idle, adapter, now_seconds=0.1)
    system.fleet.loaded(idle, adapter, now_seconds=0.2)
    placed = sends(offer(system, workloads.work(needs="x"), at=0.3))
    assert [endpoint for _, endpoint, _ in placed] == [idle]


def test_a_cold_request_is_decided_on_before_the_next_tick() -> None:
    system = build(held={"a": []})
    system.next_actions(now_seconds=1.0)
    system.offer(
        workloads.work(needs="cold", at=1.03),
        idempotent=True,
        now_seconds=1.03,
    )
    assert system.next_due_seconds() == pytest.approx(1.03)


def test_an_answer_that_breaks_off_late_can_still_be_resumed() -> None:
    # The caller's timeout was 5 s for the first token; it received that and
    # has read the answer for a minute when the endpoint fails. Measured from
    # its arrival, its timeout is long over, and nothing would be resumed.
    system = build(held={"a": ["x"], "b": ["x"]})
    request = workloads.work(needs="x", patience=5.0)
    offer(system, request)
    system.first_token(request.request_id, now_seconds=0.5)
    system.failed(request.request_id, bytes_sent=True, now_seconds=60.0)
    ((request_id, _, attempt),) = sends(system.next_actions(now_seconds=60.0))
    assert (request_id, attempt) == (request.request_id, 2)


def test_room_is_used_although_another_adapter_has_to_wait() -> None:
    # One endpoint is so slow that requests for its only adapter queue. That
    # delay must not make the instance refuse requests for adapters whose
    # holders are idle.
    system = build(held={"slow": ["x"], "idle": ["y"]})
    offer(system, *(workloads.work(needs="x") for _ in range(4)))
    for number in range(40):
        at = number / 10
        system.offer(
            workloads.work(needs="x", at=at), idempotent=True, now_seconds=at
        )
        system.next_actions(now_seconds=at)
    placed = sends(offer(system, workloads.work(needs="y", at=4.0), at=4.0))
    assert [endpoint for _, endpoint, _ in placed] == ["idle"]


def test_a_request_that_breaks_at_each_endpoint_reaches_three() -> None:
    # A request may crash each endpoint that runs it; with much traffic the
    # retry budget would let it crash ten of them.
    names = [f"e{number}" for number in range(8)]
    system = build(held={name: ["x"] for name in names})
    for number in range(200):
        request = workloads.work(needs="x", at=float(number))
        offer(system, request, at=float(number))
        system.finished(
            request.request_id, used_tokens=1.0, now_seconds=float(number)
        )
    request = workloads.work(needs="x", at=200.0)
    done = offer(system, request, at=200.0)
    reached = sends(done)
    for _ in names:
        system.failed(request.request_id, bytes_sent=True, now_seconds=200.0)
        done = system.next_actions(now_seconds=200.0)
        reached += sends(done)
        if not sends(done):
            break
    assert len(reached) == 3
    assert done == [actions.Fail(request, "attempt_failed", True)]


def test_the_only_holder_that_fails_a_request_twice_is_avoided() -> None:
    # The only endpoint that holds an adapter breaks off every answer with it.
    # Sent there repeatedly within milliseconds, the request would use up all
    # retries, although another endpoint is healthy.
    system = build(held={"cuts": ["x"], "well": []})
    request = workloads.work(needs="x")
    offer(system, request)
    done: list[actions.Action] = []
    for at in (0.1, 0.2):
        system.failed(request.request_id, bytes_sent=True, now_seconds=at)
        done = system.next_actions(now_seconds=at)
    assert not sends(done)
    for step in range(1, 9):
        done += system.next_actions(now_seconds=0.2 + step / 10)
    orders = [each for each in done if isinstance(each, actions.OrderLoad)]
    assert [order.load.endpoint for order in orders] == ["well"]
