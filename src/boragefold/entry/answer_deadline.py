"""By when a request must have its answer."""

from __future__ import annotations

from boragefold.entry import serving

# An answer is given up this long before its caller leaves.
MARGIN_SECONDS = 0.02
# With more time the margin grows, for an instance short of processor time.
MARGIN_SHARE = 0.025
MAX_MARGIN_SECONDS = 0.1


def ends_at_seconds(admitted: serving.Admitted) -> float:
    """Tell when the answer to a request is given up.

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
    "ends_at_seconds",
]
