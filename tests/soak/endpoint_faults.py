"""Faults of endpoints and of the paths to them."""

from __future__ import annotations

import contextlib
import itertools
import random
import time
from typing import NamedTuple

from boragefold.standins import endless_answers
from tests.fakes import cut_machines
from tests.fakes import machines as machines_module
from tests.soak import callers
from tests.soak import plan
from tests.soak import proxy

# What an endpoint or a path does must be known to the instances by then.
CONTACT_SECONDS = 3.0
MIN_CUT_SECONDS = 2.0
# Breaks running requests, and excuses no instance for anything else.
PATHS = 1_000_000
SILENT_SECONDS = 1.0
WORK_SECONDS = 0.1
# Connections of running requests break so often, one soon after the other.
BREAKS = 20
BREAK_GAP_SECONDS = 0.25
BREAK_ENDINGS = ("reset", "close")
LOST_SHARE = 0.5
# Slots, waiting requests, bearable rejections, seconds until it is back.
BRITTLE_SOON = (2, 8, 4, 2.0)
BRITTLE = (2, 1, 4, 2.0)
WAYS = tuple(
    itertools.product(
        cut_machines.NewConnections, cut_machines.OpenConnections
    )
)


class Cut(NamedTuple):
    """Gateways that were partitioned from all endpoints."""

    gateways: tuple[int, ...]
    begin_seconds: float
    end_seconds: float


class EndpointFaults:
    """Injects them into a run."""

    def _through(self, name: str, mode: proxy.Mode, seconds: float) -> None:
        self.machines.proxies.set(name, mode)
        time.sleep(seconds)
        self.machines.proxies.set(name, proxy.Mode.PASS)

    def _name(self, fault: plan.Fault) -> str:
        names = sorted(self.machines.endpoints)
        return names[fault.what % len(names)]

    def _endpoint(self, fault: plan.Fault, mode: proxy.Mode) -> None:
        self._note(None, fault.for_seconds)
        self._through(self._name(fault), mode, fault.for_seconds)

    def _endpoint_silent(self, fault: plan.Fault) -> None:
        self._endpoint(fault, proxy.Mode.SILENT)

    def _endpoint_resets(self, fault: plan.Fault) -> None:
        self._endpoint(fault, proxy.Mode.RESET)

    def _endpoint_slow(self, fault: plan.Fault) -> None:
        self._endpoint(fault, proxy.Mode.DELAY)

    def _endpoint_answers_lost(self, fault: plan.Fault) -> None:
        self._endpoint(fault, proxy.Mode.NO_ANSWERS)

    def _endpoint_resets_answers(self, fault: plan.Fault) -> None:
        self._endpoint(fault, proxy.Mode.RESET_ANSWERS)

    def _faulty(self, fault: plan.Fault, **faults: object) -> None:
        self._note(None, fault.for_seconds)
        name = self._name(fault)
        self.machines.faults(name, **faults)
        time.sleep(fault.for_seconds)
        self.machines.faults(name)

    def _endpoint_fails(self, fault: plan.Fault) -> None:
        self._faulty(fault, status=500)

    def _endpoint_cuts(self, fault: plan.Fault) -> None:
        self._faulty(fault, cut_after=2)

    def _unframed_answers(self, fault: plan.Fault) -> None:
        self._faulty(fault, framing="close", unframed_calls=True)

    def _endless_answers(self, fault: plan.Fault) -> None:
        forms = tuple(endless_answers.Form)
        form = forms[fault.what % len(forms)].value
        self._faulty(fault, endless=form, endless_calls=form)

    def _unframed_breaks(self, fault: plan.Fault) -> None:
        rng = random.Random(fault.what)
        # Nothing tells the end of a body from a close by a living endpoint.
        plain = self._name(fault).startswith("desk")
        self._faulty(
            fault,
            framing=rng.choice(["length", "chunks", "close"]),
            ending="reset" if plain else rng.choice(["close", "reset"]),
            cut_after=rng.randrange(3),
        )

    def _silent_second(self, fault: plan.Fault) -> None:
        self._note(None, SILENT_SECONDS)
        self._through(self._name(fault), proxy.Mode.HOLD, SILENT_SECONDS)

    def _break_series(self, fault: plan.Fault) -> None:
        seconds = BREAKS * BREAK_GAP_SECONDS
        self._note(None, seconds)
        ending = BREAK_ENDINGS[fault.what % len(BREAK_ENDINGS)]
        for _ in range(BREAKS):
            time.sleep(BREAK_GAP_SECONDS)
            for address in list(self.machines.endpoints.values()):
                # An endpoint that a request has crashed doesn't listen.
                with contextlib.suppress(OSError):
                    machines_module.call(
                        address, "PUT", "/control/break", body=ending
                    )

    def _lost_share(self, fault: plan.Fault) -> None:
        self._faulty(
            fault,
            lose_answers=True,
            ending="reset",
            share=LOST_SHARE,
            delay_seconds=WORK_SECONDS,
        )

    def _cut_off(self, fault: plan.Fault) -> None:
        if not self._claim("cut"):
            return
        rng = random.Random(fault.what)
        count = len(self.machines.gateways)
        cut = tuple(rng.sample(range(count), rng.randint(1, count - 1)))
        new, opened = rng.choice(WAYS)
        begin = callers.clock()
        self._note(PATHS, CONTACT_SECONDS)
        for number in cut:
            self.machines.cut(number, new, opened)
        time.sleep(CONTACT_SECONDS + MIN_CUT_SECONDS + fault.for_seconds)
        self.cuts.append(Cut(cut, begin, callers.clock()))
        for number in cut:
            self.machines.heal(number)
        self._busy.discard("cut")

    def _brittle(self, fault: plan.Fault) -> None:
        if not self._claim("brittle"):
            return
        desks = [n for n in self.machines.endpoints if n.startswith("desk")]
        self._note(None, CONTACT_SECONDS + fault.for_seconds)
        before = self._count_falls(desks)
        self._limit(desks, BRITTLE_SOON)
        time.sleep(CONTACT_SECONDS)
        self._limit(desks, BRITTLE)
        time.sleep(fault.for_seconds)
        self.falls.append(self._count_falls(desks) - before)
        for name in desks:
            self.machines.faults(name)
        self._busy.discard("brittle")

    def _limit(self, desks: list[str], limits: tuple[float, ...]) -> None:
        for name in desks:
            self.machines.faults(
                name, delay_seconds=WORK_SECONDS, limits=limits
            )

    def _count_falls(self, desks: list[str]) -> int:
        return sum(self.machines.seen(name)["falls"] for name in desks)


__all__ = [
    "Cut",
    "EndpointFaults",
]
