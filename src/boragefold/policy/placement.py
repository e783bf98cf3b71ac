"""Decides which adapter is loaded at which endpoint and what is evicted.

Load pattern: most adapters are idle, a few are hot, and every hour some idle
ones are requested again. Without these decisions, adapters would be loaded
twice, requests for hot adapters would queue at one endpoint, and cold ones
would wait forever while every slot is in use.
"""

from __future__ import annotations

import collections
from collections.abc import Collection
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import random

from boragefold.policy import arrival_rates
from boragefold.policy import backoff
from boragefold.policy import demand as demands
from boragefold.policy import drains as drains_module
from boragefold.policy import endpoints as fleet
from boragefold.policy import hot_adapters
from boragefold.policy import load_candidates
from boragefold.policy import loads as loads_module
from boragefold.policy import slot_choice
from boragefold.policy import slot_search
from boragefold.policy import warm_up as warm_up_module
from boragefold.policy import work as works
from boragefold.telemetry import counters as telemetry

Load = loads_module.Load
LoadBudget = loads_module.LoadBudget
Drain = loads_module.Drain

# Duration of one load while few are in flight.
EXPECTED_LOAD_SECONDS = 0.25
# After this many failed searches for a slot, by model and reason, the next
# would fail too.
MAX_UNPLACED = 2
# Bounds the memory of the backoff.
MAX_FAILURES = 256


class Placement:
    """Decides on loads at the endpoints that this instance controls."""

    def __init__(
        self,
        *,
        endpoints: fleet.Endpoints,
        budget: LoadBudget,
        rng: random.Random,
        counters: telemetry.Counters,
    ) -> None:
        self._endpoints = endpoints
        self._budget = budget
        self._counters = counters
        self._rates = arrival_rates.ArrivalRates()
        self._loads = loads_module.Loads()
        self._slot_search = slot_search.SlotSearch(
            slot_choice=slot_choice.SlotChoice(
                rates=self._rates, loads=self._loads
            ),
            rng=rng,
        )
        self._drains = drains_module.Drains(
            endpoints=endpoints,
            loads=self._loads,
            slot_search=self._slot_search,
            counters=counters,
        )
        self._candidates = load_candidates.LoadCandidates()
        self._backoff: backoff.Backoff[works.AdapterVersion] = backoff.Backoff(
            rng=rng
        )
        self._hot = hot_adapters.HotAdapters(
            endpoints=endpoints, rates=self._rates
        )
        self._warm_up = warm_up_module.WarmUp(
            rates=self._rates,
            slot_search=self._slot_search,
            is_absent=self._is_absent,
        )

    def count_arrival(self, work: works.Work, *, now_seconds: float) -> None:
        """Count an admitted request in the arrival rate of its adapter.

        :param work: the request
        :param now_seconds: reading of the process clock
        """
        self.count_remote_arrivals(
            work.adapter_version,
            workspace=work.workspace,
            requests=1,
            now_seconds=now_seconds,
        )

    def count_remote_arrivals(
        self,
        adapter: works.AdapterVersion,
        *,
        workspace: str,
        requests: float,
        now_seconds: float,
    ) -> None:
        """Count arrivals that another instance reported.

        :param adapter: the adapter that the requests need
        :param workspace: the workspace that sent most of them
        :param requests: the number of requests
        :param now_seconds: reading of the process clock
        """
        if not adapter.adapter:
            return
        self._rates.add(
            adapter,
            workspace=workspace,
            requests=requests,
            now_seconds=now_seconds,
        )
        self._hot.update(adapter, workspace=workspace, now_seconds=now_seconds)

    def decide(
        self,
        *,
        demand: Mapping[works.AdapterVersion, demands.Demand],
        held_endpoints: Collection[str],
        now_seconds: float,
        warm_up: bool = True,
    ) -> list[Load | Drain]:
        """Decide which loads to start now.

        An adapter that an order evicts or drains is removed from the holders
        at once. The caller must delay an eviction order until no instance
        has a request for that adapter in flight at the endpoint.

        :param demand: waiting requests of all known instances, by adapter,
            for the adapters that this instance decides on
        :param held_endpoints: the endpoints that this instance may send
            orders to
        :param now_seconds: reading of the process clock
        :param warm_up: whether to load adapters without waiting requests too
        :return: orders; the caller must report the end of each load with
            :meth:`load_succeeded` or :meth:`load_failed`
        """
        self._forget_lost(now_seconds)
        states = self._usable(held_endpoints)
        candidates = self._ranked_candidates(demand, states, now_seconds)
        unplaced: collections.Counter[tuple[str, str]] = collections.Counter()
        orders: list[Load | Drain] = []
        for candidate in self._candidates.fair_order(candidates):
            kind = candidate.adapter.model, candidate.reason
            if unplaced[kind] >= MAX_UNPLACED:
                continue
            target = self._slot_search.find(
                candidate.adapter,
                load_candidates.useful_endpoints(candidate, states),
                protected=demand,
                now_seconds=now_seconds,
            )
            if target is None:
                self._counters.add("loads_delayed", "no_slot")
                unplaced[kind] += 1
                orders.extend(
                    self._drains.decide(
                        candidate, candidates, states, now_seconds=now_seconds
                    )
                )
                continue
            if not self._budget.try_acquire(now_seconds=now_seconds):
                self._counters.add("loads_delayed", "budget")
                return orders
            self._candidates.charge(candidate.workspace, EXPECTED_LOAD_SECONDS)
            orders.append(self._begin(target, candidate, now_seconds))
        if warm_up and not orders:
            orders.extend(self._load_early(states, now_seconds))
        return orders

    def load_succeeded(self, load: Load, *, now_seconds: float) -> None:
        """Record that a load succeeded and the endpoint holds the adapter.

        :param load: from :meth:`decide`
        :param now_seconds: reading of the process clock
        """
        running = self._loads.end(load)
        if running is None:
            return
        self._budget.release(now_seconds=now_seconds)
        self._backoff.succeeded(load.adapter)
        duration_seconds = now_seconds - running.began_at_seconds
        self._counters.observe_seconds("load_seconds", duration_seconds)
        if load.reason != load_candidates.WARM_UP:
            self._candidates.correct(
                load.workspace, duration_seconds - EXPECTED_LOAD_SECONDS
            )
        if load.evict is not None:
            self._endpoints.slot_freed(load.endpoint, load.evict)
        self._endpoints.loaded(
            load.endpoint, load.adapter, now_seconds=now_seconds
        )

    def load_failed(self, load: Load, *, now_seconds: float) -> None:
        """Record that a load failed, timed out or could not be sent.

        :param load: from :meth:`decide`
        :param now_seconds: reading of the process clock
        """
        if self._loads.end(load) is None:
            return
        self._budget.release(now_seconds=now_seconds)
        self._backoff.failed(load.adapter, now_seconds=now_seconds)
        self._counters.add("loads_failed", load.reason)

    def _forget_lost(self, now_seconds: float) -> None:
        lost = self._loads.lost(self._endpoints, now_seconds=now_seconds)
        for load, timed_out in lost:
            if timed_out:
                self.load_failed(load, now_seconds=now_seconds)
                continue
            self._loads.end(load)
            self._budget.release(now_seconds=now_seconds)
            self._counters.add("loads_failed", "endpoint_restarted")
        if len(self._backoff) > MAX_FAILURES:
            self._backoff.remove_stale(now_seconds=now_seconds)

    def _usable(
        self, held_endpoints: Collection[str]
    ) -> list[fleet.EndpointState]:
        found = (self._endpoints.get(name) for name in sorted(held_endpoints))
        return [
            state
            for state in found
            if state is not None and not state.spec.leaving
        ]

    def _ranked_candidates(
        self,
        demand: Mapping[works.AdapterVersion, demands.Demand],
        states: Sequence[fleet.EndpointState],
        now_seconds: float,
    ) -> list[load_candidates.LoadCandidate]:
        hot = dict(self._hot.current(now_seconds=now_seconds))
        reasons = dict.fromkeys(hot, load_candidates.HOT)
        reasons.update(
            load_candidates.blocked_adapters(demand, self._endpoints, states)
        )
        return self._candidates.rank(
            (
                (adapter, reason)
                for adapter, reason in reasons.items()
                if not self._loads.count(adapter)
                and self._backoff.allows(adapter, now_seconds=now_seconds)
            ),
            demand,
            hot,
            now_seconds=now_seconds,
        )

    def _begin(
        self,
        target: slot_choice.LoadTarget,
        candidate: load_candidates.LoadCandidate,
        now_seconds: float,
    ) -> Load:
        state = target.endpoint
        name = state.spec.name
        load = Load(
            name,
            candidate.adapter,
            target.evict,
            candidate.workspace,
            candidate.reason,
        )
        if target.evict is not None:
            self._endpoints.stop_using(
                name, target.evict, now_seconds=now_seconds
            )
        self._loads.begin(
            load, incarnation=state.incarnation, now_seconds=now_seconds
        )
        self._counters.add("loads_ordered", candidate.reason)
        return load

    def _is_absent(
        self, adapter: works.AdapterVersion, now_seconds: float
    ) -> bool:
        return (
            not self._loads.count(adapter)
            and not self._endpoints.holders(adapter)
            and self._backoff.allows(adapter, now_seconds=now_seconds)
        )

    def _load_early(
        self, states: Sequence[fleet.EndpointState], now_seconds: float
    ) -> Iterator[Load]:
        found = self._warm_up.find(states, now_seconds=now_seconds)
        if found is None or not self._budget.try_acquire(
            now_seconds=now_seconds
        ):
            return
        candidate, target = found
        yield self._begin(target, candidate, now_seconds)


__all__ = [
    "Drain",
    "Load",
    "LoadBudget",
    "Placement",
]
