"""Processes events of endpoints, adapter loads and other instances.

Load pattern: adapters come and go at every endpoint while requests wait for
them. Without checking the queue again after each such event, requests stay
queued although an endpoint could start them.
"""

from __future__ import annotations

from collections.abc import Iterator

from boragefold.policy import actions
from boragefold.policy import digest as digests
from boragefold.policy import endpoints as fleet
from boragefold.policy import fair_queue
from boragefold.policy import fleet_placement
from boragefold.policy import matcher as matchers
from boragefold.policy import overload as overloads
from boragefold.policy import placement as placements
from boragefold.policy import work as works

# Less than half of a load's duration. A request for a cold adapter makes the
# next tick earlier, but never closer to the last one than the minimum.
TICK_SECONDS = 0.1
MIN_TICK_SECONDS = 0.02
# How often latencies are compared and stale reports dropped.
REFRESH_SECONDS = 1.0
# Requests for cold adapters are sent to peers at once, the rest this often.
DIGEST_SECONDS = 0.25


class FleetEvents:
    """Processes fleet events, and decides on adapter loads."""

    def __init__(
        self,
        *,
        queue: fair_queue.FairQueue,
        matcher: matchers.Matcher,
        endpoints: fleet.Endpoints,
        placement: fleet_placement.FleetPlacement,
    ) -> None:
        self._queue = queue
        self._matcher = matcher
        self._endpoints = endpoints
        self._placement = placement
        self.tick_at_seconds = float("-inf")
        self._last_tick_seconds = float("-inf")
        self._refresh_at_seconds = float("-inf")
        self._digests_at_seconds = float("-inf")

    def report(self, report: fleet.LoadReport) -> None:
        """Process an endpoint's load report.

        :param report: the load that the endpoint reported
        """
        self._endpoints.report(report)
        self._matcher.recheck_endpoint(report.endpoint)

    def endpoint_gone(self, name: str) -> None:
        """Forget an endpoint that is no longer listed.

        Its requests continue until each is reported as finished or failed.

        :param name: the endpoint
        """
        self._endpoints.drop(name)

    def loaded(
        self,
        endpoint: str,
        adapter: works.AdapterVersion,
        *,
        now_seconds: float,
    ) -> None:
        """Record that an endpoint now holds an adapter, whoever ordered it.

        :param endpoint: its name
        :param adapter: the adapter version
        :param now_seconds: reading of the process clock
        """
        self._endpoints.loaded(endpoint, adapter, now_seconds=now_seconds)
        self._matcher.recheck_adapter(adapter)

    def stop_using(
        self,
        endpoint: str,
        adapter: works.AdapterVersion,
        *,
        now_seconds: float,
    ) -> bool:
        """Stop sending an adapter's requests to an endpoint.

        :param endpoint: its name
        :param adapter: the adapter version
        :param now_seconds: reading of the process clock
        :return: whether a request of this instance still uses it there
        """
        self._endpoints.stop_using(endpoint, adapter, now_seconds=now_seconds)
        state = self._endpoints.get(endpoint)
        return state is not None and adapter in state.in_use

    def load_succeeded(
        self, load: placements.Load, *, now_seconds: float
    ) -> None:
        """Record that a load that this instance ordered succeeded.

        :param load: from an :class:`actions.OrderLoad`
        :param now_seconds: reading of the process clock
        """
        self._placement.load_succeeded(load, now_seconds=now_seconds)
        self._matcher.recheck_adapter(load.adapter)

    def load_failed(
        self, load: placements.Load, *, now_seconds: float
    ) -> None:
        """Record that a load of this instance failed or was not carried out.

        :param load: from an :class:`actions.OrderLoad`
        :param now_seconds: reading of the process clock
        """
        self._placement.load_failed(load, now_seconds=now_seconds)

    def receive_digest(
        self, peer: str, digest: digests.Digest, *, now_seconds: float
    ) -> None:
        """Process another instance's digest.

        :param peer: the incarnation that sent it
        :param digest: the digest
        :param now_seconds: reading of the process clock
        """
        self._placement.receive_digest(peer, digest, now_seconds=now_seconds)
        if any(
            self._placement.is_cold(each.adapter) for each in digest.waiting
        ):
            self.advance_tick(now_seconds=now_seconds)

    def request_queued(self, work: works.Work, *, now_seconds: float) -> None:
        """Record a queued request; one for a cold adapter advances the tick.

        :param work: the request
        :param now_seconds: reading of the process clock
        """
        self._placement.count_arrival(work, now_seconds=now_seconds)
        if self._placement.is_cold(work.adapter_version):
            self.advance_tick(now_seconds=now_seconds)
            self._digests_at_seconds = now_seconds

    def advance_tick(self, *, now_seconds: float) -> None:
        """Advance the next decision on loads, as after a load was granted.

        :param now_seconds: reading of the process clock
        """
        earliest = self._last_tick_seconds + MIN_TICK_SECONDS
        self.tick_at_seconds = min(
            self.tick_at_seconds, max(now_seconds, earliest)
        )

    def tick(self, *, now_seconds: float) -> Iterator[actions.Action]:
        """Decide on loads if the tick is due.

        :param now_seconds: reading of the process clock
        :return: digests to send, and orders to carry out
        """
        if now_seconds < self.tick_at_seconds:
            return
        self.tick_at_seconds = now_seconds + TICK_SECONDS
        self._last_tick_seconds = now_seconds
        if now_seconds >= self._refresh_at_seconds:
            self._refresh_at_seconds = now_seconds + REFRESH_SECONDS
            self._endpoints.refresh(now_seconds=now_seconds)
        level = self._matcher.observe(now_seconds=now_seconds)
        waiting = self._queue.waiting_by_adapter()
        if now_seconds >= self._digests_at_seconds:
            self._digests_at_seconds = now_seconds + DIGEST_SECONDS
            for peer, digest in self._placement.digests_by_peer(
                waiting
            ).items():
                yield actions.SendDigest(peer, digest)
        yield from self._placement.decide(
            waiting,
            warm_up=level < overloads.Level.NO_EXTRAS,
            now_seconds=now_seconds,
        )


__all__ = [
    "FleetEvents",
    "TICK_SECONDS",
]
