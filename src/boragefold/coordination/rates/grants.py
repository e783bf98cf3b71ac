"""Grants as kept by their receiver, and the charges to them."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(kw_only=True)
class Grant:
    """Tokens requested and received with one request."""

    sent_at_seconds: float
    ends_at_seconds: float
    left_tokens: float = 0.0
    charged_tokens: float = 0.0
    drafts: int = 0
    loose_drafts: int = 0
    answered: bool = False
    closed: bool = False
    ended: bool = False


@dataclasses.dataclass(kw_only=True)
class Draft:
    """Tokens charged to one or more grants, until they are settled.

    A draft that was granted on to another instance is *loose*: that instance
    may still charge it, so it must not be reported to its source as charged.
    """

    parts: dict[int, float]
    loose: bool = False
    settled: bool = False


__all__ = [
    "Draft",
    "Grant",
]
