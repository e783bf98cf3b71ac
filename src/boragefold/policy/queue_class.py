"""The queued requests of one class, late-sensitive or ordinary.

Load pattern: a request whose adapter is still being loaded is queued ahead of
requests that could run. Without an index by adapter it would block them, or
each decision would have to skip over it.
"""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses
import math
from typing import NamedTuple

from boragefold.policy import drain_rate
from boragefold.policy import removable_heap
from boragefold.policy import virtual_counter
from boragefold.policy import work as works

# Short requests overtake long ones by part of the long one's duration.
PENALTY_SECONDS_PER_TOKEN = 0.005
# Keeps a long request from expiring behind short ones.
MAX_PENALTY_TIMEOUT_SHARE = 0.25


class Position(NamedTuple):
    """The sort key of a queued request; the smallest is served next."""

    counter: float
    rank_seconds: float
    request_id: str


class AdapterQueue:
    """The queued requests for one adapter, by workspace."""

    def __init__(self) -> None:
        self.queues: dict[str, removable_heap.RemovableHeap[str]] = {}
        self.order: removable_heap.RemovableHeap[str] = (
            removable_heap.RemovableHeap()
        )


@dataclasses.dataclass(kw_only=True)
class Backlog:
    """Queued requests and tokens of one workspace; absent when it has none."""

    rate: drain_rate.DrainRate = dataclasses.field(
        default_factory=drain_rate.DrainRate
    )
    requests: int = 0
    tokens: float = 0.0


class QueueClass:
    """Queued requests, indexed by adapter, workspace and rank."""

    def __init__(self) -> None:
        self.tokens = 0.0
        self._backlogs: dict[str, Backlog] = {}
        self._counter = virtual_counter.VirtualCounter()
        self._by_adapter: dict[works.AdapterVersion, AdapterQueue] = {}

    def push(self, work: works.Work) -> None:
        """Queue a request.

        :param work: the request
        """
        workspace = work.workspace
        backlog = self._backlogs.get(workspace)
        if backlog is None:
            self._counter.join(workspace)
            backlog = Backlog()
            self._backlogs[workspace] = backlog
        backlog.requests += 1
        backlog.tokens += works.charged_tokens(work)
        self.tokens += works.charged_tokens(work)
        adapter_queue = self._by_adapter.setdefault(
            work.adapter_version, AdapterQueue()
        )
        queue = adapter_queue.queues.get(workspace)
        if queue is None:
            queue = removable_heap.RemovableHeap()
            adapter_queue.queues[workspace] = queue
            adapter_queue.order.push(workspace, self._counter.value(workspace))
        queue.push(work.request_id, _rank_seconds(work))

    def remove(self, work: works.Work) -> None:
        """Remove a request.

        :param work: a request of this class
        """
        workspace = work.workspace
        adapter_queue = self._by_adapter[work.adapter_version]
        queue = adapter_queue.queues[workspace]
        queue.remove(work.request_id)
        if not queue:
            del adapter_queue.queues[workspace]
            adapter_queue.order.remove(workspace)
        if not adapter_queue.queues:
            del self._by_adapter[work.adapter_version]
        self.tokens -= works.charged_tokens(work)
        backlog = self._backlogs[workspace]
        backlog.tokens -= works.charged_tokens(work)
        backlog.requests -= 1
        if not backlog.requests:
            del self._backlogs[workspace]
            self._counter.leave(workspace)

    def first(
        self, candidates: Iterable[works.AdapterVersion]
    ) -> Position | None:
        """Find the next request that needs one of the adapters.

        :param candidates: adapters
        :return: its position, or None
        """
        smallest = math.inf
        queues: list[removable_heap.RemovableHeap[str]] = []
        for adapter in candidates:
            adapter_queue = self._by_adapter.get(adapter)
            if adapter_queue is None:
                continue
            counter, workspace = self._first_workspace(adapter_queue)
            if counter < smallest:
                smallest = counter
                queues.clear()
            if counter == smallest:
                queues.append(adapter_queue.queues[workspace])
        heads = (
            head for queue in queues if (head := queue.first()) is not None
        )
        rank = min(heads, default=None)
        return None if rank is None else Position(smallest, *rank)

    def charge(self, work: works.Work, *, now_seconds: float) -> None:
        """Charge a request to its workspace; call it before :meth:`remove`.

        :param work: the request that is about to be served
        :param now_seconds: reading of the process clock
        """
        self._backlogs[work.workspace].rate.add(
            works.charged_tokens(work), now_seconds=now_seconds
        )
        self._counter.charge(work.workspace, works.charged_tokens(work))

    def settle(self, work: works.Work, *, used_tokens: float) -> None:
        """Correct the charge of a request by its actual tokens.

        :param work: a request that was charged
        :param used_tokens: prompt and generated tokens actually used
        """
        self._counter.correct(
            work.workspace, used_tokens - works.charged_tokens(work)
        )

    def ahead_tokens(self, work: works.Work) -> float:
        """Estimate the tokens that are served before a new request.

        Fairness bounds the estimate: meanwhile each other workspace is served
        at most as much as the request's own, however long its queue is.

        :param work: a request that isn't queued yet
        :return: tokens of this class
        """
        backlog = self._backlogs.get(work.workspace)
        own = backlog.tokens if backlog is not None else 0.0
        others = len(self._backlogs) - (backlog is not None)
        share = others * (own + works.charged_tokens(work))
        return own + min(max(self.tokens - own, 0.0), share)

    def backlog_seconds(self, work: works.Work) -> float:
        """Return how long a workspace's backlog takes at its recent rate.

        The fair-share estimate doesn't include requests that arrive later but
        are served earlier; the measured rate does.

        :param work: a request that has just arrived
        :return: seconds; zero if nothing is queued or no rate is known
        """
        backlog = self._backlogs.get(work.workspace)
        if backlog is None:
            return 0.0
        rate = backlog.rate.tokens_per_second(
            now_seconds=work.arrived_at_seconds
        )
        return backlog.tokens / rate if rate else 0.0

    def _first_workspace(
        self, adapter_queue: AdapterQueue
    ) -> tuple[float, str]:
        if len(adapter_queue.queues) == 1:
            # The usual case: only one workspace uses the adapter.
            workspace = next(iter(adapter_queue.queues))
            return self._counter.value(workspace), workspace
        # Stored counters may be out of date: an entry whose counter has risen
        # is pushed again with its present value.
        while (top := adapter_queue.order.first()) is not None:
            stored, workspace = top
            present = self._counter.value(workspace)
            if present <= stored:
                return top
            adapter_queue.order.push(workspace, present)
        raise AssertionError("an adapter without queued requests is indexed")


def _rank_seconds(work: works.Work) -> float:
    timeout_seconds = work.deadline_at_seconds - work.arrived_at_seconds
    penalty_seconds = min(
        PENALTY_SECONDS_PER_TOKEN * works.charged_tokens(work),
        MAX_PENALTY_TIMEOUT_SHARE * timeout_seconds,
    )
    return work.arrived_at_seconds + penalty_seconds


__all__ = [
    "Position",
    "QueueClass",
]
