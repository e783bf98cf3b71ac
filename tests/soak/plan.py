"""What goes wrong in a run; a seed decides it, and repeats it."""

from __future__ import annotations

import random
from typing import NamedTuple

# Faults begin after the fleet has settled and end before the last seconds,
# in which everything must be served again.
FIRST_SECONDS = 4.0
CALM_SECONDS = 8.0
LENGTH_SECONDS = 24.0


class Fault(NamedTuple):
    """One fault; ``what`` is where, as a number below the count of such."""

    at_seconds: float
    kind: str
    what: int
    for_seconds: float


# How often each kind comes, in parts. Signals come in series and overlap.
KINDS = {
    "kill": 3,
    "pause": 3,
    "stop": 3,
    "stop_twice": 1,
    "reload": 2,
    "kill_all": 1,
    "store_down": 2,
    "store_forgets": 2,
    "store_silent_for_one": 2,
    "store_slow_for_one": 1,
    "store_resets_one": 1,
    "endpoint_silent": 2,
    "endpoint_resets": 2,
    "endpoint_slow": 1,
    "endpoint_answers_lost": 2,
    "endpoint_fails": 2,
    "endpoint_cuts": 2,
    "endpoint_leaves": 2,
    "key_withdrawn": 2,
    "deployment_changes": 3,
}

# Played where they are named: drawn among the others, they would change the
# plans of all seeds.
NAMED_KINDS = {
    "endpoint_resets_answers": 1,
    "crashing_request": 1,
    "crashing_answer": 1,
    "several_culprits": 1,
    "bad_parts": 2,
    "herd": 2,
    "unframed_answers": 1,
    "unframed_breaks": 2,
    "cut_off": 2,
    "brittle": 1,
    "silent_second": 1,
    "break_series": 2,
    "lost_share": 1,
    "streams_broken": 2,
    "engine_reborn": 2,
    "endless_answers": 2,
    "odd_entry": 3,
    "stop_still": 2,
    "mark_beside_start": 3,
    "readers_silent": 2,
    "spell": 4,
    "limits_change": 2,
    "crowd_short": 2,
    "crowd_resets": 2,
    "crowd_over": 1,
    "crowd_tiny": 2,
    "crowd_heads": 2,
}


def make(
    seed: int, *, kinds: tuple[str, ...] = (), length_seconds: float
) -> list[Fault]:
    """Draw a plan.

    :param seed: the same seed gives the same plan
    :param kinds: draw from these only; empty for all
    :param length_seconds: how long the run takes
    :return: faults in the order in which they begin
    """
    rng = random.Random(seed)
    names = list(kinds or KINDS)
    weights = [{**KINDS, **NAMED_KINDS}[name] for name in names]
    last_seconds = length_seconds - CALM_SECONDS
    count = rng.randint(4, max(4, int(last_seconds / 2)))
    return sorted(
        Fault(
            at_seconds=round(rng.uniform(FIRST_SECONDS, last_seconds - 3), 2),
            kind=rng.choices(names, weights)[0],
            what=rng.randrange(1_000),
            for_seconds=round(rng.uniform(0.3, 3.0), 2),
        )
        for _ in range(count)
    )


__all__ = [
    "CALM_SECONDS",
    "Fault",
    "KINDS",
    "LENGTH_SECONDS",
    "NAMED_KINDS",
    "make",
]
