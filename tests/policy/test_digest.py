from __future__ import annotations

from boragefold.policy import digest
from boragefold.policy import fair_queue
from boragefold.telemetry import counters
from tests.fakes import workloads


def test_the_demand_of_peers_is_added_and_goes_stale() -> None:
    own = fair_queue.FairQueue(counters=counters.Counters())
    own.push(workloads.work("one", needs="x"), now_seconds=0.0)
    peers = digest.PeerDigests()
    waiting = digest.Waiting(workloads.adapter("x"), "two", 50.0)
    peers.put("i2", digest.Digest((waiting,), (), ()), now_seconds=0.0)
    total = peers.demand(
        own.waiting_by_adapter(), decides=lambda adapter: True
    )
    assert total[workloads.adapter("x")].by_workspace == {
        "one": 100.0,
        "two": 50.0,
    }
    peers.expire(now_seconds=digest.STALE_SECONDS + 0.1)
    total = peers.demand(
        own.waiting_by_adapter(), decides=lambda adapter: True
    )
    assert total[workloads.adapter("x")].by_workspace == {"one": 100.0}


def test_what_peers_use_must_not_be_evicted() -> None:
    peers = digest.PeerDigests()
    used = digest.InUse("a", (workloads.adapter("x"),))
    peers.put("i2", digest.Digest((), (), (used,)), now_seconds=0.0)
    assert peers.in_use("a") == {workloads.adapter("x")}
    assert not peers.in_use("b")
