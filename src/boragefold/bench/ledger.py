"""What happened to each request, as its caller saw it."""

from __future__ import annotations

import collections
import dataclasses

from boragefold.bench import traffic


@dataclasses.dataclass(kw_only=True, slots=True)
class Record:
    """One request's account; moments are in virtual seconds."""

    arrival: traffic.Arrival
    instance: int
    inside_rate: bool = True
    first_token_at_seconds: float | None = None
    finished_at_seconds: float | None = None
    refused_at_seconds: float | None = None
    refused_because: str = ""
    retry_after_seconds: float | None = None
    failed: bool = False
    given_up: bool = False
    sends: int = 0
    stalled_since_seconds: float | None = None
    stall_seconds: float = 0.0
    endpoint: str = ""

    @property
    def over(self) -> bool:
        """Tell whether the caller has its last word.

        :return: whether it was served, refused, failed or gave up
        """
        return (
            self.finished_at_seconds is not None
            or self.refused_at_seconds is not None
            or self.failed
            or self.given_up
        )

    @property
    def tokens(self) -> int:
        """Count the tokens that serving it comes to.

        :return: prompt and answer
        """
        return self.arrival.work.prompt_tokens + self.arrival.answer_tokens


class RateOracle:
    """One exact bucket per workspace: what a single observer would allow.

    It charges what a request really uses, at once, and so tells which
    requests were inside their workspace's rate whatever the fleet did.
    """

    def __init__(
        self,
        *,
        rates_tokens_per_second: dict[str, float],
        burst_seconds: float,
    ) -> None:
        self._rates = rates_tokens_per_second
        self._bursts = {
            name: rate * burst_seconds
            for name, rate in rates_tokens_per_second.items()
        }
        self._levels = dict(self._bursts)
        self._at_seconds = dict.fromkeys(rates_tokens_per_second, 0.0)

    def offer(self, arrival: traffic.Arrival) -> bool:
        """Judge one request; ask in order of arrival.

        :param arrival: the request
        :return: whether it is inside the rate
        """
        work = arrival.work
        name = work.workspace
        elapsed = arrival.at_seconds - self._at_seconds[name]
        self._at_seconds[name] = arrival.at_seconds
        level = min(
            self._bursts[name],
            self._levels[name] + elapsed * self._rates[name],
        )
        inside = level >= work.prompt_tokens + work.max_tokens
        if inside:
            level -= work.prompt_tokens + arrival.answer_tokens
        self._levels[name] = level
        return inside


class Ledger:
    """Every request's record, and the stalls while its adapter is absent.

    A request stalls while it waits and its adapter is ready on no engine, or
    while it waits at an engine that hasn't got it. Waiting for room is no
    stall.
    """

    def __init__(self) -> None:
        self.records: dict[str, Record] = {}
        self.open = 0
        self._copies: collections.Counter[str] = collections.Counter()
        self._unstarted: dict[str, set[str]] = collections.defaultdict(set)

    def arrive(self, record: Record) -> None:
        """Open a request's record.

        :param record: of a request that has just arrived
        """
        work = record.arrival.work
        self.records[work.request_id] = record
        self.open += 1
        if work.adapter_version.adapter:
            self._unstarted[work.adapter_version.adapter].add(work.request_id)
            if self._copies[work.adapter_version.adapter] <= 0:
                record.stalled_since_seconds = work.arrived_at_seconds

    def begin_stall(self, record: Record, now_seconds: float) -> None:
        """Note that a request waits at an engine without its adapter.

        :param record: the request's
        :param now_seconds: reading of the virtual clock
        """
        started = record.first_token_at_seconds is not None
        if record.stalled_since_seconds is None and not started:
            record.stalled_since_seconds = now_seconds

    def start(self, record: Record, now_seconds: float) -> None:
        """Note that a request has started, or never will.

        :param record: the request's
        :param now_seconds: reading of the virtual clock
        """
        self._end_stall(record, now_seconds)
        work = record.arrival.work
        if work.adapter_version.adapter:
            self._unstarted[work.adapter_version.adapter].discard(
                work.request_id
            )

    def close(self, record: Record, now_seconds: float) -> None:
        """Note the last word to a caller.

        :param record: the request's
        :param now_seconds: reading of the virtual clock
        """
        self.open -= 1
        self.start(record, now_seconds)

    def ready(self, adapter: str, endpoint: str, now_seconds: float) -> None:
        """Note that an engine has got an adapter.

        :param adapter: which one
        :param endpoint: the engine's name
        :param now_seconds: reading of the virtual clock
        """
        self._copies[adapter] += 1
        for request_id in self._unstarted[adapter]:
            record = self.records[request_id]
            if record.endpoint in ("", endpoint):
                self._end_stall(record, now_seconds)

    def gone(self, adapter: str) -> None:
        """Note that an engine hasn't got an adapter any more.

        :param adapter: which one
        """
        self._copies[adapter] -= 1

    def _end_stall(self, record: Record, now_seconds: float) -> None:
        if record.stalled_since_seconds is not None:
            record.stall_seconds += now_seconds - record.stalled_since_seconds
            record.stalled_since_seconds = None


__all__ = [
    "Ledger",
    "RateOracle",
    "Record",
]
