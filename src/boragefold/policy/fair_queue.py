"""The queue of admitted requests, and which of them is served next.

Load pattern: one workspace, or a few long requests, fill the queue while
others send little. Without fair queueing, all workspaces wait behind the
largest sender, short requests wait behind long ones, and a request whose
adapter is still being loaded blocks those whose adapter is loaded already.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from boragefold.policy import demand as demands
from boragefold.policy import queue_class
from boragefold.policy import refusal
from boragefold.policy import removable_heap
from boragefold.policy import work as works
from boragefold.telemetry import counters as telemetry

# Keeps ordinary requests moving while late-sensitive ones are queued.
ORDINARY_SHARE = 0.2
LATE_SENSITIVE_SHARE = 1 - ORDINARY_SHARE
# The rest of the caller's timeout is left for the answer.
START_TIMEOUT_SHARE = 0.7
# A caller that retries earlier would be refused again.
MIN_RETRY_AFTER_SECONDS = 0.5


@dataclasses.dataclass(frozen=True, kw_only=True)
class Queued:
    """The request was queued; its start is estimated."""

    start_in_seconds: float
    tag: str = "queued"


Demand = demands.Demand


class FairQueue:
    """Queues requests fairly over workspaces, by the tokens they received."""

    def __init__(self, *, counters: telemetry.Counters) -> None:
        self._counters = counters
        self._late = queue_class.QueueClass()
        self._ordinary = queue_class.QueueClass()
        self._ordinary_credit_tokens = 0.0
        self._works: dict[str, works.Work] = {}
        self._expiry: removable_heap.RemovableHeap[str] = (
            removable_heap.RemovableHeap()
        )
        self._demand: dict[works.AdapterVersion, Demand] = {}

    def __len__(self) -> int:
        return len(self._works)

    def offer(
        self,
        work: works.Work,
        *,
        now_seconds: float,
        throughput_tokens_per_second: float,
        adapter_tokens_per_second: float | None = None,
    ) -> Queued | refusal.Refused:
        """Queue a request unless its caller would time out before its start.

        :param work: the request
        :param now_seconds: reading of the process clock
        :param throughput_tokens_per_second: rate at which this queue is served
        :param adapter_tokens_per_second: rate at which its adapter is served
        :return: queued, or refused with the time to retry after
        """
        start_in_seconds = self.estimate_start_seconds(
            work,
            throughput_tokens_per_second=throughput_tokens_per_second,
            adapter_tokens_per_second=adapter_tokens_per_second,
        )
        timeout_seconds = work.deadline_at_seconds - now_seconds
        bound_seconds = START_TIMEOUT_SHARE * timeout_seconds
        if start_in_seconds > bound_seconds:
            return self._refuse(start_in_seconds - bound_seconds)
        self.push(work, now_seconds=now_seconds)
        return Queued(start_in_seconds=start_in_seconds)

    def push(self, work: works.Work, *, now_seconds: float) -> None:
        """Queue a request regardless of its caller's timeout.

        :param work: the request; its id must not be queued already
        :param now_seconds: reading of the process clock
        """
        if work.request_id in self._works:
            raise ValueError(f"{work.request_id} is already queued")
        self._works[work.request_id] = work
        self._expiry.push(work.request_id, work.deadline_at_seconds)
        self._class_of(work).push(work)
        self._demand.setdefault(work.adapter_version, Demand()).add(work)

    def pop(
        self,
        *,
        candidates: Iterable[works.AdapterVersion],
        now_seconds: float,
    ) -> works.Work | None:
        """Remove and return the next request that needs one of the adapters.

        Its workspace is charged with prompt_tokens + max_tokens.

        :param candidates: adapters that some endpoint can serve right now,
            such as those loaded on an endpoint that has just become free
        :param now_seconds: reading of the process clock
        :return: the request, or None when no queued request needs them
        """
        queued = [each for each in candidates if each in self._demand]
        late = self._late.first(queued)
        ordinary = self._ordinary.first(queued)
        position = self._next_class(late, ordinary)
        if position is None:
            return None
        work = self._works[position.request_id]
        self._class_of(work).charge(work, now_seconds=now_seconds)
        self._remove(work)
        return work

    def settle(self, work: works.Work, *, used_tokens: float) -> None:
        """Correct the charge of a request that has ended.

        :param work: a request that :meth:`pop` returned
        :param used_tokens: prompt and generated tokens actually used
        """
        self._class_of(work).settle(work, used_tokens=used_tokens)

    def remove(self, request_id: str) -> works.Work | None:
        """Remove a request whose caller has disconnected.

        :param request_id: the request
        :return: the request, or None if it isn't queued
        """
        work = self._works.get(request_id)
        if work is not None:
            self._remove(work)
        return work

    def expire(self, *, now_seconds: float) -> list[works.Work]:
        """Remove the requests whose callers have timed out.

        :param now_seconds: reading of the process clock
        :return: the removed requests
        """
        expired = []
        while (first := self._expiry.first()) is not None:
            deadline_at_seconds, request_id = first
            if deadline_at_seconds > now_seconds:
                break
            work = self._works[request_id]
            self._remove(work)
            self._counters.add("requests_refused", "caller_gave_up")
            expired.append(work)
        return expired

    def next_expiry_seconds(self) -> float | None:
        """Return when the next caller times out.

        :return: reading of the process clock, or None when the queue is empty
        """
        first = self._expiry.first()
        return first[0] if first is not None else None

    def waiting_by_adapter(self) -> Mapping[works.AdapterVersion, Demand]:
        """Return the queued requests and tokens by adapter, for placement.

        :return: a live view that must not be changed
        """
        return self._demand

    def delay_seconds(self, *, throughput_tokens_per_second: float) -> float:
        """Return how long serving the whole queue would take.

        :param throughput_tokens_per_second: rate at which this queue is served
        :return: seconds, for :meth:`overload.Overload.observe`
        """
        tokens = self._late.tokens + self._ordinary.tokens
        return _divide(tokens, throughput_tokens_per_second)

    def estimate_start_seconds(
        self,
        work: works.Work,
        *,
        throughput_tokens_per_second: float,
        adapter_tokens_per_second: float | None = None,
    ) -> float:
        """Estimate how long a request would wait if it were pushed now.

        :param work: the request
        :param throughput_tokens_per_second: rate at which this queue is served
        :param adapter_tokens_per_second: rate at which its adapter is served
        :return: an upper bound in seconds; short requests start sooner
        """
        seconds = max(
            _divide(self._ahead_tokens(work), throughput_tokens_per_second),
            self._class_of(work).backlog_seconds(work),
        )
        demand = self._demand.get(work.adapter_version)
        if demand is None or adapter_tokens_per_second is None:
            return seconds
        adapter_seconds = _divide(
            demand.ahead_tokens(work), adapter_tokens_per_second
        )
        return max(seconds, adapter_seconds)

    def _ahead_tokens(self, work: works.Work) -> float:
        ahead = self._class_of(work).ahead_tokens(work)
        if work.late_sensitive:
            share = LATE_SENSITIVE_SHARE if self._ordinary.tokens else 1.0
            return ahead / share
        guaranteed = ahead / ORDINARY_SHARE
        return min(ahead + self._late.tokens, guaranteed)

    def _next_class(
        self,
        late: queue_class.Position | None,
        ordinary: queue_class.Position | None,
    ) -> queue_class.Position | None:
        if late is None or ordinary is None:
            return late or ordinary
        tokens = works.charged_tokens(self._works[ordinary.request_id])
        if self._ordinary_credit_tokens >= tokens:
            self._ordinary_credit_tokens -= tokens
            return ordinary
        tokens = works.charged_tokens(self._works[late.request_id])
        ratio = ORDINARY_SHARE / LATE_SENSITIVE_SHARE
        self._ordinary_credit_tokens += tokens * ratio
        return late

    def _remove(self, work: works.Work) -> None:
        del self._works[work.request_id]
        self._expiry.remove(work.request_id)
        self._class_of(work).remove(work)
        demand = self._demand[work.adapter_version]
        demand.subtract(work)
        if not demand.requests:
            del self._demand[work.adapter_version]
        if not self._ordinary.tokens:
            self._ordinary_credit_tokens = 0.0

    def _class_of(self, work: works.Work) -> queue_class.QueueClass:
        return self._late if work.late_sensitive else self._ordinary

    def _refuse(self, excess_seconds: float) -> refusal.Refused:
        self._counters.add("requests_refused", "queue_too_long")
        finite = excess_seconds != float("inf")
        return refusal.Refused(
            status=refusal.UNAVAILABLE,
            reason="queue_too_long",
            remedy="come back later, or wait longer for the answer",
            retry_after_seconds=(
                max(excess_seconds, MIN_RETRY_AFTER_SECONDS)
                if finite
                else None
            ),
        )


def _divide(tokens: float, tokens_per_second: float) -> float:
    if not tokens:
        return 0.0
    if tokens_per_second <= 0:
        return float("inf")
    return tokens / tokens_per_second


__all__ = [
    "Demand",
    "FairQueue",
    "LATE_SENSITIVE_SHARE",
    "Queued",
]
