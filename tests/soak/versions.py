"""Engines of several software versions, and streams that break off there."""

from __future__ import annotations

import itertools
import re
import time

from tests.soak import plan

VERSIONS = ("v1", "v2")
KINDS = {"streams_broken", "engine_reborn"}
# While nothing else happens, each version has two engines, and all know them.
ENDPOINTS_KNOWN = {"streams_broken", "kill", "pause", "stop", "reload"}
BREAK_GAP_SECONDS = 0.2
TOLD = re.compile(rb"(?<=^data: t)(\d+) (v\d+)$", re.MULTILINE)


def strip(body: bytes) -> bytes:
    """Remove from a stream what its events tell of versions."""
    return TOLD.sub(rb"\1", body)


def told_in(body: bytes) -> set[bytes]:
    """List the versions that the events of a stream tell."""
    return {version for _, version in TOLD.findall(body)}


class VersionFaults:
    """Breaks streams off, and starts engines again at other versions."""

    def _streams_broken(self, fault: plan.Fault) -> None:
        self._note(None, fault.for_seconds)
        end = time.monotonic() + fault.for_seconds
        names = itertools.cycle(self.machines.versions)
        for name in itertools.islice(names, fault.what % 4, None):
            if time.monotonic() > end:
                return
            time.sleep(BREAK_GAP_SECONDS)
            if self._claim(name):
                self.machines.break_streams(name)
                self._busy.discard(name)

    def _engine_reborn(self, fault: plan.Fault) -> None:
        names = sorted(self.machines.versions)
        name = names[fault.what % len(names)]
        # It publishes an entry, as an endpoint that leaves does.
        if not self._claim("leaving"):
            return
        if not self._claim(name):
            self._busy.discard("leaving")
            return
        self._note(None, fault.for_seconds + 2.0)
        self.machines.kill_engine(name)
        time.sleep(fault.for_seconds / 2)
        version = VERSIONS[fault.what // len(names) % len(VERSIONS)]
        self.machines.revive_engine(name, version)
        self._busy.difference_update({name, "leaving"})


__all__ = [
    "ENDPOINTS_KNOWN",
    "KINDS",
    "VERSIONS",
    "VersionFaults",
    "strip",
    "told_in",
]
