"""The system under test: the real dispatchers on the modelled fleet."""

from __future__ import annotations

import collections
from collections.abc import Mapping
import itertools

from boragefold.bench import fleet as fleets
from boragefold.bench import instance as instances
from boragefold.bench import load_shares
from boragefold.bench import shares
from boragefold.bench import system as systems
from boragefold.bench import traffic
from boragefold.policy import endpoints
from boragefold.policy import refusal


class Boragefold(systems.System):
    """Every entry instance with its own dispatcher and its own lagged view."""

    def __init__(
        self,
        *,
        fleet: fleets.Fleet,
        rates_tokens_per_second: Mapping[str, float],
        seed: int,
    ) -> None:
        self._fleet = fleet
        self._arrivals: dict[str, traffic.Arrival] = {}
        rates = shares.RateHolder(
            service=fleet.service,
            rates_tokens_per_second=rates_tokens_per_second,
            instances=len(fleet.centres),
        )
        loads = load_shares.LoadHolder(
            service=fleet.service,
            loads_per_second=fleet.deployment.loads_per_second,
        )
        holders = _holders(fleet)
        self.instances = [
            instances.Instance(
                number=number,
                fleet=fleet,
                rates=rates,
                loads=loads,
                holders=holders,
                seed=seed,
            )
            for number in range(len(fleet.centres))
        ]
        for each in self.instances:
            each.peers = [other for other in self.instances if other != each]

    def arrive(self, instance: int, arrival: traffic.Arrival) -> None:
        """Offer a request to its instance's dispatcher."""
        work = arrival.work
        self._arrivals[work.request_id] = arrival
        owner = self.instances[instance]
        refused = owner.dispatcher.offer(
            work,
            idempotent=arrival.idempotent,
            now_seconds=self._fleet.now_seconds(),
        )
        if isinstance(refused, refusal.Refused):
            self._fleet.refuse(
                request_id=work.request_id,
                reason=refused.reason,
                retry_after_seconds=refused.retry_after_seconds,
            )
        owner.run()

    def cancel(self, instance: int, request_id: str) -> None:
        """Tell the dispatcher that a caller hung up."""
        owner = self.instances[instance]
        owner.dispatcher.cancel(
            request_id, now_seconds=self._fleet.now_seconds()
        )
        owner.run()

    def report(self, instance: int, report: systems.Report) -> None:
        """Pass a load report on."""
        owner = self.instances[instance]
        owner.dispatcher.fleet.report(
            endpoints.LoadReport(
                endpoint=report.endpoint,
                incarnation=report.incarnation,
                running=report.running,
                waiting=report.waiting,
                measured_at_seconds=report.taken_at_seconds,
                resident=report.ready,
            )
        )
        owner.run()

    def first_token(self, instance: int, request_id: str) -> None:
        """Pass the beginning of an answer on."""
        self.instances[instance].dispatcher.first_token(
            request_id, now_seconds=self._fleet.now_seconds()
        )

    def finished(self, instance: int, request_id: str) -> None:
        """Pass the end of an answer on."""
        owner = self.instances[instance]
        arrival = self._arrivals[request_id]
        owner.dispatcher.finished(
            request_id,
            used_tokens=arrival.work.prompt_tokens + arrival.answer_tokens,
            now_seconds=self._fleet.now_seconds(),
        )
        owner.run()

    def failed(
        self, instance: int, request_id: str, endpoint: str, reached: bool
    ) -> None:
        """Pass the failure of an attempt on."""
        owner = self.instances[instance]
        now = self._fleet.now_seconds()
        if reached:
            owner.dispatcher.failed(
                request_id, bytes_sent=True, now_seconds=now
            )
        else:
            owner.dispatcher.adapter_missing(request_id, now_seconds=now)
        owner.run()


def _holders(fleet: fleets.Fleet) -> dict[str, str]:
    """Share the order rights out over the instances of each data centre."""
    by_centre: dict[str, list[str]] = collections.defaultdict(list)
    for number, centre in enumerate(fleet.centres):
        by_centre[centre].append(str(number))
    turns = {
        centre: itertools.cycle(numbers)
        for centre, numbers in by_centre.items()
    }
    return {
        name: next(turns[engine.size.data_centre])
        for name, engine in fleet.engines.items()
    }


__all__ = [
    "Boragefold",
]
