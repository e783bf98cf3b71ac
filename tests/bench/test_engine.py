from __future__ import annotations

import pytest

from boragefold.bench import deployments
from boragefold.bench import engine as engines
from boragefold.bench import traffic
from boragefold.policy import work as works
from boragefold.timing import clock
from boragefold.timing import timers


class Bed:
    """One engine alone, and what it tells."""

    def __init__(self, *, batch_size: int = 2, slots: int = 2) -> None:
        self.clock = clock.VirtualClock()
        self.service = timers.TimerService(clock=self.clock)
        self.told: list[tuple[str, str, float]] = []
        self.engine = engines.Engine(
            size=deployments.EngineSize("e", "here", "m", slots, batch_size),
            service=self.service,
            events=engines.Events(
                *(self._note(kind) for kind in ("first", "end", "missing"))
            ),
        )

    def _note(self, kind: str):
        def note(request_id: str, endpoint: str) -> None:
            at = round(self.clock.now_seconds(), 3)
            self.told.append((kind, request_id, at))

        return note

    def run(self, until: float) -> list[tuple[str, str, float]]:
        while (due := self.service.next_due_seconds()) is not None:
            if due > until:
                break
            self.clock.move_to(due)
            self.service.run_due()
        self.clock.move_to(until)
        return self.told

    def hold(self, *adapters: str) -> None:
        for adapter in adapters:
            assert self.engine.begin_load(adapter)
            self.engine.end_load(adapter, True)


def arrival(name: str, *, adapter: str = "x", answer: int = 60):
    needs = works.AdapterVersion("m", adapter, "1")
    work = works.Work(name, "w", needs, 4000, answer, 0.0, 100.0)
    return traffic.Arrival(0.0, work, answer, True, 0.0)


def test_a_request_alone_takes_its_prefill_and_its_tokens() -> None:
    bed = Bed()
    bed.hold("x")
    bed.engine.accept(arrival("r"))
    assert bed.run(10.0) == [("first", "r", 1.0), ("end", "r", 2.0)]


def test_two_requests_slow_each_other_down_and_a_third_waits() -> None:
    bed = Bed()
    bed.hold("x")
    for name in ("r", "s", "t"):
        bed.engine.accept(arrival(name))
    ends = {name: at for kind, name, at in bed.run(20.0) if kind == "end"}
    both = 2.0 / deployments.batch_speed(2, 1)
    assert ends["r"] == ends["s"] == pytest.approx(both, abs=0.01)
    assert ends["t"] == pytest.approx(both + 2.0, abs=0.01)


def test_a_request_without_its_adapter_never_runs() -> None:
    bed = Bed()
    bed.hold("x")
    bed.engine.accept(arrival("r", adapter="y"))
    assert bed.run(10.0) == [("missing", "r", 0.0)]


def test_an_adapter_in_use_is_not_evicted_and_the_order_is_counted() -> None:
    bed = Bed()
    bed.hold("x", "y")
    bed.engine.accept(arrival("r"))
    assert not bed.engine.evict("x")
    assert bed.engine.evict("y")
    assert bed.engine.evictions_in_use == 1


def test_a_request_sent_again_is_not_ended_by_its_first_attempt() -> None:
    # A request is cancelled and comes back to the same engine: the end of the
    # cancelled attempt must not be taken for that of the new one.
    bed = Bed()
    bed.hold("x")
    bed.engine.accept(arrival("r"))
    bed.run(1.5)
    bed.engine.cancel("r")
    bed.engine.accept(arrival("r"))
    assert bed.run(10.0)[-1] == ("end", "r", 3.5)
    assert [kind for kind, *_ in bed.told].count("end") == 1


def test_a_restarted_engine_is_empty_and_names_what_it_lost() -> None:
    bed = Bed(batch_size=1)
    bed.hold("x")
    bed.engine.accept(arrival("r"))
    bed.engine.accept(arrival("s"))
    assert bed.engine.restart() == ["r", "s"]
    assert not bed.engine.ready
    assert bed.run(10.0) == []
