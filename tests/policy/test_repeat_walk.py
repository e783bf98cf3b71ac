"""Walks of a fleet whose instances end, start and are cut off from others."""

from __future__ import annotations

import itertools
import random
from typing import NamedTuple

import pytest

from boragefold.policy import fleet_part
from boragefold.policy import repeat_budget
from tests.fakes import repeat_rule

LIMIT = repeat_rule.LIMIT
STEP_SECONDS = 0.05
WALK_SECONDS = 60.0
UPDATE_STEPS = 20
# How long an instance takes to hear of others, and they of it.
CONTACT_SECONDS = 0.5
RESTART_SECONDS = 1.0


class Schedule(NamedTuple):
    """What happens in a walk; gaps are the mean times between two of a kind.

    ``cut_seconds`` is for how long a third of the instances is cut off from
    the others, again and again. ``dead_seeds`` is whether the seeds are
    addresses where nothing listens.
    """

    kill_gap_seconds: float = 0.0
    kill_all_gap_seconds: float = 0.0
    cut_seconds: float = 0.0
    add_gap_seconds: float = 0.0
    dead_seeds: bool = False
    failing: float = 1.0


SCHEDULES = {
    "calm": Schedule(),
    "kills": Schedule(kill_gap_seconds=1.5),
    "mass restarts": Schedule(kill_all_gap_seconds=6.0),
    "cuts": Schedule(cut_seconds=12.0),
    "kills in cuts": Schedule(kill_gap_seconds=2.0, cut_seconds=12.0),
    "restarts in cuts": Schedule(kill_all_gap_seconds=9.0, cut_seconds=20.0),
    "additions": Schedule(add_gap_seconds=5.0),
    "additions and kills": Schedule(
        add_gap_seconds=5.0, kill_gap_seconds=3.0, failing=0.5
    ),
    "unknown to each other": Schedule(dead_seeds=True),
}


class Instance:
    def __init__(self, address: str, started_at_seconds: float) -> None:
        self.address = address
        self.started_at_seconds = started_at_seconds
        self.budget = repeat_budget.RepeatBudget(
            started_at_seconds=started_at_seconds
        )
        self.part = fleet_part.FleetPart(started_at_seconds=started_at_seconds)


class Walk:
    def __init__(
        self,
        *,
        seed: int,
        schedule: Schedule,
        requests_per_second: float = 0.0,
    ) -> None:
        self._rng = random.Random(seed)
        self._schedule = schedule
        self._names = map(str, itertools.count())
        self._seeds = [f"dead-{n}" for n in range(2)]
        self._down: dict[str, float] = {}
        self._cut: set[str] = set()
        drawn = self._rng.choice([2.0, 10.0, 40.0])
        self._requests_per_second = requests_per_second or drawn
        self.instances = [
            Instance(next(self._names), -60.0)
            for _ in range(self._rng.randint(2, 9))
        ]
        if not schedule.dead_seeds:
            self._seeds = [each.address for each in self.instances[:3]]
        self.asked: list[float] = []
        self.repeated: list[float] = []

    def play(self) -> repeat_rule.Window:
        for step in range(round(WALK_SECONDS / STEP_SECONDS)):
            now = step * STEP_SECONDS
            self._change(now)
            if step % UPDATE_STEPS == 0:
                self._update(now)
            for instance in self.instances:
                self._serve(instance, now)
        return repeat_rule.worst_window(
            LIMIT, asked=self.asked, beyond=self.repeated
        )

    def _happens(self, gap_seconds: float) -> bool:
        return bool(gap_seconds) and (
            self._rng.random() < STEP_SECONDS / gap_seconds
        )

    def _change(self, now: float) -> None:
        schedule = self._schedule
        if self._happens(schedule.kill_gap_seconds) and self.instances:
            self._kill([self._rng.choice(self.instances)], now)
        if self._happens(schedule.kill_all_gap_seconds):
            self._kill(list(self.instances), now)
        for address, at in list(self._down.items()):
            if at <= now:
                del self._down[address]
                self.instances.append(Instance(address, now))
        if self._happens(schedule.add_gap_seconds):
            self.instances.append(Instance(next(self._names), now))
        if schedule.cut_seconds and now % schedule.cut_seconds < STEP_SECONDS:
            addresses = [each.address for each in self.instances]
            cut = self._rng.sample(addresses, len(addresses) // 3)
            self._cut = set() if self._cut else set(cut)

    def _kill(self, killed: list[Instance], now: float) -> None:
        self.instances = [x for x in self.instances if x not in killed]
        for each in killed:
            self._down[each.address] = now + RESTART_SECONDS

    def _hears(self, one: Instance, other: Instance, now: float) -> bool:
        return (
            one is not other
            and not self._schedule.dead_seeds
            and (one.address in self._cut) == (other.address in self._cut)
            and now - one.started_at_seconds > CONTACT_SECONDS
            and now - other.started_at_seconds > CONTACT_SECONDS
        )

    def _update(self, now: float) -> None:
        for one in self.instances:
            one.part.update(
                seeds=[s for s in self._seeds if s != one.address],
                heard=[
                    other.address
                    for other in self.instances
                    if self._hears(one, other, now)
                ],
                leaving=[],
                window_seconds=LIMIT.window_seconds,
                now_seconds=now,
            )

    def _serve(self, instance: Instance, now: float) -> None:
        expected = self._requests_per_second / len(self.instances)
        if self._rng.random() >= expected * STEP_SECONDS:
            return
        self.asked.append(now)
        instance.budget.record_request(LIMIT, now_seconds=now)
        part = fleet_part.compute_part(instance.part.inputs(now_seconds=now))
        while self._rng.random() < self._schedule.failing:
            state = instance.budget.state(
                LIMIT, slack_part=part, now_seconds=now
            )
            if instance.budget.take(state, LIMIT, now_seconds=now) is None:
                return
            self.repeated.append(now)


@pytest.mark.parametrize("name", SCHEDULES)
def test_the_parts_of_all_add_up_to_the_limit_at_most(name) -> None:
    # Repeats of all instances together went beyond the limit, as each took
    # its part of the instances that it knew.
    for seed in range(8):
        walk = Walk(seed=seed, schedule=SCHEDULES[name])
        worst = walk.play()
        assert worst.beyond_first <= worst.allowed, (seed, worst)


def test_a_calm_fleet_uses_nearly_all_of_the_limit() -> None:
    # A bound that is kept by sending nothing costs callers their answers.
    walk = Walk(seed=1, schedule=SCHEDULES["calm"], requests_per_second=40.0)
    walk.play()
    allowed = LIMIT.ratio * len(walk.asked)
    allowed += LIMIT.slack * WALK_SECONDS / LIMIT.window_seconds
    assert len(walk.repeated) > 0.85 * allowed
