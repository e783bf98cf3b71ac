"""Messages about leases to use adapters, which end before an eviction."""

from __future__ import annotations

from typing import NamedTuple


class Weights(NamedTuple):
    """One version of an adapter; an empty adapter means the base model."""

    model: str
    adapter: str
    version: str


class Target(NamedTuple):
    """Weights on one endpoint."""

    endpoint: str
    weights: Weights


class UseAsked(NamedTuple):
    """Asks for leases to send requests to several endpoints."""

    number: int
    targets: tuple[Target, ...]


class UseRefusal(NamedTuple):
    """Refuses a lease; ``reason`` is one of a small fixed set."""

    target: Target
    reason: str


class UseGiven(NamedTuple):
    """Grants leases that end ``life_seconds`` after the request was sent."""

    number: int
    life_seconds: float
    targets: tuple[Target, ...]
    refusals: tuple[UseRefusal, ...]


class UseStopAsked(NamedTuple):
    """Asks to begin no more uses and to report when the last has ended."""

    target: Target
    eviction: int


class UseStopped(NamedTuple):
    """Reports that none of the sender's uses is in flight any more."""

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
