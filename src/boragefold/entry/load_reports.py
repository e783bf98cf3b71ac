"""Records the load that endpoints report, and logs unusable reports."""

from __future__ import annotations

from boragefold.entry import dialect as dialects
from boragefold.entry import request_context
from boragefold.policy import expected_finish
from boragefold.state import deployment

MISSING = "missing"
UNREADABLE = "unreadable"
CLAMPED = "factor_clamped"


def record(
    facts: dialects.AnswerFacts,
    *,
    record: deployment.EndpointRecord,
    context: request_context.RequestContext,
) -> None:
    """Record the load that a response reports, as far as it can be read.

    :param facts: the information from the response
    :param record: the endpoint
    :param context: what all requests use
    """
    fault = _find_fault(facts)
    if fault:
        context.counters.add("load_reports_faulty", fault)
        # Limited in rate, since each response may have the fault.
        context.log.write_ordinary(
            "load_report_faulty",
            endpoint=record.name,
            reason=fault,
            figures=facts.unread_load_figures,
            work_factor=facts.work_factor,
        )
    if facts.busy is None:
        return
    if facts.slots is None and facts.work_factor is None:
        return
    context.choice.reported(
        record.name,
        busy=facts.busy,
        slots=record.slots if facts.slots is None else facts.slots,
        now_seconds=context.timers.now_seconds(),
        work_factor=facts.work_factor,
        service=record.service,
    )


def _find_fault(facts: dialects.AnswerFacts) -> str:
    if facts.unread_load_figures:
        return UNREADABLE
    if (facts.busy is None) != (facts.slots is None):
        return MISSING
    factor = facts.work_factor
    if factor is not None and factor != expected_finish.clamp_factor(factor):
        return CLAMPED
    return ""


__all__ = [
    "CLAMPED",
    "MISSING",
    "UNREADABLE",
    "record",
]
