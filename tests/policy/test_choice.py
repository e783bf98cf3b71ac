from __future__ import annotations

import collections
import random

import pytest

from boragefold.policy import endpoint_choice
from boragefold.policy import endpoints as fleet
from boragefold.telemetry import counters as telemetry
from tests.fakes import workloads

HOT = workloads.adapter("hot")


class Instance:
    """One instance's state of the endpoints, and its choices."""

    def __init__(
        self,
        *specs: fleet.EndpointSpec,
        seed: int = 1,
        instances: int = 1,
    ) -> None:
        self.counters = telemetry.Counters()
        self.endpoints = fleet.Endpoints()
        for spec in specs:
            self.endpoints.put(spec)
            self.endpoints.report(workloads.report(spec.name, 0, 0.0))
            self.endpoints.loaded(spec.name, HOT, now_seconds=0.0)
        self.choice = endpoint_choice.EndpointChoice(
            endpoints=self.endpoints,
            rng=random.Random(seed),
            counters=self.counters,
            instances=lambda: instances,
        )

    def report(self, running: dict[str, int], at: float) -> None:
        for name, count in running.items():
            self.endpoints.report(workloads.report(name, count, at))

    def send(self, at: float = 1.0, **fields: object) -> str | None:
        request = workloads.work(**fields)
        chosen = self.choice.choose(request)
        if not isinstance(chosen, endpoint_choice.Chosen):
            return None
        self.endpoints.sent(chosen.endpoint, request, now_seconds=at)
        return chosen.endpoint


def specs(count: int, **changes: object) -> list[fleet.EndpointSpec]:
    return [workloads.spec(f"e{number}", **changes) for number in range(count)]


def test_an_endpoint_without_the_adapter_is_not_chosen() -> None:
    instance = Instance(*specs(2))
    request = workloads.work(needs="cold")
    assert isinstance(
        instance.choice.choose(request), endpoint_choice.NoHolder
    )
    tried = frozenset({"e0", "e1"})
    request = workloads.work(needs="hot")
    outcome = instance.choice.choose(request, excluded=tried)
    assert isinstance(outcome, endpoint_choice.NoHolder)


def test_a_full_fleet_keeps_requests_in_the_fair_queue() -> None:
    instance = Instance(*specs(2))
    instance.report({"e0": 4, "e1": 4}, 1.0)
    assert not instance.choice.has_room(HOT)
    request = workloads.work(needs="hot")
    assert isinstance(instance.choice.choose(request), endpoint_choice.NoRoom)


@pytest.mark.parametrize("needs", ["", "hot"])
def test_instances_with_one_report_spread_their_requests(needs: str) -> None:
    # Seven instances see the same report, one second old: one of ten engines
    # is idle, the others are half full. If all instances send to the idle
    # engine, it gets several times its batch in that second and becomes the
    # slowest.
    size = {"batch_size": 32}
    instances = [
        Instance(*specs(10, **size), seed=seed, instances=7)
        for seed in range(7)
    ]
    reported = {f"e{number}": 16 if number else 0 for number in range(10)}
    for instance in instances:
        instance.report(reported, 1.0)
    arrived = collections.Counter(
        instances[number % 7].send(2.0, needs=needs) for number in range(70)
    )
    running = {name: reported[name] + arrived[name] for name in reported}
    assert sum(arrived.values()) == 70
    assert max(running.values()) <= 40
    assert max(arrived.values()) <= 35


def test_an_adapter_is_concentrated_until_the_batch_is_half_full() -> None:
    # Two requests of one adapter on each of five engines make five small
    # batches; the same ten requests on one engine make a single full one.
    instance = Instance(*specs(5, batch_size=32))
    chosen = collections.Counter(instance.send(needs="hot") for _ in range(16))
    assert len(chosen) == 1
    chosen.update(instance.send(needs="hot") for _ in range(64))
    assert 3 <= len(chosen) <= 5
    assert max(chosen.values()) <= 32


def test_base_model_requests_are_spread() -> None:
    instance = Instance(*specs(5, batch_size=32))
    chosen = collections.Counter(instance.send() for _ in range(50))
    assert max(chosen.values()) <= 12


def test_a_prompt_returns_to_where_its_beginning_is_cached() -> None:
    instance = Instance(*specs(20, batch_size=32))
    first = instance.send(prefix="chapter 7")
    again = {instance.send(prefix="chapter 7") for _ in range(10)}
    assert again == {first}
    # A full batch is avoided even if it has the prompt cached.
    instance.report({str(first): 32}, 2.0)
    assert instance.send(3.0, prefix="chapter 7") != first


def test_a_slow_holder_loses_its_adapters_requests_and_returns() -> None:
    # The first holder of an adapter becomes slow. Every instance tries it
    # first because of the common order, so its weight must divert the
    # requests, but leave some probes that can show its recovery.
    instance = Instance(*specs(5, batch_size=1000))
    first = instance.send(needs="hot")
    slow = instance.endpoints.get(str(first))
    assert slow is not None
    for state in instance.endpoints:
        state.latency = 0.1
    slow.latency = 20.0
    instance.endpoints.refresh(now_seconds=1.0)
    chosen = [instance.send(needs="hot") for _ in range(1000)]
    assert 5 <= chosen.count(first) <= 60
    slow.latency = 0.1
    instance.endpoints.refresh(now_seconds=2.0)
    instance.report({state.spec.name: 0 for state in instance.endpoints}, 9.0)
    assert instance.send(10.0, needs="hot") == first


def test_the_only_holder_is_used_though_it_is_slow() -> None:
    instance = Instance(*specs(1, batch_size=100))
    for _ in range(10):
        instance.endpoints.failed("e0")
    assert [instance.send(needs="hot") for _ in range(20)] == ["e0"] * 20


def test_another_data_centre_is_used_only_when_it_is_faster() -> None:
    # The near endpoints are full. A request goes to the other data centre
    # only if waiting here would take longer than the extra distance.
    far = workloads.spec("far", data_centre="there", distance_seconds=0.2)
    instance = Instance(*specs(2), far)
    for state in instance.endpoints:
        state.latency = 0.1
    assert instance.send(needs="hot") != "far"
    instance.report({"e0": 4, "e1": 4}, 2.0)
    request = workloads.work(needs="hot")
    outcome = instance.choice.choose(request, queued_seconds=0.0)
    assert isinstance(outcome, endpoint_choice.NoRoom)
    outcome = instance.choice.choose(request, queued_seconds=1.0)
    assert isinstance(outcome, endpoint_choice.Chosen)
    assert outcome.endpoint == "far"
    # Long requests keep slots occupied, even while nothing is queued.
    for name in ("e0", "e1"):
        state = instance.endpoints.get(name)
        assert state is not None
        state.duration_seconds = 8.0
    outcome = instance.choice.choose(request, queued_seconds=0.0)
    assert isinstance(outcome, endpoint_choice.Chosen)
    # Once every near holder has failed it, distance doesn't matter.
    tried = frozenset({"e0", "e1"})
    outcome = instance.choice.choose(request, excluded=tried)
    assert isinstance(outcome, endpoint_choice.Chosen)
    assert instance.counters.value("requests_chosen", "other_data_centre") == 3
