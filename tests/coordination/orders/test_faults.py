"""Random fault schedules for evictions and requests."""

from __future__ import annotations

import random

import pytest

from boragefold.coordination.orders import lease_client
from boragefold.coordination.orders import sender as sending
from boragefold.coordination.orders import timeouts
from tests.coordination.orders import test_service as worlds

STEPS = 8000


class SlowEngine(worlds.Engine):
    """An engine that orders reach after random delays."""

    def send(self, order, *, may_send, on_outcome) -> None:
        random_source = self.world.network.random
        write_delay_seconds = random_source.uniform(0.0, 0.5)
        transit_seconds = random_source.uniform(
            0.0, timeouts.ORDER_TIMEOUT_SECONDS - 0.6
        )

        def write() -> None:
            if not may_send():
                on_outcome(sending.NoAnswer(reason="not_written"))
                return
            self.world.timers.once(
                delay_seconds=transit_seconds, callback=arrive
            )

        def arrive() -> None:
            outcome = self.carry_out(order)
            if random_source.random() < 0.1:
                outcome = sending.NoAnswer(reason="connection_lost")
            on_outcome(outcome)

        self.world.timers.once(
            delay_seconds=write_delay_seconds, callback=write
        )


class Walk:
    """Generates random events from a seed."""

    def __init__(self, *, seed: int) -> None:
        self.random = random.Random(seed)
        self.world = worlds.World(checks_fencing=seed % 2 == 0)
        self.world.network.random = random.Random(seed)
        self.world.network.loss = 0.02
        self.world.network.doubling = 0.03
        engine = SlowEngine(world=self.world)
        engine.__dict__.update(self.world.engine.__dict__)
        self.world.engine.__class__ = SlowEngine
        self.arrived_requests = 0
        self.rejected_requests = 0
        self.last_process_number = 10
        self.events = (
            [self.use] * 60
            + [self.wait] * 60
            + [self.evict, self.load] * 4
            + [self.pause, self.resume, self.resume, self.change_view]
            + [self.kill, self.cut, self.heal]
        )

    def processes(self, *, paused: bool = False) -> list[worlds.Process]:
        return [
            process
            for processes in self.world.processes.values()
            for process in processes
            if process.node.paused == paused
        ]

    def use(self) -> None:
        process = self.random.choice(self.processes())
        use = process.orders.leases.begin(worlds.TARGET)
        if isinstance(use, lease_client.NoLease):
            return
        transit = self.random.uniform(0.0, 0.5)
        self.world.timers.once(
            delay_seconds=transit, callback=lambda: self.arrive(process, use)
        )

    def arrive(self, process: worlds.Process, use: lease_client.Use) -> None:
        engine = self.world.engine
        self.arrived_requests += 1
        if worlds.NOTES not in engine.running:
            self.rejected_requests += 1
            return
        engine.running[worlds.NOTES] += 1
        duration = self.random.choice((0.05, 1.0, 12.0))
        self.world.timers.once(
            delay_seconds=duration, callback=lambda: self.end(process, use)
        )

    def end(self, process: worlds.Process, use: lease_client.Use) -> None:
        running = self.world.engine.running
        if running.get(worlds.NOTES):
            running[worlds.NOTES] -= 1
        if process.node.paused:
            self.world.timers.once(
                delay_seconds=1.0,
                callback=lambda: self.finish_use(process, use),
            )
        else:
            self.finish_use(process, use)

    def finish_use(
        self, process: worlds.Process, use: lease_client.Use
    ) -> None:
        if process.node.paused:
            self.world.timers.once(
                delay_seconds=1.0,
                callback=lambda: self.finish_use(process, use),
            )
        elif not process.node.dead:
            process.orders.leases.finish(use)

    def wait(self) -> None:
        self.world.run_for(self.random.choice((0.01, 0.1, 0.5)))

    def evict(self) -> None:
        for process in self.processes():
            held = process.orders.held_endpoint(worlds.ENDPOINT)
            if held is not None:
                held.evict(worlds.NOTES)

    def load(self) -> None:
        for process in self.processes():
            held = process.orders.held_endpoint(worlds.ENDPOINT)
            if held is not None:
                held.load(worlds.NOTES)

    def pause(self) -> None:
        if len(self.processes()) > 3:
            self.world.network.pause(self.random.choice(self.processes()).node)

    def resume(self) -> None:
        paused = self.processes(paused=True)
        if paused:
            process = self.random.choice(paused)
            self.world.network.resume(
                process.node, timers_first=self.random.random() < 0.5
            )
            self.world.views.learn(process.rights)

    def change_view(self) -> None:
        paused = tuple(self.processes(paused=True))
        without = paused if self.random.random() < 0.5 else ()
        if set(self.world.processes["north"]) - set(without):
            self.world.views.end("north")
            self.wait()
            self.world.change_view("north", without=without)

    def kill(self) -> None:
        process = self.random.choice(self.processes())
        name = process.node.self_id.data_centre
        self.world.network.kill(process.node)
        self.world.processes[name].remove(process)
        self.last_process_number += 1
        self.world.processes[name].append(
            self.world.start(name, self.last_process_number)
        )
        self.wait()
        self.world.change_view(name)

    def cut(self) -> None:
        self.world.network.is_cut = lambda one, other: (
            one.data_centre != other.data_centre
        )

    def heal(self) -> None:
        self.world.network.is_cut = lambda one, other: False


@pytest.mark.parametrize("seed", range(8))
def test_no_eviction_meets_a_use(seed: int) -> None:
    # An eviction while a request runs on the adapter breaks off the response.
    # Holders are killed, paused and replaced, messages and orders are late,
    # lost and duplicated, and data centres are cut off from each other.
    walk = Walk(seed=seed)
    for _ in range(STEPS):
        walk.random.choice(walk.events)()
    assert walk.world.engine.wrong == []
    assert walk.rejected_requests == 0
    assert walk.arrived_requests > 100
    evictions = [
        order for order in walk.world.engine.received if order.kind == "evict"
    ]
    assert len(evictions) >= 3
