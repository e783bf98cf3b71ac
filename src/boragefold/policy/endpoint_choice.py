"""Chooses the endpoint that a request is sent to.

Load pattern: a hot adapter, an endpoint that becomes slow, a full data
centre. Without this choice, all instances that see the same outdated report
send to one endpoint, a slow endpoint keeps its share until it fails, and an
adapter's requests are spread so thinly that no batch fills.
"""

from __future__ import annotations

import bisect
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import random

from boragefold.policy import endpoints as fleet
from boragefold.policy import prefix_affinity
from boragefold.policy import work as works
from boragefold.telemetry import counters as telemetry

# A half-full batch costs little more than a single request.
CONCENTRATE_FILL = 0.5
# The chance to move on grows to one at this fill: at a sharp limit all
# instances would switch endpoints at the same time.
SPREAD_FILL = 1.0
ORDERED_HOLDERS = 8
# Two choices remove most imbalance; two more make up for full or slow ones.
RANDOM_CHOICES = 4
# Bounds the time of one decision.
SCANNED_HOLDERS = 32
# Assumed before the first answer.
DEFAULT_LATENCY_SECONDS = 0.4
# Reports from a farther data centre are older, so the gain must be larger.
FAR_MARGIN_SECONDS = 0.05


@dataclasses.dataclass(frozen=True, kw_only=True)
class Chosen:
    """The endpoint; call :meth:`endpoints.Endpoints.sent` before sending."""

    endpoint: str
    wait_seconds: float
    tag: str = "chosen"


@dataclasses.dataclass(frozen=True, kw_only=True)
class NoHolder:
    """No usable endpoint holds the adapter; placement has to load it."""

    tag: str = "no_holder"


@dataclasses.dataclass(frozen=True, kw_only=True)
class NoRoom:
    """Every holder is full; the request stays in the fair queue."""

    tag: str = "no_room"


class EndpointChoice:
    """Chooses among the endpoints that hold a request's adapter."""

    def __init__(
        self,
        *,
        endpoints: fleet.Endpoints,
        rng: random.Random,
        counters: telemetry.Counters,
        instances: Callable[[], int] = lambda: 1,
    ) -> None:
        """Create the choice of one of several instances.

        :param endpoints: the known endpoints and their state
        :param rng: source of randomness
        :param counters: count the choices by reason
        :param instances: number of instances that use the same endpoints
        """
        self._endpoints = endpoints
        self._rng = rng
        self._counters = counters
        self._instances = instances
        self._prefixes = prefix_affinity.PrefixAffinity()

    def choose(
        self,
        work: works.Work,
        *,
        excluded: frozenset[str] = frozenset(),
        queued_seconds: float = 0.0,
    ) -> Chosen | NoHolder | NoRoom:
        """Choose an endpoint.

        :param work: the request
        :param excluded: endpoints that failed this request already
        :param queued_seconds: how long it would wait in the fair queue if it
            weren't sent now; a far data centre is used only to save more
        :return: the endpoint, or why there is none
        """
        holders = self._endpoints.holders(work.adapter_version)
        if not holders:
            return NoHolder()
        near, far = _split(holders)
        chosen = self._concentrate(near, work, excluded)
        if chosen is None:
            chosen = self._spread(near, work, excluded)
        if far and (chosen is None or chosen.is_slow()):
            chosen = self._spill_over(
                chosen, near, far, work, excluded, queued_seconds
            )
        if chosen is None:
            usable = any(each.spec.name not in excluded for each in holders)
            return NoRoom() if usable else NoHolder()
        self._prefixes.record(work, chosen.spec.name)
        return Chosen(
            endpoint=chosen.spec.name, wait_seconds=_cost(chosen, work)
        )

    def has_room(self, adapter: works.AdapterVersion) -> bool:
        """Return whether a request for an adapter could start at once.

        :param adapter: the adapter version
        :return: whether a holder in the nearest data centre has room
        """
        holders = self._endpoints.holders(adapter)
        if not holders:
            return False
        near, _far = _split(holders)
        return any(each.has_room() for each in self._scan_window(near))

    def _concentrate(
        self,
        near: Sequence[fleet.EndpointState],
        work: works.Work,
        excluded: frozenset[str],
    ) -> fleet.EndpointState | None:
        # All instances try the holders in the same order, so that together
        # they fill one batch.
        cached = self._prefix_holder(near, work)
        if cached is not None and self._accepts(cached, excluded):
            self._counters.add("requests_chosen", "prefix")
            return cached
        if not work.adapter_version.adapter:
            return None
        return next(
            (
                state
                for state in near[:ORDERED_HOLDERS]
                if self._accepts(state, excluded)
            ),
            None,
        )

    def _prefix_holder(
        self, near: Sequence[fleet.EndpointState], work: works.Work
    ) -> fleet.EndpointState | None:
        name = self._prefixes.get(work)
        state = self._endpoints.get(name) if name is not None else None
        if state is None or not state.serves(work.adapter_version):
            return None
        distance_seconds = near[0].spec.distance_seconds
        return (
            state if state.spec.distance_seconds == distance_seconds else None
        )

    def _accepts(
        self, state: fleet.EndpointState, excluded: frozenset[str]
    ) -> bool:
        if state.spec.name in excluded:
            return False
        # The other instances see the same report, and are assumed to have
        # sent as much since as this one.
        unreported = (self._instances() - 1) * state.sent_since_report
        fill = state.fill() + unreported / max(state.spec.batch_size, 1)
        excess_fill = fill - CONCENTRATE_FILL
        chance = 1.0 - max(excess_fill, 0.0) / (SPREAD_FILL - CONCENTRATE_FILL)
        return self._rng.random() < chance * state.weight

    def _spread(
        self,
        holders: Sequence[fleet.EndpointState],
        work: works.Work,
        excluded: frozenset[str],
    ) -> fleet.EndpointState | None:
        usable = [
            state
            for state in self._sample(holders)
            if state.has_room() and state.spec.name not in excluded
        ]
        if not usable:
            return next(
                (
                    state
                    for state in self._scan_window(holders)
                    if state.has_room() and state.spec.name not in excluded
                ),
                None,
            )
        # A slow endpoint stays a candidate with a chance of its weight.
        healthy = [
            state for state in usable if self._rng.random() < state.weight
        ]
        return min(
            healthy or usable,
            key=lambda state: (_cost(state, work), self._rng.random()),
        )

    def _spill_over(
        self,
        chosen: fleet.EndpointState | None,
        near: Sequence[fleet.EndpointState],
        far: Sequence[fleet.EndpointState],
        work: works.Work,
        excluded: frozenset[str],
        queued_seconds: float,
    ) -> fleet.EndpointState | None:
        best = self._spread(far, work, excluded)
        if best is None:
            return chosen
        if chosen is not None:
            near_seconds = _cost(chosen, work)
        elif all(state.spec.name in excluded for state in near):
            near_seconds = float("inf")
        else:
            wait_seconds = max(queued_seconds, _next_slot_seconds(near))
            near_seconds = wait_seconds + _cost(near[0], work)
        if _cost(best, work) + FAR_MARGIN_SECONDS >= near_seconds:
            return chosen
        self._counters.add("requests_chosen", "other_data_centre")
        return best

    def _sample(
        self, holders: Sequence[fleet.EndpointState]
    ) -> Sequence[fleet.EndpointState]:
        if len(holders) <= RANDOM_CHOICES:
            return holders
        count = len(holders)
        return [
            holders[int(self._rng.random() * count)]
            for _ in range(RANDOM_CHOICES)
        ]

    def _scan_window(
        self, holders: Sequence[fleet.EndpointState]
    ) -> Sequence[fleet.EndpointState]:
        if len(holders) <= SCANNED_HOLDERS:
            return holders
        start = int(self._rng.random() * len(holders))
        found = holders[start : start + SCANNED_HOLDERS]
        return [*found, *holders[: SCANNED_HOLDERS - len(found)]]


def _split(
    holders: Sequence[fleet.EndpointState],
) -> tuple[Sequence[fleet.EndpointState], Sequence[fleet.EndpointState]]:
    # Holders are sorted by distance.
    distance = holders[0].spec.distance_seconds
    if holders[-1].spec.distance_seconds == distance:
        return holders, ()
    count = bisect.bisect_right(
        holders, distance, key=lambda state: state.spec.distance_seconds
    )
    return holders[:count], holders[count:]


def _cost(state: fleet.EndpointState, work: works.Work) -> float:
    latency = state.latency
    if latency is None:
        latency = DEFAULT_LATENCY_SECONDS
    return state.spec.distance_seconds + latency * (1.0 + state.fill())


def _next_slot_seconds(holders: Sequence[fleet.EndpointState]) -> float:
    # A full pool gets room each time that one of its requests ends.
    first = holders[0]
    duration_seconds = first.duration_seconds or 0.0
    running = first.estimated_running() * len(holders)
    return duration_seconds / max(running, 1)


__all__ = [
    "Chosen",
    "EndpointChoice",
    "NoHolder",
    "NoRoom",
]
