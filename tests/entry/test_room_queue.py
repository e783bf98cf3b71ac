from __future__ import annotations

from boragefold.entry import room_queue
from boragefold.telemetry import counters
from boragefold.timing import clock as clocks
from boragefold.timing import timers as timing


class Waiter(room_queue.RoomWaiter):
    def __init__(self, rooms, name):
        self._rooms = rooms
        self._name = name
        self.gone = False

    @property
    def finished(self):
        return self.gone

    def try_room(self):
        if not self._rooms["free"]:
            return False
        self._rooms["free"] -= 1
        self._rooms["order"].append(self._name)
        return True


class Side:
    def __init__(self):
        self.clock = clocks.VirtualClock()
        self.timers = timing.TimerService(clock=self.clock)
        self.queue = room_queue.RoomQueue(
            timers=self.timers, counters=counters.Counters()
        )
        self.rooms = {"free": 0, "order": []}

    def add(self, name):
        waiter = Waiter(self.rooms, name)
        self.queue.add("desk", waiter)
        return waiter

    def run(self, seconds):
        for _ in range(round(seconds / 0.01)):
            self.clock.move_to(self.clock.now_seconds() + 0.01)
            self.timers.run_due()


def test_requests_leave_in_the_order_in_which_they_came() -> None:
    side = Side()
    for name in "abc":
        side.add(name)
    side.rooms["free"] = 2
    side.run(0.1)
    assert side.rooms["order"] == ["a", "b"]
    assert not side.queue.is_empty("desk")
    side.rooms["free"] = 1
    side.run(0.1)
    assert side.rooms["order"] == ["a", "b", "c"]
    assert side.queue.is_empty("desk")


def test_a_caller_that_left_holds_up_nobody() -> None:
    side = Side()
    side.add("a").gone = True
    side.add("b")
    side.rooms["free"] = 1
    side.run(0.1)
    assert side.rooms["order"] == ["b"]


def test_what_cant_be_served_in_time_is_known_by_the_queues_pace() -> None:
    # A request that would wait in vain is refused when it comes.
    side = Side()
    for number in range(12):
        side.add(number)
    for _ in range(10):
        side.rooms["free"] = 1
        side.run(0.2)
    assert 0.4 < side.queue.estimate_seconds("desk") < 0.8
    assert side.queue.estimate_seconds("other") == 0.0


class Ranked(Waiter):
    rank = (1,)


class Urgent(Waiter):
    rank = (0,)


def test_the_most_urgent_go_first() -> None:
    # Urgent requests would wait behind all that came before.
    side = Side()
    for name, kind in (("a", Ranked), ("b", Urgent), ("c", Ranked)):
        side.queue.add("desk", kind(side.rooms, name))
    assert side.queue.is_first("desk", (-1,))
    assert not side.queue.is_first("desk", (0,))
    assert side.queue.turn_seconds("desk", (-1,)) == 0.0
    side.rooms["free"] = 2
    side.run(0.1)
    assert side.rooms["order"] == ["b", "a"]
    # Nobody has left since, so the pace is no better than that.
    side.run(1.0)
    assert side.queue.turn_seconds("desk", (1,)) > 0.9
