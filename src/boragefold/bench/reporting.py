"""Load reports of the bench: periodic, and late by a different time each."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import functools
import random

from boragefold.bench import engine as engines_module
from boragefold.bench import system
from boragefold.bench import traffic
from boragefold.policy import work as works
from boragefold.timing import timers

REPORT_PERIOD_SECONDS = 1.0
REPORT_LAG_SECONDS = (0.05, 0.35)

Deliver = Callable[[int, system.Report], None]


def start(
    *,
    service: timers.TimerService,
    engines: Iterable[engines_module.Engine],
    rng: random.Random,
    instances: int,
    deliver: Deliver,
) -> None:
    """Let every engine report to every instance from now on.

    :param service: the virtual time
    :param engines: who reports
    :param rng: draws the phases and the lags
    :param instances: how many are told
    :param deliver: called with an instance's number and a report
    """

    def send(engine: engines_module.Engine) -> None:
        report = _of(engine, service.now_seconds())
        for instance in range(instances):
            service.once(
                delay_seconds=rng.uniform(*REPORT_LAG_SECONDS),
                callback=functools.partial(deliver, instance, report),
            )

    for engine in engines:
        service.every(
            period_seconds=REPORT_PERIOD_SECONDS,
            first_delay_seconds=rng.random() * REPORT_PERIOD_SECONDS,
            callback=functools.partial(send, engine),
        )


def _of(engine: engines_module.Engine, now_seconds: float) -> system.Report:
    return system.Report(
        endpoint=engine.size.name,
        incarnation=str(engine.incarnation),
        taken_at_seconds=now_seconds,
        running=len(engine.running),
        waiting=len(engine.waiting),
        ready=tuple(
            works.AdapterVersion(engine.size.model, adapter, traffic.VERSION)
            for adapter in engine.ready
        ),
    )


__all__ = [
    "start",
]
