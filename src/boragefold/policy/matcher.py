"""Matches queued requests with endpoints that can start them now.

Load pattern: most adapters can be served at once while some wait for a load
and others for room. Requests that wait for either must not hold up the rest,
so the queue is asked only for adapters that an endpoint with room holds.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import itertools
from typing import NamedTuple

from boragefold.policy import demand as demands
from boragefold.policy import endpoint_choice as choices
from boragefold.policy import endpoints as fleet
from boragefold.policy import fair_queue
from boragefold.policy import fair_share
from boragefold.policy import overload as overloads
from boragefold.policy import refusal
from boragefold.policy import service_rate
from boragefold.policy import work as works

# Bounds the time of a decision.
SCANNED_HOLDERS = 32


class Match(NamedTuple):
    """A request taken from the queue, and the endpoint to send it to."""

    work: works.Work
    endpoint: str


class Matcher:
    """Matches waiting requests with endpoints that can start them."""

    def __init__(
        self,
        *,
        queue: fair_queue.FairQueue,
        choice: choices.EndpointChoice,
        endpoints: fleet.Endpoints,
        overload: overloads.Overload,
        share: fair_share.FairShare,
    ) -> None:
        self._queue = queue
        self._choice = choice
        self._endpoints = endpoints
        self._overload = overload
        self._share = share
        self._service = service_rate.ServiceRate()
        self._delay_seconds = 0.0
        # Adapters and endpoints that changed since the last matching.
        self._changed_adapters: set[works.AdapterVersion] = set()
        self._changed_endpoints: set[str] = set()

    def offer(
        self, work: works.Work, *, now_seconds: float
    ) -> refusal.Refused | None:
        """Queue an admitted request unless it would wait too long.

        :param work: the request
        :param now_seconds: reading of the process clock
        :return: the refusal, or None
        """
        rate = self._service.tokens_per_second()
        above_share = self._share.exceeds(
            work.workspace,
            works.charged_tokens(work),
            throughput_tokens_per_second=rate * self._overload.divided_share,
            now_seconds=now_seconds,
        )
        if self._starts_at_once(work):
            self.requeue(work, now_seconds=now_seconds)
            return None
        shed = self._overload.check(
            work,
            above_share=above_share,
            cold=not self._endpoints.holders(work.adapter_version),
        )
        if shed is not None:
            return shed
        outcome = self._queue.offer(
            work,
            now_seconds=now_seconds,
            throughput_tokens_per_second=rate,
        )
        self._changed_adapters.add(work.adapter_version)
        return outcome if isinstance(outcome, refusal.Refused) else None

    def requeue(self, work: works.Work, *, now_seconds: float) -> None:
        """Queue a request again after an attempt that didn't complete.

        :param work: the request
        :param now_seconds: reading of the process clock
        """
        self._queue.push(work, now_seconds=now_seconds)
        self._changed_adapters.add(work.adapter_version)

    def recheck_adapter(self, adapter: works.AdapterVersion) -> None:
        """Mark an adapter whose requests may be servable now.

        :param adapter: the adapter version
        """
        self._changed_adapters.add(adapter)

    def recheck_endpoint(self, name: str) -> None:
        """Mark an endpoint that may have room now.

        :param name: the endpoint
        """
        self._changed_endpoints.add(name)

    def observe(self, *, now_seconds: float) -> overloads.Level:
        """Estimate the queue's delay; call it several times a second.

        :param now_seconds: reading of the process clock
        :return: the level of overload from now on
        """
        tokens = sum(
            each.tokens
            for adapter, each in self._demand().items()
            if self._endpoints.holders(adapter)
        )
        self._service.set_waiting(tokens > 0, now_seconds=now_seconds)
        rate = self._service.tokens_per_second()
        self._delay_seconds = tokens / rate if rate else 0.0
        return self._overload.observe(
            queue_delay_seconds=self._delay_seconds, now_seconds=now_seconds
        )

    def take_matches(
        self,
        excluded: Mapping[str, frozenset[str]],
        *,
        now_seconds: float,
    ) -> Iterator[Match]:
        """Take the requests that can start now from the queue, in fair order.

        The caller must record each as sent before it asks for the next.

        :param excluded: by request id, the endpoints that failed it already
        :param now_seconds: reading of the process clock
        :return: requests and their endpoints
        """
        ready = self._servable_adapters()
        while ready:
            work = self._queue.pop(candidates=ready, now_seconds=now_seconds)
            if work is None:
                return
            endpoint = self._choose(work, excluded)
            if endpoint is None:
                # Not sent after all: its charge is returned.
                self._queue.settle(work, used_tokens=0.0)
                self._queue.push(work, now_seconds=now_seconds)
                ready.discard(work.adapter_version)
                continue
            self._service.record(
                works.charged_tokens(work), now_seconds=now_seconds
            )
            yield Match(work, endpoint)
            adapter = work.adapter_version
            if adapter not in self._demand() or not self._has_room(adapter):
                ready.discard(adapter)

    def _starts_at_once(self, work: works.Work) -> bool:
        # The queue's delay is that of adapters whose holders are full;
        # requests for other adapters must not be refused because of it.
        return work.adapter_version not in self._demand() and self._has_room(
            work.adapter_version
        )

    def _servable_adapters(self) -> set[works.AdapterVersion]:
        demand = self._demand()
        changed, self._changed_adapters = self._changed_adapters, set()
        names, self._changed_endpoints = self._changed_endpoints, set()
        for name in names:
            changed.update(self._queued_adapters_at(name))
        return {
            adapter
            for adapter in changed
            if adapter in demand and self._has_room(adapter)
        }

    def _queued_adapters_at(self, name: str) -> Iterable[works.AdapterVersion]:
        state = self._endpoints.get(name)
        if state is None or not state.has_room():
            return ()
        demand = self._demand()
        base_model = works.AdapterVersion(state.spec.model, "", "")
        held = itertools.chain(state.resident, (base_model,))
        return [adapter for adapter in held if adapter in demand]

    def _has_room(self, adapter: works.AdapterVersion) -> bool:
        return any(
            state.has_room()
            for state in self._endpoints.holders(adapter)[:SCANNED_HOLDERS]
        )

    def _choose(
        self, work: works.Work, excluded: Mapping[str, frozenset[str]]
    ) -> str | None:
        failed_endpoints = excluded.get(work.request_id, frozenset())
        chosen = self._choice.choose(
            work, excluded=failed_endpoints, queued_seconds=self._delay_seconds
        )
        if failed_endpoints and isinstance(chosen, choices.NoHolder):
            # Only endpoints that failed this request hold the adapter; one of
            # them is better than none.
            chosen = self._choice.choose(
                work, queued_seconds=self._delay_seconds
            )
        return chosen.endpoint if isinstance(chosen, choices.Chosen) else None

    def _demand(self) -> Mapping[works.AdapterVersion, demands.Demand]:
        return self._queue.waiting_by_adapter()


__all__ = [
    "Match",
    "Matcher",
]
