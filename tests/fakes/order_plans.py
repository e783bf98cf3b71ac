"""Random schedules for the owners of one engine."""

from __future__ import annotations

from collections.abc import Iterator
import random
from typing import NamedTuple

from tests.fakes import order_walk

Step = order_walk.Step

WARM_UP_SECONDS = 1.0
GAP_SECONDS = (0.1, 2.0)
ASK_GAP_SECONDS = 0.12
SHORT_RUN_SECONDS = (0.1, 0.8)
LONG_RUN_SECONDS = (1.0, 4.0)
LONG_RUNS = 0.2
# How much later one takes an engine up than another gave it up.
HAND_OVER_SECONDS = (0.0, 0.7)
SPLIT_SECONDS = (0.5, 5.0)
PAUSE_SECONDS = (0.2, 3.5)
BAD_SECONDS = (0.3, 3.0)
RESTART_SECONDS = (0.0, 1.5)
NOTICED_SECONDS = (1.0, 1.5)
LEARNS_SECONDS = (0.0, 0.3)


class Profile(NamedTuple):
    """How often each fault is drawn."""

    hand_over: int = 0
    split: int = 0
    pause: int = 0
    bad: int = 0
    kill: int = 0
    restart: int = 0
    cut: int = 0


PROFILES = {
    "hand_over": Profile(hand_over=1),
    "split": Profile(hand_over=1, split=2),
    "pause": Profile(hand_over=1, pause=2),
    "bad": Profile(hand_over=1, bad=2),
    "cut": Profile(hand_over=1, cut=2),
    "badhand": Profile(hand_over=3, bad=3),
    "pausehand": Profile(hand_over=3, pause=2),
    "badpause": Profile(hand_over=2, bad=2, pause=2),
    "badsplit": Profile(hand_over=1, split=2, bad=3),
    "restart": Profile(hand_over=2, kill=1, restart=1),
    "all": Profile(hand_over=4, split=2, pause=2, bad=2, kill=1, restart=1),
}


class Plan:
    """Draws one schedule."""

    def __init__(self, *, seed: int, profile: Profile, instances: int) -> None:
        self._random = random.Random(seed)
        self._profile = profile
        self._instances = instances
        self._owner = 0
        self._owned_at_seconds = 0.0

    def steps(self) -> list[Step]:
        """Draw the whole schedule.

        :return: its steps in order
        """
        faults = [*self._faults()]
        return sorted([Step(0.0, "claim"), *faults, *self._asks()])

    def _faults(self) -> Iterator[Step]:
        draws = {
            kind: weight for kind, weight in self._profile._asdict().items()
        }
        at_seconds = WARM_UP_SECONDS
        while True:
            at_seconds += self._random.uniform(*GAP_SECONDS)
            if at_seconds > order_walk.END_SECONDS:
                return
            kind = self._random.choices([*draws], [*draws.values()])[0]
            yield from getattr(self, f"_{kind}")(at_seconds)

    def _asks(self) -> Iterator[Step]:
        names = [f"a{rank}" for rank in range(order_walk.ADAPTERS)]
        at_seconds = 0.0
        while at_seconds < order_walk.END_SECONDS:
            at_seconds += self._random.expovariate(1 / ASK_GAP_SECONDS)
            is_long = self._random.random() < LONG_RUNS
            span = LONG_RUN_SECONDS if is_long else SHORT_RUN_SECONDS
            yield Step(
                at_seconds,
                "ask",
                seconds=self._random.uniform(*span),
                adapter=self._random.choices(
                    names, order_walk.ADAPTER_WEIGHTS
                )[0],
            )

    def _other(self) -> int:
        return self._random.choice(
            [one for one in range(self._instances) if one != self._owner]
        )

    def _hand_over(self, at_seconds: float) -> Iterator[Step]:
        other = self._other()
        late_seconds = self._random.uniform(*HAND_OVER_SECONDS)
        released_at_seconds = max(at_seconds, self._owned_at_seconds)
        yield Step(released_at_seconds, "release", self._owner)
        self._owned_at_seconds = released_at_seconds + late_seconds
        yield Step(self._owned_at_seconds, "claim", other)
        self._owner = other

    def _split(self, at_seconds: float) -> Iterator[Step]:
        other = self._other()
        ends_at_seconds = at_seconds + self._random.uniform(*SPLIT_SECONDS)
        yield Step(at_seconds, "claim", other)
        yield Step(ends_at_seconds, "release", other)

    def _pause(self, at_seconds: float) -> Iterator[Step]:
        seconds = self._random.uniform(*PAUSE_SECONDS)
        yield Step(at_seconds, "pause", self._owner, seconds)
        noticed_seconds = self._random.uniform(*NOTICED_SECONDS)
        if seconds < noticed_seconds:
            return
        paused, self._owner = self._owner, self._other()
        yield Step(at_seconds + noticed_seconds, "claim", self._owner)
        learns_seconds = seconds + self._random.uniform(*LEARNS_SECONDS)
        yield Step(at_seconds + learns_seconds, "release", paused)

    def _cut(self, at_seconds: float) -> Iterator[Step]:
        # One is cut off from all others; the owner and another instance
        # believe that they own the engine until the cut has healed.
        other = self._other()
        cut_off = self._random.choice((self._owner, other))
        noticed_seconds = self._random.uniform(*NOTICED_SECONDS)
        seconds = noticed_seconds + self._random.uniform(*SPLIT_SECONDS)
        healed_at_seconds = at_seconds + seconds
        learns_seconds = self._random.uniform(*LEARNS_SECONDS)
        yield Step(at_seconds, "cut", cut_off, seconds)
        yield Step(at_seconds + noticed_seconds, "claim", other)
        yield Step(healed_at_seconds + learns_seconds, "release", other)

    def _bad(self, at_seconds: float) -> Iterator[Step]:
        seconds = self._random.uniform(*BAD_SECONDS)
        yield Step(at_seconds, "bad", self._owner, seconds)

    def _kill(self, at_seconds: float) -> Iterator[Step]:
        yield Step(at_seconds, "kill", self._owner)

    def _restart(self, at_seconds: float) -> Iterator[Step]:
        seconds = self._random.uniform(*RESTART_SECONDS)
        yield Step(at_seconds, "restart", seconds=seconds)


def draw(
    *, seed: int, profile: str, instances: int = 3
) -> list[order_walk.Step]:
    """Draw a schedule.

    :param seed: of all its chances
    :param profile: the name of one in PROFILES
    :param instances: how many may own the engine
    :return: its steps in order
    """
    plan = Plan(seed=seed, profile=PROFILES[profile], instances=instances)
    return plan.steps()


__all__ = [
    "PROFILES",
    "draw",
]
