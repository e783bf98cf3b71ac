"""Orders of one owner whose reports and answers are late or lost."""

from __future__ import annotations

from tests.fakes import engine_wire

Travel = engine_wire.Travel


def full_wire() -> engine_wire.EngineWire:
    wire = engine_wire.EngineWire()
    for adapter in "abcde":
        wire.ask(adapter)
        wire.run_for(0.4)
    wire.run_for(1.0)
    assert len(wire.engine.held()) == 5
    return wire


def test_a_report_that_came_late_frees_no_place_of_a_newer_load() -> None:
    # A sixth adapter was loaded: a report that was asked for before two loads
    # came after them, and undid the first while the second kept the count.
    wire = full_wire()
    wire.ask("f")
    wire.run_for(0.03)
    wire.report_travel = Travel(back_seconds=0.45)
    wire.owned.ask_report()
    wire.report_travel = Travel()
    wire.run_for(0.27)
    wire.ask("a")
    wire.run_for(0.2)
    wire.ask("g")
    wire.run_for(0.5)
    assert not wire.engine.overfull


def test_a_load_without_an_answer_keeps_its_place() -> None:
    # A sixth adapter was loaded: one that was dropped and loaded again had no
    # answer to its load, and the report that showed it was not believed.
    wire = full_wire()
    wire.ask("f")
    wire.run_for(0.06)
    request_id = wire.ask("a")
    wire.run_for(0.003)
    wire.order_travel = Travel(lost=True)
    wire.run_for(0.003)
    wire.order_travel = Travel()
    wire.give_up(request_id)
    wire.run_for(0.05)
    wire.ask("g")
    wire.run_for(0.5)
    assert not wire.engine.overfull
