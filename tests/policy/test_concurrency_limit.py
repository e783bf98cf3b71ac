"""Requests in flight at an engine that has just come back, in virtual time."""

from __future__ import annotations

import heapq
import itertools
import math

import pytest

from boragefold.policy import concurrency_limit
from boragefold.policy import engine_speed
from boragefold.policy import request_states

SLOTS = 64
PROMPT_TOKENS = 1_000
RUN_SECONDS = 0.8
STEP_SECONDS = 0.01


class Replay:
    """An engine that prefills one prompt after another, and its callers.

    Beyond ``bears`` requests in flight, prefills take longer in proportion to
    the square of the excess, as where responses are preempted.
    """

    def __init__(self, *, slowness=1.0, bears=SLOTS, tokens=PROMPT_TOKENS):
        self.limit = concurrency_limit.ConcurrencyLimit(slots=SLOTS)
        self.speed = engine_speed.EngineSpeed()
        self.limit.restart(self.speed)
        self.slowness = slowness
        self.bears = bears
        self.tokens = tokens
        self.now = 0.0
        self.free_at = 0.0
        self.most = 0
        self.started = 0
        self.in_flight = {}
        self._pending = {}
        self._events = []
        self._numbers = map(str, itertools.count())

    def send(self) -> None:
        name = next(self._numbers)
        self.in_flight[name] = self.now
        self._pending[name] = self.tokens
        self.most = max(self.most, len(self.in_flight))
        self.limit.record_grant(
            name,
            request_states.PromptTotals(
                len(self._pending), sum(self._pending.values())
            ),
            now_seconds=self.now,
        )
        excess = max(1.0, len(self.in_flight) / self.bears)
        seconds = self.slowness * excess**2
        seconds *= self.speed.prefill_seconds(self.tokens)
        self.free_at = max(self.now, self.free_at) + seconds
        heapq.heappush(self._events, (self.free_at, "start", name))

    def run(self, seconds, *, per_step=2) -> None:
        """Let callers send what the limit allows."""
        end = self.now + seconds
        while self.now < end:
            while self._events and self._events[0][0] <= self.now:
                _, kind, name = heapq.heappop(self._events)
                getattr(self, "_" + kind)(name)
            for _ in range(per_step):
                if len(self.in_flight) < SLOTS and self.limit.allows():
                    self.send()
            self.now += STEP_SECONDS

    def _start(self, name) -> None:
        del self._pending[name]
        self.started += 1
        self.limit.record_start(name, now_seconds=self.now)
        heapq.heappush(self._events, (self.now + RUN_SECONDS, "end", name))

    def _end(self, name) -> None:
        del self.in_flight[name]
        self.limit.record_end(name, now_seconds=self.now)


def test_an_engine_that_was_there_has_no_limit() -> None:
    # Whoever takes up an engine would throttle it for nothing.
    limit = concurrency_limit.ConcurrencyLimit(slots=SLOTS)
    assert limit.limit == math.inf
    assert limit.allows(1000)


def test_an_engine_begins_with_few_and_is_never_idle() -> None:
    # It is left idle if the limit rises too slowly, or isn't given up.
    replay, unlimited = Replay(), Replay()
    replay.run(0.05, per_step=SLOTS)
    assert replay.most == SLOTS * concurrency_limit.START_SHARE
    unlimited.limit = concurrency_limit.ConcurrencyLimit(slots=SLOTS)
    replay.run(5.0)
    unlimited.run(5.05)
    assert replay.started >= 0.98 * unlimited.started
    replay.run(5.0)
    assert replay.limit.limit == math.inf


def test_the_limit_doesnt_run_ahead_of_what_was_shown() -> None:
    # Starts that come late for the first time were sent long before: by then
    # the limit would have doubled several times.
    replay = Replay()
    for _ in range(4):
        replay.send()
    for name in list(replay.in_flight):
        replay.limit.record_start(name, now_seconds=0.01)
    assert replay.limit.limit == 8


def test_a_long_prompt_isnt_taken_for_a_slow_engine() -> None:
    # Its prefill takes a second; prompts behind it wait for it.
    replay = Replay(tokens=20_000)
    before = replay.limit.limit
    replay.run(6.0)
    assert replay.limit.limit >= before


def test_an_engine_that_cant_bear_more_isnt_given_more() -> None:
    # After a restart all waiting requests would go there at once.
    replay, unlimited = Replay(bears=12), Replay(bears=12)
    unlimited.limit = concurrency_limit.ConcurrencyLimit(slots=SLOTS)
    replay.run(20.0)
    unlimited.run(20.0)
    assert replay.limit.limit < 2 * replay.bears
    assert replay.most < 3 * replay.bears
    assert replay.started > 2 * unlimited.started


@pytest.mark.parametrize("slowness", [3.0, 6.0])
def test_a_permanently_slow_engine_isnt_starved(slowness) -> None:
    # Compared with its expected speed, each of its starts is late.
    replay = Replay(slowness=slowness, bears=SLOTS)
    replay.run(30.0)
    before = replay.started
    replay.run(30.0)
    prefill_seconds = slowness * replay.speed.prefill_seconds(PROMPT_TOKENS)
    assert replay.started - before > 0.7 * 30.0 / prefill_seconds


def test_an_overload_lowers_the_limit_once_for_all_sent_before() -> None:
    # Late starts of one round would lower it to the least one after another.
    replay = Replay()
    for _ in range(8):
        replay.send()
    for name in list(replay.in_flight):
        replay.limit.record_start(name, now_seconds=10.0)
    assert replay.limit.limit == 8 * concurrency_limit.DECREASE_FACTOR


def test_requests_of_the_former_life_dont_count() -> None:
    # Their ends may never be reported; the new life would get nothing.
    replay = Replay()
    for _ in range(8):
        replay.send()
    assert not replay.limit.allows()
    replay.limit.restart(replay.speed)
    assert replay.limit.allows(7)


def test_an_end_without_a_start_in_time_lowers_the_limit() -> None:
    # An engine that rejects or drops all requests never starts one.
    replay = Replay()
    replay.send()
    replay.limit.record_end("0", now_seconds=10.0)
    assert replay.limit.limit < 8


def test_engines_that_return_together_each_find_their_limit() -> None:
    # A third of the endpoints returns at once; each has its own limit.
    replays = [Replay(bears=bears) for bears in (8, 16, SLOTS)]
    for replay in replays:
        replay.run(20.0)
    assert replays[0].limit.limit < replays[1].limit.limit
    assert replays[2].limit.limit == math.inf


def test_overload_doesnt_become_the_engines_normal_speed() -> None:
    # The running estimate follows the late starts, which are then on time.
    replay = Replay()
    replay.send()
    for _ in range(100):
        replay.speed.record_start(PROMPT_TOKENS, 10.0)
    replay.send()
    replay.limit.record_start("1", now_seconds=1.0)
    assert replay.limit.limit < 8
