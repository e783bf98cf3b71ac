"""Judges whether an answer that has ended is whole.

An answer that has neither a length nor chunks ends with its connection. The
kernel closes the connections of a process that crashes in good order, too, so
the end of such an answer is judged by what else is known of its endpoint.
"""

from __future__ import annotations

import enum

from boragefold.entry import break_evidence
from boragefold.transport import http_client


class Verdict(enum.Enum):
    """Whether an answer is whole."""

    WHOLE = "whole"
    BROKEN = "broken"
    UNPROVEN = "unproven"


def judge_end(
    framing: http_client.Framing,
    *,
    is_empty_success: bool,
    inside_event: bool,
    confirmed: bool,
) -> Verdict:
    """Judge an answer by itself.

    :param framing: what showed its end
    :param is_empty_success: whether it is a success of which no body came
    :param inside_event: whether it is a stream whose last event is incomplete
    :param confirmed: whether a peer has checked why the connection closed
    :return: ``UNPROVEN`` if the endpoint has to be looked at
    """
    if inside_event:
        return Verdict.BROKEN
    if framing is http_client.Framing.CLOSE and is_empty_success:
        # Endpoints state a length of 0; this one stopped behind its head.
        return Verdict.BROKEN
    if framing is http_client.Framing.CLOSE and not confirmed:
        return Verdict.UNPROVEN
    return Verdict.WHOLE


def judge_closing(evidence: break_evidence.ClosingEvidence) -> Verdict:
    """Judge an answer whose end was shown by the closing of its connection.

    :param evidence: what is known of the endpoint
    :return: ``UNPROVEN`` if nothing speaks for a break: such an answer counts
        as whole in HTTP
    """
    if evidence.listens:
        return Verdict.WHOLE
    if evidence.cause is break_evidence.BreakCause.CRASHED:
        return Verdict.BROKEN
    if evidence.others_broke:
        # A process that ends by plan cuts off no other answer.
        return Verdict.BROKEN
    if evidence.cause is break_evidence.BreakCause.LEFT:
        return Verdict.WHOLE
    return Verdict.UNPROVEN


__all__ = [
    "Verdict",
    "judge_closing",
    "judge_end",
]
