"""The three possible outcomes of a request."""

from __future__ import annotations

import dataclasses

HEADER_OUTCOME = "Boragefold-Outcome"
HEADER_REASON = "Boragefold-Reason"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ran:
    """An endpoint executed the request and its whole answer arrived."""

    status: int
    tag: str = "ran"


@dataclasses.dataclass(frozen=True, kw_only=True)
class NotRun:
    """No byte of the request can have reached an endpoint.

    ``reason`` is one of a small fixed set, and is also the reason of the
    counter ``requests_refused``.
    """

    status: int
    reason: str
    remedy: str
    retry_after_seconds: float | None = None
    tag: str = "not_run"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unknown:
    """Nobody can tell whether the request was executed."""

    status: int
    reason: str
    remedy: str
    retry_after_seconds: float | None = None
    tag: str = "unknown"


Outcome = Ran | NotRun | Unknown

__all__ = [
    "HEADER_OUTCOME",
    "HEADER_REASON",
    "NotRun",
    "Outcome",
    "Ran",
    "Unknown",
]
