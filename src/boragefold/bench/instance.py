"""One entry instance of the bench, around the real dispatcher."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Mapping
import functools
import random

from boragefold.bench import deployments
from boragefold.bench import fleet as fleets
from boragefold.bench import load_shares
from boragefold.bench import shares
from boragefold.policy import actions
from boragefold.policy import assembly
from boragefold.policy import digest as digests
from boragefold.policy import endpoints
from boragefold.policy import homes
from boragefold.policy import placement
from boragefold.policy import work as works
from boragefold.telemetry import counters
from boragefold.timing import timers

# How long an eviction waits for requests that were sent before everyone knew.
DRAIN_LIMIT_SECONDS = 3.0
DRAIN_CHECK_SECONDS = 0.05


class ModelRights(homes.OrderRights):
    """Order rights that never move."""

    def __init__(
        self, *, incarnation: str, holders: Mapping[str, str]
    ) -> None:
        self._incarnation = incarnation
        self._holders = holders
        self._held_endpoints = frozenset(
            endpoint
            for endpoint, holder in holders.items()
            if holder == incarnation
        )

    @property
    def incarnation(self) -> str:
        """Tell who we are."""
        return self._incarnation

    def held_endpoints(self) -> Collection[str]:
        """List the endpoints that this instance gives orders to."""
        return self._held_endpoints

    def holder(self, endpoint: str) -> str | None:
        """Tell who gives orders to an endpoint."""
        return self._holders.get(endpoint)


class Instance(actions.ActionHandler):
    """One entry instance: its dispatcher and what it is told to do."""

    def __init__(
        self,
        *,
        number: int,
        fleet: fleets.Fleet,
        rates: shares.RateHolder,
        loads: load_shares.LoadHolder,
        holders: Mapping[str, str],
        seed: int,
    ) -> None:
        self.number = number
        self.counters = counters.Counters()
        self.peers: list[Instance] = []
        self._fleet = fleet
        self._timer: timers.Subscription | None = None
        self._due_seconds = 0.0
        between = fleet.deployment.between_seconds
        known = endpoints.Endpoints()
        for engine in fleet.engines.values():
            known.put(self._spec(engine.size))
        balance = shares.ModelBalance(
            service=fleet.service, holder=rates, delay_seconds=between
        )
        self.dispatcher = assembly.assemble(
            endpoints=known,
            token_balance=balance,
            load_budget=load_shares.ModelLoadBudget(
                service=fleet.service,
                holder=loads,
                delay_seconds=between,
                granted=self._may_load,
            ),
            rights=ModelRights(incarnation=str(number), holders=holders),
            instances=lambda: len(fleet.centres),
            rng=random.Random(f"instance {number} {seed}"),
            counters=self.counters,
        )
        balance.subscribe(lambda _: self.run())

    def run(self) -> None:
        """Do what the dispatcher decides now, and come back when it is due."""
        now = self._fleet.now_seconds()
        self.dispatcher.run(self, now_seconds=now)
        due = self.dispatcher.next_due_seconds()
        if self._timer is not None:
            if due == self._due_seconds:
                return
            self._timer.cancel()
        self._due_seconds = due
        self._timer = self._fleet.service.once(
            delay_seconds=max(0.0, due - now), callback=self._wake
        )

    def send(self, send: actions.Send) -> None:
        """Send a request to an engine."""
        self._fleet.send(
            request_id=send.work.request_id, endpoint=send.endpoint
        )

    def refuse(self, refuse: actions.Refuse) -> None:
        """Answer a request with "not run"."""
        self._fleet.refuse(
            request_id=refuse.work.request_id,
            reason=refuse.refused.reason,
            retry_after_seconds=refuse.refused.retry_after_seconds,
        )

    def fail(self, fail: actions.Fail) -> None:
        """Answer a request whose last attempt failed."""
        self._fleet.fail(request_id=fail.work.request_id)

    def order_load(self, order: actions.OrderLoad) -> None:
        """Evict where it is needed, once nobody uses it, and load."""
        load = order.load
        if load.evict is None:
            self._load(load)
            return
        self._stop_everywhere(load.endpoint, load.evict)
        give_up_at = self._fleet.now_seconds() + DRAIN_LIMIT_SECONDS
        self._later(
            2 * self._fleet.deployment.between_seconds,
            lambda: self._evict_when_idle(load, give_up_at),
        )

    def drain(self, drain: actions.Drain) -> None:
        """Tell all instances to stop using an adapter at an endpoint."""
        self._stop_everywhere(drain.drain.endpoint, drain.drain.adapter)

    def send_digest(self, send_digest: actions.SendDigest) -> None:
        """Send a digest to another instance."""
        (peer,) = (
            each for each in self.peers if str(each.number) == send_digest.peer
        )
        self._later(
            self._fleet.deployment.between_seconds,
            functools.partial(peer.hear, str(self.number), send_digest.digest),
        )

    def _spec(self, size: deployments.EngineSize) -> endpoints.EndpointSpec:
        return endpoints.EndpointSpec(
            name=size.name,
            data_centre=size.data_centre,
            model=size.model,
            role="serve",
            slots=size.slots,
            batch_size=size.batch_size,
            distance_seconds=2
            * self._fleet.delay_seconds(self.number, size.name),
        )

    def _may_load(self) -> None:
        self.dispatcher.fleet.advance_tick(
            now_seconds=self._fleet.now_seconds()
        )
        self.run()

    def _wake(self) -> None:
        self._timer = None
        self.run()

    def _stop_everywhere(
        self, endpoint: str, adapter: works.AdapterVersion
    ) -> None:
        for peer in self.peers:
            self._later(
                self._fleet.deployment.between_seconds,
                functools.partial(peer.stop_using, endpoint, adapter),
            )

    def stop_using(self, endpoint: str, adapter: works.AdapterVersion) -> bool:
        """Send no more requests of an adapter to an engine.

        :param endpoint: its name
        :param adapter: the adapter version
        :return: whether a request of ours still uses it there
        """
        return self.dispatcher.fleet.stop_using(
            endpoint, adapter, now_seconds=self._fleet.now_seconds()
        )

    def loaded(self, endpoint: str, adapter: works.AdapterVersion) -> None:
        """Learn that an engine holds an adapter.

        :param endpoint: its name
        :param adapter: the adapter version
        """
        self.dispatcher.fleet.loaded(
            endpoint, adapter, now_seconds=self._fleet.now_seconds()
        )
        self.run()

    def _evict_when_idle(
        self, load: placement.Load, give_up_at_seconds: float
    ) -> None:
        assert load.evict is not None
        used = [
            each
            for each in (self, *self.peers)
            if each.stop_using(load.endpoint, load.evict)
        ]
        if not used:
            self._fleet.evict(
                instance=self.number,
                endpoint=load.endpoint,
                adapter=load.evict.adapter,
            )
            self._load(load)
        elif self._fleet.now_seconds() < give_up_at_seconds:
            self._later(
                DRAIN_CHECK_SECONDS,
                lambda: self._evict_when_idle(load, give_up_at_seconds),
            )
        else:
            self._abandon(load, load.evict)

    def _abandon(
        self, load: placement.Load, kept: works.AdapterVersion
    ) -> None:
        for each in (self, *self.peers):
            each.loaded(load.endpoint, kept)
        self.load_over(load, succeeded=False)

    def _load(self, load: placement.Load) -> None:
        self._fleet.load(
            instance=self.number,
            endpoint=load.endpoint,
            adapter=load.adapter.adapter,
            done=lambda succeeded: self.load_over(load, succeeded=succeeded),
        )

    def load_over(self, load: placement.Load, *, succeeded: bool) -> None:
        """Learn how a load of ours ended.

        :param load: the order
        :param succeeded: whether the adapter is ready
        """
        now = self._fleet.now_seconds()
        if succeeded:
            self.dispatcher.fleet.load_succeeded(load, now_seconds=now)
            for peer in self.peers:
                self._later(
                    self._fleet.deployment.between_seconds,
                    functools.partial(
                        peer.loaded, load.endpoint, load.adapter
                    ),
                )
        else:
            self.dispatcher.fleet.load_failed(load, now_seconds=now)
        self.run()

    def hear(self, peer: str, digest: digests.Digest) -> None:
        """Receive another instance's digest.

        :param peer: who sent it
        :param digest: what it says
        """
        self.dispatcher.fleet.receive_digest(
            peer, digest, now_seconds=self._fleet.now_seconds()
        )
        self.run()

    def _later(self, seconds: float, callback: Callable[[], object]) -> None:
        def run() -> None:
            callback()

        self._fleet.service.once(delay_seconds=seconds, callback=run)


__all__ = [
    "Instance",
    "ModelRights",
]
