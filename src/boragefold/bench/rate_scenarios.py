"""Who calls, how much, and what goes wrong in the bench of rates."""

from __future__ import annotations

from typing import Literal
from typing import NamedTuple

Fault = Literal["none", "kill", "leave", "pause", "cut"]

INSTANCES = 7


class Scenario(NamedTuple):
    """Who calls, how much, and what goes wrong."""

    name: str
    load: float
    weights: tuple[float, ...]
    fault: Fault


EVEN = (1.0,) * INSTANCES
SKEWED = (8.0, 4.0, 2.0, 1.0, 1.0, 0.5, 0.25)
ONE_SITE = (1.0, 0.0, 0.0, 1.0, 0.0, 0.0, 1.0)

SCENARIOS = (
    Scenario("even callers, 80% of the rate", 0.8, EVEN, "none"),
    Scenario("skewed callers, 80%", 0.8, SKEWED, "none"),
    Scenario("one data centre, 80%", 0.8, ONE_SITE, "none"),
    Scenario("skewed, four times the rate", 4.0, SKEWED, "none"),
    Scenario("skewed, 80%, kills", 0.8, SKEWED, "kill"),
    Scenario("skewed, 80%, planned restarts", 0.8, SKEWED, "leave"),
    Scenario("skewed, 80%, pauses", 0.8, SKEWED, "pause"),
    Scenario("four times the rate, kills", 4.0, SKEWED, "kill"),
    Scenario("four times the rate, a cut", 4.0, EVEN, "cut"),
    Scenario("even, 80%, a cut", 0.8, EVEN, "cut"),
)

__all__ = [
    "Fault",
    "INSTANCES",
    "SCENARIOS",
    "Scenario",
]
