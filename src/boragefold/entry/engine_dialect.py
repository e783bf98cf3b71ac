"""Interface to the protocol of an engine, as its owner uses it."""

from __future__ import annotations

import abc
import enum
from typing import NamedTuple

from boragefold.coordination.fleet import fencing_numbers
from boragefold.policy import engine_decisions
from boragefold.state import deployment
from boragefold.transport import http_client


class AdapterReport(NamedTuple):
    """An engine's report of its loaded adapters and its order count.

    ``cold_seconds`` is how long the engine stays cold, None if unstated.
    """

    counted: fencing_numbers.OrderCount
    held: dict[str, dict[str, int]]
    coming: dict[deployment.AdapterKey, int]
    busy: bool
    cold_seconds: float | None = None


class OrderOutcome(enum.Enum):
    """Outcome of an order.

    ``DONE`` and ``ACCEPTED`` increase the engine's order count;
    ``ALREADY_LOADED``, the response to a load that was not needed, does not.
    """

    DONE = "done"
    ACCEPTED = "accepted"
    ALREADY_LOADED = "held_already"
    COUNT_DIFFERS = "count_differs"
    REFUSED = "refused"


class EngineDialect(abc.ABC):
    """Builds calls for reports and orders, and parses the responses."""

    @abc.abstractmethod
    def report_call(
        self, record: deployment.EndpointRecord
    ) -> http_client.Call:
        """Build the call that requests an engine's report.

        :param record: the engine
        :return: the call
        """

    @abc.abstractmethod
    def read_report(self, status: int, body: bytes) -> AdapterReport | None:
        """Parse an engine's report.

        :param status: of the response
        :param body: of the response
        :return: the report; None if the response holds none
        """

    @abc.abstractmethod
    def order_call(
        self,
        record: deployment.EndpointRecord,
        order: engine_decisions.Order,
        *,
        expected: int,
        fence: int,
    ) -> http_client.Call:
        """Build the call that sends an order to an engine.

        :param record: the engine
        :param order: what to load or unload
        :param expected: number of orders that the engine must have accepted
        :param fence: the order's fencing number
        :return: the call
        """

    @abc.abstractmethod
    def read_order_answer(
        self, order: engine_decisions.Order, status: int
    ) -> OrderOutcome:
        """Parse the response to an order.

        :param order: the order
        :param status: of the response
        :return: outcome of the order
        """


__all__ = [
    "AdapterReport",
    "EngineDialect",
    "OrderOutcome",
]
