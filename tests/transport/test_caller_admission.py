"""Who gives way to whom when callers hold all that they may."""

from __future__ import annotations

import gc
import weakref

import pytest

from boragefold.policy import caller_budget
from boragefold.transport import caller_admission
from boragefold.transport import caller_memory

Phase = caller_admission.Phase
BUDGET = caller_budget.CallerBudget(
    memory_bytes=1_000, large_bytes=750, connections=3, tunnels=1
)
LATER_SECONDS = 2 * caller_admission.STOPPED_SECONDS


class Caller(caller_admission.Caller):
    def __init__(self, case, phase, held, *, large=False):
        self.case, self.phase, self.held = case, phase, held
        self.large = large
        self.outcome = ""
        case.admission.memory.add(held, large=large)
        case.admission.move(self, phase)

    @property
    def receiving_bytes(self):
        return 0 if self.phase is Phase.RUNNING else self.held

    def give_way(self):
        self.outcome = "gave way"
        self.release()
        self.case.admission.move(self, Phase.ENDED)

    def cut(self):
        self.outcome = "cut"
        self.release()
        self.case.admission.forget(self)

    def release(self):
        self.case.admission.memory.add(-self.held, large=self.large)
        self.held = 0


class Case:
    def __init__(self, budget=BUDGET):
        self.now_seconds = 0.0
        self.max_body_bytes = 0
        self.garbage = []
        self.collections = 0
        self.admission = caller_admission.CallerAdmission(
            budget=budget,
            now_seconds=lambda: self.now_seconds,
            max_body_bytes=lambda: self.max_body_bytes,
            collect=self.collect,
        )

    def collect(self):
        self.collections += 1
        while self.garbage:
            self.garbage.pop().release()

    def add(self, phase, held, **options):
        return Caller(self, phase, held, **options)

    def make_room(self, caller):
        return self.admission.make_room(caller, large=caller.large)


@pytest.fixture
def case():
    return Case()


def test_the_large_request_that_stopped_longest_ago_gives_way(case):
    first = case.add(Phase.RECEIVING_LARGE, 300, large=True)
    second = case.add(Phase.RECEIVING_LARGE, 300, large=True)
    case.admission.move(first, Phase.RECEIVING_LARGE)
    case.now_seconds += LATER_SECONDS
    third = case.add(Phase.RECEIVING_LARGE, 300, large=True)
    assert case.make_room(third)
    assert [each.outcome for each in (first, second)] == ["", "gave way"]


def test_large_requests_that_bring_bytes_are_left_to_end(case):
    # Each would end the other, and none would ever be received.
    first = case.add(Phase.RECEIVING_LARGE, 400, large=True)
    second = case.add(Phase.RECEIVING_LARGE, 400, large=True)
    assert not case.make_room(second)
    assert first.outcome == ""


def test_large_requests_leave_room_for_small_ones(case):
    # Large bodies at slow endpoints kept all others out.
    case.add(Phase.RUNNING, 700, large=True)
    small = case.add(Phase.RECEIVING, 200)
    assert case.make_room(small)
    large = case.add(Phase.RECEIVING_LARGE, 60, large=True)
    assert not case.make_room(large)


def test_a_body_that_cannot_fit_beside_running_requests_is_known_at_once():
    # It was received for as long as it took, and refused then.
    case = Case(BUDGET._replace(memory_bytes=500_000, large_bytes=300_000))
    case.add(Phase.RUNNING, 150_000, large=True)
    case.add(Phase.RECEIVING_LARGE, 100_000, large=True)
    assert case.admission.could_hold(150_000)
    assert not case.admission.could_hold(151_000)


def test_bodies_of_answered_requests_are_freed_before_anyone_is_refused():
    # Callers within the limits were refused for what nobody needed any more.
    case = Case(BUDGET._replace(memory_bytes=500_000, large_bytes=300_000))
    case.garbage += [
        case.add(Phase.RUNNING, 100_000, large=True) for _ in range(3)
    ]
    halted = case.add(Phase.RECEIVING_LARGE, 10_000, large=True)
    case.now_seconds += LATER_SECONDS
    assert case.make_room(case.add(Phase.RECEIVING_LARGE, 100, large=True))
    assert halted.outcome == ""
    case.now_seconds += LATER_SECONDS
    case.garbage += [case.add(Phase.RUNNING, 200_000, large=True)]
    assert case.admission.could_hold(150_000)


def test_garbage_is_collected_twice_a_second_at_most():
    # Each refusal would take as long as a collection.
    case = Case()
    case.add(Phase.RUNNING, 2_000)
    for _ in range(10):
        assert not case.make_room(case.add(Phase.RECEIVING, 1))
    assert case.collections == 1


def test_a_small_request_takes_the_room_of_a_large_one(case):
    large = case.add(Phase.RECEIVING_LARGE, 700, large=True)
    case.add(Phase.RUNNING, 250)
    small = case.add(Phase.RECEIVING, 100)
    assert case.make_room(small)
    assert large.outcome == "gave way"


@pytest.mark.parametrize("phase", [Phase.RECEIVING, Phase.NEW, Phase.IDLE])
def test_small_requests_that_stopped_give_way(case, phase):
    # Thousands of heads that stop took the room of everybody.
    stopped = case.add(phase, 900)
    case.now_seconds += LATER_SECONDS
    small = case.add(Phase.RECEIVING, 200)
    assert case.make_room(small)
    assert stopped.outcome == "gave way"


def test_nobody_gives_way_to_what_only_running_requests_hold(case):
    running = case.add(Phase.RUNNING, 950)
    case.now_seconds += LATER_SECONDS
    small = case.add(Phase.RECEIVING, 100)
    assert not case.make_room(small)
    assert running.outcome == ""


def test_one_body_of_the_published_size_always_fits(case):
    # A published size above the share would refuse every such request.
    case.max_body_bytes = 5_000
    alone = case.add(Phase.RECEIVING_LARGE, 5_000, large=True)
    assert case.make_room(alone)


@pytest.mark.parametrize(
    ("phases", "cut"),
    [
        ((Phase.IDLE, Phase.RECEIVING, Phase.RUNNING), 1),
        ((Phase.IDLE, Phase.NEW, Phase.RUNNING), 1),
        ((Phase.RECEIVING, Phase.ENDED, Phase.IDLE), 1),
        ((Phase.IDLE, Phase.IDLE, Phase.RUNNING), 0),
    ],
)
def test_at_the_bound_of_connections_one_makes_place(case, phases, cut):
    # Connections that say nothing kept everybody else out.
    callers = [case.add(phase, 1) for phase in phases]
    case.now_seconds += LATER_SECONDS
    assert case.admission.has_place()
    case.admission.make_place()
    assert [each.outcome == "cut" for each in callers].index(True) == cut
    assert case.admission.connections == BUDGET.connections - 1


def test_running_requests_and_new_callers_keep_their_place(case):
    for phase in (Phase.RUNNING, Phase.RUNNING, Phase.RECEIVING):
        case.add(phase, 1)
    assert not case.admission.has_place()
    case.admission.make_place()
    assert case.admission.connections == BUDGET.connections


def test_a_body_is_counted_until_its_last_reference_is_gone():
    # A sum that is counted down at the close lies while the bytes stay.
    memory = caller_memory.CallerMemory()
    gc.disable()
    try:
        body = caller_memory.HeldBody(account=memory)
        body += b"x" * 100_000
        body.settle()
        assert memory.large_bytes == memory.held_bytes >= 100_000
        view, gone = memoryview(body)[10:], weakref.ref(body)
        del body
        assert memory.held_bytes >= 100_000
        del view
        assert gone() is None
        assert memory.held_bytes == memory.large_bytes == 0
    finally:
        gc.enable()
