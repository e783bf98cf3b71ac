"""How old what an instance knows of the published items is."""

from __future__ import annotations

import math
import types

import pytest

from boragefold.entry import published_age
from boragefold.telemetry import counters as telemetry
from boragefold.timing import clock as clocks
from boragefold.timing import timers as timing
from tests.fakes import machines as machines_module

GATEWAYS = 2


class Case:
    def __init__(self):
        self.clock = clocks.VirtualClock()
        timers = timing.TimerService(clock=self.clock)
        self.timers = timers
        self.lines = []
        self.counters = telemetry.Counters()
        self.confirmed_at_seconds = -math.inf
        self.age = published_age.PublishedAge(
            confirmed_at_seconds=lambda: self.confirmed_at_seconds,
            timers=timers,
            counters=self.counters,
            log=types.SimpleNamespace(
                write=lambda event, **fields: self.lines.append(event)
            ),
        )
        self.age.start()

    def pass_time(self, seconds):
        self.clock.move_to(self.clock.now_seconds() + seconds)
        self.timers.run_due()


def test_an_age_is_logged_once_when_it_passes_its_limit_and_is_back():
    case = Case()
    for _ in range(20):
        case.pass_time(published_age.CHECK_SECONDS)
    assert case.lines == ["published_outdated"]
    assert dict(case.counters.gauges())[published_age.GAUGE] == 10.0
    case.confirmed_at_seconds = case.clock.now_seconds()
    case.pass_time(published_age.CHECK_SECONDS)
    assert case.lines == ["published_outdated", "published_current"]
    assert case.age.seconds() == pytest.approx(published_age.CHECK_SECONDS)


def test_readers_and_those_that_hear_from_them_know_their_age(machines):
    for number, each in enumerate(machines.gateways):
        host = each["front"].partition(":")[0]
        machines_module.eventually(
            lambda host=host: (
                machines_module.call(f"{host}:9464", "GET", "/status").json()[
                    "published_age_seconds"
                ]
                < 3.0
            )
        )
        assert machines.is_ready(number)
