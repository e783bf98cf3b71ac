from __future__ import annotations

import itertools
from typing import Any

from boragefold.coordination.orders import dispatcher as dispatching
from boragefold.coordination.orders import fencing as fences
from boragefold.coordination.orders import lease_client
from boragefold.coordination.orders import loaded_adapters
from boragefold.coordination.orders import sender as sending
import boragefold.coordination.rights as membership
from boragefold.policy import work
from boragefold.protocol import ids
from boragefold.protocol import order_messages as messages
from boragefold.telemetry import counters as counting
from boragefold.timing import clock as clocks
from boragefold.timing import timers

HOLDER = ids.InstanceId("north", "127.0.0.1:1", "a")
NOTES = messages.Weights("base", "notes", "3")
TARGET = messages.Target("engine-1", NOTES)
ORDER = sending.Order(
    endpoint="engine-1", kind="evict", adapter=work.AdapterVersion(*NOTES)
)


def test_a_lease_granted_before_a_stop_request_is_ignored() -> None:
    # The holder grants a lease and then sends a stop request, which arrives
    # first. It evicts the adapter after the confirmation, so the late lease
    # must not be used.
    sent: list[Any] = []
    leases = lease_client.LeaseClient(
        timers=timers.TimerService(clock=clocks.VirtualClock()),
        counters=counting.Counters(),
        holder_of=lambda endpoint: HOLDER,
        send=lambda to, body: sent.append(body),
    )
    leases.begin(TARGET)
    number = sent[-1].number
    leases.handle_stop_request(HOLDER, messages.UseStopAsked(TARGET, 7))
    assert sent[-1] == messages.UseStopped(TARGET, 7)
    leases.apply_reply(HOLDER, messages.UseGiven(number, 8.0, (TARGET,), ()))
    assert isinstance(leases.begin(TARGET), lease_client.NoLease)
    number = sent[-1].number
    leases.apply_reply(HOLDER, messages.UseGiven(number, 8.0, (TARGET,), ()))
    assert isinstance(leases.begin(TARGET), lease_client.Use)


def test_reports_of_a_restarted_engine_count_at_once() -> None:
    # After an unknown outcome, reports of the engine are ignored for a while.
    # This must not apply to the engine process that replaces it.
    adapters = loaded_adapters.LoadedAdapters(not_before_seconds=0.0)
    nothing: frozenset[messages.Weights] = frozenset()
    adapters.apply_report(incarnation="1", loaded=nothing, sampled_seconds=1.0)
    adapters.record_order(NOTES, loaded=False, effective_at_seconds=100.0)
    loaded = frozenset({NOTES})
    adapters.apply_report(incarnation="1", loaded=loaded, sampled_seconds=2.0)
    assert adapters.loaded == nothing
    adapters.apply_report(incarnation="2", loaded=loaded, sampled_seconds=3.0)
    assert adapters.loaded == loaded


def test_a_late_report_of_a_former_process_is_ignored() -> None:
    adapters = loaded_adapters.LoadedAdapters(not_before_seconds=0.0)
    loaded = frozenset({NOTES})
    adapters.apply_report(
        incarnation="2", loaded=frozenset(), sampled_seconds=3.0
    )
    assert not adapters.apply_report(
        incarnation="1", loaded=loaded, sampled_seconds=2.0
    )
    assert adapters.loaded == frozenset()


class Recorder(sending.OrderSender):
    """Records orders and their callbacks."""

    def __init__(self) -> None:
        self.orders: list[sending.Order] = []
        self.finished: list[Any] = []

    def send(self, order, *, may_send, on_outcome) -> None:
        self.orders.append(order)
        self.finished.append(on_outcome)


def dispatch(ready: list[bool]) -> tuple[dispatching.Dispatcher, Recorder]:
    recorder = Recorder()
    view = membership.View("north", 2, 3, (HOLDER,))
    dispatcher = dispatching.Dispatcher(
        fencing=fences.FencingNumbers(view=view),
        ready=lambda: ready[0],
        sender=recorder,
        on_start=lambda order: None,
        on_outcome=lambda order, outcome: None,
        counters=counting.Counters(),
    )
    return dispatcher, recorder


def test_a_former_holder_does_not_go_above_its_successor() -> None:
    # The engine refuses an order because the successor has sent one. If the
    # former holder continued above that number, the engine would refuse the
    # successor's orders.
    ready = [True]
    dispatcher, recorder = dispatch(ready)
    dispatcher.put(ORDER)
    ready[0] = False
    recorder.finished[0](sending.Outdated(highest=1 << 50))
    assert len(recorder.orders) == 1


def test_the_holder_continues_above_a_refused_number() -> None:
    dispatcher, recorder = dispatch([True])
    dispatcher.put(ORDER)
    recorder.finished[0](sending.Outdated(highest=1 << 50))
    assert recorder.orders[1].fencing == (1 << 50) + 1


def test_numbers_increase_with_views_and_epochs() -> None:
    order = [(1, 1), (1, 2), (1, 900), (2, 1), (3, 5)]
    numbers = [
        fences.FencingNumbers(
            view=membership.View("north", epoch, number, (HOLDER,))
        ).next_number()
        for epoch, number in order
    ]
    assert all(a < b for a, b in itertools.pairwise(numbers))
