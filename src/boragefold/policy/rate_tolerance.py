"""How far a workspace may exceed its rate."""

from __future__ import annotations

from typing import NamedTuple

from boragefold.state import deployment

# The rest covers what others admitted since their last heartbeat.
TOLERANCE_SHARE = 0.5


class Tolerance(NamedTuple):
    """How far a workspace may exceed its rate.

    In any span of ``window_seconds`` it may be admitted its rate and burst,
    the fraction ``overage`` of that more, and ``slack`` on top.
    """

    window_seconds: float = 0.0
    overage: float = 0.0
    slack: float = 0.0

    def extra(self, workspace: deployment.Workspace) -> float:
        """Return how much a workspace may be admitted beyond rate and burst.

        A strict average rate refuses bursts for which there is capacity. The
        tolerance exists for counting errors; the part of it that they don't
        need is used to admit requests.

        :param workspace: the workspace
        :return: tokens or requests
        """
        return TOLERANCE_SHARE * self.whole(workspace)

    def whole(self, workspace: deployment.Workspace) -> float:
        """Return the whole tolerance, the part for counting errors included.

        :param workspace: the workspace
        :return: tokens or requests
        """
        window = workspace.rate_per_second * self.window_seconds
        return self.overage * (window + workspace.burst) + self.slack


__all__ = [
    "Tolerance",
]
