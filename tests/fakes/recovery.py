"""Prints how long rights stay without a holder, over many seeds.

Run ``python -m tests.fakes.recovery`` with ``src`` on the path.
"""

from __future__ import annotations

from collections.abc import Callable
import statistics

from tests.fakes import fleet as fleets
from tests.fakes import network as networks

SEEDS = range(20)
COUNTS = (2, 3, 7, 15)


def settled(seed: int, count: int) -> fleets.Fleet:
    network = networks.Network(seed=seed)
    fleet = fleets.Fleet(network=network)
    fleet.start_all("a", count)
    fleet.seconds_until_agreed("a", 30.0)
    network.run_for(12.0 + network.random.random())
    return fleet


def pick(fleet: fleets.Fleet, *, leader: bool) -> fleets.Instance:
    return next(
        one
        for one in fleet.instances.values()
        if one.views.is_leader == leader
    )


def killed(fleet: fleets.Fleet, *, leader: bool) -> float:
    fleet.kill(pick(fleet, leader=leader))
    return fleet.seconds_until_agreed("a", 20.0)


def left(fleet: fleets.Fleet, *, leader: bool) -> float:
    leaver = pick(fleet, leader=leader)
    start_seconds = fleet.network.clock.now_seconds()
    leaver.views.leave()
    while not leaver.views.has_left:
        fleet.network.run_for(0.001)
    fleet.kill(leaver)
    fleet.seconds_until_agreed("a", 5.0)
    return fleet.network.clock.now_seconds() - start_seconds


def restarted(fleet: fleets.Fleet) -> float:
    for instance in list(fleet.instances.values()):
        fleet.kill(instance, listed=True)
        fleet.start("a", instance.self_id.address)
    return fleet.seconds_until_agreed("a", 20.0)


def joined(fleet: fleets.Fleet) -> float:
    fleet.start("a", "a-new:7000")
    return fleet.seconds_until_agreed("a", 20.0)


CASES: dict[str, Callable[[fleets.Fleet], float]] = {
    "steward killed": lambda fleet: killed(fleet, leader=True),
    "member killed": lambda fleet: killed(fleet, leader=False),
    "steward leaves": lambda fleet: left(fleet, leader=True),
    "member leaves": lambda fleet: left(fleet, leader=False),
    "all restarted": restarted,
    "one joins": joined,
}


def main() -> None:
    for name, run in CASES.items():
        for count in COUNTS:
            spent = [run(settled(seed, count)) for seed in SEEDS]
            print(
                f"{name:15} {count:3} median {statistics.median(spent):5.2f}"
                f" worst {max(spent):5.2f} s",
                flush=True,
            )


if __name__ == "__main__":
    main()
