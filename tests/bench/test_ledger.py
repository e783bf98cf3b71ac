from __future__ import annotations

from boragefold.bench import ledger
from boragefold.bench import traffic
from boragefold.policy import work as works


def arrival(
    name: str, *, at: float = 0.0, tokens: int = 100, answer: int = 100
) -> traffic.Arrival:
    needs = works.AdapterVersion("m", "x", "1")
    work = works.Work(name, "w", needs, 0, tokens, at, at + 10)
    return traffic.Arrival(at, work, answer, True, 0.0)


def test_the_oracle_charges_what_is_used_and_asks_for_what_may_be() -> None:
    oracle = ledger.RateOracle(
        rates_tokens_per_second={"w": 10.0}, burst_seconds=10.0
    )
    assert oracle.offer(arrival("a", answer=50))
    assert not oracle.offer(arrival("b", answer=50))
    assert oracle.offer(arrival("c", at=5.0))


def test_a_stall_lasts_until_the_adapter_is_ready_anywhere() -> None:
    book = ledger.Ledger()
    record = ledger.Record(arrival=arrival("a"), instance=0)
    book.arrive(record)
    book.ready("x", "e1", 0.5)
    book.start(record, 3.0)
    assert record.stall_seconds == 0.5


def test_a_request_at_an_engine_stalls_until_that_engine_has_it() -> None:
    # Another engine holds the adapter, but the request was sent where it has
    # to be loaded first: that is a stall, however many copies there are.
    book = ledger.Ledger()
    book.ready("x", "e1", 0.0)
    record = ledger.Record(arrival=arrival("a"), instance=0)
    book.arrive(record)
    record.endpoint = "e2"
    book.begin_stall(record, 1.0)
    book.ready("x", "e3", 1.5)
    book.ready("x", "e2", 2.0)
    book.start(record, 5.0)
    assert record.stall_seconds == 1.0


def test_waiting_for_room_is_no_stall() -> None:
    book = ledger.Ledger()
    book.ready("x", "e1", 0.0)
    record = ledger.Record(arrival=arrival("a"), instance=0)
    book.arrive(record)
    book.start(record, 9.0)
    assert record.stall_seconds == 0.0
