from __future__ import annotations

from boragefold.policy import engine_asks
from boragefold.policy import engine_places
from tests.fakes import engine_loads

A, B, C = map(engine_loads.key, "abc")


def held_places(newest=None):
    places = engine_places.Places(
        engine=engine_loads.ENGINE, newest=newest or {}
    )
    places.learn({"base": {"a": 1}}, {}, now_seconds=10.0)
    places.may_order = True
    return places


def unplaced(*keys):
    return [
        engine_loads.ask(f"r{number}", each.adapter)
        for number, each in enumerate(keys)
    ]


def test_a_load_is_ready_when_it_should_have_arrived() -> None:
    places = held_places()
    places.ordered(engine_asks.Load(B, 0), done=False, now_seconds=10.0)
    assert not places.ready(B, now_seconds=10.2)
    assert places.ready(B, now_seconds=10.3)


def test_what_the_engine_had_lately_comes_back_in_a_tenth() -> None:
    places = held_places()
    places.ordered(engine_asks.Load(B, 0), done=False, now_seconds=10.0)
    places.confirm(B)
    places.ordered(engine_asks.Unload(B), done=True, now_seconds=11.0)
    places.ordered(engine_asks.Load(B, 0), done=False, now_seconds=12.0)
    assert places.ready(B, now_seconds=12.05)


def test_loads_that_are_late_again_and_again_are_given_more_time() -> None:
    # What others load is known late, and some stores are slower than others:
    # requests that are sent too early are refused by the engine and lost.
    places = held_places()
    for number in range(20):
        key = engine_loads.key(f"x{number}")
        places.ordered(engine_asks.Load(key, 0), done=False, now_seconds=10.0)
        places.not_there(key, now_seconds=10.3)
        places.ordered(engine_asks.Unload(key), done=True, now_seconds=10.4)
    places.ordered(engine_asks.Load(B, 0), done=False, now_seconds=20.0)
    assert not places.ready(B, now_seconds=20.4)
    assert places.ready(B, now_seconds=20.6)


def test_a_copy_that_the_engine_had_dropped_is_waited_for() -> None:
    # The adapter should have come back in a tenth of the time and didn't: it
    # comes from the store, and trying every moment would only be refused.
    places = held_places()
    places.ordered(engine_asks.Load(B, 0), done=False, now_seconds=10.0)
    places.ordered(engine_asks.Unload(B), done=True, now_seconds=11.0)
    places.ordered(engine_asks.Load(B, 0), done=False, now_seconds=12.0)
    places.not_there(B, now_seconds=12.05)
    assert not places.ready(B, now_seconds=12.2)
    assert places.ready(B, now_seconds=12.31)


def test_loads_take_longer_while_the_whole_fleet_loads() -> None:
    # Twice as many loads as the store delivers at full speed: each takes
    # twice as long. Granted earlier, the engine would refuse the requests.
    places = engine_places.Places(
        engine=engine_loads.ENGINE,
        newest={},
        loads_elsewhere=lambda: 15,
    )
    places.learn({"base": {}}, {}, now_seconds=0.0)
    places.ordered(engine_asks.Load(A, 0), done=False, now_seconds=0.0)
    assert not places.ready(A, now_seconds=0.45)
    assert places.ready(A, now_seconds=0.52)


def test_a_further_load_waits_while_the_fleet_is_at_its_limit() -> None:
    places = engine_places.Places(
        engine=engine_loads.ENGINE, newest={}, loads_elsewhere=lambda: 7
    )
    places.learn({"base": {}}, {}, now_seconds=0.0)
    places.may_order = True
    first = places.next_order(unplaced(A), {}, now_seconds=0.0)
    assert first == engine_asks.Load(A, 0)
    places.ordered(first, done=False, now_seconds=0.0)
    assert places.next_order(unplaced(B), {}, now_seconds=0.1) is None


def test_only_an_adapter_that_was_seen_there_makes_way() -> None:
    # An adapter that should have arrived and was not seen yet may still be on
    # its way. The engine answers an order to drop it with "done" and loads it
    # all the same: with the next load it would hold more than it can.
    places = held_places()
    for each in "bcde":
        places.ordered(
            engine_asks.Load(engine_loads.key(each), 0),
            done=False,
            now_seconds=10.0,
        )
    order = places.next_order(
        unplaced(engine_loads.key("f")), {}, now_seconds=11.0
    )
    assert order == engine_asks.Unload(A)
    places.enter(A, now_seconds=11.0)
    assert (
        places.next_order(
            unplaced(engine_loads.key("f")), {}, now_seconds=11.0
        )
        is None
    )
    assert places.overdue(now_seconds=11.0)


def test_a_report_that_is_older_than_an_order_shows_what_was_there() -> None:
    # Not seen there, an adapter never made way for another while orders were
    # given faster than reports can follow.
    places = held_places()
    places.ordered(
        engine_asks.Load(B, 0), done=False, now_seconds=11.0, count=1
    )
    places.ordered(
        engine_asks.Load(C, 0), done=False, now_seconds=11.0, count=2
    )
    places.learn_former({"base": {"a": 1, "b": 1, "c": 1}}, count=1)
    assert places.summary() == {"a": "0", "b": "0", "c": "0?"}


def test_an_adapter_that_is_dropped_later_keeps_its_place_until_then() -> None:
    places = held_places()
    places.ordered(engine_asks.Unload(A), done=False, now_seconds=10.0)
    assert not places.holds(A)
    assert A in places.held()
    places.learn({"base": {}}, {}, now_seconds=10.6)
    assert A not in places.held()


def test_a_report_that_is_older_than_an_order_undoes_nothing() -> None:
    # Reports lag. One that was made before an order would bring back what was
    # dropped, and requests would be sent to an adapter that isn't there.
    places = held_places()
    places.ordered(engine_asks.Unload(A), done=True, now_seconds=11.0, count=1)
    places.ordered(
        engine_asks.Load(B, 0), done=False, now_seconds=11.0, count=2
    )
    places.learn_former({"base": {"a": 1, "b": 0}}, count=1)
    assert not places.holds(A)
    assert places.holds(B)
    assert places.summary()["b"] == "0?"
    places.learn({"base": {"a": 1}}, {}, now_seconds=11.6)
    assert places.holds(A)
    assert not places.holds(B)


def test_a_newer_version_is_loaded_before_it_is_asked_for() -> None:
    newest = {A: 1}
    places = held_places(newest)
    assert places.next_order([], {}, now_seconds=11.0) is None
    newest[A] = 2
    assert not places.holds(A)
    assert places.next_order([], {}, now_seconds=11.0) == engine_asks.Load(
        A, 2
    )


def test_a_newer_version_takes_the_place_with_its_running_requests() -> None:
    places = held_places({A: 2})
    places.enter(A, now_seconds=10.5)
    places.ordered(engine_asks.Load(A, 2), done=False, now_seconds=11.0)
    places.confirm(A)
    left = engine_loads.ENGINE.adapter_places - 1
    assert places.has_place_for(left - 1, {}, now_seconds=10.0)
    assert not places.has_place_for(left, {}, now_seconds=10.0)


def test_an_engine_that_restarted_is_given_its_model_first() -> None:
    places = held_places()
    places.learn({}, {}, now_seconds=20.0)
    order = places.next_order(unplaced(A), {}, now_seconds=20.0)
    assert order == engine_asks.Load(engine_loads.key(""), 0)
    places.ordered(order, done=False, now_seconds=20.0)
    assert places.next_order(unplaced(A), {}, now_seconds=20.5) is None
    assert places.next_order(
        unplaced(A), {}, now_seconds=22.5
    ) == engine_asks.Load(A, 0)


def test_nothing_is_ordered_without_the_right() -> None:
    places = held_places()
    places.may_order = False
    assert places.next_order(unplaced(B), {}, now_seconds=11.0) is None


def test_a_model_on_its_way_isnt_ordered_again() -> None:
    # An engine restarted empty and was ordered to load its model, which takes
    # two seconds. Its reports list the model only when it is there. A second
    # order is answered as if it were new, without being counted; the next
    # giver's number was then below one used before.
    places = engine_places.Places(engine=engine_loads.ENGINE, newest={})
    places.learn({}, {}, now_seconds=0.0)
    places.may_order = True
    model = engine_loads.key("")
    first = places.next_order(unplaced(A), {}, now_seconds=0.0)
    assert first == engine_asks.Load(model, 0)
    places.ordered(first, done=False, now_seconds=0.0)
    places.learn({}, {}, now_seconds=1.0, busy=True)
    assert places.next_order(unplaced(A), {}, now_seconds=1.0) is None
    successor = engine_places.Places(engine=engine_loads.ENGINE, newest={})
    successor.learn({}, {}, now_seconds=1.0, busy=True)
    successor.may_order = True
    assert successor.next_order(unplaced(A), {}, now_seconds=1.0) is None


def test_two_that_take_an_engine_up_at_once_drop_different_adapters() -> None:
    # Neither has heard a request yet. Dropped by both, an adapter's second
    # unload is answered whatever count it expects: two give orders at once.
    dropped = set()
    for giver in range(20):
        places = engine_places.Places(
            engine=engine_loads.ENGINE, newest={}, giver=giver
        )
        held = {"base": dict.fromkeys("abcde", 1)}
        places.learn(held, {}, now_seconds=10.0)
        places.may_order = True
        wanted = unplaced(engine_loads.key("f"))
        dropped.add(places.next_order(wanted, {}, now_seconds=10.0))
    assert len(dropped) == 5


def test_what_is_loaded_again_isnt_dropped_by_an_old_report() -> None:
    # A report from before the unload lists the adapter, which is on its way
    # again. The engine answers its unload, but doesn't count it: the next
    # instance gives orders with the same count.
    places = held_places()
    held = {"base": dict.fromkeys("abcde", 1)}
    places.learn(held, {}, now_seconds=10.4)
    for key in map(engine_loads.key, "bcde"):
        places.enter(key, now_seconds=10.4)
    unload, load = engine_asks.Unload(A), engine_asks.Load(A, 1)
    places.ordered(unload, done=True, now_seconds=10.5, count=5)
    places.ordered(load, done=False, now_seconds=10.51, count=6)
    wanted = unplaced(engine_loads.key("f"))
    places.learn_former(held, count=4)
    assert places.next_order(wanted, {}, now_seconds=10.6) is None
    places.learn_former(held, count=6)
    assert places.next_order(wanted, {}, now_seconds=10.6) == unload


def test_a_newer_version_on_its_way_is_neither_ordered_again_nor_dropped() -> (
    None
):
    # While it came, reports listed the older one too: the load was repeated,
    # which the engine didn't count, and the adapter looked idle.
    places = held_places({A: 2})
    places.ordered(engine_asks.Load(A, 2), done=False, now_seconds=11.0)
    places.learn({"base": {"a": 1}}, {A: 2}, now_seconds=11.1)
    assert places.next_order([], {}, now_seconds=11.1) is None
    assert places.summary()["a"] == "0?"


def test_an_older_version_that_still_runs_needs_a_place_of_its_own() -> None:
    # All places were taken: the newer version that was loaded beside the
    # older one was one adapter too many.
    newest = {A: 1}
    places = held_places(newest)
    places.learn({"base": dict.fromkeys("abcde", 1)}, {}, now_seconds=10.5)
    for key in (A, B):
        places.enter(key, now_seconds=10.5)
    # So that it is clear which of the idle ones is asked for least.
    for key in map(engine_loads.key, "dee"):
        places.enter(key, now_seconds=10.5)
        places.leave(key, now_seconds=10.5)
    newest[A] = 2
    first = places.next_order(unplaced(A), {A: 1}, now_seconds=11.0)
    assert first == engine_asks.Unload(C)
    places.ordered(first, done=True, now_seconds=11.0)
    second = places.next_order(unplaced(A), {A: 1}, now_seconds=11.0)
    assert second == engine_asks.Load(A, 2)
    places.ordered(second, done=False, now_seconds=11.0)
    assert places.next_order(
        unplaced(engine_loads.key("f")), {}, now_seconds=11.1
    ) == engine_asks.Unload(engine_loads.key("d"))


def test_an_older_version_that_nothing_uses_makes_way_for_the_newer() -> None:
    # All places were taken: see above. Nothing else is dropped for it.
    newest = {A: 1}
    places = held_places(newest)
    places.learn({"base": dict.fromkeys("abcde", 1)}, {}, now_seconds=10.5)
    newest[A] = 2
    order = places.next_order(unplaced(A), {A: 1}, now_seconds=11.0)
    assert order == engine_asks.Unload(A)


def test_no_place_is_free_while_more_are_taken_than_there_are() -> None:
    # With fewer than none a request that asked ended in an exception.
    places = held_places()
    places.learn({"base": dict.fromkeys("abcdef", 1)}, {}, now_seconds=10.5)
    for each in "abcdef":
        places.enter(engine_loads.key(each), now_seconds=10.5)
    assert places.free({}) == 0
