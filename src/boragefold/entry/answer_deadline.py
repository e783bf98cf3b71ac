"""The deadline of the response to a request."""

from __future__ import annotations

from boragefold.entry import request_context

# The gateway stops waiting for a response this long before its caller does.
MARGIN_SECONDS = 0.02
# Long time limits get a greater margin, for an instance short of CPU time.
MARGIN_SHARE = 0.025
MAX_MARGIN_SECONDS = 0.1


def compute_deadline_at_seconds(
    admitted: request_context.AdmittedRequest,
) -> float:
    """Compute when the gateway stops waiting for the response to a request.

    :param admitted: the request
    :return: reading of the process clock
    """
    limit_seconds = admitted.route.timeout_seconds
    if admitted.request.deadline_seconds is not None:
        limit_seconds = min(limit_seconds, admitted.request.deadline_seconds)
    margin_seconds = min(MARGIN_SHARE * limit_seconds, MAX_MARGIN_SECONDS)
    return (
        admitted.arrived_at_seconds
        + limit_seconds
        - max(MARGIN_SECONDS, margin_seconds)
    )


__all__ = [
    "MARGIN_SECONDS",
    "compute_deadline_at_seconds",
]
