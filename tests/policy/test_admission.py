from __future__ import annotations

import collections

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from boragefold.policy import admission
from boragefold.policy import refusal
from boragefold.policy import token_balance
from boragefold.telemetry import counters as telemetry
from tests.fakes import workloads


def build(
    *, rate: float, burst: float
) -> tuple[admission.Admission, workloads.BucketBalance]:
    bucket = workloads.BucketBalance(rate=rate, burst=burst)
    decisions = admission.Admission(
        token_balance=bucket, counters=telemetry.Counters()
    )
    return decisions, bucket


def empty(bucket: workloads.BucketBalance) -> None:
    bucket.reserve(workspace="quadro", tokens=bucket.burst)


def test_a_short_shortfall_is_waited_for() -> None:
    decisions, bucket = build(rate=1000, burst=1000)
    empty(bucket)
    request = workloads.work(tokens=200)
    waiting = decisions.offer(request, now_seconds=0.0)
    assert isinstance(waiting, admission.Waiting)
    bucket.now = 0.2
    (decided,) = decisions.advance(now_seconds=0.2)
    assert decided.work == request
    assert isinstance(decided.outcome, admission.Admitted)
    assert decisions.next_due_seconds() is None


def test_a_callback_of_the_balance_ends_the_wait() -> None:
    decisions, bucket = build(rate=1000, burst=1000)
    empty(bucket)
    decisions.offer(workloads.work(tokens=500), now_seconds=0.0)
    bucket.burst, bucket.now = 2000, 0.02
    bucket.rate = 100_000
    assert not decisions.advance(now_seconds=0.02, workspace="other")
    assert len(decisions.advance(now_seconds=0.02, workspace="quadro")) == 1


def test_the_wait_is_bounded_by_the_callers_timeout() -> None:
    decisions, bucket = build(rate=1000, burst=1000)
    empty(bucket)
    request = workloads.work(tokens=500, patience=1.0)
    outcome = decisions.offer(request, now_seconds=0.0)
    assert isinstance(outcome, refusal.Refused)
    assert outcome.retry_after_seconds == 0.5


def test_a_request_larger_than_the_burst_is_refused_for_good() -> None:
    # Guards against a caller that is told to retry although its request needs
    # more tokens than its bucket ever holds: it would retry for ever.
    decisions, bucket = build(rate=1000, burst=1000)
    outcome = decisions.offer(workloads.work(tokens=1001), now_seconds=0.0)
    assert isinstance(outcome, refusal.Refused)
    assert (outcome.status, outcome.reason) == (413, "larger_than_burst")
    assert outcome.retry_after_seconds is None
    # The same while other requests wait.
    empty(bucket)
    decisions.offer(workloads.work(tokens=10), now_seconds=0.0)
    outcome = decisions.offer(workloads.work(tokens=1001), now_seconds=0.0)
    assert isinstance(outcome, refusal.Refused)
    assert outcome.reason == "larger_than_burst"


def test_small_requests_dont_overtake_a_large_one() -> None:
    # Guards against starvation of a large request that waits while small ones
    # keep coming: each small one fits the available tokens; admitted at once,
    # they would use them all, and the large one would be refused.
    decisions, bucket = build(rate=1000, burst=1000)
    empty(bucket)
    large = workloads.work(tokens=600)
    decisions.offer(large, now_seconds=0.0)
    admitted = []
    for step in range(1, 21):
        bucket.now = step * 0.05
        small = workloads.work(tokens=40, at=bucket.now)
        outcome = decisions.offer(small, now_seconds=bucket.now)
        assert not isinstance(outcome, admission.Admitted) or admitted
        admitted += [
            each.work
            for each in decisions.advance(now_seconds=bucket.now)
            if isinstance(each.outcome, admission.Admitted)
        ]
    assert admitted[0] == large
    assert len(admitted) > 5


def test_a_disconnected_caller_doesnt_block_the_queue() -> None:
    decisions, bucket = build(rate=1000, burst=1000)
    empty(bucket)
    large = workloads.work(tokens=900)
    small = workloads.work(tokens=50)
    decisions.offer(large, now_seconds=0.0)
    decisions.offer(small, now_seconds=0.0)
    assert decisions.withdraw(large.request_id) == large
    assert decisions.withdraw(large.request_id) is None
    bucket.now = 0.06
    (decided,) = decisions.advance(now_seconds=0.06)
    assert decided.work == small


def test_requests_that_cant_be_served_in_time_are_refused_early() -> None:
    # Guards against requests that wait until their limit for tokens that
    # can't come, as the holder of the rate is gone and nothing is refilled.
    decisions, bucket = build(rate=1000, burst=1000)
    empty(bucket)
    for _number in range(5):
        decisions.offer(workloads.work(tokens=100), now_seconds=0.0)
    bucket.rate = 0.001
    decided = decisions.advance(now_seconds=0.05)
    assert len(decided) == 5
    assert all(isinstance(each.outcome, refusal.Refused) for each in decided)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["a", "b"]),
            strategies.integers(1, 1200),
            strategies.floats(0.0, 0.4),
            strategies.booleans(),
        ),
        max_size=40,
    )
)
def test_each_request_gets_one_outcome_and_no_token_is_lost(
    steps: list[tuple[str, int, float, bool]],
) -> None:
    # For any sequence of arrivals, waits and disconnects: one outcome for each
    # request, in order of arrival within a workspace, and no reservation
    # outside an outcome.
    decisions, bucket = build(rate=500, burst=1000)
    outcomes: collections.Counter[str] = collections.Counter()
    reserved: list[token_balance.Reservation] = []
    order: dict[str, list[str]] = collections.defaultdict(list)
    offered = []

    def note(request_id: str, workspace: str, outcome: object) -> None:
        outcomes[request_id] += 1
        if isinstance(outcome, admission.Admitted):
            reserved.append(outcome.reservation)
            order[workspace].append(request_id)

    def advance() -> None:
        for each in decisions.advance(now_seconds=bucket.now):
            note(each.work.request_id, each.work.workspace, each.outcome)

    for workspace, tokens, pause, disconnects in steps:
        bucket.now += pause
        advance()
        request = workloads.work(workspace, tokens=tokens, at=bucket.now)
        offered.append(request)
        outcome = decisions.offer(request, now_seconds=bucket.now)
        if not isinstance(outcome, admission.Waiting):
            note(request.request_id, workspace, outcome)
        elif disconnects and decisions.withdraw(request.request_id):
            outcomes[request.request_id] += 1
    while (due := decisions.next_due_seconds()) is not None:
        bucket.now = max(due, bucket.now + 0.01)
        advance()
    assert outcomes == {each.request_id: 1 for each in offered}
    for admitted in order.values():
        arrived = [each.request_id for each in offered]
        assert admitted == sorted(admitted, key=arrived.index)
    for each in reserved:
        bucket.settle(each, used_tokens=0)
        bucket.settle(each, used_tokens=0)
    assert len(bucket.settlements) >= len(reserved)
    bucket.now += 10
    assert bucket.level("a") == bucket.level("b") == bucket.burst


def test_without_a_rate_holder_the_rate_isnt_reported_as_exceeded() -> None:
    # Guards against callers within their rate that are refused for exceeding
    # it, when the instance has lost its lease and nobody grants tokens.
    class BalanceWithoutHolder(workloads.BucketBalance):
        def reserve(self, *, workspace, tokens):
            return token_balance.Shortfall(
                ready_in_seconds=60.0, no_holder=True
            )

    decisions = admission.Admission(
        token_balance=BalanceWithoutHolder(rate=1000, burst=1000),
        counters=telemetry.Counters(),
    )
    outcome = decisions.offer(workloads.work(tokens=10), now_seconds=0.0)
    assert isinstance(outcome, refusal.Refused)
    assert outcome.reason == "no_rate_holder"
    assert outcome.status == refusal.UNAVAILABLE
