"""Totals of the requests that wait for an adapter version.

Placement and wait estimates read them.

Load pattern: requests wait for hundreds of adapters at once. Without running
totals, each read of the demand would iterate over the whole queue.
"""

from __future__ import annotations

import dataclasses

from boragefold.policy import work as works


@dataclasses.dataclass(kw_only=True)
class Demand:
    """Totals of the requests that wait for one adapter version."""

    requests: int = 0
    tokens: float = 0.0
    by_workspace: dict[str, float] = dataclasses.field(default_factory=dict)

    def add(self, work: works.Work) -> None:
        """Count a request that was queued.

        :param work: the request
        """
        tokens = works.charged_tokens(work)
        before = self.by_workspace.get(work.workspace, 0.0)
        self.by_workspace[work.workspace] = before + tokens
        self.tokens += tokens
        self.requests += 1

    def subtract(self, work: works.Work) -> None:
        """Remove a request that left the queue.

        :param work: a request that was added before
        """
        tokens = works.charged_tokens(work)
        self.by_workspace[work.workspace] -= tokens
        if self.by_workspace[work.workspace] <= 0:
            del self.by_workspace[work.workspace]
        self.tokens -= tokens
        self.requests -= 1

    def ahead_tokens(self, work: works.Work) -> float:
        """Estimate the tokens served before a new request for the adapter.

        :param work: a request that isn't queued yet
        :return: tokens
        """
        own = self.by_workspace.get(work.workspace, 0.0)
        others = len(self.by_workspace) - (work.workspace in self.by_workspace)
        share = others * (own + works.charged_tokens(work))
        return own + min(self.tokens - own, share)


__all__ = [
    "Demand",
]
