"""How much one instance may admit that others don't know of yet.

Load pattern: requests of one workspace come to many instances at the same
moment. Until each has heard of the others, its bucket shows the whole burst
to every one of them. What all may admit in that time is divided among them;
an instance that needs more reports at once and waits for its hub.

Half is divided equally, for whoever is asked next, and half by what each was
counted for lately: callers that send all through one instance would wait for
its hub all the time.
"""

from __future__ import annotations

import math
from typing import NamedTuple

# The rest is divided by recent use.
EQUAL_SHARE = 0.5
# An instance reports before it has to wait.
REPORT_SHARE = 0.5


class AllowanceInputs(NamedTuple):
    """What the allowance of an instance depends on, in tokens or requests.

    ``level`` is that of the bucket without what isn't confirmed, and
    ``tolerance`` how far a workspace may exceed its rate and burst in all.
    ``recent_share`` is this instance's part of what was counted lately.
    ``silent_seconds`` is the time since totals were received.
    """

    level: float
    tolerance: float
    rate_per_second: float
    instances: int
    silent_seconds: float
    recent_share: float


def compute_allowance(inputs: AllowanceInputs) -> float:
    """Compute how much one instance may admit unconfirmed.

    As long as it hears nothing, it may use its part of the rate.

    :param inputs: what it depends on
    :return: tokens or requests; infinite for an instance that is alone
    """
    if inputs.instances == 1:
        return math.inf
    at_once = max(0.0, inputs.level + inputs.tolerance)
    meanwhile = inputs.rate_per_second * inputs.silent_seconds
    part = EQUAL_SHARE / inputs.instances
    part += (1 - EQUAL_SHARE) * inputs.recent_share
    return at_once * part + meanwhile / inputs.instances


def needs_report(unconfirmed: float, allowance: float) -> bool:
    """Tell whether an instance has to report before its next heartbeat.

    :param unconfirmed: what it admitted unconfirmed, tokens or requests
    :param allowance: how much that may be
    :return: whether waiting for the heartbeat would make requests wait
    """
    return unconfirmed > REPORT_SHARE * allowance


__all__ = [
    "AllowanceInputs",
    "compute_allowance",
    "needs_report",
]
