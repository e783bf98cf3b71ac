"""The two plain systems that every scenario is compared with."""

from __future__ import annotations

import collections
from collections.abc import Mapping
import itertools

from boragefold.bench import fleet as fleets
from boragefold.bench import system as systems
from boragefold.bench import traffic

MAX_ATTEMPTS = 3


class Baseline(systems.System):
    """What both have in common: send at once, retry what may be repeated."""

    LOADS_AT_ENGINE = True

    def __init__(self, *, fleet: fleets.Fleet) -> None:
        self.fleet = fleet
        self._arrivals: dict[str, traffic.Arrival] = {}

    def arrive(self, instance: int, arrival: traffic.Arrival) -> None:
        self._arrivals[arrival.work.request_id] = arrival
        self._send(instance, arrival)

    def cancel(self, instance: int, request_id: str) -> None:
        self._end(instance, request_id)

    def report(self, instance: int, report: systems.Report) -> None:
        pass

    def first_token(self, instance: int, request_id: str) -> None:
        pass

    def finished(self, instance: int, request_id: str) -> None:
        self._end(instance, request_id)

    def failed(
        self, instance: int, request_id: str, endpoint: str, reached: bool
    ) -> None:
        record = self.fleet.ledger.records[request_id]
        arrival = self._arrivals[request_id]
        if record.over:
            return
        if arrival.idempotent and record.sends < MAX_ATTEMPTS:
            self._send(instance, arrival)
        else:
            self._end(instance, request_id)
            self.fleet.fail(request_id=request_id)

    def _send(self, instance: int, arrival: traffic.Arrival) -> None:
        self.fleet.send(
            request_id=arrival.work.request_id,
            endpoint=self._choose(instance, arrival),
        )

    def _choose(self, instance: int, arrival: traffic.Arrival) -> str:
        raise NotImplementedError

    def _end(self, instance: int, request_id: str) -> None:
        pass


class RoundRobin(Baseline):
    """Round robin over the engines, FIFO there, LRU slots, no rates."""

    def __init__(self, *, fleet: fleets.Fleet) -> None:
        super().__init__(fleet=fleet)
        by_model: dict[str, list[str]] = collections.defaultdict(list)
        for engine in fleet.engines.values():
            by_model[engine.size.model].append(engine.size.name)
        self._turns = {
            (instance, model): itertools.cycle(
                names[instance % len(names) :] + names[: instance % len(names)]
            )
            for instance in range(len(fleet.centres))
            for model, names in by_model.items()
        }

    def _choose(self, instance: int, arrival: traffic.Arrival) -> str:
        return next(self._turns[instance, arrival.work.adapter_version.model])


class LeastLoaded(Baseline):
    """The least loaded engine by report, and a bucket of rate/N each."""

    def __init__(
        self,
        *,
        fleet: fleets.Fleet,
        rates_tokens_per_second: Mapping[str, float],
        burst_seconds: float,
    ) -> None:
        super().__init__(fleet=fleet)
        count = len(fleet.centres)
        self._rates = {
            name: rate / count
            for name, rate in rates_tokens_per_second.items()
        }
        self._burst_seconds = burst_seconds
        self._levels: dict[tuple[int, str], tuple[float, float]] = {
            (instance, name): (rate * burst_seconds, 0.0)
            for instance in range(count)
            for name, rate in self._rates.items()
        }
        self._loads: dict[tuple[int, str], int] = collections.Counter()

    def arrive(self, instance: int, arrival: traffic.Arrival) -> None:
        work = arrival.work
        needed = work.prompt_tokens + work.max_tokens
        level = self._level(instance, work.workspace)
        if level < needed:
            rate = self._rates[work.workspace]
            self.fleet.refuse(
                request_id=work.request_id,
                reason="rate",
                retry_after_seconds=(needed - level) / rate,
            )
            return
        self._set_level(instance, work.workspace, level - needed)
        super().arrive(instance, arrival)

    def report(self, instance: int, report: systems.Report) -> None:
        load = report.running + report.waiting
        self._loads[instance, report.endpoint] = load

    def _choose(self, instance: int, arrival: traffic.Arrival) -> str:
        model = arrival.work.adapter_version.model
        name = min(
            (
                engine.size.name
                for engine in self.fleet.engines.values()
                if engine.size.model == model
            ),
            key=lambda name: self._loads[instance, name],
        )
        # Its own sends since the report count, so that it doesn't herd.
        self._loads[instance, name] += 1
        return name

    def _end(self, instance: int, request_id: str) -> None:
        arrival = self._arrivals[request_id]
        left_over = arrival.work.max_tokens - arrival.answer_tokens
        name = arrival.work.workspace
        level = self._level(instance, name)
        self._set_level(instance, name, level + left_over)

    def _level(self, instance: int, name: str) -> float:
        level, at_seconds = self._levels[instance, name]
        rate = self._rates[name]
        elapsed = self.fleet.now_seconds() - at_seconds
        return min(rate * self._burst_seconds, level + rate * elapsed)

    def _set_level(self, instance: int, name: str, level: float) -> None:
        self._levels[instance, name] = (level, self.fleet.now_seconds())


__all__ = [
    "LeastLoaded",
    "RoundRobin",
]
