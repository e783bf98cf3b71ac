"""Load patterns, measured by the answers and waits of the callers."""

from __future__ import annotations

import collections
import statistics

from tests.fakes import workloads

SPECS = [workloads.spec(f"e{number}") for number in range(5)]


def rig(*, rate: float = 100_000.0, burst: float = 100_000.0) -> workloads.Rig:
    bucket = workloads.BucketBalance(rate=rate, burst=burst)
    return workloads.Rig(specs=SPECS, bucket=bucket)


def waits(answers: list[workloads.Answer], workspace: str) -> list[float]:
    return [
        answer.wait
        for answer in answers
        if answer.work.workspace == workspace and not answer.refused
    ]


def reasons(
    answers: list[workloads.Answer], workspace: str
) -> collections.Counter[str]:
    return collections.Counter(
        answer.refused.reason if answer.refused else "served"
        for answer in answers
        if answer.work.workspace == workspace
    )


def test_a_burst_inside_the_rate_is_served_whole() -> None:
    # A workspace sends 60 requests at once and then none. They fit its burst
    # limit but not the engines. All must be answered, and the single request
    # of another workspace must not wait behind the sixty.
    system = rig()
    system.submit(*(workloads.work("burst") for _ in range(60)))
    system.submit(workloads.work("quiet", at=0.05))
    answers = system.run(until=60.0)
    assert reasons(answers, "burst") == {"served": 60}
    assert waits(answers, "quiet")[0] < 1.2
    assert max(waits(answers, "burst")) < 5.0


def test_the_excess_over_a_rate_is_refused_at_once() -> None:
    # One workspace sends five times its rate for ten seconds. The excess must
    # be refused at once with a time to retry after, not held until its callers
    # are about to time out; another workspace within its rate is unaffected.
    system = rig(rate=500.0, burst=500.0)
    system.submit(
        *(workloads.work("hot", at=number / 25) for number in range(250))
    )
    system.submit(
        *(workloads.work("calm", at=number / 4) for number in range(40))
    )
    answers = system.run(until=60.0)
    refused = [each for each in answers if each.refused]
    assert reasons(answers, "calm") == {"served": 40}
    assert max(waits(answers, "calm")) < 0.3
    served = reasons(answers, "hot")["served"]
    # 500 tokens of burst and eleven seconds of rate, as the last requests may
    # wait one second.
    assert 50 <= served <= 60
    assert {each.refused.reason for each in refused} == {"rate_exceeded"}
    held = [each.ended_at - each.work.arrived_at_seconds for each in refused]
    assert statistics.median(held) == 0.0
    assert max(held) <= 1.0
    assert all(each.refused.retry_after_seconds > 0 for each in refused)


def test_a_slow_endpoint_loses_traffic_and_gets_it_back() -> None:
    # One of five engines generates at a tenth of its speed for a while, but
    # answers every request. Callers that are sent there wait ten times as
    # long. It must lose its traffic within seconds, and get it back later.
    system = rig()
    system.submit(
        *(workloads.work(tokens=20, at=number / 20) for number in range(2400))
    )
    system.at(20.0, lambda: system.token_seconds.update(e0=0.1))
    system.at(60.0, lambda: system.token_seconds.update(e0=0.01))
    answers = system.run(until=130.0)

    def share(start: float, end: float) -> float:
        window = [
            answer.endpoint == "e0"
            for answer in answers
            if start <= answer.work.arrived_at_seconds < end
        ]
        return statistics.mean(window)

    assert 0.1 < share(0, 20) < 0.3
    assert share(30, 60) < 0.04
    assert share(100, 120) > 0.1


def test_short_requests_pass_a_long_one_and_it_still_starts() -> None:
    # One workspace sends long notes and many short summaries to nearly full
    # engines. In order of arrival every summary would wait as long as the
    # notes; shortest first, the notes would never start.
    system = rig()
    system.submit(
        *(
            workloads.work(tokens=2000, at=start, patience=100.0)
            for start in (0.0,) * 15 + tuple(range(2, 60, 2))
        )
    )
    system.submit(
        *(
            workloads.work(tokens=50, at=number / 10, patience=100.0)
            for number in range(600)
        )
    )
    answers = system.run(until=400.0)
    assert reasons(answers, "quadro") == {"served": 644}
    short = [each.wait for each in answers if each.work.max_tokens == 50]
    long = [each.wait for each in answers if each.work.max_tokens == 2000]
    assert max(short) < 5.0
    assert max(long) < 15.0


def test_overload_sheds_ordinary_work_above_its_share_first() -> None:
    # Together the workspaces ask for three times what the engines generate,
    # each within its own rate. Late-sensitive requests and the small sender
    # must still be served, the big sender must be refused early, and no
    # caller may wait until it times out.
    system = rig()
    system.submit(
        *(
            workloads.work("big", at=number / 50, patience=10.0)
            for number in range(1500)
        )
    )
    system.submit(
        *(
            workloads.work("small", at=number / 2, patience=10.0)
            for number in range(60)
        )
    )
    system.submit(
        *(
            workloads.work(
                "late", at=number / 8, patience=10.0, late_sensitive=True
            )
            for number in range(240)
        )
    )
    answers = system.run(until=60.0)
    assert reasons(answers, "late") == {"served": 240}
    assert statistics.mean(waits(answers, "late")) < 0.6
    assert reasons(answers, "small")["served"] >= 55
    big = reasons(answers, "big")
    assert big["caller_gave_up"] == 0
    assert big["overload_above_share"] > 0
    # The engines stay busy meanwhile, with 20 requests per second in all.
    total = sum(
        reasons(answers, each)["served"] for each in ("big", "small", "late")
    )
    assert total >= 0.9 * 20 * 30
