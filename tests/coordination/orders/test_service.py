from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

import pytest

from boragefold.coordination.orders import lease_client
from boragefold.coordination.orders import sender as sending
from boragefold.coordination.orders import service
from boragefold.coordination.orders import timeouts
import boragefold.coordination.rights as membership
from boragefold.policy import work
from boragefold.protocol import order_messages as messages
from boragefold.telemetry import counters as counting
from tests.fakes import network as networks
from tests.fakes import rights as fake_rights

ENDPOINT = "engine-1"
NOTES = work.AdapterVersion("base", "notes", "3")
DRAFTS = work.AdapterVersion("base", "drafts", "1")
TARGET = messages.Target(ENDPOINT, messages.Weights(*NOTES))
REPORT_LAG_SECONDS = 0.5
DATA_CENTRES = ("north", "south")


class Engine(sending.OrderSender):
    """An engine and the transport of orders to it."""

    def __init__(self, *, world: World) -> None:
        self.world = world
        self.incarnation = "first"
        self.running = {NOTES: 0, DRAFTS: 0}
        self.highest = 0
        self.checks_fencing = False
        self.received: list[sending.Order] = []
        self.wrong: list[sending.Order] = []
        self.delay_seconds = 0.01
        self.held_orders: list[Callable[[], None]] = []
        self.hold_orders = False
        self.next_outcome: sending.Outcome | None = None

    def send(self, order, *, may_send, on_outcome) -> None:
        def write() -> None:
            if not may_send():
                on_outcome(sending.NoAnswer(reason="not_written"))
                return
            on_outcome(self.carry_out(order))

        if self.hold_orders:
            self.held_orders.append(write)
        else:
            self.world.timers.once(
                delay_seconds=self.delay_seconds, callback=write
            )

    def carry_out(self, order: sending.Order) -> sending.Outcome:
        if self.next_outcome is not None:
            outcome, self.next_outcome = self.next_outcome, None
            return outcome
        if self.checks_fencing:
            assert order.fencing is not None
            if order.fencing <= self.highest:
                return sending.Outdated(highest=self.highest)
            self.highest = order.fencing
        self.received.append(order)
        if order.kind == "evict":
            if self.running.pop(order.adapter, 0):
                self.wrong.append(order)
        elif order.kind == "load":
            self.running[order.adapter] = 0
        return sending.Done()


class Process(NamedTuple):
    """One instance and its order service."""

    node: networks.Node
    rights: fake_rights.FakeRights
    orders: service.OrderService
    counters: counting.Counters


class World:
    """Two data centres with three instances each, and one engine."""

    def __init__(self, *, checks_fencing: bool = False) -> None:
        self.network = networks.Network(seed=5)
        clock_node = self.network.start("clock", "clock")
        self.timers = clock_node.timers
        self.engine = Engine(world=self)
        self.engine.checks_fencing = checks_fencing
        self.views = fake_rights.FakeViews()
        self.finished: list[tuple[sending.Order, sending.Outcome]] = []
        self.processes: dict[str, list[Process]] = {}
        self.document = {
            "north": {
                ENDPOINT: {
                    "address": "127.0.0.1:1",
                    "model": "base",
                    "role": "mixed",
                    "slots": 4,
                    "batch_size": 8,
                    "checks_fencing": checks_fencing,
                    "state": "live",
                }
            }
        }
        for name in DATA_CENTRES:
            self.processes[name] = [
                self.start(name, number) for number in range(3)
            ]
            self.change_view(name)
        self.timers.every(period_seconds=0.25, callback=self.report)
        self.run_for(timeouts.ORDER_TIMEOUT_SECONDS + 2.0)

    def start(self, data_centre: str, number: int) -> Process:
        node = self.network.start(data_centre, f"{data_centre}-{number}")
        fake = self.views.join(node)
        counters = counting.Counters()
        orders = service.OrderService(
            peers=node.link,
            rights=fake,
            timers=node.timers,
            counters=counters,
            sender=self.engine,
            on_outcome=lambda *pair: self.finished.append(pair),
        )
        orders.update_endpoints(self.document)
        return Process(node, fake, orders, counters)

    def change_view(self, name: str, without: tuple[Process, ...] = ()):
        members = [
            each for each in self.processes[name] if each not in without
        ]
        self.views.change(name, [each.node for each in members])

    def report(self) -> None:
        sampled = self.network.clock.now_seconds()
        running, incarnation = (
            dict(self.engine.running),
            self.engine.incarnation,
        )

        def arrive() -> None:
            for process in self.processes["north"]:
                held = process.orders.held_endpoint(ENDPOINT)
                if held is not None and not process.node.paused:
                    held.apply_report(
                        incarnation=incarnation,
                        running=running,
                        sampled_seconds=sampled,
                    )

        self.timers.once(delay_seconds=REPORT_LAG_SECONDS, callback=arrive)

    def holder(self) -> Process:
        holder = membership.holder(
            self.views.latest["north"], timeouts.order_right(ENDPOINT)
        )
        return next(
            process
            for process in self.processes["north"]
            if process.node.self_id == holder
        )

    def held_endpoint(self):
        held = self.holder().orders.held_endpoint(ENDPOINT)
        assert held is not None
        return held

    def use(self, process: Process) -> lease_client.Use:
        for _ in range(50):
            use = process.orders.leases.begin(TARGET)
            if isinstance(use, lease_client.Use):
                self.engine.running[NOTES] += 1
                return use
            self.run_for(0.1)
        raise AssertionError(use.reason)

    def finish(self, process: Process, use: lease_client.Use) -> None:
        self.engine.running[NOTES] -= 1
        process.orders.leases.finish(use)

    def run_for(self, duration_seconds: float) -> None:
        self.network.run_for(duration_seconds)

    def evicted(self) -> bool:
        return any(order.kind == "evict" for order in self.engine.received)


@pytest.fixture
def world() -> World:
    made = World()
    made.run_for(
        timeouts.USE_LEASE_SECONDS + timeouts.MAX_TRANSIT_SECONDS + 2.0
    )
    return made


def test_an_unused_adapter_is_evicted(world) -> None:
    assert isinstance(world.held_endpoint().evict(NOTES), sending.Accepted)
    world.run_for(1.0)
    assert world.evicted()
    assert NOTES not in world.held_endpoint().loaded
    assert isinstance(world.finished[-1][1], sending.Done)


def test_an_eviction_waits_for_a_use_in_another_data_centre(world) -> None:
    # An instance in another data centre streams a response from the adapter
    # while the holder needs its slot.
    process = world.processes["south"][1]
    use = world.use(process)
    world.held_endpoint().evict(NOTES)
    world.run_for(5.0)
    assert not world.evicted()
    assert isinstance(
        process.orders.leases.begin(TARGET), lease_client.NoLease
    )
    world.finish(process, use)
    world.run_for(1.0)
    assert world.evicted() and not world.engine.wrong


def test_a_cut_off_user_is_waited_for(world) -> None:
    # The instance neither receives the stop request nor replies. Its lease
    # expires, but its request continues on the engine.
    process = world.processes["south"][1]
    use = world.use(process)
    world.network.is_cut = lambda one, other: (
        one.data_centre != other.data_centre
    )
    world.held_endpoint().evict(NOTES)
    world.run_for(timeouts.USE_LEASE_SECONDS + 10.0)
    assert not world.evicted()
    assert isinstance(
        process.orders.leases.begin(TARGET), lease_client.NoLease
    )
    world.finish(process, use)
    world.run_for(2.0)
    assert world.evicted() and not world.engine.wrong


def test_a_paused_user_may_not_send_when_it_resumes(world) -> None:
    # A process is paused after it registered a request, before it writes the
    # first byte. The adapter is evicted in the meantime.
    process = world.processes["south"][1]
    use = world.use(process)
    world.engine.running[NOTES] -= 1
    world.network.pause(process.node)
    world.held_endpoint().evict(NOTES)
    world.run_for(30.0)
    assert world.evicted()
    assert world.network.clock.now_seconds() > use.send_by_seconds


def test_without_reports_a_use_ends_at_its_time_limit(world) -> None:
    world.use(world.processes["south"][1])
    world.network.kill(world.processes["south"][1].node)
    world.held_endpoint().evict(NOTES)
    world.run_for(timeouts.MAX_REQUEST_SECONDS)
    assert not world.evicted()
    world.engine.running[NOTES] = 0
    world.report = lambda: None
    world.run_for(
        timeouts.USE_LEASE_SECONDS + timeouts.MAX_TRANSIT_SECONDS + 1.0
    )
    assert world.evicted()


def test_a_new_holder_waits_for_leases_it_did_not_give(world) -> None:
    # The holder is killed. Its successor does not know the leases it granted.
    process = world.processes["south"][1]
    use = world.use(process)
    former = world.holder()
    world.network.kill(former.node)
    world.processes["north"].remove(former)
    world.change_view("north")
    world.run_for(timeouts.ORDER_TIMEOUT_SECONDS + 2.0)
    assert isinstance(world.held_endpoint().evict(NOTES), sending.Accepted)
    world.run_for(timeouts.USE_LEASE_SECONDS + 10.0)
    assert not world.evicted()
    world.finish(process, use)
    world.run_for(2.0)
    assert world.evicted() and not world.engine.wrong


@pytest.mark.parametrize("checks_fencing", [False, True])
def test_a_former_holder_that_wakes_sends_nothing(checks_fencing) -> None:
    # The holder is paused for a minute after it connected to the engine to
    # send an eviction. Meanwhile another holder grants leases on the adapter.
    # The former holder must not write the order when it resumes.
    world = World(checks_fencing=checks_fencing)
    world.run_for(
        timeouts.USE_LEASE_SECONDS + timeouts.MAX_TRANSIT_SECONDS + 2.0
    )
    former = world.holder()
    world.engine.hold_orders = True
    world.held_endpoint().evict(NOTES)
    world.run_for(0.1)
    assert len(world.engine.held_orders) == 1
    world.network.pause(former.node)
    world.change_view("north", without=(former,))
    world.engine.hold_orders = False
    world.run_for(60.0)
    use = world.use(world.processes["south"][1])
    world.network.resume(former.node)
    world.engine.held_orders.pop()()
    world.views.learn(former.rights)
    world.run_for(5.0)
    assert not world.evicted() and not world.engine.wrong
    world.finish(world.processes["south"][1], use)


def test_a_new_holder_waits_for_orders_in_flight(world) -> None:
    # An eviction of the former holder may still arrive after its right has
    # ended. It would interrupt requests that the new holder allowed at once.
    former = world.holder()
    world.change_view("north", without=(former,))
    for _ in range(int(timeouts.ORDER_TIMEOUT_SECONDS / 0.1)):
        process = world.processes["south"][1]
        assert isinstance(
            process.orders.leases.begin(TARGET), lease_client.NoLease
        )
        assert isinstance(world.held_endpoint().load(DRAFTS), sending.Refused)
        world.run_for(0.1)
    assert world.use(process).target == TARGET


def test_running_uses_survive_a_change_of_holder(world) -> None:
    process = world.processes["south"][1]
    for step in range(200):
        use = process.orders.leases.begin(TARGET)
        if step == 40:
            world.change_view("north", without=(world.holder(),))
        if step > 5:
            assert isinstance(use, lease_client.Use), step
        if isinstance(use, lease_client.Use):
            process.orders.leases.finish(use)
        world.run_for(0.1)


def test_fencing_numbers_increase_across_holders() -> None:
    world = World(checks_fencing=True)
    world.run_for(
        timeouts.USE_LEASE_SECONDS + timeouts.MAX_TRANSIT_SECONDS + 2.0
    )
    world.held_endpoint().evict(NOTES)
    world.run_for(1.0)
    world.change_view("north", without=(world.holder(),))
    world.run_for(timeouts.ORDER_TIMEOUT_SECONDS + 2.0)
    world.held_endpoint().load(NOTES)
    world.run_for(1.0)
    world.held_endpoint().set_role("prefill")
    world.run_for(1.0)
    numbers = [order.fencing for order in world.engine.received]
    assert len(numbers) == 3
    assert numbers == sorted(set(numbers))


def test_a_holder_continues_above_an_unknown_higher_number() -> None:
    # The engine has seen a number from an unknown epoch.
    world = World(checks_fencing=True)
    world.run_for(
        timeouts.USE_LEASE_SECONDS + timeouts.MAX_TRANSIT_SECONDS + 2.0
    )
    world.engine.highest = 1 << 60
    world.held_endpoint().evict(NOTES)
    world.run_for(1.0)
    assert world.evicted()
    assert world.engine.highest > 1 << 60


def test_a_restart_of_the_engine_resets_its_state(world) -> None:
    world.use(world.processes["south"][1])
    world.held_endpoint().evict(NOTES)
    world.run_for(0.2)
    world.engine.incarnation = "second"
    world.engine.running = {}
    world.run_for(1.0)
    assert world.held_endpoint().loaded == frozenset()
    assert not world.evicted()
    world.held_endpoint().load(NOTES)
    world.run_for(1.0)
    assert world.held_endpoint().loaded == {messages.Weights(*NOTES)}
    world.run_for(3.0)
    assert not world.evicted()


def test_a_later_report_settles_an_unknown_outcome(world) -> None:
    world.engine.next_outcome = sending.NoAnswer(reason="timeout")
    world.held_endpoint().evict(NOTES)
    world.run_for(1.0)
    assert messages.Weights(*NOTES) not in world.held_endpoint().loaded
    world.run_for(timeouts.ORDER_TIMEOUT_SECONDS + 1.0)
    assert messages.Weights(*NOTES) in world.held_endpoint().loaded


def test_a_failed_load_does_not_count_as_loaded(world) -> None:
    other = work.AdapterVersion("base", "pages", "1")
    world.engine.next_outcome = sending.Failed(reason="no_such_weights")
    world.held_endpoint().load(other)
    world.run_for(2.0)
    assert messages.Weights(*other) not in world.held_endpoint().loaded
    assert isinstance(world.finished[-1][1], sending.Failed)


def test_a_restart_of_the_engine_cancels_an_eviction(world) -> None:
    # An eviction waits for a request. The engine restarts and its own
    # configuration loads the same adapter again.
    world.use(world.processes["south"][1])
    world.held_endpoint().evict(NOTES)
    world.run_for(0.2)
    world.engine.incarnation = "second"
    world.engine.running = {NOTES: 0}
    world.run_for(30.0)
    assert not world.evicted()
    assert world.use(world.processes["south"][2])


def test_no_use_while_an_order_is_in_flight(world) -> None:
    # The eviction order is in flight and reports still show the adapter.
    world.engine.hold_orders = True
    world.held_endpoint().evict(NOTES)
    for _ in range(30):
        process = world.processes["south"][2]
        assert isinstance(
            process.orders.leases.begin(TARGET), lease_client.NoLease
        )
        world.run_for(0.1)
    world.engine.held_orders.pop()()
    assert world.evicted() and not world.engine.wrong


def test_no_new_use_while_an_eviction_waits(world) -> None:
    first, second = world.processes["south"][:2]
    use = world.use(first)
    world.held_endpoint().evict(NOTES)
    for _ in range(30):
        assert isinstance(
            second.orders.leases.begin(TARGET), lease_client.NoLease
        )
        world.run_for(0.1)
    assert world.held_endpoint().cancel_eviction(NOTES)
    assert world.use(second)
    world.finish(first, use)
    world.run_for(2.0)
    assert not world.evicted()


def test_the_answer_to_an_earlier_eviction_is_ignored(world) -> None:
    # A delayed confirmation arrives when its sender has a new request.
    process = world.processes["south"][1]
    world.use(process)
    world.held_endpoint().evict(NOTES)
    process.node.link.send(
        to=world.holder().node.self_id,
        body=messages.UseStopped(TARGET, 10_000),
    )
    world.run_for(3.0)
    assert not world.evicted()


def test_a_holder_that_missed_a_view_starts_without_state(world) -> None:
    # A holder is paused, another one grants leases, and the first becomes the
    # holder again. Its state of leases and loaded adapters is out of date.
    former = world.holder()
    assert world.held_endpoint().loaded
    world.network.pause(former.node)
    world.change_view("north", without=(former,))
    world.run_for(5.0)
    world.change_view("north")
    world.network.resume(former.node)
    world.views.learn(former.rights)
    assert world.holder() is former
    assert not world.held_endpoint().loaded
    world.run_for(5.0)
    assert world.held_endpoint().loaded
