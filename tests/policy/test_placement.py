from __future__ import annotations

import collections
import random
from typing import Any

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from boragefold.policy import endpoints as fleet
from boragefold.policy import placement
from boragefold.policy import work as works
from boragefold.telemetry import counters as telemetry
from tests.fakes import workloads

A, B, C, D = (workloads.adapter(name) for name in "ABCD")


class Placer:
    """A placement over a few endpoints, with simulated load answers."""

    def __init__(
        self, *specs: fleet.EndpointSpec, loads: int = 100, seed: int = 1
    ) -> None:
        self.budget = workloads.Budget(loads=loads)
        self.endpoints = fleet.Endpoints()
        self.names = [spec.name for spec in specs]
        for spec in specs:
            self.endpoints.put(spec)
            self.endpoints.report(workloads.report(spec.name, 0, 0.0))
        self.placement = placement.Placement(
            endpoints=self.endpoints,
            budget=self.budget,
            rng=random.Random(seed),
            counters=telemetry.Counters(),
        )

    def decide(
        self, *waiting: works.Work, at: float = 0.0, warm_up: bool = False
    ) -> list[Any]:
        return self.placement.decide(
            demand=workloads.demand(*waiting),
            held_endpoints=self.names,
            now_seconds=at,
            warm_up=warm_up,
        )

    def load(self, *waiting: works.Work, at: float = 0.0) -> list[Any]:
        orders = self.decide(*waiting, at=at)
        for order in orders:
            if isinstance(order, placement.Load):
                self.placement.load_succeeded(order, now_seconds=at + 0.25)
        return orders

    def use(self, adapter: works.AdapterVersion, at: float) -> None:
        request = workloads.work(needs=adapter.adapter, at=at)
        self.placement.count_arrival(request, now_seconds=at)

    def state(self, name: str = "e") -> fleet.EndpointState:
        state = self.endpoints.get(name)
        assert state is not None
        return state


def wait_for(*names: str, workspace: str = "quadro") -> list[works.Work]:
    return [workloads.work(workspace, needs=name) for name in names]


def test_requests_for_one_adapter_share_one_load() -> None:
    placer = Placer(workloads.spec("e"), workloads.spec("f"))
    (load,) = placer.decide(*wait_for("A", "A", "A"))
    assert (load.adapter, load.evict, load.reason) == (A, None, "cold")
    assert not placer.decide(*wait_for("A", "A"), at=0.1)
    placer.placement.load_succeeded(load, now_seconds=0.25)
    assert placer.state(load.endpoint).resident == {A}
    assert not placer.decide(*wait_for("A"), at=0.3)


def test_cold_loads_of_one_workspace_dont_delay_others() -> None:
    # One workspace requests two hundred idle adapters within one second while
    # another requests two; the weight store loads two at a time. In order of
    # arrival the second workspace would wait for a hundred loads.
    spec = workloads.spec("e", slots=300)
    placer = Placer(spec, loads=2)
    tail = wait_for(*(f"t{number}" for number in range(200)), workspace="a")
    order: list[str] = []
    for step in range(6):
        few = wait_for("A", "B", workspace="b")
        waiting = [
            each
            for each in (*tail, *few)
            if each.adapter_version not in placer.state().resident
        ]
        loads = placer.load(*waiting, at=step * 0.25)
        order += [load.workspace for load in loads]
    assert len(order) == 12
    assert order[:4] == ["a", "b", "a", "b"]


def test_a_load_that_serves_many_goes_first() -> None:
    placer = Placer(workloads.spec("e"), loads=1)
    (load,) = placer.decide(*wait_for("A", "B", "B", "B"))
    assert load.adapter == B


def test_an_adapter_in_use_or_waited_for_is_never_evicted() -> None:
    # All slots are full: one adapter serves a request of this instance, one
    # a request of another instance, one has a waiting request.
    placer = Placer(workloads.spec("e", slots=3))
    placer.load(*wait_for("A", "B", "C"))
    here = workloads.work(needs="A")
    placer.endpoints.sent("e", here, now_seconds=1.0)
    placer.endpoints.set_used_by_peers("e", [B])
    waiting = wait_for("C", "D")
    assert not placer.decide(*waiting, at=3.0)
    placer.endpoints.finished("e", here.request_id, now_seconds=3.1)
    (load,) = placer.decide(*waiting, at=3.2)
    assert load.evict == A
    assert not placer.endpoints.holders(A)


def test_two_adapters_dont_evict_each_other_without_end() -> None:
    # One slot and two adapters that are requested alternately, ten times a
    # second. With an eviction on each request the slot would only load.
    placer = Placer(workloads.spec("e", slots=1))
    loads = 0
    for step in range(200):
        at = step * 0.1
        adapter = (A, B)[step % 2]
        placer.use(adapter, at)
        if adapter not in placer.state().resident:
            loads += len(placer.load(*wait_for(adapter.adapter), at=at))
    assert 2 <= loads <= 11


def test_the_least_used_adapter_makes_room() -> None:
    placer = Placer(workloads.spec("e", slots=2))
    placer.load(*wait_for("A", "B"))
    for step in range(40):
        placer.use(A, step * 0.5)
    placer.use(B, 5.0)
    (load,) = placer.decide(*wait_for("C"), at=40.0)
    assert load.evict == B


def test_one_slot_isnt_emptied_for_two_adapters() -> None:
    # Two cold adapters find the same idle adapters to evict. If both loads
    # evicted the same one, the second would find no slot. A third load must
    # not start, not even when a report shows the evictions done before the
    # loads have ended.
    placer = Placer(workloads.spec("e", slots=2))
    placer.load(*wait_for("A", "B"))
    waiting = wait_for("C", "D", "E")
    first, second = placer.decide(*waiting, at=40.0)
    assert {first.evict, second.evict} == {A, B}
    assert not placer.decide(*waiting, at=40.1)
    report = workloads.report("e", 0, 40.2)
    placer.endpoints.report(report._replace(resident=()))
    assert not placer.decide(*waiting, at=40.3)
    placer.endpoints.report(
        report._replace(resident=(C, D), measured_at_seconds=40.4)
    )
    assert not placer.decide(*wait_for("E"), at=40.5)


def test_with_every_slot_in_use_one_is_drained() -> None:
    # Both slots serve requests without a pause, so neither adapter can be
    # evicted, and the callers of a cold adapter would wait until they time
    # out. After a while one adapter gets no new requests, and its slot
    # becomes free.
    placer = Placer(workloads.spec("e", slots=2))
    placer.load(*wait_for("A", "B"))
    busy = {name: workloads.work(needs=name) for name in "AB"}
    for request in busy.values():
        placer.endpoints.sent("e", request, now_seconds=1.0)
    for step in range(20):
        placer.use(A, 10 + step / 10)
    assert not placer.decide(*wait_for("C"), at=12.0)
    assert not placer.decide(*wait_for("C"), at=14.0)
    (drain,) = placer.decide(*wait_for("C"), at=15.0)
    assert drain == placement.Drain("e", B, "quadro")
    assert not placer.endpoints.holders(B)
    assert not placer.decide(*wait_for("C"), at=15.1)
    placer.endpoints.finished("e", busy["B"].request_id, now_seconds=16.0)
    (load,) = placer.decide(*wait_for("C"), at=16.0)
    assert (load.adapter, load.evict) == (C, B)
    placer.placement.load_succeeded(load, now_seconds=16.3)
    assert placer.state().occupied_slots() == 2


def test_no_more_slots_are_drained_than_adapters_starve() -> None:
    placer = Placer(workloads.spec("e", slots=1), workloads.spec("f", slots=1))
    for load in placer.load(*wait_for("A", "B")):
        request = workloads.work(needs=load.adapter.adapter)
        placer.endpoints.sent(load.endpoint, request, now_seconds=1.0)
    orders = [
        order
        for step in range(100)
        for order in placer.decide(*wait_for("C"), at=12 + step / 10)
    ]
    assert len(orders) == 1


def test_a_hot_adapter_is_copied_before_its_queue_grows() -> None:
    # An adapter's rate grows until one engine's batch is nearly full. No
    # request waits yet; a copy loaded only then would come one load too late.
    spec = {"batch_size": 10, "slots": 4}
    placer = Placer(workloads.spec("e", **spec), workloads.spec("f", **spec))
    placer.load(*wait_for("A"))
    for step in range(40):
        placer.use(A, step * 0.5)
    assert not placer.decide(at=20.0)
    for step in range(200):
        placer.use(A, 20 + step * 0.1)
    (load,) = placer.decide(at=40.0)
    assert (load.adapter, load.reason) == (A, "hot")
    assert not placer.decide(at=40.1)
    placer.placement.load_succeeded(load, now_seconds=40.3)
    assert not placer.decide(at=40.4)


def test_what_only_a_slow_endpoint_holds_is_copied_elsewhere() -> None:
    # An engine becomes slow. Requests for an adapter that no other engine
    # holds would still be sent there and wait, although the queue of this
    # instance doesn't grow.
    placer = Placer(*(workloads.spec(name) for name in "efg"))
    placer.endpoints.loaded("e", A, now_seconds=0.0)
    slow = placer.state("e")
    slow.weight = 0.1
    placer.use(A, 1.0)
    (load,) = placer.decide(at=1.0)
    assert load.adapter == A
    assert load.endpoint != "e"
    placer.placement.load_succeeded(load, now_seconds=1.3)
    placer.use(A, 2.0)
    assert not placer.decide(at=2.0)
    # Nor is a cold adapter loaded at the slow engine while others have a slot.
    (cold,) = placer.decide(*wait_for("B"), at=2.0)
    assert cold.endpoint != "e"


def test_overload_adds_no_copies_on_full_endpoints() -> None:
    # Under overload every endpoint is full, so every adapter with waiting
    # requests looks hot. Copies would evict other adapters and start no
    # request. Two adapters without a slot must not prevent a cold adapter's
    # load.
    placer = Placer(*(workloads.spec(name) for name in "efg"))
    for name, held in (("e", A), ("f", B), ("g", C)):
        placer.endpoints.loaded(name, held, now_seconds=0.0)
        placer.endpoints.report(workloads.report(name, 4, 1.0))
    waiting = wait_for("A", "B", "C", "D")
    (load,) = placer.decide(*waiting, at=2.0)
    assert (load.adapter.adapter, load.reason) == ("D", "cold")
    placer.endpoints.report(workloads.report("g", 0, 3.0))
    loads = placer.decide(*waiting, at=3.0)
    assert {(each.endpoint, each.reason) for each in loads} == {("g", "hot")}


def test_a_failed_load_backs_off() -> None:
    # An adapter's weights are damaged. Immediate retries would use the whole
    # load rate and delay intact adapters.
    placer = Placer(workloads.spec("e"))
    attempts = []
    for step in range(600):
        at = step * 0.1
        for load in placer.decide(*wait_for("A"), at=at):
            attempts.append(at)
            placer.placement.load_failed(load, now_seconds=at)
    assert 5 <= len(attempts) <= 9
    assert attempts[-1] - attempts[-2] > 8
    assert placer.budget.left == 100


def test_a_load_whose_engine_restarted_is_ordered_again_at_once() -> None:
    # The engine restarts during a load, so its answer never arrives.
    placer = Placer(workloads.spec("e"), loads=1)
    (load,) = placer.decide(*wait_for("A"))
    placer.endpoints.report(workloads.report("e", 0, 0.1, "i2"))
    (again,) = placer.decide(*wait_for("A"), at=0.2)
    assert again == load
    placer.placement.load_succeeded(again, now_seconds=0.5)
    placer.placement.load_succeeded(load, now_seconds=0.6)
    assert placer.budget.left == 1


def test_a_load_without_an_answer_releases_its_budget() -> None:
    placer = Placer(workloads.spec("e"), loads=1)
    placer.decide(*wait_for("A"))
    assert not placer.decide(*wait_for("B"), at=5.0)
    (load,) = placer.decide(*wait_for("B"), at=11.0)
    assert load.adapter == B


def test_an_empty_engine_is_warmed_up_with_what_was_used() -> None:
    # An engine restarts empty. The adapters that it held are requested again
    # soon; if each were loaded only then, its caller would have to wait.
    placer = Placer(workloads.spec("e"))
    placer.load(*wait_for("A", "B"))
    for step in range(10):
        placer.use(A, step * 1.0)
    placer.use(B, 1.0)
    placer.endpoints.report(workloads.report("e", 0, 10.0, "i2"))
    (load,) = placer.decide(at=10.0, warm_up=True)
    assert (load.adapter, load.reason) == (A, "warm_up")
    placer.placement.load_succeeded(load, now_seconds=10.3)
    # B had a single request, too few for a load without a waiting request.
    assert not placer.decide(at=11.0, warm_up=True)


def test_only_ordered_and_staying_endpoints_of_the_model_are_used() -> None:
    placer = Placer(
        workloads.spec("gone", leaving=True),
        workloads.spec("other", model="n"),
        workloads.spec("mine"),
        workloads.spec("theirs"),
    )
    placer.names.remove("theirs")
    loads = placer.decide(*wait_for("A", "B", "C", "D"))
    assert {load.endpoint for load in loads} == {"mine"}


@settings(derandomize=True, max_examples=100, deadline=None)
@given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(
                ["wait", "start", "finish", "answer", "fail", "restart"]
            ),
            strategies.integers(0, 7),
            strategies.sampled_from(["e", "f"]),
            strategies.floats(0.1, 4.0),
        ),
        max_size=60,
    )
)
def test_slot_and_budget_invariants_hold(
    steps: list[tuple[str, int, str, float]],
) -> None:
    # Invariants: no order evicts an adapter that serves a request or has one
    # waiting, no endpoint is sent more loads than it has slots, no adapter is
    # loaded twice at one endpoint, and the budget is released exactly once.
    names = [f"a{number}" for number in range(8)]
    specs = [workloads.spec(name, slots=2) for name in ("e", "f")]
    placer = Placer(*specs, loads=3)
    waiting: list[works.Work] = []
    running: list[tuple[str, works.Work]] = []
    pending: list[tuple[placement.Load, int, float]] = []
    incarnations = collections.Counter(e=1, f=1)
    now = 0.0
    for kind, number, endpoint, pause in steps:
        now += pause
        if kind == "wait":
            waiting += wait_for(names[number])
            placer.use(waiting[-1].adapter_version, now)
        elif kind == "start":
            for request in list(waiting):
                if placer.state(endpoint).serves(request.adapter_version):
                    waiting.remove(request)
                    placer.endpoints.sent(endpoint, request, now_seconds=now)
                    running.append((endpoint, request))
        elif kind == "finish" and running:
            where, request = running.pop(number % len(running))
            placer.endpoints.finished(
                where, request.request_id, now_seconds=now
            )
        elif kind in ("answer", "fail") and pending:
            load, _incarnation, _at = pending.pop(number % len(pending))
            if kind == "answer":
                placer.placement.load_succeeded(load, now_seconds=now)
            else:
                placer.placement.load_failed(load, now_seconds=now)
        elif kind == "restart":
            incarnations[endpoint] += 1
            placer.endpoints.report(
                workloads.report(
                    endpoint, 0, now, f"i{incarnations[endpoint]}"
                )
            )
            running = [each for each in running if each[0] != endpoint]
        pinned = {
            (where, request.adapter_version) for where, request in running
        }
        wanted = {request.adapter_version for request in waiting}
        before = set(placer.state("e").resident | placer.state("f").resident)
        for order in placer.decide(*waiting, at=now):
            if isinstance(order, placement.Drain):
                continue
            assert (order.endpoint, order.evict) not in pinned
            assert order.evict not in wanted & before
            pending.append((order, incarnations[order.endpoint], now))
        for name in ("e", "f"):
            state = placer.state(name)
            under_way = [
                load
                for load, incarnation, at in pending
                if load.endpoint == name
                and incarnation == incarnations[name]
                and now - at < 10
            ]
            added = sum(load.evict is None for load in under_way)
            assert state.occupied_slots() + added <= state.spec.slots
            emptied = [load.evict for load in under_way if load.evict]
            assert len(emptied) == len(set(emptied))
            loading = [load.adapter for load in under_way]
            assert len(loading) == len(set(loading))
        assert 0 <= placer.budget.left <= 3
    for load, _incarnation, _at in pending:
        placer.placement.load_failed(load, now_seconds=now)
        placer.placement.load_failed(load, now_seconds=now)
    assert placer.budget.left == 3
