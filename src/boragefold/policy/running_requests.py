"""Tracks the requests that run on one engine, and its free capacity."""

from __future__ import annotations

import collections
from collections.abc import Iterator
import math

from boragefold.policy import concurrency_limit
from boragefold.policy import engine_decisions
from boragefold.policy import engine_speed
from boragefold.policy import prompt_spacing
from boragefold.policy import removable_heap
from boragefold.policy import request_states
from boragefold.state import deployment

# Part of the KV cache that granted requests may fill. Beyond it the engine
# preempts running responses and prefills their prompts again.
MAX_KV_CACHE_SHARE = 0.9
# If the start of a granted request is unreported for this long, the request
# has started or was lost.
START_REPORT_TIMEOUT_SECONDS = 3.0


class RunningRequests:
    """The requests that were granted at one engine and have not ended."""

    def __init__(
        self, *, engine: deployment.Engine, speed: engine_speed.EngineSpeed
    ) -> None:
        """Start with no requests.

        :param engine: the capacity of the engine
        :param speed: updated by the starts and ends of responses
        """
        self._engine = engine
        self._speed = speed
        self._runs: dict[str, request_states.RunningRequest] = {}
        # Those whose response hasn't started, and sums over all.
        self._unstarted: dict[str, request_states.RunningRequest] = {}
        self._unstarted_tokens = 0
        self._total_tokens = 0
        self._event_gaps: collections.Counter[float] = collections.Counter()
        self._ends: removable_heap.RemovableHeap[str] = (
            removable_heap.RemovableHeap()
        )
        self._last_start_seconds = -math.inf
        self._limit = concurrency_limit.ConcurrencyLimit(slots=engine.slots)
        self._spacing = prompt_spacing.PromptSpacing(speed=speed)

    def __len__(self) -> int:
        return len(self._runs)

    def requests(self) -> Iterator[engine_decisions.EngineRequest]:
        """List the running requests.

        :return: the requests
        """
        return (run.request for run in self._runs.values())

    def find(self, request_id: str) -> engine_decisions.EngineRequest | None:
        """Look up a running request.

        :param request_id: id of the request
        :return: the request; None if it doesn't run
        """
        run = self._runs.get(request_id)
        return None if run is None else run.request

    def add(
        self, request: engine_decisions.EngineRequest, *, now_seconds: float
    ) -> None:
        """Record that a request was granted.

        :param request: the request
        :param now_seconds: reading of the process clock
        """
        self._spacing.record_sent(
            request.prompt_tokens,
            is_prefilling=self.pending_prompts().number > 0,
        )
        run = request_states.RunningRequest(
            request=request,
            granted_at_seconds=now_seconds,
        )
        request_id = request.request_id
        if (previous := self._runs.get(request_id)) is not None:
            self._uncount(previous)
        self._runs[request_id] = self._unstarted[request_id] = run
        self._unstarted_tokens += request.prompt_tokens
        self._total_tokens += request.total_tokens
        self._event_gaps[request.event_gap_seconds] += 1
        self._ends.push(request_id, request.end_deadline_at_seconds)
        if self._limit.limit < math.inf:
            self._limit.record_grant(
                request.request_id,
                self.pending_prompts(),
                now_seconds=now_seconds,
            )

    def end(
        self, request_id: str, *, now_seconds: float
    ) -> engine_decisions.EngineRequest | None:
        """Record that a request has ended.

        :param request_id: id of the request
        :param now_seconds: reading of the process clock
        :return: the request; None if it didn't run
        """
        run = self._runs.pop(request_id, None)
        if run is None:
            return None
        self._uncount(run)
        self._limit.record_end(request_id, now_seconds=now_seconds)
        self._speed.record_end(now_seconds - run.granted_at_seconds)
        return run.request

    def record_start(
        self, request_id: str, *, now_seconds: float
    ) -> engine_decisions.EngineRequest | None:
        """Record the first event of a response.

        :param request_id: id of the request
        :param now_seconds: reading of the process clock
        :return: the request; None if it doesn't run or had started already
        """
        run = self._runs.get(request_id)
        if run is None or run.started:
            return None
        self._set_started(run)
        self._limit.record_start(request_id, now_seconds=now_seconds)
        # The engine prefills one prompt after another: this prefill began
        # when the one before it ended, or when the request was granted.
        since_seconds = max(run.granted_at_seconds, self._last_start_seconds)
        self._last_start_seconds = now_seconds
        self._speed.record_start(
            run.request.prompt_tokens, now_seconds - since_seconds
        )
        return run.request

    def pending_prompts(self) -> request_states.PromptTotals:
        """Sum up the prompts that the engine has not prefilled yet.

        :return: their number and tokens
        """
        return request_states.PromptTotals(
            number=len(self._unstarted), tokens=self._unstarted_tokens
        )

    def has_room(self, request: engine_decisions.EngineRequest) -> bool:
        """Check whether one more request could run.

        :param request: the request
        :return: whether request slots, KV cache and the pauses of running
            responses allow it
        """
        if len(self._runs) >= self._engine.slots:
            return False
        if not self._limit.allows():
            return False
        if self._unstarted and self._pauses_responses_too_long(request):
            return False
        used = self._total_tokens
        limit = MAX_KV_CACHE_SHARE * self._engine.kv_tokens
        return not used or used + request.total_tokens <= limit

    @property
    def limit(self) -> concurrency_limit.ConcurrencyLimit:
        """Return the limit of an engine that has just come back.

        :return: the limit
        """
        return self._limit

    def restart_limit(self) -> None:
        """Limit the requests in flight: the engine has just come back."""
        self._limit.restart(self._speed)

    def assume_started(self, *, now_seconds: float) -> None:
        """Take requests as started whose start is long unreported.

        :param now_seconds: reading of the process clock
        """
        for run in list(self._unstarted.values()):
            if (
                now_seconds - run.granted_at_seconds
                > START_REPORT_TIMEOUT_SECONDS
            ):
                self._set_started(run)

    def overdue(self, *, now_seconds: float) -> list[str]:
        """List the requests that must have ended.

        :param now_seconds: reading of the process clock
        :return: their ids
        """
        first = self._ends.first()
        if first is None or first[0] >= now_seconds:
            return []
        return [
            request.request_id
            for request in self.requests()
            if now_seconds > request.end_deadline_at_seconds
        ]

    def _pauses_responses_too_long(
        self, request: engine_decisions.EngineRequest
    ) -> bool:
        return not self._spacing.allows(
            request.prompt_tokens,
            (request.event_gap_seconds, *self._event_gaps),
        )

    def _uncount(self, run: request_states.RunningRequest) -> None:
        request = run.request
        self._set_started(run)
        self._total_tokens -= request.total_tokens
        self._event_gaps[request.event_gap_seconds] -= 1
        if not self._event_gaps[request.event_gap_seconds]:
            del self._event_gaps[request.event_gap_seconds]
        self._ends.remove(request.request_id)

    def _set_started(self, run: request_states.RunningRequest) -> None:
        if self._unstarted.pop(run.request.request_id, None) is not None:
            self._unstarted_tokens -= run.request.prompt_tokens
        run.started = True


__all__ = [
    "RunningRequests",
]
