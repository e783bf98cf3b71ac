"""Refusals of requests that an engine would start too late."""

from __future__ import annotations

from boragefold.policy import engine_decisions
from boragefold.policy import engine_slots

# A queue takes this long to change: earlier retries would be refused again.
MIN_RETRY_AFTER_SECONDS = 0.2
# Of an eager request.
WOULD_BE_LATE = "busy"
# Of a request that would start too late to be useful.
QUEUE_TOO_LONG = "queue_too_long"


def would_be_late(
    request: engine_decisions.EngineRequest, wait_seconds: float
) -> engine_decisions.Refusal:
    """Refuse an eager request, which another engine may serve on time.

    :param request: the request
    :param wait_seconds: how long it would be queued
    :return: the refusal
    """
    return engine_decisions.Refusal(
        request=request,
        reason=WOULD_BE_LATE,
        retry_after_seconds=0.0,
        wait_seconds=wait_seconds,
    )


def queue_too_long(
    request: engine_decisions.EngineRequest, excess_seconds: float
) -> engine_decisions.Refusal:
    """Refuse a request that the queue keeps from starting in time.

    :param request: the request
    :param excess_seconds: how much too late it would start
    :return: the refusal
    """
    return engine_decisions.Refusal(
        request=request,
        reason=QUEUE_TOO_LONG,
        retry_after_seconds=max(MIN_RETRY_AFTER_SECONDS, excess_seconds),
    )


def starts_too_late(
    request: engine_decisions.EngineRequest,
    excess_seconds: float,
    slots: engine_slots.EngineSlots,
) -> engine_decisions.Refusal:
    """Refuse a request for which the queue is too long, or orders wait.

    :param request: the request
    :param excess_seconds: how much too late it would start
    :param slots: tells when orders are allowed
    :return: the refusal
    """
    orders_in_seconds = slots.orders_in_seconds
    if not orders_in_seconds or slots.holds(request.adapter):
        return queue_too_long(request, excess_seconds)
    # A retry before orders are allowed would be refused again, and most
    # callers retry only once.
    return engine_decisions.Refusal(
        request=request,
        reason="orders_wait",
        retry_after_seconds=max(excess_seconds, orders_in_seconds),
    )


def waited_too_long(
    request: engine_decisions.EngineRequest,
) -> engine_decisions.Refusal:
    """Refuse a request whose time in the queue is over.

    :param request: the request
    :return: the refusal
    """
    return engine_decisions.Refusal(
        request=request,
        reason="waited_too_long",
        retry_after_seconds=MIN_RETRY_AFTER_SECONDS,
    )


__all__ = [
    "QUEUE_TOO_LONG",
    "WOULD_BE_LATE",
    "queue_too_long",
    "starts_too_late",
    "waited_too_long",
    "would_be_late",
]
