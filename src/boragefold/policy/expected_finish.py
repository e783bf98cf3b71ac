"""Estimates when an endpoint would finish one more request.

Load pattern: endpoints of one service differ in speed by a factor of two and
more, and each is slower for tenths of a second now and then. Dozens of
instances get a report of an endpoint about once a second each, with the
responses to their own requests. If each chooses by the newest report alone,
all choose the same endpoint. Here an endpoint's lasting speed is estimated
separately from its momentary factor, and an old report has less weight than
the endpoint's usual load.
"""

from __future__ import annotations

import dataclasses
import math

# A response time depends more on its request than on the endpoint.
WORK_SMOOTHING = 0.1
FACTOR_SMOOTHING = 0.05
LOAD_SMOOTHING = 0.3
# A factor changes within tenths of a second.
FACTOR_DECAY_SECONDS = 0.3
# The other instances send, and the endpoint completes work, in the meantime.
LOAD_DECAY_SECONDS = 0.5
# An endpoint that seems slow is tried again, since it may have recovered.
WORK_HALF_LIFE_SECONDS = 10.0
# An endpoint without a reported factor for this time no longer reports any.
REPORTING_SECONDS = 10.0
MIN_FACTOR = 0.1
MAX_FACTOR = 20.0
# Added for another data centre until a response time includes the link.
LINK_SECONDS = 0.003
# Assumed before the first response; used only to rank endpoints.
DEFAULT_WORK_SECONDS = 0.05


@dataclasses.dataclass(kw_only=True)
class FinishStats:
    """What is known of one endpoint.

    ``work_seconds`` is how long a request takes in a slot at factor 1, None
    before the first answer. ``others`` are the requests of other instances by
    the last report, ``usual_others`` their average. ``service`` is empty
    before the first report.
    """

    service: str = ""
    in_flight: int = 0
    slots: int | None = None
    busy: int = 0
    others: float = 0.0
    usual_others: float | None = None
    factor: float = 1.0
    usual_factor: float | None = None
    reported_at_seconds: float = -math.inf
    work_seconds: float | None = None
    worked_at_seconds: float = 0.0


class ExpectedFinish:
    """Estimates endpoints' speeds, and when they would finish a request."""

    def __init__(self) -> None:
        self._stats: dict[str, FinishStats] = {}
        self._by_service: dict[str, dict[str, FinishStats]] = {}

    def reports_factor(self, endpoint: str, *, now_seconds: float) -> bool:
        """Return whether an endpoint reports how long its work takes.

        :param endpoint: its name
        :param now_seconds: reading of the process clock
        :return: whether its latest answers did
        """
        stats = self._stats.get(endpoint)
        return stats is not None and (
            now_seconds - stats.reported_at_seconds < REPORTING_SECONDS
        )

    def is_known(self, endpoint: str) -> bool:
        """Return whether the time of an endpoint's work has been observed.

        :param endpoint: its name
        :return: whether an estimate is based on at least one response
        """
        stats = self._stats.get(endpoint)
        return stats is not None and stats.work_seconds is not None

    def record_sent(self, endpoint: str) -> None:
        """Record that a request was sent.

        :param endpoint: its name
        """
        self._of(endpoint).in_flight += 1

    def record_report(
        self,
        endpoint: str,
        *,
        busy: int,
        slots: int,
        factor: float,
        now_seconds: float,
        service: str = "",
    ) -> None:
        """Record what an endpoint reported, before its request has ended.

        :param endpoint: its name
        :param busy: number of requests that run or wait there
        :param slots: number of requests that it runs at once
        :param factor: time that work takes now, relative to normal
        :param now_seconds: reading of the process clock
        :param service: name of the endpoint's service
        """
        stats = self._of(endpoint)
        stats.service = service
        self._by_service.setdefault(service, {})[endpoint] = stats
        factor = clamp_factor(factor)
        # The request whose response has the report is no longer counted in it.
        stats.busy = busy
        stats.others = max(0.0, busy - max(0, stats.in_flight - 1))
        stats.usual_others = _smooth(
            stats.usual_others, stats.others, LOAD_SMOOTHING
        )
        stats.slots = slots
        stats.factor = factor
        stats.usual_factor = _smooth(
            stats.usual_factor, factor, FACTOR_SMOOTHING
        )
        stats.reported_at_seconds = now_seconds

    def record_withdrawn(self, endpoint: str) -> None:
        """Record that a request ended without showing how long its work takes.

        :param endpoint: its name
        """
        stats = self._of(endpoint)
        stats.in_flight = max(0, stats.in_flight - 1)

    def record_end(
        self, endpoint: str, *, took_seconds: float | None, now_seconds: float
    ) -> None:
        """Record that the response to a request began.

        :param endpoint: its name
        :param took_seconds: time from sending to the first byte, None if it
            doesn't depend on the endpoint's work
        :param now_seconds: reading of the process clock
        """
        self.record_withdrawn(endpoint)
        stats = self._of(endpoint)
        if took_seconds is None or not self.reports_factor(
            endpoint, now_seconds=now_seconds
        ):
            return
        slots = max(1, stats.slots or 1)
        waits = max(0, stats.busy + 1 - slots) / slots
        stats.work_seconds = _smooth(
            stats.work_seconds,
            took_seconds / stats.factor / (1 + waits),
            WORK_SMOOTHING,
        )
        stats.worked_at_seconds = now_seconds

    def rank_seconds(
        self, endpoint: str, *, slots: int, is_local: bool, now_seconds: float
    ) -> float:
        """Compute the cost by which endpoints are ranked.

        :param endpoint: name of an endpoint
        :param slots: number of requests that it runs at once, unless its
            answers tell otherwise
        :param is_local: whether it is in this data centre
        :param now_seconds: reading of the process clock
        :return: seconds until each slot has done its share of the work, with
            one request more
        """
        stats = self._of(endpoint)
        slots = max(1, slots if stats.slots is None else stats.slots)
        busy = self._busy(stats, slots, now_seconds)
        work_seconds = self._slot_seconds(stats, now_seconds)
        link_seconds = (
            LINK_SECONDS
            if stats.work_seconds is None and not is_local
            else 0.0
        )
        return link_seconds + (busy + 1) * work_seconds / slots

    def finish_seconds(
        self, endpoint: str, *, slots: int, now_seconds: float
    ) -> float:
        """Estimate how soon a request that is sent now would be finished.

        :param endpoint: name of the endpoint
        :param slots: number of requests that it runs at once, unless its
            answers tell otherwise
        :param now_seconds: reading of the process clock
        :return: seconds, with the wait in the endpoint's queue
        """
        stats = self._of(endpoint)
        slots = max(1, slots if stats.slots is None else stats.slots)
        waiting = max(0.0, self._busy(stats, slots, now_seconds) + 1 - slots)
        return self._slot_seconds(stats, now_seconds) * (1 + waiting / slots)

    def served_per_second(
        self, endpoint: str, *, slots: int, now_seconds: float
    ) -> float:
        """Estimate how many requests per second an endpoint finishes.

        :param endpoint: its name
        :param slots: as for ``finish_seconds``
        :param now_seconds: reading of the process clock
        :return: requests per second if its slots stay busy
        """
        stats = self._of(endpoint)
        slots = max(1, slots if stats.slots is None else stats.slots)
        return slots / self._slot_seconds(stats, now_seconds)

    def reset_work(self, endpoint: str) -> None:
        """Reset the estimated speed of an endpoint.

        :param endpoint: its name
        """
        stats = self._stats.get(endpoint)
        if stats is not None:
            stats.work_seconds = None

    def remove(self, endpoint: str) -> None:
        """Remove an endpoint.

        :param endpoint: its name
        """
        stats = self._stats.pop(endpoint, None)
        if stats is not None:
            self._by_service.get(stats.service, {}).pop(endpoint, None)

    def _busy(
        self, stats: FinishStats, slots: int, now_seconds: float
    ) -> float:
        age_seconds = now_seconds - stats.reported_at_seconds
        usual = stats.usual_others or 0.0
        freshness = math.exp(-age_seconds / LOAD_DECAY_SECONDS)
        others = usual + (stats.others - usual) * freshness
        return stats.in_flight + others

    def _slot_seconds(self, stats: FinishStats, now_seconds: float) -> float:
        age_seconds = now_seconds - stats.reported_at_seconds
        usual = 1.0 if stats.usual_factor is None else stats.usual_factor
        freshness = math.exp(-age_seconds / FACTOR_DECAY_SECONDS)
        factor = usual + (stats.factor - usual) * freshness
        least_seconds = self._least_work_seconds(stats.service)
        if stats.work_seconds is None:
            return least_seconds * factor
        age_seconds = now_seconds - stats.worked_at_seconds
        kept = math.exp2(-age_seconds / WORK_HALF_LIFE_SECONDS)
        over_seconds = stats.work_seconds - least_seconds
        return (least_seconds + over_seconds * kept) * factor

    def _least_work_seconds(self, service: str) -> float:
        # Requests of other services take other times.
        known = self._by_service.get(service, self._stats)
        return min(
            (
                each.work_seconds
                for each in known.values()
                if each.work_seconds is not None
            ),
            default=DEFAULT_WORK_SECONDS,
        )

    def _of(self, endpoint: str) -> FinishStats:
        return self._stats.setdefault(endpoint, FinishStats())


def clamp_factor(factor: float) -> float:
    """Return a reported factor, limited to what is plausible.

    :param factor: as the endpoint reported it
    :return: the nearest factor from ``MIN_FACTOR`` to ``MAX_FACTOR``
    """
    return min(max(factor, MIN_FACTOR), MAX_FACTOR)


def _smooth(before: float | None, value: float, weight: float) -> float:
    return value if before is None else before + weight * (value - before)


__all__ = [
    "ExpectedFinish",
    "FinishStats",
    "clamp_factor",
]
