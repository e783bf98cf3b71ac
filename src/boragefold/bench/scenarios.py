"""The load patterns and faults that the bench plays, with their seeds."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from boragefold.bench import deployments
from boragefold.bench import fleet as fleets
from boragefold.bench import traffic

WARM_UP_SECONDS = 40.0
END_SECONDS = 120.0
# Both sides of a change are covered.
CHANGE_SECONDS = 60.0
RECOVERY_SECONDS = 90.0

HOT = "large-2"
Fault = Callable[[fleets.Fleet], None]


class Scenario(NamedTuple):
    """Callers' behaviour, and the faults that are timed against it.

    ``sold_part`` is the sum of the rates over what the engines can serve.
    """

    name: str
    pattern: traffic.Pattern
    faults: tuple[tuple[float, Fault], ...] = ()
    sold_part: float = deployments.SOLD_PART
    seed: int = 1


def _slow(fleet: fleets.Fleet) -> None:
    next(iter(fleet.engines.values())).set_slowness(6.0)


def _quick(fleet: fleets.Fleet) -> None:
    next(iter(fleet.engines.values())).set_slowness(1.0)


def _restart_one(fleet: fleets.Fleet) -> None:
    fleet.restart(next(iter(fleet.engines)))


def _restart_all(fleet: fleets.Fleet) -> None:
    for name in fleet.engines:
        fleet.restart(name)


def _fail_loads(fleet: fleets.Fleet) -> None:
    fleet.store.failure_share = 0.3


def _heal_loads(fleet: fleets.Fleet) -> None:
    fleet.store.failure_share = 0.0


def _halve_store(fleet: fleets.Fleet) -> None:
    fleet.store.loads_per_second = fleet.deployment.loads_per_second / 2


def _whole_store(fleet: fleets.Fleet) -> None:
    fleet.store.loads_per_second = fleet.deployment.loads_per_second


_HOT_CALLER = traffic.Pattern(
    factors={HOT: [(CHANGE_SECONDS, RECOVERY_SECONDS, 5.0 * 0.85 / 0.6)]}
)

SCENARIOS = {
    each.name: each
    for each in (
        Scenario(name="steady", pattern=traffic.Pattern()),
        Scenario(
            name="burst",
            pattern=traffic.Pattern(
                load=0.5,
                factors={
                    "large-3": [(CHANGE_SECONDS, CHANGE_SECONDS + 8, 4.0)],
                    "small-1": [(CHANGE_SECONDS + 20, RECOVERY_SECONDS, 2.0)],
                },
            ),
        ),
        Scenario(name="hot caller", pattern=_HOT_CALLER),
        Scenario(
            name="hot adapter",
            pattern=traffic.Pattern(
                hot_adapter=traffic.HotAdapter(HOT, 0.7, CHANGE_SECONDS)
            ),
        ),
        Scenario(
            name="slow endpoint",
            pattern=traffic.Pattern(),
            faults=((CHANGE_SECONDS, _slow), (RECOVERY_SECONDS, _quick)),
        ),
        Scenario(
            name="long among short",
            pattern=traffic.Pattern(load=0.45, long_share=0.05),
        ),
        Scenario(name="overload", pattern=traffic.Pattern(load=1.5)),
        Scenario(
            name="oversold",
            pattern=traffic.Pattern(load=1.5),
            sold_part=1.8,
        ),
        Scenario(
            name="popularity shift",
            pattern=traffic.Pattern(shift_at_seconds=CHANGE_SECONDS),
        ),
        Scenario(
            name="restart one",
            pattern=traffic.Pattern(),
            faults=((CHANGE_SECONDS, _restart_one),),
        ),
        Scenario(
            name="restart all",
            pattern=traffic.Pattern(),
            faults=((CHANGE_SECONDS, _restart_all),),
        ),
        Scenario(
            name="failing loads",
            pattern=traffic.Pattern(),
            faults=(
                (CHANGE_SECONDS, _fail_loads),
                (RECOVERY_SECONDS, _heal_loads),
            ),
        ),
        Scenario(
            name="half store",
            pattern=traffic.Pattern(),
            faults=(
                (CHANGE_SECONDS, _halve_store),
                (RECOVERY_SECONDS, _whole_store),
            ),
        ),
        Scenario(
            name="hot caller, half store",
            pattern=_HOT_CALLER,
            faults=(
                (CHANGE_SECONDS, _halve_store),
                (RECOVERY_SECONDS, _whole_store),
            ),
        ),
    )
}

__all__ = [
    "CHANGE_SECONDS",
    "END_SECONDS",
    "HOT",
    "SCENARIOS",
    "Scenario",
    "WARM_UP_SECONDS",
]
