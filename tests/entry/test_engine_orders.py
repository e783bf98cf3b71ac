"""Orders of one owner, with reports and responses delayed or lost."""

from __future__ import annotations

from tests.fakes import engine_wire

Travel = engine_wire.Travel


def full_wire() -> engine_wire.EngineWire:
    wire = engine_wire.EngineWire()
    for adapter in "abcde":
        wire.submit(adapter)
        wire.run_for(0.4)
    wire.run_for(1.0)
    assert len(wire.engine.held()) == 5
    return wire


def test_a_report_that_came_late_frees_no_place_of_a_newer_load() -> None:
    # A report that was requested before two loads arrived after them. It
    # cancelled the first, whose slot was then used for a sixth adapter, since
    # its order count matched that of the second.
    wire = full_wire()
    wire.submit("f")
    wire.run_for(0.03)
    wire.report_travel = Travel(back_seconds=0.45)
    wire.owned.request_report()
    wire.report_travel = Travel()
    wire.run_for(0.27)
    wire.submit("a")
    wire.run_for(0.2)
    wire.submit("g")
    wire.run_for(0.5)
    assert not wire.engine.overfull


def test_a_load_without_an_answer_keeps_its_place() -> None:
    # An adapter was unloaded and loaded again, and the response to the load
    # was lost. The report that showed the adapter was ignored, so a sixth
    # adapter was loaded.
    wire = full_wire()
    wire.submit("f")
    wire.run_for(0.06)
    request_id = wire.submit("a")
    wire.run_for(0.003)
    wire.order_travel = Travel(lost=True)
    wire.run_for(0.003)
    wire.order_travel = Travel()
    wire.give_up(request_id)
    wire.run_for(0.05)
    wire.submit("g")
    wire.run_for(0.5)
    assert not wire.engine.overfull
