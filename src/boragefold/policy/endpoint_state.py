"""The state of one endpoint as this instance knows it.

Load pattern: load reports lag by a second or so. Without adding the requests
sent since the report, an instance keeps sending to the endpoint that looked
idle in it, until the next report shows that one as the fullest of all.
"""

from __future__ import annotations

import collections
from collections.abc import Iterator
import dataclasses
import math

from boragefold.policy import endpoint_requests
from boragefold.policy import endpoint_spec
from boragefold.policy import work as works

# One slow answer hardly matters, ten in a row do. Where answers are rare, each
# weighs more, by the time since the last one.
LATENCY_SMOOTHING = 0.1
LATENCY_DECAY_SECONDS = 10.0
# The fixed part of the time to the first token, in prompt tokens.
FIXED_COST_TOKENS = 256
# An old report must not keep an endpoint marked as full.
REPORT_STALE_SECONDS = 5.0
# Reports lag, so a slight overfill keeps the batch full.
MAX_SEND_FILL = 1.1
# Adapters of an endpoint with less weight are also loaded elsewhere.
SLOW_WEIGHT = 0.5
# How many former incarnations are kept to recognise their late reports.
FORMER_INCARNATIONS = 4


@dataclasses.dataclass(kw_only=True, eq=False)
class EndpointState:
    """The reported load of an endpoint, and its use by this instance."""

    spec: endpoint_spec.EndpointSpec
    incarnation: str = ""
    former_incarnations: collections.deque[str] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=FORMER_INCARNATIONS)
    )
    resident: set[works.AdapterVersion] = dataclasses.field(
        default_factory=set
    )
    loaded_at: dict[works.AdapterVersion, float] = dataclasses.field(
        default_factory=dict
    )
    evicting_since: dict[works.AdapterVersion, float] = dataclasses.field(
        default_factory=dict
    )
    used_by_peers: frozenset[works.AdapterVersion] = frozenset()
    reported_requests: int = 0
    measured_at_seconds: float = float("-inf")
    in_flight: dict[str, endpoint_requests.Sent] = dataclasses.field(
        default_factory=dict
    )
    unanswered: dict[str, endpoint_requests.Sent] = dataclasses.field(
        default_factory=dict
    )
    in_use: collections.Counter[works.AdapterVersion] = dataclasses.field(
        default_factory=collections.Counter
    )
    sent_since_report: int = 0
    ended_since_report: int = 0
    ended: list[endpoint_requests.Ended] = dataclasses.field(
        default_factory=list
    )
    latency: float | None = None
    answered_at_seconds: float = float("-inf")
    duration_seconds: float | None = None
    health: float = 1.0
    weight: float = 1.0

    def estimated_running(self) -> int:
        """Estimate the number of requests that run or wait there.

        :return: those reported, plus those sent, less those ended since
        """
        estimate = (
            self.reported_requests
            + self.sent_since_report
            - self.ended_since_report
        )
        return max(estimate, len(self.in_flight))

    def fill(self) -> float:
        """Return how full the endpoint's batch is estimated to be.

        :return: 1.0 when it is full, more when requests wait there
        """
        return self.estimated_running() / max(self.spec.batch_size, 1)

    def has_room(self) -> bool:
        """Return whether another request may be sent.

        :return: whether it would start almost at once
        """
        batch_size = self.spec.batch_size
        limit = max(batch_size, int(MAX_SEND_FILL * batch_size))
        return self.estimated_running() < limit

    def is_slow(self) -> bool:
        """Return whether the endpoint is too slow to rely on.

        :return: whether requests should preferably go elsewhere
        """
        return self.weight < SLOW_WEIGHT

    def serves(self, adapter: works.AdapterVersion) -> bool:
        """Return whether an adapter's requests may be sent there.

        :param adapter: the adapter version; an empty one is the base model
        :return: whether it is loaded and the endpoint isn't leaving
        """
        if self.spec.leaving or adapter.model != self.spec.model:
            return False
        return not adapter.adapter or adapter in self.resident

    def occupied_slots(self) -> int:
        """Count the slots that hold an adapter.

        :return: number of slots, including those being emptied
        """
        return len(self.resident) + len(self.evicting_since)

    def is_in_use(self, adapter: works.AdapterVersion) -> bool:
        """Return whether an adapter is in use at the endpoint.

        :param adapter: the adapter version
        :return: whether it must not be evicted
        """
        return adapter in self.in_use or adapter in self.used_by_peers

    def apply_report(self, report: endpoint_spec.LoadReport) -> None:
        """Replace the reported load, and recount what was sent since.

        :param report: from the present incarnation, newer than the last one
        """
        self.reported_requests = report.running + report.waiting
        self.measured_at_seconds = report.measured_at_seconds
        self.sent_since_report = sum(
            sent.sent_at_seconds > report.measured_at_seconds
            for sent in self.in_flight.values()
        )
        self.ended = [
            ended
            for ended in self.ended
            if ended.ended_at_seconds > report.measured_at_seconds
        ]
        self.ended_since_report = sum(
            ended.is_counted_at(report.measured_at_seconds)
            for ended in self.ended
        )

    def restart(self, incarnation: str) -> None:
        """Reset everything that ended with the previous incarnation.

        :param incarnation: the new one
        """
        if self.incarnation:
            self.former_incarnations.append(self.incarnation)
        self.incarnation = incarnation
        self.resident.clear()
        self.loaded_at.clear()
        self.evicting_since.clear()
        self.used_by_peers = frozenset()
        self.in_flight.clear()
        self.unanswered.clear()
        self.in_use.clear()
        self.ended.clear()
        self.ended_since_report = 0
        self.sent_since_report = 0
        self.latency = None

    def begin(self, work: works.Work, *, now_seconds: float) -> None:
        """Count a request that is about to be sent.

        :param work: the request
        :param now_seconds: reading of the process clock
        """
        sent = endpoint_requests.Sent(
            work.adapter_version, work.prompt_tokens, now_seconds
        )
        self.in_flight[work.request_id] = sent
        self.unanswered[work.request_id] = sent
        self.in_use[work.adapter_version] += 1
        self.sent_since_report += now_seconds > self.measured_at_seconds

    def answer(self, request_id: str, *, now_seconds: float) -> None:
        """Measure the latency of an answer's first byte.

        :param request_id: the request
        :param now_seconds: reading of the process clock
        """
        sent = self.unanswered.pop(request_id, None)
        if sent is None:
            return
        sample = self._scaled(sent, now_seconds)
        if self.latency is None:
            self.latency = sample
        gap_seconds = now_seconds - self.answered_at_seconds
        part = 1 - math.exp(-gap_seconds / LATENCY_DECAY_SECONDS)
        smoothing = max(part, LATENCY_SMOOTHING)
        self.latency += smoothing * (sample - self.latency)
        self.answered_at_seconds = now_seconds

    def end(self, request_id: str, *, now_seconds: float) -> None:
        """Count a request as ended.

        :param request_id: the request
        :param now_seconds: reading of the process clock
        """
        self.unanswered.pop(request_id, None)
        sent = self.in_flight.pop(request_id, None)
        if sent is None:
            return
        self.in_use[sent.adapter] -= 1
        if not self.in_use[sent.adapter]:
            del self.in_use[sent.adapter]
        elapsed_seconds = now_seconds - sent.sent_at_seconds
        if self.duration_seconds is None:
            self.duration_seconds = elapsed_seconds
        self.duration_seconds += LATENCY_SMOOTHING * (
            elapsed_seconds - self.duration_seconds
        )
        # The next report may have been measured before the request ended.
        self.ended.append(
            endpoint_requests.Ended(sent.sent_at_seconds, now_seconds)
        )
        if sent.sent_at_seconds > self.measured_at_seconds:
            self.sent_since_report -= 1
        else:
            self.ended_since_report += 1

    def current_latency(self, *, now_seconds: float) -> float | None:
        """Return the latency, including the age of unanswered requests.

        An endpoint that stopped answering yields no samples, so the age of
        its oldest unanswered request is used instead.

        :param now_seconds: reading of the process clock
        :return: seconds, scaled to a prompt of the fixed cost; None if unknown
        """
        oldest = next(iter(self.unanswered.values()), None)
        if oldest is None:
            return self.latency
        age = self._scaled(oldest, now_seconds)
        return age if self.latency is None else max(age, self.latency)

    def forget_stale_report(self, *, now_seconds: float) -> None:
        """Count only this instance's requests once reports have stopped.

        :param now_seconds: reading of the process clock
        """
        if now_seconds - self.measured_at_seconds > REPORT_STALE_SECONDS:
            self.reported_requests = 0
            self.sent_since_report = len(self.in_flight)
            self.measured_at_seconds = float("-inf")
            self.ended_since_report = 0
            self.ended.clear()

    def usable_adapters(
        self, report: endpoint_spec.LoadReport
    ) -> Iterator[works.AdapterVersion]:
        """Iterate over the reported adapters that may be used.

        :param report: a report that lists adapters
        :return: those without a pending eviction
        """
        return (
            adapter
            for adapter in report.resident or ()
            if adapter not in self.evicting_since
        )

    def _scaled(
        self, sent: endpoint_requests.Sent, now_seconds: float
    ) -> float:
        elapsed = now_seconds - sent.sent_at_seconds
        scale = 1 + sent.prompt_tokens / FIXED_COST_TOKENS
        return max(elapsed - self.spec.distance_seconds, 0.0) / scale


__all__ = [
    "EndpointState",
    "REPORT_STALE_SECONDS",
]
