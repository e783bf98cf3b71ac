"""Random schedules for a whole fleet and its engines."""

from __future__ import annotations

from collections.abc import Iterator
import math
import random
from typing import NamedTuple

from tests.fakes import fleet_walk

Fault = fleet_walk.Fault

CENTRES = ("dc-a", "dc-b", "dc-c")
MAX_INSTANCES = 4
GAP_SECONDS = (0.3, 4.0)
CUT_SECONDS = (0.8, 10.0)
# Beyond all patience with voters that aren't heard.
LONG_CUT_SECONDS = (16.0, 30.0)
PAUSE_SECONDS = (0.3, 4.0)
DOWN_SECONDS = (0.05, 2.0)
LOSS_SECONDS = (0.5, 4.0)
LEAVING_SECONDS = (1.0, 3.0)
MAX_FAULTS = 4
# New instances listen beyond the numbers of those that were there before.
FIRST_JOINED = 100
AFTER_SECONDS = 6.0
# Those that are gone for good count for a while.
AFTER_GONE_SECONDS = 20.0


class Schedule(NamedTuple):
    """A fleet, what befalls it and how long it is played."""

    centres: dict[str, int]
    faults: tuple[fleet_walk.Fault, ...]
    seconds: float


class Plan:
    """Draws one schedule."""

    def __init__(self, *, seed: int) -> None:
        self._random = random.Random(seed)
        count = self._random.randint(2, len(CENTRES))
        self.centres = {
            centre: self._random.randint(1, MAX_INSTANCES)
            for centre in CENTRES[:count]
        }
        self._joined = FIRST_JOINED

    def faults(self, kind: str, count: int) -> Iterator[Fault]:
        """Draw faults.

        :param kind: one of KINDS
        :param count: how many
        :return: the faults in order
        """
        at_seconds = 0.0
        for _ in range(count):
            at_seconds += self._random.uniform(*GAP_SECONDS)
            drawn = kind
            if kind == "mix":
                drawn = self._random.choice(SINGLE_KINDS)
            for fault in getattr(self, f"_{drawn}")():
                yield fault._replace(at_seconds=at_seconds + fault.at_seconds)

    def _all(self) -> list[str]:
        return [
            address
            for centre in self.centres
            for address in fleet_walk.addresses_of(centre, self.centres)
        ]

    def _near(self) -> tuple[list[str], list[str]]:
        # The instances of one data centre, and those of all others.
        centre = self._random.choice([*self.centres])
        near = fleet_walk.addresses_of(centre, self.centres)
        return near, [each for each in self._all() if each not in near]

    def _some(self, among: list[str], most: int) -> tuple[str, ...]:
        count = self._random.randint(1, max(1, min(most, len(among))))
        return tuple(self._random.sample(among, count))

    def _beside(self, address: str) -> tuple[str, ...]:
        return tuple(each for each in self._all() if each != address)

    def _cut_off(self) -> Iterator[Fault]:
        yield from self._each_cut(CUT_SECONDS)

    def _long_cut(self) -> Iterator[Fault]:
        yield from self._each_cut(LONG_CUT_SECONDS)

    def _each_cut(self, span: tuple[float, float]) -> Iterator[Fault]:
        # Each from all others, also from the others that are cut off.
        seconds = self._random.uniform(*span)
        everybody = self._all()
        for address in self._some(everybody, len(everybody) - 1):
            yield Fault(0.0, "cut", (address,), seconds, self._beside(address))

    def _group_cut(self) -> Iterator[Fault]:
        everybody = self._all()
        group = self._some(everybody, len(everybody) - 1)
        others = tuple(each for each in everybody if each not in group)
        seconds = self._random.uniform(*CUT_SECONDS)
        yield Fault(0.0, "cut", group, seconds, others)

    def _centre_cut(self) -> Iterator[Fault]:
        yield from self._cut_centre(CUT_SECONDS)

    def _long_centre_cut(self) -> Iterator[Fault]:
        yield from self._cut_centre(LONG_CUT_SECONDS)

    def _cut_centre(self, span: tuple[float, float]) -> Iterator[Fault]:
        near, others = self._near()
        seconds = self._random.uniform(*span)
        yield Fault(0.0, "cut", tuple(near), seconds, tuple(others))

    def _one_way(self) -> Iterator[Fault]:
        seconds = self._random.uniform(*CUT_SECONDS)
        everybody = self._all()
        for address in self._some(everybody, 2):
            ways = ((address,), self._beside(address))
            one, other = self._random.sample(ways, 2)
            yield Fault(0.0, "one_way", one, seconds, other)

    def _pairs(self) -> Iterator[Fault]:
        seconds = self._random.uniform(*CUT_SECONDS)
        everybody = self._all()
        for _ in range(self._random.randint(1, 2 * len(everybody))):
            one, other = self._random.sample(everybody, 2)
            yield Fault(0.0, "cut", (one,), seconds, (other,))

    def _pause(self) -> Iterator[Fault]:
        seconds = self._random.uniform(*PAUSE_SECONDS)
        yield Fault(0.0, "pause", self._some(self._all(), 3), seconds)

    def _kill(self) -> Iterator[Fault]:
        seconds = self._random.uniform(*DOWN_SECONDS)
        yield Fault(0.0, "kill", self._some(self._all(), 1), seconds)

    def _kill_gone(self) -> Iterator[Fault]:
        yield Fault(0.0, "kill", self._some(self._all(), 1), math.inf)

    def _mass_kill(self) -> Iterator[Fault]:
        for address in self._some(self._all(), len(self._all())):
            seconds = self._random.uniform(*DOWN_SECONDS)
            yield Fault(0.0, "kill", (address,), seconds)

    def _mass_gone(self) -> Iterator[Fault]:
        # All others of a data centre, sometimes of the whole fleet.
        near, others = self._near()
        among = near if self._random.random() < 0.7 else [*near, *others]
        survivor = self._random.choice(among)
        gone = tuple(each for each in among if each != survivor)
        yield Fault(0.0, "kill", gone, math.inf)

    def _leave(self) -> Iterator[Fault]:
        seconds = self._random.uniform(*LEAVING_SECONDS)
        # Not all may leave: nobody would be there to give orders.
        staying = self._all()[0]
        leaving = self._some(list(self._beside(staying)), MAX_INSTANCES)
        yield Fault(0.0, "leave", leaving, seconds)

    def _join(self) -> Iterator[Fault]:
        centre = self._random.choice([*self.centres])
        place = [*self.centres].index(centre)
        for _ in range(self._random.randint(1, MAX_INSTANCES)):
            self._joined += 1
            address = f"10.{place}.0.{self._joined}:7000"
            yield Fault(0.0, "join", (address,), others=(centre,))

    def _loss(self) -> Iterator[Fault]:
        yield Fault(0.0, "loss", seconds=self._random.uniform(*LOSS_SECONDS))


SINGLE_KINDS = (
    "cut_off",
    "long_cut",
    "group_cut",
    "centre_cut",
    "long_centre_cut",
    "one_way",
    "pairs",
    "pause",
    "kill",
    "kill_gone",
    "mass_kill",
    "mass_gone",
    "leave",
    "join",
    "loss",
)
KINDS = (*SINGLE_KINDS, "mix")


def draw(*, seed: int, kind: str, count: int | None = None) -> Schedule:
    """Draw a schedule.

    :param seed: of all its chances
    :param kind: one of KINDS
    :param count: of faults, drawn if None
    :return: the schedule
    """
    plan = Plan(seed=seed)
    if count is None:
        most = 1 if kind.startswith("long") else MAX_FAULTS
        count = random.Random(-seed).randint(1, most)
    faults = tuple(plan.faults(kind, count))
    lasting = (
        fault.at_seconds + fault.seconds
        for fault in faults
        if math.isfinite(fault.seconds)
    )
    is_lost = any(math.isinf(fault.seconds) for fault in faults)
    after_seconds = AFTER_GONE_SECONDS if is_lost else AFTER_SECONDS
    return Schedule(
        centres=plan.centres,
        faults=faults,
        seconds=max(lasting, default=0.0) + after_seconds,
    )


__all__ = [
    "KINDS",
    "SINGLE_KINDS",
    "Schedule",
    "draw",
]
