"""A dialect that hands orders and reports over as they are."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from boragefold.entry import engine_dialect as dialects
from boragefold.policy import engine_decisions
from boragefold.state import deployment
from tests.fakes import model_engine


class OrderCall(NamedTuple):
    """An order as the dialect writes it."""

    order: engine_decisions.Order
    expected: int
    fence: int
    may_send: Callable[[], bool] = lambda: True


class Dialect(dialects.EngineDialect):
    """Hands reports and orders over as they are."""

    def __init__(self) -> None:
        self._reports: list[dialects.AdapterReport] = []

    def write_report(self, report: dialects.AdapterReport) -> bytes:
        self._reports.append(report)
        return str(len(self._reports) - 1).encode()

    def report_call(self, record: deployment.EndpointRecord) -> Any:
        return None

    def read_report(
        self, status: int, body: bytes
    ) -> dialects.AdapterReport | None:
        return self._reports[int(body)] if body else None

    def order_call(
        self,
        record: deployment.EndpointRecord,
        order: engine_decisions.Order,
        *,
        expected: int,
        fence: int,
    ) -> Any:
        return OrderCall(order, expected, fence)

    def read_order_answer(
        self, order: engine_decisions.Order, status: int
    ) -> dialects.OrderOutcome:
        if status == model_engine.OK and isinstance(
            order, engine_decisions.Unload
        ):
            return dialects.OrderOutcome.DONE
        return {
            model_engine.OK: dialects.OrderOutcome.ALREADY_LOADED,
            model_engine.ACCEPTED: dialects.OrderOutcome.ACCEPTED,
            model_engine.CONFLICT: dialects.OrderOutcome.COUNT_DIFFERS,
        }.get(status, dialects.OrderOutcome.REFUSED)


__all__ = [
    "Dialect",
    "OrderCall",
]
