from __future__ import annotations

from boragefold.policy import endpoints as fleet
from tests.fakes import workloads

HOT = workloads.adapter("hot")
BARE = workloads.adapter("")


def build(*names: str) -> fleet.Endpoints:
    endpoints = fleet.Endpoints()
    for name in names:
        endpoints.put(workloads.spec(name))
        endpoints.report(workloads.report(name, 0, 0.0))
    return endpoints


def running(endpoints: fleet.Endpoints, name: str) -> int:
    state = endpoints.get(name)
    assert state is not None
    return state.estimated_running()


def names(endpoints: fleet.Endpoints, adapter: object = HOT) -> set[str]:
    return {each.spec.name for each in endpoints.holders(adapter)}


def test_own_requests_are_counted_over_a_lagged_report() -> None:
    # Reports are one second old. Between two of them requests are sent and
    # end; each must count once, whether the report includes it or not.
    endpoints = build("e")
    first, second, third = (workloads.work() for _ in range(3))
    endpoints.sent("e", first, now_seconds=1.0)
    endpoints.sent("e", second, now_seconds=2.0)
    assert running(endpoints, "e") == 2
    # The report includes the first, and three of other instances.
    endpoints.report(workloads.report("e", 4, 1.5))
    assert running(endpoints, "e") == 5
    endpoints.finished("e", first.request_id, now_seconds=2.5)
    assert running(endpoints, "e") == 4
    endpoints.finished("e", second.request_id, now_seconds=2.6)
    assert running(endpoints, "e") == 3
    # Measured while the second was still running, received after its end.
    endpoints.report(workloads.report("e", 4, 2.55))
    assert running(endpoints, "e") == 3
    endpoints.sent("e", third, now_seconds=3.0)
    endpoints.finished("e", third.request_id, now_seconds=3.0)
    endpoints.finished("e", third.request_id, now_seconds=3.1)
    assert running(endpoints, "e") == 3
    assert not endpoints.get("e").in_use


def test_an_old_report_doesnt_keep_an_endpoint_full() -> None:
    endpoints = build("e")
    endpoints.report(workloads.report("e", 50, 1.0))
    endpoints.refresh(now_seconds=2.0)
    assert not endpoints.get("e").has_room()
    endpoints.refresh(now_seconds=7.0)
    assert endpoints.get("e").has_room()


def test_an_engine_that_restarted_holds_no_adapter() -> None:
    # An engine crashes and restarts empty. Until that is noticed, requests
    # for its adapters would get an error or the base model's answer. A late
    # report of its former incarnation must not bring the adapters back.
    endpoints = build("e")
    endpoints.loaded("e", HOT, now_seconds=1.0)
    endpoints.sent("e", workloads.work(needs="hot"), now_seconds=1.0)
    assert names(endpoints) == {"e"}
    assert endpoints.report(workloads.report("e", 0, 2.0, "i2"))
    assert names(endpoints) == set()
    assert names(endpoints, BARE) == {"e"}
    assert running(endpoints, "e") == 0
    late = workloads.report("e", 3, 3.0, "i1")._replace(resident=(HOT,))
    assert not endpoints.report(late)
    assert names(endpoints) == set()


def test_the_first_report_is_no_restart() -> None:
    endpoints = fleet.Endpoints()
    endpoints.put(workloads.spec("e"))
    request = workloads.work()
    endpoints.sent("e", request, now_seconds=0.0)
    assert not endpoints.report(workloads.report("e", 0, 0.5))
    assert endpoints.get("e").is_in_use(BARE)


def test_a_leaving_endpoint_gets_no_new_work() -> None:
    endpoints = build("e", "f")
    endpoints.loaded("e", HOT, now_seconds=0.0)
    endpoints.put(workloads.spec("e", leaving=True))
    assert names(endpoints) == set()
    assert names(endpoints, BARE) == {"f"}
    endpoints.put(workloads.spec("e"))
    assert names(endpoints) == {"e"}
    endpoints.drop("e")
    assert names(endpoints) == set()


def test_an_old_report_doesnt_undo_an_order() -> None:
    # An adapter is evicted and another one loaded; the next report was
    # measured before that. It must neither bring back the evicted adapter,
    # whose slot is about to be reused, nor hide the loaded one.
    endpoints = build("e")
    cold = workloads.adapter("cold")
    endpoints.loaded("e", HOT, now_seconds=0.0)
    endpoints.stop_using("e", HOT, now_seconds=5.0)
    endpoints.loaded("e", cold, now_seconds=5.2)
    old = workloads.report("e", 0, 4.9)._replace(resident=(HOT,))
    endpoints.report(old)
    assert names(endpoints, cold) == {"e"}
    assert names(endpoints) == set()
    assert endpoints.get("e").occupied_slots() == 2
    new = workloads.report("e", 0, 6.0)._replace(resident=(cold,))
    endpoints.report(new)
    assert endpoints.get("e").occupied_slots() == 1
    # A load that another instance ordered appears in the report.
    endpoints.report(workloads.report("e", 0, 7.0)._replace(resident=(HOT,)))
    assert names(endpoints) == {"e"}
    assert names(endpoints, cold) == set()


def test_holders_come_nearest_first_and_in_one_order() -> None:
    one, other = build("e", "f", "g"), build("g", "f", "e")
    for endpoints in (one, other):
        endpoints.put(workloads.spec("far", distance_seconds=0.1))
        for name in ("far", "e", "g", "f"):
            endpoints.loaded(name, HOT, now_seconds=0.0)
    order = [each.spec.name for each in one.holders(HOT)]
    assert order == [each.spec.name for each in other.holders(HOT)]
    assert order[-1] == "far"


def test_an_unresponsive_endpoint_loses_its_share_before_any_answer() -> None:
    # One endpoint stops answering, so no sample raises its measured latency.
    # The age of its unanswered requests must count instead.
    endpoints = build("e", "f", "g")
    for name in ("e", "f", "g"):
        request = workloads.work()
        endpoints.sent(name, request, now_seconds=0.0)
        endpoints.answered(name, request.request_id, now_seconds=0.1)
    endpoints.sent("e", workloads.work(), now_seconds=0.2)
    endpoints.refresh(now_seconds=0.4)
    assert endpoints.get("e").weight == 1.0
    endpoints.refresh(now_seconds=3.2)
    assert endpoints.get("e").weight < 0.05
    assert endpoints.get("f").weight == 1.0


def test_a_slow_endpoint_shows_by_few_answers() -> None:
    # One of seven instances sends to an endpoint every six seconds. If each
    # answer had a tenth of the weight, slowness would show after a minute.
    endpoints = build("e", "f", "g")
    for step in range(12):
        at = step * 6.0
        for name in ("e", "f", "g"):
            request = workloads.work()
            took = 0.6 if name == "e" and step >= 9 else 0.1
            endpoints.sent(name, request, now_seconds=at)
            endpoints.answered(name, request.request_id, now_seconds=at + took)
        endpoints.refresh(now_seconds=at + 1)
    assert endpoints.get("e").is_slow()
    assert not endpoints.get("f").is_slow()


def test_long_prompts_dont_make_an_endpoint_look_slow() -> None:
    endpoints = build("e", "f", "g")
    for name, prompt_tokens in (("e", 25_600), ("f", 0), ("g", 0)):
        request = workloads.work()._replace(prompt_tokens=prompt_tokens)
        endpoints.sent(name, request, now_seconds=0.0)
        took = 0.1 * (1 + prompt_tokens / 256)
        endpoints.answered(name, request.request_id, now_seconds=took)
    endpoints.refresh(now_seconds=11.0)
    assert endpoints.get("e").weight == 1.0


def test_failures_lower_the_weight_until_it_recovers() -> None:
    endpoints = build("e")
    for _ in range(10):
        endpoints.failed("e")
    assert endpoints.get("e").weight < 0.05
    for second in range(10):
        endpoints.refresh(now_seconds=second)
    assert endpoints.get("e").weight == 1.0
