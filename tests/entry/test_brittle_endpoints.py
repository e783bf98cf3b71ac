"""Endpoints that fall over when they reject much, on loopback."""

from __future__ import annotations

import concurrent.futures
import http.client
import itertools
import time

import pytest

GATEWAYS = 3
DESKS = ("desk-0", "desk-1")
SLOTS = 4
WORK_SECONDS = 0.2
CAPACITY = len(DESKS) * SLOTS / WORK_SECONDS
MAX_WAITING = 1
BEARABLE_REJECTIONS = 4
FALL_SECONDS = 3.0
# What an answer tells must be acted upon by then.
CONTACT_SECONDS = 3.0
PLAY_SECONDS = 8.0
# In one time in which a service's endpoints are brittle.
ALLOWED_FALLS = 2 + len(DESKS) / 10
MIN_SERVED_SHARE = 0.8

pytestmark = pytest.mark.usefixtures("clear_faults")


def _limit(machines, *, brittle: int, max_waiting: int) -> None:
    for name in DESKS:
        machines.faults(
            name,
            delay_seconds=WORK_SECONDS,
            limits=(SLOTS, max_waiting, brittle, FALL_SECONDS),
        )


def _ask(machines, gateway: int) -> int:
    try:
        return machines.ask("/reads/x", number=gateway, body=b"x").status
    except (OSError, http.client.HTTPException):
        return 0


def _ask_twice(machines, gateway: int) -> bool:
    # A caller comes back once, at another gateway.
    return any(
        _ask(machines, each % GATEWAYS) == 200
        for each in (gateway, gateway + 1)
    )


def _play(machines, load: float, seconds: float) -> float:
    gateways = itertools.cycle(range(GATEWAYS))
    rate = load * CAPACITY
    begin = time.monotonic()
    with concurrent.futures.ThreadPoolExecutor(256) as pool:
        results = []
        for number in range(int(rate * seconds)):
            time.sleep(max(0.0, begin + number / rate - time.monotonic()))
            results.append(pool.submit(_ask_twice, machines, next(gateways)))
        served = sum(each.result() for each in results)
    return served / (min(rate, CAPACITY) * seconds)


def _falls(machines) -> int:
    return sum(machines.seen(name)["falls"] for name in DESKS)


@pytest.mark.parametrize("load", [0.8, 1.5, 3.0])
def test_brittle_endpoints_stand_and_serve(machines, load) -> None:
    # Many rejections at once make one endpoint after the other fall over.
    before = _falls(machines)
    _limit(machines, brittle=BEARABLE_REJECTIONS, max_waiting=2 * SLOTS)
    _play(machines, load, CONTACT_SECONDS)
    _limit(machines, brittle=BEARABLE_REJECTIONS, max_waiting=MAX_WAITING)
    served_share = _play(machines, load, PLAY_SECONDS)
    assert _falls(machines) - before <= ALLOWED_FALLS
    assert served_share >= MIN_SERVED_SHARE
