"""Crowds of callers that hold much and end nothing, beside other faults."""

from __future__ import annotations

import time

from tests.fakes import unruly_callers
from tests.soak import plan

MEMORY_MB = 160
MAX_FDS = 500
LIMITS = {"memory_mb": MEMORY_MB, "max_fds": MAX_FDS}
BODY_BYTES = 4_194_304
BODIES = 60
HEADS = 500
STAY_SECONDS = 2.0
ANNOUNCED = unruly_callers.head(
    "/reads/x", unruly_callers.length(BODY_BYTES), key="none"
)
OVER = unruly_callers.head("/reads/x", unruly_callers.length(10 * BODY_BYTES))
CHUNKED = unruly_callers.head("/reads/x", unruly_callers.CHUNKED)
SHORT = b"x" * (BODY_BYTES - 1)
SCRIPTS = {
    "crowd_short": (BODIES, unruly_callers.say(ANNOUNCED, SHORT)),
    "crowd_resets": (
        BODIES,
        unruly_callers.say_and_reset(ANNOUNCED + SHORT, 2),
    ),
    "crowd_over": (BODIES, unruly_callers.say(OVER, SHORT * 2)),
    "crowd_tiny": (
        BODIES,
        unruly_callers.say(CHUNKED, unruly_callers.chunks(65_536, 1)),
    ),
    "crowd_heads": (HEADS, unruly_callers.say(CHUNKED[:-4])),
}
KINDS = frozenset(SCRIPTS)


class CrowdFaults:
    """Sends a crowd to one gateway, and notes what that holds at most."""

    crowd_peaks: list[tuple[str, str, float]]

    def _crowd_short(self, fault: plan.Fault) -> None:
        self._crowd(fault)

    _crowd_resets = _crowd_over = _crowd_tiny = _crowd_heads = _crowd_short

    def _crowd(self, fault: plan.Fault) -> None:
        number = fault.what % len(self.machines.gateways)
        count, script = SCRIPTS[fault.kind]
        front = self.machines.gateways[number]["front"]
        with unruly_callers.Crowd(front) as crowd:
            crowd.play(count, script)
            time.sleep(STAY_SECONDS)
        self.note_peaks(fault.kind)

    def note_peaks(self, kind: str) -> None:
        """Note what each gateway that lives has held at most.

        :param kind: what was played last
        """
        for number in range(len(self.machines.gateways)):
            name = f"gateway-{number}"
            process = self.machines.processes[name]
            if process.poll() is None:
                peak_mb = _peak_mb(process.pid)
                self.crowd_peaks.append((name, kind, peak_mb))


def _peak_mb(pid: int) -> float:
    try:
        return unruly_callers.peak_memory_mb(pid)
    except (OSError, StopIteration):
        # The process has just ended.
        return 0.0


def check(run) -> list[str]:
    """Check that no gateway held more than its machine has.

    :param run: a run that is over
    :return: what was broken, a line each
    """
    return [
        f"MEMORY: {name} held {peak_mb:.0f} MB after {kind}"
        for name, kind, peak_mb in run.crowd_peaks
        if peak_mb > MEMORY_MB
    ]


__all__ = [
    "CrowdFaults",
    "KINDS",
    "LIMITS",
    "check",
]
