"""Marks and joins while instances begin to read the store, or lose it."""

from __future__ import annotations

import itertools
import signal
import time

from tests.fakes import store_readers
from tests.soak import callers
from tests.soak import plan
from tests.soak import proxy

# With these, the entries fill more than one page.
FURTHER_ENTRIES = 70
FURTHER = {
    "service": "other",
    "address": "127.0.0.1:9",
    "zone": "dc-a",
    "slots": 1,
    "state": "ready",
}
# How long after a process was started the mark comes, at most; within this
# time it reads the store.
START_SECONDS = 0.6
AWAY_SECONDS = 6.0
# Beyond what a link may be silent without being noticed.
SILENT_SECONDS = 4.0


class ListingFaults:
    """Lets endpoints leave and join while the store is listed or silent."""

    _joins = itertools.count()

    def _mark_beside_start(self, fault: plan.Fault) -> None:
        number = self._gateway(fault)
        if number is None:
            return
        self._fill_pages()
        self._note(number, START_SECONDS)
        self.machines.signal(number, signal.SIGKILL)
        self.machines.processes[f"gateway-{number}"].wait(20)
        self.machines.start_gateway(number)
        time.sleep(START_SECONDS * fault.for_seconds / 3)
        self._leave_and_join(fault)
        self._busy.discard(f"gateway-{number}")

    def _readers_silent(self, fault: plan.Fault) -> None:
        if not self._claim("readers"):
            return
        numbers = store_readers.of_each_data_centre(self.machines)
        for number in numbers:
            self._note(number, SILENT_SECONDS)
            self.machines.proxies.set(f"store-{number}", proxy.Mode.SILENT)
        time.sleep(fault.for_seconds / 10)
        self._leave_and_join(fault, before_return=SILENT_SECONDS)
        for number in numbers:
            self.machines.proxies.set(f"store-{number}", proxy.Mode.PASS)
        self._busy.discard("readers")

    def _leave_and_join(
        self, fault: plan.Fault, *, before_return: float = 0.0
    ) -> None:
        name = self._name(fault)
        if not self._claim("leaving"):
            time.sleep(before_return)
            return
        self.machines.publish(name, state="draining")
        gone = callers.clock()
        for _ in range(3):
            self.machines.put(f"servers/joined-{next(self._joins)}", FURTHER)
            time.sleep(0.05)
        time.sleep(AWAY_SECONDS)
        self.left[name] = (gone, callers.clock())
        self.machines.publish(name)
        self._busy.discard("leaving")

    def _fill_pages(self) -> None:
        if self._claim("further entries"):
            for number in range(FURTHER_ENTRIES):
                self.machines.put(f"servers/further-{number:02}", FURTHER)


__all__ = [
    "ListingFaults",
]
