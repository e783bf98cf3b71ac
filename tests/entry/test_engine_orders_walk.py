"""Random schedules for one owner and its engine, in simulated time."""

from __future__ import annotations

import random

import pytest

from tests.fakes import engine_wire

Travel = engine_wire.Travel

SCHEDULES = 40
STEPS = 250
NO_DELAY = Travel()
GAP_SECONDS = (0.003, 0.01, 0.03, 0.1)
RUN_SECONDS = (0.01, 0.02, 0.02, 0.02, 0.1, 0.3)
PAUSE_SECONDS = (0.1, 0.4, 0.9)
REPORT_TRAVELS = (
    *[NO_DELAY] * 3,
    Travel(back_seconds=0.2),
    Travel(back_seconds=0.45),
    Travel(there_seconds=0.3),
)
ORDER_TRAVELS = (
    *[NO_DELAY] * 40,
    Travel(lost=True),
    Travel(there_seconds=0.1, lost=True),
    Travel(there_seconds=0.2),
    Travel(back_seconds=0.2),
)
STEP_WEIGHTS = {
    "ask": 750,
    "report": 150,
    "pause": 30,
    "restart": 3,
    "wait": 67,
}


def run_schedule(seed: int) -> engine_wire.EngineWire:
    draws = random.Random(seed)
    wire = engine_wire.EngineWire(seed=seed)
    adapters = "abcdefghi"[: draws.randint(6, 9)]
    for kind in draws.choices(
        [*STEP_WEIGHTS], [*STEP_WEIGHTS.values()], k=STEPS
    ):
        wire.run_for(draws.choice(GAP_SECONDS))
        wire.report_travel = draws.choice(REPORT_TRAVELS)
        wire.order_travel = draws.choice(ORDER_TRAVELS)
        if kind == "ask":
            run_seconds = draws.choice(RUN_SECONDS)
            wire.submit(draws.choice(adapters), run_seconds=run_seconds)
        elif kind == "report":
            wire.owned.request_report()
        elif kind == "pause":
            wire.pause(draws.choice(PAUSE_SECONDS))
        elif kind == "restart":
            wire.engine.restart()
    return wire


@pytest.mark.parametrize("seed", range(SCHEDULES))
def test_no_order_loads_more_than_the_engine_has_room_for(seed) -> None:
    # An engine that is ordered to load too much crashes and restarts empty.
    assert not run_schedule(seed).engine.overfull
