"""Odd entries of other writers, and stops of processes that stand still."""

from __future__ import annotations

import itertools
import signal
import time
from typing import NamedTuple

from tests.fakes import odd_entries
from tests.soak import callers
from tests.soak import plan

# Connections are no longer accepted so long after the signal.
NOTICE_SECONDS = 2.5
GRACE_SECONDS = 8.0
# What ends later than this after it was sent was in the process's hands.
LOST_SLACK_SECONDS = 0.2
ODD = tuple(
    itertools.chain(
        (("servers/odd", each) for each in odd_entries.ENDPOINTS.values()),
        (("op/config", each) for each in odd_entries.CONFIGURATIONS.values()),
        (
            ("op/version/base.odd", each)
            for each in odd_entries.ADAPTER_VERSIONS.values()
        ),
    )
)


class StillStop(NamedTuple):
    """A planned stop of a gateway that stood still within it."""

    gateway: int
    at_seconds: float


class StallFaults:
    """Leaves odd entries, and stops gateways that stand still meanwhile."""

    def _odd_entry(self, fault: plan.Fault) -> None:
        key, value = ODD[fault.what % len(ODD)]
        self.machines.put_bytes(key, value)
        if key == "op/config":
            time.sleep(fault.for_seconds / 10)
            self._publish()

    def _stop_still(self, fault: plan.Fault) -> None:
        # Callers go on with it all the while, as long as it accepts them.
        number = self._gateway(fault)
        if number is None:
            return
        self.still_stops.append(StillStop(number, callers.clock()))
        self.machines.signal(number, signal.SIGTERM)
        still_seconds = min(fault.for_seconds, NOTICE_SECONDS - 1.0)
        time.sleep(NOTICE_SECONDS - still_seconds / 2)
        self.machines.signal(number, signal.SIGSTOP)
        time.sleep(still_seconds)
        self.machines.signal(number, signal.SIGCONT)
        self._restart(number)


def list_lost(stops: list[StillStop], seen: list[callers.Seen]):
    """List the requests that ended without an answer around a stop."""
    return [
        each
        for stop in stops
        for each in seen
        if each.gateway == stop.gateway
        and each.status == 0
        and 0 < each.sent_at_seconds - stop.at_seconds < GRACE_SECONDS
        and each.ended_at_seconds - each.sent_at_seconds > LOST_SLACK_SECONDS
    ]


__all__ = [
    "StallFaults",
    "list_lost",
]
