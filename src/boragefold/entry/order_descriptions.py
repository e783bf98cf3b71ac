"""Descriptions of orders to engines, and of their reports, for the log."""

from __future__ import annotations

from typing import Any

from boragefold.coordination.fleet import unanswered_orders
from boragefold.entry import engine_dialect as dialects
from boragefold.entry import sent_order
from boragefold.policy import engine_decisions
from boragefold.transport import http_client
from boragefold.transport import whole_answer

# Outcome of an order without a response, which may have arrived.
UNKNOWN = "unknown"
# Unresolved orders named in one log line.
MAX_LOGGED_ORDERS = 3


def describe_order(order: engine_decisions.Order) -> str:
    """Describe an order.

    :param order: the order
    :return: its kind and the adapter, or the model where it has none
    """
    kind = type(order).__name__.lower()
    return f"{kind} {order.key.adapter or order.key.model}"


def describe_sent(sent: sent_order.SentOrder) -> dict[str, Any]:
    """Describe an order as it was sent.

    :param sent: the order
    :return: values by log field
    """
    return {
        "order": type(sent.order).__name__.lower(),
        "model": sent.order.key.model,
        "adapter": sent.order.key.adapter,
        "count": sent.expected,
        "count_age_seconds": round(sent.count_age_seconds, 3),
        "report_age_seconds": round(sent.report_age_seconds, 3),
        "in_doubt": sent.in_doubt,
        "fence": sent.fence,
        "leased": sent.leased,
    }


def describe_report(report: dialects.AdapterReport) -> dict[str, Any]:
    """Describe an engine's report.

    :param report: the report
    :return: values by log field
    """
    return {
        "count": report.counted.orders,
        "born_milliseconds": report.counted.born_milliseconds,
        "coming": len(report.coming),
        "busy": report.busy,
    }


def describe_unanswered(
    orders: tuple[unanswered_orders.UnansweredOrder, ...], now_seconds: float
) -> list[str]:
    """Describe orders that got no answer.

    :param orders: the orders
    :param now_seconds: reading of the process clock
    :return: some of them, with their age
    """
    return [
        f"{order.order}, sent {now_seconds - order.sent_at_seconds:.3f} s ago"
        for order in orders[:MAX_LOGGED_ORDERS]
    ]


def status_of(
    answer: whole_answer.WholeAnswer | http_client.Failure,
) -> int | str:
    """Describe the answer to an order.

    :param answer: the answer, or why there is none
    :return: its status, or the reason
    """
    if isinstance(answer, http_client.Failure):
        return answer.reason
    return answer.status


def outcome_of(
    dialect: dialects.EngineDialect,
    order: engine_decisions.Order,
    answer: whole_answer.WholeAnswer | http_client.Failure,
) -> str:
    """Name the outcome of an order.

    :param dialect: reads the engine's answers
    :param order: the order
    :param answer: the engine's answer, or why there is none
    :return: one of a small fixed set
    """
    if isinstance(answer, http_client.Failure):
        return UNKNOWN if answer.may_have_arrived else "not_sent"
    return dialect.read_order_answer(order, answer.status).value


__all__ = [
    "UNKNOWN",
    "describe_order",
    "describe_report",
    "describe_sent",
    "describe_unanswered",
    "outcome_of",
    "status_of",
]
