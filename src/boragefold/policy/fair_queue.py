"""Who of those waiting is served next.

Load pattern: one workspace, or a few long requests, fill the queue while
others send little. Without this, everybody waits behind the largest sender,
short requests wait behind long ones, and a request whose adapter is still
being loaded blocks those whose adapter is there.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from boragefold.policy import refusal
from boragefold.policy import work as works
from boragefold.telemetry import counters as telemetry


@dataclasses.dataclass(frozen=True, kw_only=True)
class Queued:
    """The request is in the queue; its start is estimated."""

    start_in_seconds: float
    tag: str = "queued"


@dataclasses.dataclass(kw_only=True)
class Demand:
    """What waits for one adapter version."""

    requests: int = 0
    tokens: float = 0.0
    by_workspace: dict[str, float] = dataclasses.field(default_factory=dict)


class FairQueue:
    """Waiting requests, fair over workspaces by the tokens they received."""

    def __init__(self, *, counters: telemetry.Counters) -> None:
        self._counters = counters

    def __len__(self) -> int:
        raise NotImplementedError

    def offer(
        self,
        work: works.Work,
        *,
        now_seconds: float,
        service_tokens_per_second: float,
        adapter_tokens_per_second: float | None = None,
    ) -> Queued | refusal.Refused:
        """Push a request unless its caller would give up before its start.

        :param work: the request
        :param now_seconds: reading of the process clock
        :param service_tokens_per_second: what this queue is served with
        :param adapter_tokens_per_second: what its adapter is served with
        :return: queued, or refused with the time to come back after
        """
        raise NotImplementedError

    def push(self, work: works.Work, *, now_seconds: float) -> None:
        """Append a request without a look at its caller's patience.

        :param work: the request; its id must not be waiting already
        :param now_seconds: reading of the process clock
        """
        raise NotImplementedError

    def pop(
        self,
        *,
        candidates: Iterable[works.AdapterVersion],
        now_seconds: float,
    ) -> works.Work | None:
        """Take the next request among those that need one of the adapters.

        Its workspace is charged with prompt_tokens + max_tokens.

        :param candidates: adapters that some endpoint can serve right now,
            such as the residents of the endpoint that has just got room
        :param now_seconds: reading of the process clock
        :return: the request, or None when none of them is waited for
        """
        raise NotImplementedError

    def settle(self, work: works.Work, *, used_tokens: float) -> None:
        """Correct the charge of a request that has ended.

        :param work: a request that :meth:`pop` returned
        :param used_tokens: prompt and generated tokens really spent
        """
        raise NotImplementedError

    def remove(self, request_id: str) -> works.Work | None:
        """Take out a request whose caller has gone.

        :param request_id: the request
        :return: the request, or None if it doesn't wait
        """
        raise NotImplementedError

    def expire(self, *, now_seconds: float) -> list[works.Work]:
        """Take out the requests whose callers stopped waiting.

        :param now_seconds: reading of the process clock
        :return: the requests
        """
        raise NotImplementedError

    def next_expiry_seconds(self) -> float | None:
        """Tell when the next caller stops waiting.

        :return: reading of the process clock, or None when nobody waits
        """
        raise NotImplementedError

    def waiting_by_adapter(self) -> Mapping[works.AdapterVersion, Demand]:
        """Tell what waits for which adapter, for placement.

        :return: a live view; don't change it
        """
        raise NotImplementedError

    def estimate_start_seconds(
        self,
        work: works.Work,
        *,
        service_tokens_per_second: float,
        adapter_tokens_per_second: float | None = None,
    ) -> float:
        """Estimate how long a request would wait if it were pushed now.

        :param work: the request
        :param service_tokens_per_second: what this queue is served with
        :param adapter_tokens_per_second: what its adapter is served with
        :return: seconds
        """
        raise NotImplementedError


__all__ = [
    "Demand",
    "FairQueue",
    "Queued",
]
