"""Grants as kept by their receiver, and the charges to them."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(kw_only=True)
class Grant:
    """Tokens requested and received with one request."""

    sent_at_seconds: float
    ends_at_seconds: float
    available_tokens: float = 0.0
    charged_tokens: float = 0.0
    unsettled_charges: int = 0
    regranted_charges: int = 0
    answered: bool = False
    closed: bool = False
    expired: bool = False


@dataclasses.dataclass(kw_only=True)
class Charge:
    """Tokens charged to one or more grants, until they are settled.

    A *regranted* charge was granted on to another instance, which may still
    use it, so it must not be reported to its source as charged.
    """

    parts: dict[int, float]
    regranted: bool = False
    settled: bool = False


__all__ = [
    "Charge",
    "Grant",
]
