from __future__ import annotations

import collections

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from boragefold.policy import fair_queue
from boragefold.policy import refusal
from boragefold.policy import work as works
from boragefold.telemetry import counters as telemetry
from tests.fakes import workloads

ANY = [workloads.adapter("")]


def build(*requests: works.Work) -> fair_queue.FairQueue:
    queue = fair_queue.FairQueue(counters=telemetry.Counters())
    for each in requests:
        queue.push(each, now_seconds=each.arrived_at_seconds)
    return queue


def drain(
    queue: fair_queue.FairQueue,
    count: int,
    candidates: list[works.AdapterVersion] = ANY,
) -> list[works.Work]:
    popped = (
        queue.pop(candidates=candidates, now_seconds=0.0) for _ in range(count)
    )
    return [each for each in popped if each is not None]


def workspaces(served: list[works.Work]) -> str:
    return "".join(each.workspace for each in served)


def test_workspaces_take_turns_by_tokens() -> None:
    # One workspace has a hundred requests queued, another has three. The
    # three must not wait behind the hundred.
    queue = build(
        *(workloads.work("a") for _ in range(100)),
        *(workloads.work("b", at=1.0) for _ in range(3)),
    )
    assert workspaces(drain(queue, 6)) == "ababab"


def test_a_workspace_returns_from_idle_without_credit() -> None:
    # A workspace was idle while another was served for an hour. If the idle
    # time counted as credit, its return would block the other until it had
    # caught up.
    queue = build(
        workloads.work("b"), *(workloads.work("a") for _ in range(100))
    )
    drain(queue, 51)
    for _ in range(20):
        queue.push(workloads.work("b"), now_seconds=0.0)
    assert workspaces(drain(queue, 20)).count("a") == 10


def test_a_blocked_adapter_blocks_no_other() -> None:
    # The oldest request needs an adapter that is still being loaded.
    cold = workloads.work("a", needs="cold")
    warm = workloads.work("a", needs="warm", at=5.0)
    queue = build(cold, warm)
    assert drain(queue, 2, [workloads.adapter("warm")]) == [warm]
    waiting = queue.waiting_by_adapter()
    assert set(waiting) == {workloads.adapter("cold")}
    assert waiting[workloads.adapter("cold")].by_workspace == {"a": 100}
    assert drain(queue, 1, [workloads.adapter("cold")]) == [cold]
    assert not queue.waiting_by_adapter()


def test_a_blocked_workspace_doesnt_save_up_its_wait() -> None:
    # A workspace waits long for a load while another is served. Once its
    # adapter is loaded it may catch up two requests, not the whole wait.
    queue = build(
        *(workloads.work("a", needs="cold") for _ in range(20)),
        *(workloads.work("b", needs="warm") for _ in range(200)),
    )
    drain(queue, 100, [workloads.adapter("warm")])
    both = [workloads.adapter("warm"), workloads.adapter("cold")]
    assert collections.Counter(workspaces(drain(queue, 20, both)))["b"] >= 8


def test_a_short_request_overtakes_a_recent_long_one() -> None:
    long = workloads.work(tokens=1000, at=0.0)
    early = workloads.work(tokens=10, at=3.0)
    late = workloads.work(tokens=10, at=8.0)
    assert drain(build(late, long, early), 3) == [early, long, late]


def test_late_sensitive_work_goes_first_but_not_always() -> None:
    # Late-sensitive requests alone would fill the engines. Ordinary ones must
    # still get a fifth of the tokens.
    queue = build(
        *(workloads.work("a", late_sensitive=True) for _ in range(100)),
        *(workloads.work("b") for _ in range(100)),
    )
    served = workspaces(drain(queue, 50))
    assert served.startswith("aaa")
    assert served.count("b") == 10


def test_a_request_that_would_time_out_is_refused_early() -> None:
    queue = build(*(workloads.work("a", tokens=100) for _ in range(100)))
    asked = {"now_seconds": 0.0, "throughput_tokens_per_second": 1000.0}
    same = queue.offer(workloads.work("a", patience=10.0), **asked)
    assert isinstance(same, refusal.Refused)
    assert same.reason == "queue_too_long"
    # It would start in 10 s, but at most 7 s of its timeout may pass first.
    assert same.retry_after_seconds == pytest.approx(3.0)
    # Requests of another workspace don't wait behind those hundred.
    other = queue.offer(workloads.work("b", patience=10.0), **asked)
    assert isinstance(other, fair_queue.Queued)
    assert other.start_in_seconds <= 0.1


def test_the_estimate_follows_the_measured_rate() -> None:
    # Late-sensitive requests keep arriving and are served first, so ordinary
    # ones get a fifth of the throughput. An estimate from the whole throughput
    # would be five times too low, and admit requests that time out in the
    # queue.
    queue = build(*(workloads.work("a") for _ in range(100)))
    for step in range(50):
        now = step / 10
        urgent = workloads.work("b", at=now, late_sensitive=True)
        queue.push(urgent, now_seconds=now)
        queue.pop(candidates=ANY, now_seconds=now)
    start = queue.estimate_start_seconds(
        workloads.work("a", at=5.0), throughput_tokens_per_second=1000.0
    )
    assert 30 < start < 60


def test_without_throughput_requests_are_refused() -> None:
    queue = build(workloads.work("a"))
    outcome = queue.offer(
        workloads.work("a"), now_seconds=0.0, throughput_tokens_per_second=0.0
    )
    assert isinstance(outcome, refusal.Refused)
    assert outcome.retry_after_seconds is None


def test_requests_of_timed_out_callers_are_removed() -> None:
    short = workloads.work(patience=1.0)
    long = workloads.work(patience=5.0)
    queue = build(long, short)
    assert queue.next_expiry_seconds() == 1.0
    assert queue.expire(now_seconds=1.0) == [short]
    assert queue.remove(long.request_id) == long
    assert queue.remove(long.request_id) is None
    assert len(queue) == 0
    assert queue.next_expiry_seconds() is None


def test_a_finished_request_is_charged_what_it_used() -> None:
    # Requests of "a" ask for 1000 tokens and use 100; those of "b" ask for
    # 100 and use them. Charged by the tokens asked for, "a" would get a tenth.
    queue = build(
        *(workloads.work("a", tokens=1000) for _ in range(60)),
        *(workloads.work("b", tokens=100) for _ in range(60)),
    )
    served = []
    for _ in range(60):
        (each,) = drain(queue, 1)
        queue.settle(each, used_tokens=100)
        served.append(each)
    assert 25 <= workspaces(served).count("a") <= 35


@settings(derandomize=True, max_examples=150, deadline=None)
@given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from("abc"), strategies.integers(1, 500)
        ),
        min_size=30,
        max_size=120,
    ),
    strategies.lists(strategies.integers(0, 3), max_size=60),
)
def test_backlogged_workspaces_differ_by_two_requests_at_most(
    backlog: list[tuple[str, int]], arrivals: list[int]
) -> None:
    # The bound of start-time fair queueing holds from any time on at which
    # two workspaces both have requests queued.
    queue = build(
        *(workloads.work(name, tokens=tokens) for name, tokens in backlog)
    )
    waiting = collections.Counter(name for name, _tokens in backlog)
    received: collections.Counter[str] = collections.Counter()
    bound = 2 * max(tokens for _name, tokens in backlog)
    while waiting["a"] and waiting["b"]:
        (each,) = drain(queue, 1)
        waiting[each.workspace] -= 1
        received[each.workspace] += each.max_tokens
        assert abs(received["a"] - received["b"]) <= bound
        if arrivals and arrivals.pop():
            queue.push(workloads.work("c", tokens=300), now_seconds=0.0)


@settings(derandomize=True, max_examples=100, deadline=None)
@given(strategies.integers(100, 4000), strategies.integers(1, 100))
def test_a_long_request_is_never_starved(long: int, short: int) -> None:
    # Short requests keep arriving, faster than they are served. The long one
    # may be overtaken only by those that arrive within its length penalty.
    queue = build(workloads.work(tokens=long, patience=40.0))
    # 20 requests are served per second while 40 arrive: serving those that
    # arrived within the penalty of 10 s takes 20 s, and one more step.
    for step in range(402):
        now = step * 0.05
        for _ in range(2):
            queue.push(workloads.work(tokens=short, at=now), now_seconds=now)
        served = queue.pop(candidates=ANY, now_seconds=now)
        if served is not None and served.max_tokens == long:
            return
    raise AssertionError("the long request was starved")


@settings(derandomize=True, max_examples=150, deadline=None)
@given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["push", "pop", "remove", "expire"]),
            strategies.sampled_from("abc"),
            strategies.sampled_from(["", "x", "y"]),
            strategies.integers(0, 300),
            strategies.booleans(),
        ),
        max_size=80,
    )
)
def test_nothing_is_lost_or_served_twice(
    steps: list[tuple[str, str, str, int, bool]],
) -> None:
    queue = build()
    expected: dict[str, works.Work] = {}
    for now, (kind, name, needs, tokens, late) in enumerate(steps):
        taken: list[works.Work] = []
        if kind == "push":
            request = workloads.work(
                name,
                needs=needs,
                tokens=tokens,
                at=now,
                patience=30,
                late_sensitive=late,
            )
            queue.push(request, now_seconds=now)
            expected[request.request_id] = request
        elif kind == "pop":
            one = queue.pop(
                candidates=[workloads.adapter(needs)], now_seconds=now
            )
            wanted = [
                each
                for each in expected.values()
                if each.adapter_version.adapter == needs
            ]
            assert (one is None) == (not wanted)
            taken = [one] if one is not None else []
        elif kind == "expire":
            taken = queue.expire(now_seconds=now)
        elif expected:
            removed = queue.remove(next(iter(expected)))
            taken = [removed] if removed is not None else []
        for each in taken:
            assert expected.pop(each.request_id) == each
        assert len(queue) == len(expected)
        waiting = queue.waiting_by_adapter()
        assert sum(each.requests for each in waiting.values()) == len(expected)
