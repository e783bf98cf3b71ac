"""The decisions of an engine's schedule under recorded random loads."""

from __future__ import annotations

import pytest

from boragefold.policy import engine_decisions
from tests.fakes import engine_loads
from tests.fakes import schedule_replay


@pytest.mark.parametrize(
    ("seed", "expected"),
    [
        (0, "cdd5a9302db3731c"),
        (1, "8163518ca6cb7e72"),
        (5, "28d54f57f3ddcf92"),
        (6, "dd3e3436c63e5631"),
        (9, "ac847eb613670736"),
        (10, "7bc9ee9a56933670"),
        (11, "0fa9d57743411995"),
    ],
)
def test_a_cheaper_schedule_decides_the_same(seed: int, expected: str) -> None:
    # The digests were recorded with a schedule that scans its whole queue for
    # each decision. Sums that miss a change would grant, refuse or order
    # something else, or estimate another wait.
    assert schedule_replay.Replay(seed).run() == expected


def test_a_refusal_that_frees_a_slot_spares_those_that_wait_for_one() -> None:
    # An adapter becomes idle when the last request for it is refused. With the
    # wait for a slot as it was before, a request that can have this slot would
    # be refused in the same pass.
    bench = engine_loads.Bench()
    schedule = bench.schedule
    adapters = ["a0", "a1", "a2", "a3", "a4"]
    bench.slots.apply_report(
        {engine_loads.MODEL: dict.fromkeys(adapters, 0)}, {}, now_seconds=0.0
    )
    for adapter in adapters[1:]:
        schedule.submit(
            engine_loads.make_request(adapter, adapter), now_seconds=0.0
        )
        schedule.advance(now_seconds=0.0)
        if adapter != "a4":
            schedule.record_start(adapter, now_seconds=0.0)
    for request in (
        engine_loads.make_request(
            "first", "a0", prompt=6_000, priority=0, target=99, patience=1.0
        ),
        engine_loads.make_request("second", "b", target=99, patience=1.05),
    ):
        assert schedule.submit(request, now_seconds=0.0) is None
    schedule.order_delay_seconds = 9.0
    refused = [
        action.request.request_id
        for action in schedule.advance(now_seconds=0.95)
        if isinstance(action, engine_decisions.Refusal)
    ]
    assert refused == ["first"]
    assert schedule.queued == 1
