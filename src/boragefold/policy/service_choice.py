"""Chooses the endpoint of a plain service that a request is sent to.

Load pattern: a few endpoints with few slots, one of which becomes slow or
fails part of its requests while its health check passes. With an even
distribution, each instance keeps sending it an equal share. Here the observed
requests decide: failures and slow answers lower an endpoint's share at once,
and a small remaining share shows when the endpoint has recovered. Where
endpoints report how long their work takes, they are ranked by when they would
finish a request.
"""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses
import math
import random

from boragefold.policy import expected_finish
from boragefold.policy import rejection_limits

SMOOTHING = 0.2
# The half-life of failures, after which a failing endpoint is tried again.
FAILURE_HALF_LIFE_SECONDS = 3.0
# Some services fail part of their requests in normal operation.
TOLERATED_FAILURE_RATE = 0.25
# Load added to endpoints of another data centre.
REMOTE_PENALTY = 0.15
# A reported load of other instances' requests is used this long.
REPORT_SECONDS = 0.5
# Ranks a failing endpoint behind any that is merely full.
FAILURE_PENALTY = 4.0
FAILURE_SECONDS = 10.0
# Random, since all instances would choose the same endpoint otherwise.
FINISH_JITTER = 0.3


@dataclasses.dataclass(kw_only=True)
class EndpointStats:
    """Load, failures and latency observed at one endpoint."""

    reported_slots: int | None = None
    in_flight: int = 0
    failure_rate: float = 0.0
    took_seconds: float | None = None
    reported_load: float = 0.0
    reported_at_seconds: float = 0.0
    sent_at_seconds: float = -math.inf
    updated_at_seconds: float = 0.0


class ServiceChoice:
    """Chooses among endpoints by the load and failures observed at each."""

    def __init__(
        self,
        *,
        rng: random.Random,
        limits: rejection_limits.RejectionLimits | None = None,
    ) -> None:
        """Begin without observations.

        :param rng: spreads instances over equal endpoints
        :param limits: knows what brittle endpoints bear
        """
        self._rng = rng
        self.limits = limits or rejection_limits.RejectionLimits(
            self_address="", peers=frozenset
        )
        self._records: dict[str, EndpointStats] = {}
        self.finish = expected_finish.ExpectedFinish()

    def choose(
        self, endpoints: Iterable[tuple[str, int, bool]], *, now_seconds: float
    ) -> str | None:
        """Choose an endpoint.

        :param endpoints: name, slots and whether it is local, for each usable
            endpoint
        :param now_seconds: reading of the process clock
        :return: the name of the least loaded one, or of the one expected to
            finish first; None if there is none
        """
        endpoints = list(endpoints)
        if any(
            self.finish.reports_factor(name, now_seconds=now_seconds)
            for name, _, _ in endpoints
        ):
            return self._choose_by_finish(endpoints, now_seconds)
        costs = [
            (self._cost(name, slots, is_local, now_seconds), name)
            for name, slots, is_local in endpoints
        ]
        return min(costs, default=(0.0, None))[1]

    def has_room(
        self, service: str, endpoint: str, *, slots: int, now_seconds: float
    ) -> bool:
        """Tell whether a request may be sent to an endpoint.

        :param service: name of its service
        :param endpoint: its name
        :param slots: number of requests that it runs at once, unless its
            answers tell otherwise
        :param now_seconds: reading of the process clock
        :return: whether it bears rejections, or hardly rejects the request
        """
        record = self._record(endpoint)
        if record.reported_slots is not None:
            slots = record.reported_slots
        load = rejection_limits.EndpointLoad(
            slots=slots,
            in_flight=record.in_flight,
            others=record.reported_load * slots,
            report_age_seconds=now_seconds - record.reported_at_seconds,
            sent_seconds_ago=now_seconds - record.sent_at_seconds,
        )
        return self.limits.has_room(
            service, endpoint, load, now_seconds=now_seconds
        )

    def sent(self, endpoint: str, *, now_seconds: float = 0.0) -> None:
        """Record that a request was sent.

        :param endpoint: its name
        :param now_seconds: reading of the process clock
        """
        record = self._record(endpoint)
        record.in_flight += 1
        record.sent_at_seconds = now_seconds
        self.finish.record_sent(endpoint)

    def reported(
        self,
        endpoint: str,
        *,
        busy: int,
        slots: int,
        now_seconds: float,
        work_factor: float | None = None,
        service: str = "",
    ) -> None:
        """Record the load that an endpoint reported.

        :param endpoint: its name
        :param busy: number of requests that run or wait there
        :param slots: number of requests that it runs at once
        :param now_seconds: reading of the process clock
        :param work_factor: time that work takes there now, relative to
            normal, None if the endpoint doesn't report it
        :param service: name of the endpoint's service
        """
        if work_factor is not None:
            self.finish.record_report(
                endpoint,
                busy=busy,
                slots=slots,
                factor=work_factor,
                now_seconds=now_seconds,
                service=service,
            )
        record = self._record(endpoint)
        record.reported_slots = slots
        record.reported_load = max(0, busy - record.in_flight) / max(1, slots)
        record.reported_at_seconds = now_seconds

    def ended(
        self,
        endpoint: str,
        *,
        failed: bool,
        took_seconds: float,
        now_seconds: float,
    ) -> None:
        """Record how a request ended.

        :param endpoint: its name
        :param failed: whether the endpoint caused it to fail
        :param took_seconds: time from sending to the first byte
        :param now_seconds: reading of the process clock
        """
        record = self._record(endpoint)
        record.in_flight = max(0, record.in_flight - 1)
        self.finish.record_end(
            endpoint,
            took_seconds=None if failed else took_seconds,
            now_seconds=now_seconds,
        )
        failure_rate = self._failure_rate(record, now_seconds)
        record.failure_rate = failure_rate + SMOOTHING * (
            float(failed) - failure_rate
        )
        record.updated_at_seconds = now_seconds
        if not failed or self._is_slow(took_seconds):
            before = record.took_seconds
            record.took_seconds = (
                took_seconds
                if before is None
                else before + SMOOTHING * (took_seconds - before)
            )

    def withdrawn(self, endpoint: str) -> None:
        """Record that a request ended without telling about the endpoint.

        :param endpoint: its name
        """
        record = self._record(endpoint)
        record.in_flight = max(0, record.in_flight - 1)
        self.finish.record_withdrawn(endpoint)

    def unreachable(self, endpoint: str, *, now_seconds: float) -> None:
        """Record that no connection to an endpoint could be opened.

        This weighs more than a failed request: the endpoint is down, or cut
        off, for every request that is sent to it.

        :param endpoint: its name
        :param now_seconds: reading of the process clock
        """
        record = self._record(endpoint)
        record.failure_rate = 1.0
        record.updated_at_seconds = now_seconds

    def forgive(self, endpoint: str) -> None:
        """Forget failures whose cause was the path to an endpoint.

        :param endpoint: its name
        """
        record = self._records.get(endpoint)
        if record is not None:
            record.failure_rate = 0.0
            record.took_seconds = None
            self.finish.reset_work(endpoint)

    def health(self, endpoint: str, *, now_seconds: float) -> float:
        """Return an endpoint's health.

        :param endpoint: its name
        :param now_seconds: reading of the process clock
        :return: 1 when no request failed recently, 0 when all did
        """
        record = self._records.get(endpoint)
        return 1.0 - (
            0.0 if record is None else self._failure_rate(record, now_seconds)
        )

    def drop(self, endpoint: str) -> None:
        """Forget an endpoint that is no longer listed.

        :param endpoint: its name
        """
        self._records.pop(endpoint, None)
        self.finish.remove(endpoint)

    def _choose_by_finish(
        self, endpoints: list[tuple[str, int, bool]], now_seconds: float
    ) -> str:
        def cost(name: str, slots: int, is_local: bool) -> float:
            failure_rate = self._failure_rate(self._record(name), now_seconds)
            excess = max(0.0, failure_rate - TOLERATED_FAILURE_RATE)
            rank_seconds = self.finish.rank_seconds(
                name, slots=slots, is_local=is_local, now_seconds=now_seconds
            )
            jitter = 1.0 + FINISH_JITTER * self._rng.random()
            return rank_seconds * jitter + FAILURE_SECONDS * excess

        return min((cost(*each), each[0]) for each in endpoints)[1]

    def _cost(
        self, name: str, slots: int, is_local: bool, now_seconds: float
    ) -> float:
        record = self._record(name)
        load = record.in_flight / max(1, slots)
        age_seconds = now_seconds - record.reported_at_seconds
        if age_seconds < REPORT_SECONDS:
            load += record.reported_load
        failure_rate = self._failure_rate(record, now_seconds)
        load += FAILURE_PENALTY * max(
            0.0, failure_rate - TOLERATED_FAILURE_RATE
        )
        load += self._slowness(record)
        # Random, because all instances see the same idle endpoint.
        jitter = self._rng.random() / max(1, slots)
        return load + (0.0 if is_local else REMOTE_PENALTY) + jitter

    def _slowness(self, record: EndpointStats) -> float:
        median_seconds = self._median_seconds()
        if record.took_seconds is None or median_seconds is None:
            return 0.0
        return max(0.0, record.took_seconds / max(median_seconds, 0.001) - 2.0)

    def _is_slow(self, took_seconds: float) -> bool:
        # A failure that comes quickly says nothing about the time that the
        # endpoint's work takes, and would make sound endpoints look slow.
        median_seconds = self._median_seconds()
        return median_seconds is not None and took_seconds > median_seconds

    def _median_seconds(self) -> float | None:
        known = sorted(
            each.took_seconds
            for each in self._records.values()
            if each.took_seconds is not None
        )
        return known[(len(known) - 1) // 2] if known else None

    def _failure_rate(
        self, record: EndpointStats, now_seconds: float
    ) -> float:
        idle_seconds = now_seconds - record.updated_at_seconds
        return float(
            record.failure_rate
            * 0.5 ** (idle_seconds / FAILURE_HALF_LIFE_SECONDS)
        )

    def _record(self, endpoint: str) -> EndpointStats:
        return self._records.setdefault(endpoint, EndpointStats())


__all__ = [
    "EndpointStats",
    "ServiceChoice",
]
