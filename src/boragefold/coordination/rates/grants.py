"""Grants as their receiver keeps them, and what is charged to them."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(kw_only=True)
class Grant:
    """What answered one request of ours."""

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
    """Tokens charged to one or more grants, until it is settled.

    A draft that was granted on is *loose*: somebody else may still charge it,
    so its source must not take it for charged yet.
    """

    parts: dict[int, float]
    loose: bool = False
    settled: bool = False


__all__ = [
    "Draft",
    "Grant",
]
