from __future__ import annotations

from collections.abc import Collection

from boragefold.policy import endpoints
from boragefold.policy import homes
from tests.fakes import workloads

ADAPTERS = [workloads.adapter(f"x{number}") for number in range(40)]


class AllReachable(homes.OrderRights):
    @property
    def incarnation(self) -> str:
        return "i1"

    def held_endpoints(self) -> Collection[str]:
        return ()

    def holder(self, endpoint: str) -> str | None:
        return "i1"


def build() -> tuple[endpoints.Endpoints, homes.Homes]:
    known = endpoints.Endpoints()
    for number in range(4):
        known.put(workloads.spec(f"e{number}"))
    return known, homes.Homes(endpoints=known, rights=AllReachable())


def homes_of(each: homes.Homes) -> dict[str, str | None]:
    return {adapter.adapter: each.home(adapter) for adapter in ADAPTERS}


def test_all_instances_pick_the_same_homes() -> None:
    (_, one), (_, other) = build(), build()
    picked = homes_of(one)
    assert picked == homes_of(other)
    assert set(picked.values()) == {"e0", "e1", "e2", "e3"}


def test_a_full_or_slow_endpoint_is_no_home_and_others_stay() -> None:
    # With five replicas each instance controls one of the endpoints. An
    # adapter whose home is slow or full could be loaded only there, and its
    # callers would wait until they time out.
    known, each = build()
    before = homes_of(each)
    slow, full = known.get("e0"), known.get("e1")
    assert slow is not None and full is not None
    slow.weight = 0.1
    known.report(workloads.report("e1", running=4, at=1.0))
    each.refresh(())
    after = homes_of(each)
    assert set(after.values()) == {"e2", "e3"}
    assert all(
        after[name] == home
        for name, home in before.items()
        if home in ("e2", "e3")
    )


def test_a_home_is_kept_while_requests_wait() -> None:
    # An endpoint's fill fluctuates around the limit. If the home changed with
    # it, each change would start another load of the same adapter.
    known, each = build()
    adapter = ADAPTERS[0]
    before = each.home(adapter)
    assert before is not None
    known.report(workloads.report(before, running=4, at=1.0))
    each.refresh({adapter})
    assert each.home(adapter) == before
    each.refresh(())
    assert each.home(adapter) != before
