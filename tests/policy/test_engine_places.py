from __future__ import annotations

from boragefold.policy import engine_decisions
from boragefold.policy import engine_slots
from tests.fakes import engine_loads

A, B, C = map(engine_loads.key, "abc")


def loaded_slots(newest_versions=None):
    slots = engine_slots.EngineSlots(
        engine=engine_loads.ENGINE, newest_versions=newest_versions or {}
    )
    slots.apply_report({"base": {"a": 1}}, {}, now_seconds=10.0)
    slots.may_order = True
    return slots


def unplaced(*keys):
    return [
        engine_loads.make_request(f"r{number}", each.adapter)
        for number, each in enumerate(keys)
    ]


def test_a_load_is_ready_when_it_should_be_done() -> None:
    slots = loaded_slots()
    slots.record_order(
        engine_decisions.Load(B, 0), done=False, now_seconds=10.0
    )
    assert not slots.is_ready(B, now_seconds=10.2)
    assert slots.is_ready(B, now_seconds=10.3)


def test_a_load_from_host_memory_takes_a_tenth() -> None:
    slots = loaded_slots()
    slots.record_order(
        engine_decisions.Load(B, 0), done=False, now_seconds=10.0
    )
    slots.confirm_loaded(B)
    slots.record_order(engine_decisions.Unload(B), done=True, now_seconds=11.0)
    slots.record_order(
        engine_decisions.Load(B, 0), done=False, now_seconds=12.0
    )
    assert slots.is_ready(B, now_seconds=12.05)


def test_late_loads_raise_the_load_time_estimate() -> None:
    # Loads of other engines are known late, and some stores are slower than
    # others. An engine refuses requests that reach it before their adapter.
    slots = loaded_slots()
    for number in range(20):
        key = engine_loads.key(f"x{number}")
        slots.record_order(
            engine_decisions.Load(key, 0), done=False, now_seconds=10.0
        )
        slots.record_missing(key, now_seconds=10.3)
        slots.record_order(
            engine_decisions.Unload(key), done=True, now_seconds=10.4
        )
    slots.record_order(
        engine_decisions.Load(B, 0), done=False, now_seconds=20.0
    )
    assert not slots.is_ready(B, now_seconds=20.4)
    assert slots.is_ready(B, now_seconds=20.6)


def test_a_copy_that_was_dropped_counts_as_a_cold_load() -> None:
    # A load that was expected from host memory comes from the store instead.
    # Requests that were retried every moment would only be refused.
    slots = loaded_slots()
    slots.record_order(
        engine_decisions.Load(B, 0), done=False, now_seconds=10.0
    )
    slots.record_order(engine_decisions.Unload(B), done=True, now_seconds=11.0)
    slots.record_order(
        engine_decisions.Load(B, 0), done=False, now_seconds=12.0
    )
    slots.record_missing(B, now_seconds=12.05)
    assert not slots.is_ready(B, now_seconds=12.2)
    assert slots.is_ready(B, now_seconds=12.31)


def test_loads_take_longer_while_the_whole_fleet_loads() -> None:
    # With twice as many loads as the store delivers at full speed, each takes
    # twice as long. The engine would refuse requests granted before that.
    slots = engine_slots.EngineSlots(
        engine=engine_loads.ENGINE,
        newest_versions={},
        loads_elsewhere=lambda: 15,
    )
    slots.apply_report({"base": {}}, {}, now_seconds=0.0)
    slots.record_order(
        engine_decisions.Load(A, 0), done=False, now_seconds=0.0
    )
    assert not slots.is_ready(A, now_seconds=0.45)
    assert slots.is_ready(A, now_seconds=0.52)


def test_a_further_load_waits_while_the_fleet_is_at_its_limit() -> None:
    slots = engine_slots.EngineSlots(
        engine=engine_loads.ENGINE,
        newest_versions={},
        loads_elsewhere=lambda: 7,
    )
    slots.apply_report({"base": {}}, {}, now_seconds=0.0)
    slots.may_order = True
    first = slots.next_order(unplaced(A), {}, now_seconds=0.0)
    assert first == engine_decisions.Load(A, 0)
    slots.record_order(first, done=False, now_seconds=0.0)
    assert slots.next_order(unplaced(B), {}, now_seconds=0.1) is None


def test_only_a_confirmed_adapter_is_evicted() -> None:
    # An adapter that should be loaded but is unconfirmed may still be loading.
    # The engine replies "done" to its unload order and loads it all the same:
    # after the next load it would exceed its capacity.
    slots = loaded_slots()
    for each in "bcde":
        slots.record_order(
            engine_decisions.Load(engine_loads.key(each), 0),
            done=False,
            now_seconds=10.0,
        )
    order = slots.next_order(
        unplaced(engine_loads.key("f")), {}, now_seconds=11.0
    )
    assert order == engine_decisions.Unload(A)
    slots.record_start(A, now_seconds=11.0)
    assert (
        slots.next_order(unplaced(engine_loads.key("f")), {}, now_seconds=11.0)
        is None
    )
    assert slots.has_overdue_load(now_seconds=11.0)


def test_a_report_older_than_an_order_confirms_earlier_loads() -> None:
    # Unless older reports confirm a load too, no adapter can be evicted while
    # orders follow each other faster than reports.
    slots = loaded_slots()
    slots.record_order(
        engine_decisions.Load(B, 0), done=False, now_seconds=11.0, count=1
    )
    slots.record_order(
        engine_decisions.Load(C, 0), done=False, now_seconds=11.0, count=2
    )
    slots.apply_old_report({"base": {"a": 1, "b": 1, "c": 1}}, count=1)
    assert slots.summary() == {"a": "0", "b": "0", "c": "0?"}


def test_a_deferred_unload_keeps_its_slot_until_it_is_done() -> None:
    slots = loaded_slots()
    slots.record_order(
        engine_decisions.Unload(A), done=False, now_seconds=10.0
    )
    assert not slots.holds(A)
    assert A in slots.held()
    slots.apply_report({"base": {}}, {}, now_seconds=10.6)
    assert A not in slots.held()


def test_a_report_older_than_an_order_undoes_nothing() -> None:
    # Reports lag. One from before an order would restore what was unloaded,
    # and requests would be sent to an adapter that isn't loaded.
    slots = loaded_slots()
    slots.record_order(
        engine_decisions.Unload(A), done=True, now_seconds=11.0, count=1
    )
    slots.record_order(
        engine_decisions.Load(B, 0), done=False, now_seconds=11.0, count=2
    )
    slots.apply_old_report({"base": {"a": 1, "b": 0}}, count=1)
    assert not slots.holds(A)
    assert slots.holds(B)
    assert slots.summary()["b"] == "0?"
    slots.apply_report({"base": {"a": 1}}, {}, now_seconds=11.6)
    assert slots.holds(A)
    assert not slots.holds(B)


def test_a_newer_version_is_loaded_before_it_is_requested() -> None:
    newest = {A: 1}
    slots = loaded_slots(newest)
    assert slots.next_order([], {}, now_seconds=11.0) is None
    newest[A] = 2
    assert not slots.holds(A)
    assert slots.next_order([], {}, now_seconds=11.0) == engine_decisions.Load(
        A, 2
    )


def test_a_newer_version_takes_over_the_slot_and_its_requests() -> None:
    slots = loaded_slots({A: 2})
    slots.record_start(A, now_seconds=10.5)
    slots.record_order(
        engine_decisions.Load(A, 2), done=False, now_seconds=11.0
    )
    slots.confirm_loaded(A)
    slots_left = engine_loads.ENGINE.adapter_places - 1
    assert slots.can_load_one_more(slots_left - 1, {}, now_seconds=10.0)
    assert not slots.can_load_one_more(slots_left, {}, now_seconds=10.0)


def test_a_restarted_engine_loads_its_model_first() -> None:
    slots = loaded_slots()
    slots.apply_report({}, {}, now_seconds=20.0)
    order = slots.next_order(unplaced(A), {}, now_seconds=20.0)
    assert order == engine_decisions.Load(engine_loads.key(""), 0)
    slots.record_order(order, done=False, now_seconds=20.0)
    assert slots.next_order(unplaced(A), {}, now_seconds=20.5) is None
    assert slots.next_order(
        unplaced(A), {}, now_seconds=22.5
    ) == engine_decisions.Load(A, 0)


def test_nothing_is_ordered_unless_orders_are_allowed() -> None:
    slots = loaded_slots()
    slots.may_order = False
    assert slots.next_order(unplaced(B), {}, now_seconds=11.0) is None


def test_a_model_on_its_way_isnt_ordered_again() -> None:
    # An engine that restarted empty loads its model for two seconds, and its
    # reports list the model only after that. It accepts a second order
    # without counting it, so that the next instance to issue orders would
    # use a lower number than one used before.
    slots = engine_slots.EngineSlots(
        engine=engine_loads.ENGINE, newest_versions={}
    )
    slots.apply_report({}, {}, now_seconds=0.0)
    slots.may_order = True
    model = engine_loads.key("")
    first = slots.next_order(unplaced(A), {}, now_seconds=0.0)
    assert first == engine_decisions.Load(model, 0)
    slots.record_order(first, done=False, now_seconds=0.0)
    slots.apply_report({}, {}, now_seconds=1.0, busy=True)
    assert slots.next_order(unplaced(A), {}, now_seconds=1.0) is None
    successor = engine_slots.EngineSlots(
        engine=engine_loads.ENGINE, newest_versions={}
    )
    successor.apply_report({}, {}, now_seconds=1.0, busy=True)
    successor.may_order = True
    assert successor.next_order(unplaced(A), {}, now_seconds=1.0) is None


def test_two_concurrent_schedulers_unload_different_adapters() -> None:
    # Two instances take over an engine and have counted no requests yet. If
    # both unloaded the same adapter, the engine would accept the second order
    # whatever count it expects, and both would go on issuing orders.
    dropped = set()
    for issuer in range(20):
        slots = engine_slots.EngineSlots(
            engine=engine_loads.ENGINE, newest_versions={}, issuer=issuer
        )
        held = {"base": dict.fromkeys("abcde", 1)}
        slots.apply_report(held, {}, now_seconds=10.0)
        slots.may_order = True
        wanted = unplaced(engine_loads.key("f"))
        dropped.add(slots.next_order(wanted, {}, now_seconds=10.0))
    assert len(dropped) == 5


def test_an_old_report_doesnt_unload_a_reloading_adapter() -> None:
    # A report from before the unload lists the adapter, which is loading
    # again. The engine accepts its unload order without counting it, so that
    # the next instance would issue orders with the same count.
    slots = loaded_slots()
    held = {"base": dict.fromkeys("abcde", 1)}
    slots.apply_report(held, {}, now_seconds=10.4)
    for key in map(engine_loads.key, "bcde"):
        slots.record_start(key, now_seconds=10.4)
    unload, load = engine_decisions.Unload(A), engine_decisions.Load(A, 1)
    slots.record_order(unload, done=True, now_seconds=10.5, count=5)
    slots.record_order(load, done=False, now_seconds=10.51, count=6)
    wanted = unplaced(engine_loads.key("f"))
    slots.apply_old_report(held, count=4)
    assert slots.next_order(wanted, {}, now_seconds=10.6) is None
    slots.apply_old_report(held, count=6)
    assert slots.next_order(wanted, {}, now_seconds=10.6) == unload


def test_a_newer_version_is_ordered_once_and_kept_while_loading() -> None:
    # During the load, reports still list the older version. Taken for the
    # newer one, the adapter would look idle and the load would be repeated,
    # which the engine doesn't count.
    slots = loaded_slots({A: 2})
    slots.record_order(
        engine_decisions.Load(A, 2), done=False, now_seconds=11.0
    )
    slots.apply_report({"base": {"a": 1}}, {A: 2}, now_seconds=11.1)
    assert slots.next_order([], {}, now_seconds=11.1) is None
    assert slots.summary()["a"] == "0?"


def test_an_older_version_in_use_needs_a_slot_of_its_own() -> None:
    # With all slots taken, loading the newer version beside the older one
    # would exceed the capacity of the engine.
    newest = {A: 1}
    slots = loaded_slots(newest)
    slots.apply_report(
        {"base": dict.fromkeys("abcde", 1)}, {}, now_seconds=10.5
    )
    for key in (A, B):
        slots.record_start(key, now_seconds=10.5)
    # Makes C the idle adapter with the fewest requests.
    for key in map(engine_loads.key, "dee"):
        slots.record_start(key, now_seconds=10.5)
        slots.record_end(key, now_seconds=10.5)
    newest[A] = 2
    first = slots.next_order(unplaced(A), {A: 1}, now_seconds=11.0)
    assert first == engine_decisions.Unload(C)
    slots.record_order(first, done=True, now_seconds=11.0)
    second = slots.next_order(unplaced(A), {A: 1}, now_seconds=11.0)
    assert second == engine_decisions.Load(A, 2)
    slots.record_order(second, done=False, now_seconds=11.0)
    assert slots.next_order(
        unplaced(engine_loads.key("f")), {}, now_seconds=11.1
    ) == engine_decisions.Unload(engine_loads.key("d"))


def test_an_idle_older_version_is_unloaded_for_the_newer() -> None:
    # All slots are taken, as above, but no other adapter needs to be unloaded.
    newest = {A: 1}
    slots = loaded_slots(newest)
    slots.apply_report(
        {"base": dict.fromkeys("abcde", 1)}, {}, now_seconds=10.5
    )
    newest[A] = 2
    order = slots.next_order(unplaced(A), {A: 1}, now_seconds=11.0)
    assert order == engine_decisions.Unload(A)


def test_no_slot_is_free_while_the_engine_is_over_capacity() -> None:
    # A negative count raised an exception when a request was offered.
    slots = loaded_slots()
    slots.apply_report(
        {"base": dict.fromkeys("abcdef", 1)}, {}, now_seconds=10.5
    )
    for each in "abcdef":
        slots.record_start(engine_loads.key(each), now_seconds=10.5)
    assert slots.available({}) == 0
