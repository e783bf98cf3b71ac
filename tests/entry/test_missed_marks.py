"""Endpoints that leave while an instance begins to read the store."""

from __future__ import annotations

import threading
import time

import pytest

from boragefold.timing import clock as clocks
from tests.fakes import gated_store
from tests.fakes import machines as machines_module
from tests.fakes import store_pages
from tests.fakes import store_readers

# Two in the first data centre, of which one reads the store.
GATEWAYS = 3
# An endpoint that leaves serves for so long after the store has taken it.
SERVED_ON_SECONDS = 2.0
REQUESTS = 30
# An instance has heard of the others by then; no call on the store is overdue.
CALL_SECONDS = 0.4


@pytest.fixture
def machines(tmp_path):
    machines = gated_store.GatedMachines(tmp_path, gateways=GATEWAYS)
    try:
        yield machines.start()
    finally:
        machines.stop()


def resting_gateway(machines):
    """Find the gateway that leaves reading the store to another one."""
    return max((0, 2), key=lambda each: store_readers.rank(machines, each))


def restart(machines, number):
    machines.processes[f"gateway-{number}"].kill()
    machines.wait(number)
    machines.start_gateway(number)
    machines_module.eventually(lambda: machines.is_ready(number))


def late_arrivals(machines, number, left_at_seconds):
    for _ in range(REQUESTS):
        machines.ask("/reads/1", number=number)
    return sum(
        each["at_seconds"] > left_at_seconds + SERVED_ON_SECONDS
        for each in machines.seen("desk-0")["arrivals"]
    )


def test_a_mark_between_the_pages_of_a_listing_is_learned(machines):
    # An endpoint of the first page leaves, and the second page is newer.
    store_pages.fill(machines)
    number = resting_gateway(machines)
    gate = machines.gate(number)
    marked_at_seconds = []

    def mark_before_second_page(target):
        if "servers" not in target or "kv-range" not in target:
            return
        time.sleep(CALL_SECONDS)
        if "after=" in target and not marked_at_seconds:
            machines.publish("desk-0", state="draining")
            marked_at_seconds.append(clocks.BootClock().now_seconds())
            machines.put("servers/joined", store_pages.FURTHER_ENTRY)

    gate.before_call = mark_before_second_page
    restart(machines, number)
    machines_module.eventually(lambda: marked_at_seconds)
    (left_at_seconds,) = marked_at_seconds
    time.sleep(SERVED_ON_SECONDS)
    assert late_arrivals(machines, number, left_at_seconds) == 0


def test_an_instance_that_knows_no_endpoints_isnt_ready(tmp_path):
    # Callers were sent to one that could refuse them only.
    machines = gated_store.GatedMachines(tmp_path, gateways=1)
    try:
        machines.start()
        gate = machines.gate(0)
        called, passed = threading.Event(), threading.Event()

        def hold_endpoints(target):
            if "servers" in target:
                called.set()
                passed.wait(machines_module.PATIENCE_SECONDS)

        gate.before_call = hold_endpoints
        machines.processes["gateway-0"].kill()
        machines.wait(0)
        machines.start_gateway(0)
        assert called.wait(machines_module.PATIENCE_SECONDS)
        time.sleep(CALL_SECONDS)
        assert not machines.is_ready(0)
        passed.set()
        machines_module.eventually(lambda: machines.is_ready(0))
    finally:
        passed.set()
        machines.stop()
