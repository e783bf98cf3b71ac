"""Messages about the use of adapters and its end before an eviction."""

from __future__ import annotations

from typing import NamedTuple


class Weights(NamedTuple):
    """One version of one adapter; an empty adapter is the base model."""

    model: str
    adapter: str
    version: str


class Target(NamedTuple):
    """Weights on one endpoint."""

    endpoint: str
    weights: Weights


class UseAsked(NamedTuple):
    """Asks for leases to send requests to endpoints, many at once."""

    number: int
    targets: tuple[Target, ...]


class UseRefusal(NamedTuple):
    """No lease, and why: one of a small fixed set of reasons."""

    target: Target
    reason: str


class UseGiven(NamedTuple):
    """Leases that end ``life_seconds`` after the request was sent."""

    number: int
    life_seconds: float
    targets: tuple[Target, ...]
    refusals: tuple[UseRefusal, ...]


class UseStopAsked(NamedTuple):
    """Asks to begin no more uses, and to say when the last one has ended."""

    target: Target
    eviction: int


class UseStopped(NamedTuple):
    """Tells that nothing of the sender's is in flight any more."""

    target: Target
    eviction: int


KINDS: tuple[type, ...] = (UseAsked, UseGiven, UseStopAsked, UseStopped)

__all__ = [
    "KINDS",
    "Target",
    "UseAsked",
    "UseGiven",
    "UseRefusal",
    "UseStopAsked",
    "UseStopped",
    "Weights",
]
