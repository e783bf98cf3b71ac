"""What the users' rule allows of arrivals beyond the first."""

from __future__ import annotations

import bisect
from collections.abc import Iterable
from typing import NamedTuple

from boragefold.policy import repeat_budget

# As the settings of the gateways state it.
LIMIT = repeat_budget.FleetLimit(ratio=0.2, slack=50.0, window_seconds=10.0)


class Window(NamedTuple):
    """The worst window of a run."""

    beyond_first: int
    allowed: float


def worst_window(
    limit: repeat_budget.FleetLimit,
    *,
    asked: Iterable[float],
    beyond: Iterable[float],
) -> Window:
    """Find the window with the most arrivals beyond what is allowed.

    :param limit: of all instances together
    :param asked: when callers sent requests
    :param beyond: when requests arrived that had arrived before
    :return: the window
    """
    asked, beyond = sorted(asked), sorted(beyond)
    windows = [
        Window(
            _count(beyond, end, limit.window_seconds),
            limit.ratio * _most_asked(asked, end, limit.window_seconds)
            + limit.slack,
        )
        for end in beyond
    ]
    return max(
        windows,
        key=lambda each: each.beyond_first - each.allowed,
        default=Window(0, limit.slack),
    )


def _most_asked(asked: list[float], end: float, seconds: float) -> int:
    # In that window, the one half a window before or the one before.
    ends = [end - part * seconds for part in (0.0, 0.5, 1.0)]
    return max(_count(asked, each, seconds) for each in ends)


def _count(times: list[float], end: float, seconds: float) -> int:
    return bisect.bisect_right(times, end) - bisect.bisect_right(
        times, end - seconds
    )


__all__ = [
    "LIMIT",
    "Window",
    "worst_window",
]
