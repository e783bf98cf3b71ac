from __future__ import annotations

from boragefold.policy import endpoints as fleet
from boragefold.policy import loads
from tests.fakes import workloads


def test_a_slot_that_is_emptied_for_a_load_counts_once() -> None:
    # A load evicts A for B while two slots are in use. If its slot counted
    # twice, other loads would find no room; if it didn't count, two loads
    # would use the same slot.
    endpoints = fleet.Endpoints()
    endpoints.put(workloads.spec("e"))
    endpoints.report(workloads.report("e", 0, 0.0))
    a, b, c = (workloads.adapter(name) for name in "abc")
    for adapter in (a, c):
        endpoints.loaded("e", adapter, now_seconds=0.0)
    state = endpoints.get("e")
    assert state is not None
    running = loads.Loads()
    load = loads.Load("e", b, a, "quadro", "cold")
    endpoints.stop_using("e", a, now_seconds=1.0)
    assert running.unclaimed(state) == [a]
    running.begin(load, incarnation="i1", now_seconds=1.0)
    assert running.unclaimed(state) == []
    assert running.taken_slots(state) == 2
    gone = workloads.report("e", 0, 2.0)._replace(resident=(c,))
    endpoints.report(gone)
    assert running.taken_slots(state) == 2
    there = gone._replace(resident=(b, c), measured_at_seconds=3.0)
    endpoints.report(there)
    assert running.taken_slots(state) == 2
    assert running.end(load) is not None
    assert running.end(load) is None
    assert running.taken_slots(state) == 2
