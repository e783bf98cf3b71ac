"""Logs and counts the end of a request."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any
from typing import NamedTuple

from boragefold.entry import answer_times
from boragefold.entry import request_context
from boragefold.state import deployment
from boragefold.transport import http_client


class RequestEnd(NamedTuple):
    """The outcome of a request and the time that its phases took.

    ``waited_seconds`` is the time before the last attempt, broken down by
    ``queue_time_fields``. ``framing`` is what showed the end of the last
    answer, None if no end of it came; ``inside_event`` is whether what the
    caller got ends inside an event. ``decision_fields`` are the log
    fields of the expected finish, empty where none was expected.
    """

    outcome: str
    status: int
    retry_after_seconds: float
    sent_to: Sequence[str]
    waited_seconds: float
    queue_time_fields: dict[str, Any]
    times: answer_times.AnswerTimes
    framing: http_client.Framing | None = None
    inside_event: bool = False
    decision_fields: dict[str, Any] | None = None


def record(
    end: RequestEnd,
    *,
    admitted: request_context.AdmittedRequest,
    context: request_context.RequestContext,
) -> None:
    """Count the end of a request and write its log entry.

    :param end: the outcome and the times
    :param admitted: the request
    :param context: provides the log and the counters
    """
    took_seconds = context.timers.now_seconds() - admitted.arrived_at_seconds
    current = context.fleet.deployment
    fields: dict[str, Any] = {
        "request_id": admitted.request.request_id,
        "route": admitted.route.name,
        "workspace": admitted.workspace and admitted.workspace.name,
        "outcome": end.outcome,
        "status": end.status,
        "endpoints": end.sent_to,
        "took_seconds": round(took_seconds, 4),
        "retry_after_seconds": round(end.retry_after_seconds, 3),
        "deployment_version": current and current.version,
        "framing": "" if end.framing is None else end.framing.value,
        "inside_event": end.inside_event,
    }
    if admitted.rate_basis is not None:
        fields["rate"] = admitted.rate_basis.log_fields(
            charged=admitted.charged
        )
    if admitted.route.kind is deployment.RouteKind.STREAM:
        fields |= end.queue_time_fields | _stream_fields(
            end, admitted, context
        )
    if end.decision_fields:
        fields |= end.decision_fields
        fields["waited_seconds"] = round(end.waited_seconds, 4)
        _count_expected(end, context)
    context.counters.add("requests_ended", end.outcome)
    context.counters.observe_seconds("request_seconds", took_seconds)
    if end.outcome == "answered" and len(end.sent_to) == 1:
        context.log.write_ordinary("request_ended", **fields)
    else:
        context.log.write("request_ended", **fields)


def _count_expected(
    end: RequestEnd, context: request_context.RequestContext
) -> None:
    if end.outcome != "answered":
        result = "refused"
    elif end.decision_fields and end.decision_fields["on_time"]:
        result = "on_time"
    else:
        result = "late"
    context.counters.add("requests_by_finish", result)


def _stream_fields(
    end: RequestEnd,
    admitted: request_context.AdmittedRequest,
    context: request_context.RequestContext,
) -> dict[str, Any]:
    times = end.times
    if times.first_event_seconds is None:
        return {}
    counters = context.counters
    lateness = times.lateness(admitted.route)
    if lateness is not answer_times.Lateness.NONE:
        counters.add("answers_late", lateness.value)
    counters.observe_seconds("waited_seconds", end.waited_seconds)
    counters.observe_seconds("first_event_seconds", times.first_event_seconds)
    counters.observe_seconds(
        "longest_pause_seconds", times.longest_pause_seconds
    )
    return {
        "waited_seconds": round(end.waited_seconds, 4),
        "first_event_seconds": round(times.first_event_seconds, 4),
        "longest_pause_seconds": round(times.longest_pause_seconds, 4),
        "late": lateness.value,
    }


__all__ = [
    "RequestEnd",
    "record",
]
