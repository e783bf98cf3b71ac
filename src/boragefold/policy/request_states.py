"""State of the requests that are queued for an engine or run on it."""

from __future__ import annotations

import dataclasses
from typing import NamedTuple

from boragefold.policy import engine_decisions
from boragefold.policy import engine_speed
from boragefold.state import deployment


class Rank(NamedTuple):
    """Position of a request in a queue; a lower one is more urgent."""

    priority: int
    start_deadline_at_seconds: float
    arrival_number: int


@dataclasses.dataclass(kw_only=True)
class QueuedRequest:
    """A queued request, and the progress of its adapter.

    ``load_ordered_at_seconds`` is when the load of its adapter was ordered,
    and ``ready_at_seconds`` when the adapter was loaded; None until then.
    ``rank`` is its position among requests that can start on time, and
    ``late`` tells whether it couldn't start on time when the queue was last
    ordered.
    """

    request: engine_decisions.EngineRequest
    rank: Rank
    queued_at_seconds: float
    adapter: AdapterQueue
    late: bool = False
    load_ordered_at_seconds: float | None = None
    ready_at_seconds: float | None = None

    def record_progress(
        self, *, placed: bool, ready: bool, now_seconds: float
    ) -> None:
        """Record the progress of its adapter.

        :param placed: whether the load was ordered
        :param ready: whether the adapter is loaded
        :param now_seconds: reading of the process clock
        """
        if placed and self.load_ordered_at_seconds is None:
            self.load_ordered_at_seconds = now_seconds
        if ready and self.ready_at_seconds is None:
            self.ready_at_seconds = now_seconds

    def queue_times(self, now_seconds: float) -> engine_decisions.QueueTimes:
        """Split its time in the queue until now by what it waited for.

        :param now_seconds: reading of the process clock
        :return: the parts
        """
        ready_at_seconds = _or_default(self.ready_at_seconds, now_seconds)
        load_ordered_at_seconds = _or_default(
            self.load_ordered_at_seconds, ready_at_seconds
        )
        return engine_decisions.QueueTimes(
            slot_seconds=load_ordered_at_seconds - self.queued_at_seconds,
            load_seconds=ready_at_seconds - load_ordered_at_seconds,
            capacity_seconds=now_seconds - ready_at_seconds,
        )


@dataclasses.dataclass(kw_only=True)
class AdapterQueue:
    """The queued requests of one adapter, and the state of the adapter.

    ``held``, ``ready`` and ``ready_at_seconds`` are those of the last
    forecast: whether it has a slot, whether requests of it can run, and when
    they could. ``unrecorded`` are the requests whose progress isn't recorded
    in full.
    """

    key: deployment.AdapterKey
    waiting: dict[str, QueuedRequest] = dataclasses.field(default_factory=dict)
    unrecorded: dict[str, QueuedRequest] = dataclasses.field(
        default_factory=dict
    )
    prompt_tokens: int = 0
    held: bool = False
    ready: bool = False
    ready_at_seconds: float = 0.0

    def add(self, waiting: QueuedRequest) -> None:
        """Add a request.

        :param waiting: the request
        """
        request = waiting.request
        self.waiting[request.request_id] = waiting
        self.unrecorded[request.request_id] = waiting
        self.prompt_tokens += request.prompt_tokens

    def remove(self, waiting: QueuedRequest) -> None:
        """Remove a request.

        :param waiting: the request
        """
        request = waiting.request
        del self.waiting[request.request_id]
        self.unrecorded.pop(request.request_id, None)
        self.prompt_tokens -= request.prompt_tokens

    def first_arrival_number(self) -> int:
        """Return when the first of the requests arrived.

        :return: its arrival number
        """
        return next(iter(self.waiting.values())).rank.arrival_number

    def totals(self) -> PromptTotals:
        """Sum up the prompts.

        :return: their number and their tokens
        """
        return PromptTotals(len(self.waiting), self.prompt_tokens)

    def totals_ahead(
        self,
        rank: Rank,
        late: bool,
        ready_at_seconds: float,
        speed: engine_speed.EngineSpeed,
    ) -> PromptTotals:
        """Sum up the prompts of the requests that are more urgent than one.

        :param rank: the rank of that one
        :param late: whether it can't start on time
        :param ready_at_seconds: when requests of this adapter could run
        :param speed: of the engine's prefill
        :return: their number and their tokens
        """
        number = tokens = 0
        fixed_seconds = speed.prefill_seconds(0)
        tokens_per_second = speed.tokens_per_second
        for other in self.waiting.values():
            by_rank = other.rank < rank
            if by_rank == late:
                # Whether the other is late doesn't matter.
                ahead = late
            else:
                prompt_tokens = other.request.prompt_tokens
                starts_at_seconds = ready_at_seconds + (
                    fixed_seconds + prompt_tokens / tokens_per_second
                )
                ahead = (
                    starts_at_seconds
                    <= other.request.start_deadline_at_seconds
                )
            if ahead:
                number += 1
                tokens += other.request.prompt_tokens
        return PromptTotals(number, tokens)

    def record_progress(self, *, now_seconds: float) -> None:
        """Record at each request that the adapter is ordered or loaded.

        :param now_seconds: reading of the process clock
        """
        for waiting in self.unrecorded.values():
            waiting.record_progress(
                placed=self.held, ready=self.ready, now_seconds=now_seconds
            )
        if self.ready:
            self.unrecorded.clear()


@dataclasses.dataclass(kw_only=True)
class RunningRequest:
    """A request that was granted and has not ended."""

    request: engine_decisions.EngineRequest
    granted_at_seconds: float
    started: bool = False


class PromptTotals(NamedTuple):
    """The size of some prompts that the engine has yet to prefill."""

    number: int
    tokens: int


def _or_default(at_seconds: float | None, default_seconds: float) -> float:
    return default_seconds if at_seconds is None else at_seconds


__all__ = [
    "AdapterQueue",
    "PromptTotals",
    "QueuedRequest",
    "Rank",
    "RunningRequest",
]
