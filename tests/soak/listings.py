"""Marks and joins while instances begin to read the store, or lose it."""

from __future__ import annotations

import itertools
import signal
import time

from tests.fakes import store_pages
from tests.fakes import store_readers
from tests.soak import callers
from tests.soak import plan
from tests.soak import proxy

# How long after a process was started the mark comes, at most; within this
# time it reads the store.
START_SECONDS = 0.6
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
        self._endpoint_leaves(fault, after_mark=self._join)
        self._busy.discard(f"gateway-{number}")

    def _readers_silent(self, fault: plan.Fault) -> None:
        if not self._claim("readers"):
            return
        begin_seconds = callers.clock()
        numbers = store_readers.of_each_data_centre(self.machines)
        for number in numbers:
            self._note(number, SILENT_SECONDS)
            self.machines.proxies.set(f"store-{number}", proxy.Mode.SILENT)
        time.sleep(fault.for_seconds / 10)
        self._endpoint_leaves(fault, after_mark=self._join)
        silent_seconds = callers.clock() - begin_seconds
        time.sleep(max(0.0, SILENT_SECONDS - silent_seconds))
        for number in numbers:
            self.machines.proxies.set(f"store-{number}", proxy.Mode.PASS)
        self._busy.discard("readers")

    def _join(self) -> None:
        for _ in range(3):
            key = f"servers/joined-{next(self._joins)}"
            self.machines.put(key, store_pages.FURTHER_ENTRY)
            time.sleep(0.05)

    def _fill_pages(self) -> None:
        if self._claim("further entries"):
            store_pages.fill(self.machines)


__all__ = [
    "ListingFaults",
]
