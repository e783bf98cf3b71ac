"""What the owner of an engine needs of the language that engines speak."""

from __future__ import annotations

import abc
import enum
from typing import NamedTuple

from boragefold.coordination.fleet import fencing_numbers
from boragefold.policy import engine_asks
from boragefold.state import deployment
from boragefold.transport import http_client


class EngineReport(NamedTuple):
    """What an engine says that it holds and does."""

    counted: fencing_numbers.Counted
    held: dict[str, dict[str, int]]
    coming: dict[deployment.AdapterKey, int]
    busy: bool


class OrderAnswer(enum.Enum):
    """What became of an order.

    ``DONE`` and ``ACCEPTED`` move the engine's count; ``HELD_ALREADY`` is the
    answer to a load that was not needed, and doesn't.
    """

    DONE = "done"
    ACCEPTED = "accepted"
    HELD_ALREADY = "held_already"
    COUNT_DIFFERS = "count_differs"
    REFUSED = "refused"


class EngineDialect(abc.ABC):
    """Writes reports' calls and orders, and reads their answers."""

    @abc.abstractmethod
    def report_call(
        self, record: deployment.EndpointRecord
    ) -> http_client.Call:
        """Write the call that asks an engine what it holds.

        :param record: the engine
        :return: the call
        """

    @abc.abstractmethod
    def read_report(self, status: int, body: bytes) -> EngineReport | None:
        """Understand an engine's report.

        :param status: of the answer
        :param body: of the answer
        :return: the report; None when it is none
        """

    @abc.abstractmethod
    def order_call(
        self,
        record: deployment.EndpointRecord,
        order: engine_asks.Order,
        *,
        expected: int,
        fence: int,
    ) -> http_client.Call:
        """Write an order to an engine.

        :param record: the engine
        :param order: what it shall load or drop
        :param expected: the count of orders that it must have accepted
        :param fence: the order's fencing number
        :return: the call
        """

    @abc.abstractmethod
    def read_order_answer(
        self, order: engine_asks.Order, status: int
    ) -> OrderAnswer:
        """Understand the answer to an order.

        :param order: the order
        :param status: of the answer
        :return: what became of the order
        """


__all__ = [
    "EngineDialect",
    "EngineReport",
    "OrderAnswer",
]
