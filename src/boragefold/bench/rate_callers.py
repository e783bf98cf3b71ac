"""Callers of the bench of rates, and what they got."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import random
from typing import NamedTuple

from boragefold.coordination.rates import limits
from boragefold.policy import token_balance
from boragefold.timing import timers as timing

# A caller inside its rate accepts a short wait.
PATIENCE_SECONDS = 1.0
SHORTEST_RETRY_SECONDS = 0.002


class Demand(NamedTuple):
    """One request: what it reserves, what it uses, how long it runs."""

    at_seconds: float
    reserved_tokens: float
    used_tokens: float
    duration_seconds: float


@dataclasses.dataclass(kw_only=True)
class Served:
    """What became of a request."""

    demand: Demand
    charged_at_seconds: float | None = None
    settled_at_seconds: float | None = None


def draw(source: random.Random, at_seconds: float) -> Demand:
    """Draw a request of a mixed kind: short answers and long notes.

    :param source: the random source
    :param at_seconds: when it arrives
    :return: about 300 tokens reserved and 190 used on average
    """
    prompt_tokens = source.uniform(20.0, 120.0)
    max_tokens = source.choice((100.0, 200.0, 400.0))
    used = prompt_tokens + max_tokens * source.uniform(0.2, 0.8)
    return Demand(
        at_seconds=at_seconds,
        reserved_tokens=prompt_tokens + max_tokens,
        used_tokens=used,
        duration_seconds=source.uniform(0.2, 6.0),
    )


class Caller:
    """Sends a request to one instance and waits for it, with some patience."""

    def __init__(
        self,
        *,
        tokens: token_balance.TokenBalance,
        workspace: str,
        timers: timing.TimerService,
        alive: Callable[[], bool],
    ) -> None:
        """Bind a caller to an instance.

        :param tokens: the token balance of the instance
        :param workspace: whose rate is used
        :param timers: the timer service of the instance
        :param alive: tells whether the instance still runs
        """
        self._token_balance = tokens
        self._workspace = workspace
        self._timers = timers
        self._alive = alive
        self._waiting: list[Served] = []
        self._retry: timing.Subscription | None = None
        tokens.subscribe(self._woken)

    def call(self, demand: Demand) -> Served:
        """Send a request.

        :param demand: what it needs
        :return: filled in as things happen
        """
        served = Served(demand=demand)
        self._waiting.append(served)
        self._try_all()
        return served

    def _woken(self, workspace: str) -> None:
        if workspace == self._workspace:
            self._try_all()

    def _try_all(self) -> None:
        now_seconds = self._timers.now_seconds()
        self._waiting = [
            served
            for served in self._waiting
            if now_seconds <= served.demand.at_seconds + PATIENCE_SECONDS
        ]
        while self._waiting:
            served = self._waiting[0]
            result = self._token_balance.reserve(
                workspace=self._workspace,
                tokens=served.demand.reserved_tokens,
            )
            if isinstance(result, token_balance.Shortfall):
                self._again(result.ready_in_seconds)
                return
            self._waiting.pop(0)
            self._begin(served, result)

    def _again(self, wait_seconds: float | None) -> None:
        if self._retry is not None:
            self._retry.cancel()
        if wait_seconds is not None and wait_seconds <= PATIENCE_SECONDS:
            delay_seconds = max(SHORTEST_RETRY_SECONDS, wait_seconds)
            self._retry = self._timers.once(
                delay_seconds=delay_seconds, callback=self._try_all
            )

    def _begin(
        self, served: Served, reservation: token_balance.Reservation
    ) -> None:
        served.charged_at_seconds = self._timers.now_seconds()
        self._timers.once(
            delay_seconds=served.demand.duration_seconds,
            callback=lambda: self._end(served, reservation),
        )

    def _end(
        self, served: Served, reservation: token_balance.Reservation
    ) -> None:
        if not self._alive():
            return
        served.settled_at_seconds = self._timers.now_seconds()
        self._token_balance.settle(
            reservation, used_tokens=served.demand.used_tokens
        )


def excess_tokens(
    events: list[tuple[float, float]], limit: limits.Limit
) -> float:
    """Compare every window between two events with burst and rate.

    :param events: moments and tokens
    :param limit: what is allowed
    :return: how far the worst window is above (positive) or below
    """
    rate = limit.rate_tokens_per_second
    total = 0.0
    lowest = float("inf")
    worst = -limit.burst_tokens
    for at_seconds, tokens in sorted(events):
        lowest = min(lowest, total - rate * at_seconds)
        total += tokens
        excess = total - rate * at_seconds - lowest - limit.burst_tokens
        worst = max(worst, excess)
    return worst


def inside_rate(demands: list[Demand], limit: limits.Limit) -> list[bool]:
    """Tell which requests one bucket that knows the use would admit.

    It is one bucket for the whole fleet, without messages, full at the
    start, and charges on arrival what will have been used.

    :param demands: in the order of arrival
    :param limit: what is allowed
    :return: whether each is inside the rate
    """
    level = limit.burst_tokens
    before_seconds = 0.0
    inside = []
    for demand in demands:
        elapsed_seconds = demand.at_seconds - before_seconds
        before_seconds = demand.at_seconds
        level += elapsed_seconds * limit.rate_tokens_per_second
        level = min(level, limit.burst_tokens)
        admitted = level >= demand.used_tokens
        inside.append(admitted)
        level -= demand.used_tokens if admitted else 0.0
    return inside


__all__ = [
    "Caller",
    "Demand",
    "Served",
    "draw",
    "excess_tokens",
    "inside_rate",
]
