"""One engine under load, judged by the start or refusal of its requests."""

from __future__ import annotations

import random

from boragefold.policy import engine_decisions
from boragefold.policy import engine_schedule
from tests.fakes import engine_loads


def start_times(bench, prefix):
    return [
        outcome.started_seconds
        for request_id, outcome in bench.outcomes.items()
        if request_id.startswith(prefix) and not outcome.refused
    ]


def test_requests_of_one_adapter_share_one_load() -> None:
    # Ten requests for one cold adapter within a few milliseconds must share
    # one load instead of causing ten.
    bench = engine_loads.Bench()
    for number in range(10):
        bench.submit(
            0.001 * number, engine_loads.make_request(f"r{number}", "a1")
        )
    bench.run(10.0)
    assert bench.loads("a1") == 1
    assert len(start_times(bench, "r")) == 10


def test_an_adapter_in_use_is_never_dropped_for_another() -> None:
    # Five long responses use all five slots when a sixth adapter is requested.
    # Unloading one of the five would abort or stall its response.
    bench = engine_loads.Bench()
    for number in range(5):
        bench.submit(
            0.0,
            engine_loads.make_request(
                f"long{number}", f"a{number}", output=300
            ),
        )
    bench.submit(
        0.9, engine_loads.make_request("late", "a9", at=0.9, patience=8.0)
    )
    bench.run(1.5)
    unloads = [
        each
        for each in bench.orders
        if isinstance(each, engine_decisions.Unload)
    ]
    assert not unloads
    bench.run(20.0)
    assert bench.outcomes["late"].started_seconds is not None
    assert bench.most_held <= engine_loads.ENGINE.adapter_places


def test_a_tail_of_cold_adapters_doesnt_evict_popular_ones() -> None:
    # Half of the requests are for three adapters, the rest for hundreds that
    # are requested once. With eviction of the least recently used one, the
    # popular ones would be loaded 39 times.
    rng = random.Random(7)
    bench = engine_loads.Bench()
    for number in range(200):
        at = number * 0.15
        popular = rng.random() < 0.5
        adapter = f"p{rng.randrange(3)}" if popular else f"cold{number}"
        kind = "popular" if popular else "cold"
        bench.submit(
            at, engine_loads.make_request(f"{kind}{number}", adapter, at=at)
        )
    bench.run(60.0)
    popular_loads = sum(bench.loads(f"p{number}") for number in range(3))
    assert popular_loads <= 20
    refused = [each for each in bench.outcomes.values() if each.refused]
    assert len(refused) <= 4


def test_urgent_requests_overtake_queued_ones() -> None:
    # A burst of drafts fills the engine; a request of a more urgent class
    # arrives behind it. Its first token must not wait for the burst.
    bench = engine_loads.Bench()
    for number in range(30):
        bench.submit(
            0.5, engine_loads.make_request(f"draft{number}", "a1", at=0.5)
        )
    bench.submit(
        0.51,
        engine_loads.make_request(
            "urgent", "a1", at=0.51, priority=0, prompt=1_100
        ),
    )
    bench.submit(0.0, engine_loads.make_request("warm", "a1"))
    bench.run(10.0)
    urgent_start = bench.outcomes["urgent"].started_seconds
    assert urgent_start is not None and urgent_start < 1.1
    assert max(start_times(bench, "draft")) > urgent_start


def test_overload_is_refused_at_once_and_not_after_a_wait() -> None:
    # For four seconds, three times what the engine can prefill arrives. A
    # request that can't start before it gives up must be refused at once: a
    # refusal after seconds leaves its caller no time to try another engine.
    # Only the few that were queued though late may be refused later.
    bench = engine_loads.Bench()
    arrivals = {}
    for number in range(120):
        at = 1.0 + number / 30
        arrivals[f"r{number}"] = at
        bench.submit(at, engine_loads.make_request(f"r{number}", "a1", at=at))
    bench.run(30.0)
    refused = {
        request_id: outcome.refused_seconds - arrivals[request_id]
        for request_id, outcome in bench.outcomes.items()
        if outcome.refused == "queue_too_long"
    }
    assert refused
    at_once = [wait for wait in refused.values() if wait < 0.01]
    assert len(at_once) >= 0.9 * len(refused)
    late = [
        outcome
        for outcome in bench.outcomes.values()
        if outcome.refused == "waited_too_long"
    ]
    assert len(late) <= 6


def test_a_grant_can_be_sent_again_while_its_request_runs() -> None:
    # The message with the grant was lost and the sender repeats its request.
    # The schedule must not count the request twice.
    bench = engine_loads.Bench()
    bench.submit(0.0, engine_loads.make_request("r", "a1"))
    bench.run(0.3)
    granted = bench.schedule.find_grant("r")
    assert granted is not None and granted.request.request_id == "r"
    assert bench.schedule.running == 1


def test_a_request_whose_end_is_unreported_expires() -> None:
    # The instance that sent a request was killed, and no end is ever reported.
    # The adapter slot and the memory of the request must not stay taken.
    bench = engine_loads.Bench()
    one = engine_loads.make_request("lost", "a1", patience=2.0)
    bench.schedule.submit(one, now_seconds=0.0)
    for now in (0.0, 0.3):
        for action in bench.schedule.advance(now_seconds=now):
            if isinstance(action, engine_decisions.Load):
                bench.slots.record_order(action, done=False, now_seconds=now)
    assert bench.schedule.running == 1
    bench.schedule.advance(now_seconds=3.5)
    assert bench.schedule.running == 0


def test_requests_of_a_stopped_instance_are_removed() -> None:
    # An instance restarts. Its earlier requests must not hold slots for
    # callers whose connections are gone.
    bench = engine_loads.Bench()
    bench.schedule.submit(
        engine_loads.make_request("r", "a1"), now_seconds=0.0
    )
    bench.schedule.remove_where(
        lambda request: request.sender == engine_loads.SENDER, now_seconds=0.1
    )
    assert bench.schedule.queued == 0


def test_few_prompts_wait_inside_the_engine() -> None:
    # Prompts in the engine's own queue can't be overtaken or sent to another
    # engine. It never has more than it prefills within the tolerated pause.
    bench = engine_loads.Bench()
    for number in range(20):
        wanted = engine_loads.make_request(f"r{number}", "a1")
        bench.submit(0.0, wanted._replace(event_gap_seconds=0.3))
    bench.run(0.4)
    unstarted = bench.schedule.summary()["unstarted_tokens"]
    assert 0 < unstarted <= 0.3 * engine_loads.PREFILL_TOKENS_PER_SECOND


def test_a_request_whose_adapter_loads_blocks_no_other() -> None:
    # A long prompt waits while its adapter loads. Requests of a loaded adapter
    # must not wait behind it.
    bench = engine_loads.Bench()
    bench.submit(0.0, engine_loads.make_request("warm", "a1", output=200))
    bench.submit(
        0.5, engine_loads.make_request("here1", "a1", at=0.5, output=200)
    )
    long = engine_loads.make_request(
        "long", "a2", at=0.5, prompt=9_000, priority=0
    )
    bench.submit(0.5, long)
    bench.submit(0.51, engine_loads.make_request("here2", "a1", at=0.51))
    bench.run(5.0)
    assert bench.outcomes["here2"].started_seconds < 0.75


def test_a_repeated_request_keeps_its_queue_position() -> None:
    # The queue grows behind a request until new ones are refused. The sender
    # repeats the request in case a reply was lost. This must neither refuse it
    # nor reset its arrival.
    bench = engine_loads.Bench()
    for number in range(9):
        bench.submit(0.0, engine_loads.make_request(f"r{number}", "a1"))
    bench.run(0.01)
    assert bench.schedule.queued
    repeated = engine_loads.make_request("r8", "a1", prompt=90_000)
    assert bench.schedule.submit(repeated, now_seconds=0.02) is None
    bench.run(10.0)
    assert bench.outcomes["r8"].started_seconds is not None


def test_while_orders_are_stopped_only_patient_requests_queue() -> None:
    # All instances were restarted, and nothing can be loaded for two seconds.
    # A request that gives up sooner is told when to retry: after a shorter
    # delay it would be refused again, and callers retry once. One that gives
    # up later is queued, and starts when its adapter is loaded.
    bench = engine_loads.Bench()
    bench.slots.orders_in_seconds = 2.0
    impatient = engine_loads.make_request("impatient", "a1", patience=1.5)
    refusal = bench.schedule.submit(impatient, now_seconds=0.0)
    assert refusal is not None and refusal.reason == "orders_wait"
    assert refusal.retry_after_seconds >= 2.0
    patient = engine_loads.make_request("patient", "a1", patience=4.0)
    assert bench.schedule.submit(patient, now_seconds=0.0) is None


def test_an_eager_request_that_would_be_late_is_refused() -> None:
    # Other instances know an engine as of half a second ago. Since then a
    # queue has formed, in which a new request would start late while the next
    # engine is idle. Unless it isn't eager, it is refused at once.
    bench = engine_loads.Bench()
    for number in range(9):
        queued = engine_loads.make_request(f"r{number}", "a1")
        assert bench.schedule.submit(queued, now_seconds=0.0) is None
    eager = engine_loads.make_request("eager", "a1")._replace(eager=True)
    refusal = bench.schedule.submit(eager, now_seconds=0.0)
    assert refusal is not None
    assert refusal.reason == engine_schedule.WOULD_BE_LATE
    assert refusal.wait_seconds > 0.5
    assert bench.schedule.queued == 9
    patient = eager._replace(eager=False)
    assert bench.schedule.submit(patient, now_seconds=0.0) is None


def test_an_eager_request_is_refused_without_an_idle_slot() -> None:
    # Five adapters are in use. A sixth would wait for a slot here, however
    # short the queue is, while another engine has an idle one.
    bench = engine_loads.Bench()
    for number in range(5):
        held = engine_loads.make_request(
            f"r{number}", f"a{number}", output=400
        )
        bench.submit(0.0, held)
    bench.run(2.0)
    sixth = engine_loads.make_request("sixth", "a9", at=2.0)._replace(
        eager=True
    )
    refusal = bench.schedule.submit(sixth, now_seconds=2.0)
    assert (
        refusal is not None and refusal.reason == engine_schedule.WOULD_BE_LATE
    )
    held = engine_loads.make_request("held", "a1", at=2.0)._replace(eager=True)
    assert bench.schedule.submit(held, now_seconds=2.0) is None


def test_a_slot_goes_to_a_request_that_can_be_on_time() -> None:
    # Five slots are taken, and two requests wait for the next one. The first
    # is due sooner, but its adapter can't be loaded by then. If it got the
    # slot, the second would start late as well.
    bench = engine_loads.Bench()
    for number in range(4):
        long = engine_loads.make_request(
            f"long{number}", f"a{number}", output=800
        )
        bench.submit(0.0, long)
    bench.submit(0.0, engine_loads.make_request("ends", "a4", output=60))
    bench.submit(0.4, engine_loads.make_request("too_late", "a8", at=0.4))
    bench.submit(0.9, engine_loads.make_request("in_time", "a9", at=0.9))
    bench.run(6.0)
    assert 1.1 < bench.outcomes["ends"].started_seconds + 60 * 0.008 < 1.3
    assert bench.outcomes["in_time"].started_seconds < 1.9


def test_requests_that_cant_get_a_slot_are_refused_early() -> None:
    # Long responses use all slots, and more adapters are requested than get
    # one. A request that is late is never served before later ones; if it was
    # queued until it gives up, its caller couldn't try another engine.
    bench = engine_loads.Bench()
    arrivals = {}
    for number in range(60):
        at = 0.12 * number
        arrivals[f"r{number}"] = at
        wanted = engine_loads.make_request(
            f"r{number}", f"a{number}", at=at, output=250, patience=8.0
        )
        bench.submit(at, wanted._replace(queue_deadline_at_seconds=at + 4.0))
    bench.run(20.0)
    waited = [
        outcome.refused_seconds - arrivals[request_id]
        for request_id, outcome in bench.outcomes.items()
        if outcome.refused
    ]
    assert len(waited) > 10
    assert max(waited) <= 1.0


def test_a_queue_for_slots_admits_requests_of_loaded_adapters() -> None:
    # Eight requests wait for adapter slots, and none for prefill. A request
    # whose adapter is loaded can start at once; sent to another engine, it
    # would take a slot there too.
    bench = engine_loads.Bench()
    for number in range(5):
        held = engine_loads.make_request(
            f"r{number}", f"a{number}", output=400
        )
        bench.submit(0.0, held)
    bench.run(1.5)
    for number in range(8):
        waits_for_slot = engine_loads.make_request(
            f"w{number}", f"b{number}", at=1.5
        )
        bench.schedule.submit(waits_for_slot, now_seconds=1.5)
    assert bench.schedule.queued >= 4
    joining = engine_loads.make_request("joining", "a1", at=1.5)._replace(
        eager=True
    )
    assert bench.schedule.submit(joining, now_seconds=1.5) is None
    assert bench.schedule.backlog_seconds() < 0.5


def test_an_engine_that_has_come_back_gets_few_requests_at_first() -> None:
    # Eager requests go elsewhere at once; the others wait here.
    bench = engine_loads.Bench()
    bench.slots.apply_report(
        {engine_loads.MODEL: {"a1": 1}}, {}, now_seconds=0.0
    )
    schedule = bench.schedule
    schedule.restart_limit()
    for number in range(12):
        request = engine_loads.make_request(f"r{number}", "a1", prompt=100)
        assert schedule.submit(request, now_seconds=0.0) is None
    granted = schedule.advance(now_seconds=0.0)
    assert (len(granted), schedule.queued) == (8, 4)
    eager = request._replace(request_id="eager", eager=True)
    refusal = schedule.submit(eager, now_seconds=0.0)
    assert refusal is not None
    assert refusal.reason == engine_schedule.WOULD_BE_LATE
    schedule.record_start("r7", now_seconds=0.01)
    schedule.remove("r7", now_seconds=0.02)
    assert len(schedule.advance(now_seconds=0.02)) == 2
