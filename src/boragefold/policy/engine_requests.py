"""Requests that wait for an engine, or run there."""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses
from typing import NamedTuple

from boragefold.policy import engine_asks


@dataclasses.dataclass(kw_only=True)
class Waiting:
    """A request that waits, and since when it has what.

    ``placed_at_seconds`` is when its adapter was ordered, and
    ``ready_at_seconds`` when that was there; None before.
    """

    ask: engine_asks.Ask
    turn: int
    since_seconds: float
    placed_at_seconds: float | None = None
    ready_at_seconds: float | None = None

    def note(self, *, placed: bool, ready: bool, now_seconds: float) -> None:
        """Note how far its adapter is.

        :param placed: whether it was ordered
        :param ready: whether it is there
        :param now_seconds: reading of the process clock
        """
        if placed and self.placed_at_seconds is None:
            self.placed_at_seconds = now_seconds
        if ready and self.ready_at_seconds is None:
            self.ready_at_seconds = now_seconds

    def waits(self, now_seconds: float) -> engine_asks.Waits:
        """Tell what it waited for until now.

        :param now_seconds: reading of the process clock
        :return: its parts
        """
        ready_at_seconds = _or(self.ready_at_seconds, now_seconds)
        placed_at_seconds = _or(self.placed_at_seconds, ready_at_seconds)
        return engine_asks.Waits(
            place_seconds=placed_at_seconds - self.since_seconds,
            load_seconds=ready_at_seconds - placed_at_seconds,
            turn_seconds=now_seconds - ready_at_seconds,
        )


@dataclasses.dataclass(kw_only=True)
class Run:
    """A request that was granted."""

    ask: engine_asks.Ask
    granted_at_seconds: float
    started: bool = False


class Prompts(NamedTuple):
    """Some prompts that are to be read."""

    number: int
    tokens: int


def prompts_of(asks: Iterable[engine_asks.Ask]) -> Prompts:
    """Sum the prompts of some requests.

    :param asks: the requests
    :return: how many they are, and their tokens
    """
    tokens = [ask.prompt_tokens for ask in asks]
    return Prompts(number=len(tokens), tokens=sum(tokens))


def _or(at_seconds: float | None, otherwise_seconds: float) -> float:
    return otherwise_seconds if at_seconds is None else at_seconds


__all__ = [
    "Prompts",
    "Run",
    "Waiting",
    "prompts_of",
]
