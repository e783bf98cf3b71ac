"""State of the requests that are queued for an engine or run on it."""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses
from typing import NamedTuple

from boragefold.policy import engine_decisions


@dataclasses.dataclass(kw_only=True)
class QueuedRequest:
    """A queued request, and the progress of its adapter.

    ``load_ordered_at_seconds`` is when the load of its adapter was ordered,
    and ``ready_at_seconds`` when the adapter was loaded; None until then.
    """

    request: engine_decisions.EngineRequest
    arrival_number: int
    queued_at_seconds: float
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
class RunningRequest:
    """A request that was granted and has not ended."""

    request: engine_decisions.EngineRequest
    granted_at_seconds: float
    started: bool = False


class PromptTotals(NamedTuple):
    """The size of some prompts that the engine has yet to prefill."""

    number: int
    tokens: int


def total_prompts(
    requests: Iterable[engine_decisions.EngineRequest],
) -> PromptTotals:
    """Sum up the prompts of some requests.

    :param requests: the requests
    :return: their number and their tokens
    """
    tokens = [request.prompt_tokens for request in requests]
    return PromptTotals(number=len(tokens), tokens=sum(tokens))


def _or_default(at_seconds: float | None, default_seconds: float) -> float:
    return default_seconds if at_seconds is None else at_seconds


__all__ = [
    "PromptTotals",
    "QueuedRequest",
    "RunningRequest",
    "total_prompts",
]
