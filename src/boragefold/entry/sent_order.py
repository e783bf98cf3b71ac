"""An order to an engine whose answer hasn't come."""

from __future__ import annotations

from typing import NamedTuple

from boragefold.policy import engine_decisions


class SentOrder(NamedTuple):
    """An order in flight, and the state that it was based on."""

    order: engine_decisions.Order
    expected: int
    fence: int
    count_age_seconds: float
    report_age_seconds: float
    in_doubt: int
    leased: bool
    order_sent_at_seconds: float


__all__ = [
    "SentOrder",
]
